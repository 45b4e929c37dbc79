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

// maxLogLine is the length limit of a gateway's log line, in bytes.
const maxLogLine = 1 << 20

// The messages of a gateway's log that handleLogLine interprets.
const (
	messageServing            = "serving"
	messageMemberStateChanged = "fleet: member state changed"
	messageStatusChanged      = "fleet: status changed"
	messagePartialViewChanged = "fleet: partial view changed"
)

// logLine holds the fields of a gateway's log line that the fault simulator reads.
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

// lastOutputPath returns the path of the file that holds the last line of a gateway's output that is not in the log format.
func (r *processRun) lastOutputPath(gateway *gatewayProcess) string {
	return filepath.Join(r.dir, gateway.name+".last")
}

// lastOutput returns the last line of a gateway's output that is not in the log format, such as an error at startup. It is
// empty if the gateway wrote only log lines.
func (r *processRun) lastOutput(gateway *gatewayProcess) string {
	text, _ := os.ReadFile(r.lastOutputPath(gateway)) // the file is missing if the gateway wrote only log lines
	return strings.TrimSpace(string(text))
}

// readLog reads the log of a gateway's process until the process closes it. It sends the address of the client listener
// to serving, and reports changes of the gateway's status and of its beliefs about members to the oracle.
func (r *processRun) readLog(gateway *gatewayProcess, output io.Reader, serving chan<- string) {
	lines := bufio.NewScanner(output)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		text := lines.Bytes()
		var line logLine
		if err := json.Unmarshal(text, &line); err != nil {
			_ = os.WriteFile(r.lastOutputPath(gateway), text, 0o600) // if it fails, an error message lacks this line
			r.options.Log.Info("gateway log line", zap.String("gateway", gateway.name), zap.ByteString("text", text))
			continue
		}
		if line.Message == messageServing {
			serving <- line.Listen
		}
		r.mutex.Lock()
		r.handleLogLine(gateway, &line, text)
		r.mutex.Unlock()
	}
}

// handleLogLine handles one line of a gateway's log. The caller holds the lock.
func (r *processRun) handleLogLine(gateway *gatewayProcess, line *logLine, text []byte) {
	nowMs := line.Timestamp - float64(r.secondZero.UnixMicro())/1000
	switch line.Message {
	case messageServing:
	case messageMemberStateChanged:
		r.observeBelief(gateway, line, nowMs)
		r.options.logBelief(nowMs, gateway.name, line.Member, line.State, line.Reason)
	case messageStatusChanged:
		r.oracle.ObserveStatus(gateway.index, parseStatus(line.Status))
		r.options.logStatus(nowMs, gateway.name, line.Status, line.Reason)
	case messagePartialViewChanged:
		if line.Partial {
			r.oracle.ObservePartialView(gateway.index)
		}
	default:
		r.options.Log.Info("gateway log line",
			zap.Float64("ms", nowMs),
			zap.String("gateway", gateway.name),
			zap.ByteString("text", text))
	}
}

// observeBelief reports a gateway's new belief about a member to the oracle. It ignores the beliefs of duplicates, and
// beliefs about members that are not gateways of the experiment.
func (r *processRun) observeBelief(gateway *gatewayProcess, line *logLine, nowMs float64) {
	var member int
	if _, err := fmt.Sscanf(line.Member, "g%d", &member); err != nil || gateway.duplicate {
		return
	}
	fleet := &r.experiment.Fleet
	beginMs := -1000 * (fleet.Spread + fleet.Settle)
	r.oracle.ObserveBelief(gateway.index, member, parseState(line.State), line.Reason, max(nowMs, beginMs))
}

// parseState returns the state with a name, or 0 if no state has it.
func parseState(name string) membership.State {
	for state := membership.Alive; state <= membership.Left; state++ {
		if state.String() == name {
			return state
		}
	}
	return 0
}

// parseStatus returns the status with a name, or StatusLeft if no other status has it.
func parseStatus(name string) membership.Status {
	for status := membership.StatusJoining; status < membership.StatusLeft; status++ {
		if status.String() == name {
			return status
		}
	}
	return membership.StatusLeft
}
