package faultsim

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"go.uber.org/zap"

	"merlinjunction/membership"
)

// maxLogLine is the longest line of a gateway's log that is read, bytes.
const maxLogLine = 1 << 20

// logLine is a line of a gateway's log as far as the fault simulator reads it.
type logLine struct {
	Timestamp float64 `json:"ts"` // ms since 1970
	Message   string  `json:"msg"`
	Listen    string  `json:"listen"`
	Member    string  `json:"member"`
	State     string  `json:"state"`
	Reason    string  `json:"reason"`
	Status    string  `json:"status"`
	Partial   bool    `json:"partial"`
}

func (r *processRun) lastOutput(g *gateway) string {
	text, _ := os.ReadFile(filepath.Join(r.dir, g.name+".last"))
	return strings.TrimSpace(string(text))
}

// readLog reads a process's log and tells the oracle what it says of the others and of itself.
func (r *processRun) readLog(g *gateway, out io.Reader, serving chan<- string) {
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		var line logLine
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			_ = os.WriteFile(filepath.Join(r.dir, g.name+".last"), lines.Bytes(), 0o600)
			r.options.Log.Info("gateway log line", zap.String("gateway", g.name), zap.ByteString("text", lines.Bytes()))
			continue
		}
		if line.Message == "serving" {
			serving <- line.Listen
		}
		r.mutex.Lock()
		r.observe(g, &line, lines.Bytes())
		r.mutex.Unlock()
	}
}

// observe takes in one line of a gateway's log. The caller holds the lock.
func (r *processRun) observe(g *gateway, line *logLine, text []byte) {
	ms := line.Timestamp - float64(r.startedAt.UnixMicro())/1000
	switch line.Message {
	case "serving":
	case "fleet: member state changed":
		var member int
		if _, err := fmt.Sscanf(line.Member, "g%d", &member); err == nil && !g.duplicate {
			r.oracle.ObserveBelief(g.index, member, stateOf(line.State), line.Reason, max(ms, -1000*(r.experiment.Fleet.Spread+r.experiment.Fleet.Settle)))
		}
		r.options.Log.Info("belief changed", zap.Float64("ms", ms), zap.String("gateway", g.name), zap.String("member", line.Member),
			zap.String("state", line.State), zap.String("reason", line.Reason))
	case "fleet: status changed":
		r.oracle.ObserveStatus(g.index, statusOf(line.Status))
		r.options.Log.Info("status changed", zap.Float64("ms", ms), zap.String("gateway", g.name), zap.String("status", line.Status),
			zap.String("reason", line.Reason))
	case "fleet: partial view changed":
		if line.Partial {
			r.oracle.ObservePartialView(g.index)
		}
	default:
		r.options.Log.Info("gateway log line", zap.Float64("ms", ms), zap.String("gateway", g.name), zap.ByteString("text", text))
	}
}

func stateOf(word string) membership.State {
	for s := membership.Alive; s <= membership.Left; s++ {
		if s.String() == word {
			return s
		}
	}
	return 0
}

func statusOf(word string) membership.Status {
	for s := membership.StatusJoining; s < membership.StatusLeft; s++ {
		if s.String() == word {
			return s
		}
	}
	return membership.StatusLeft
}
