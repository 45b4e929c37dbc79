// Command standins2 plays the cases of the second review: it starts the gateway as a process of its own and stands in for
// its clients, its database hosts and its discovery, on loopback addresses and the real clock.
//
//	standins2 CASE -run COMMAND -record FILE
//
// The environment variable TROUBLE=0 leaves the disruption out. The exit status is 1 if the rule was broken, 0 if it held
// and 2 if the case could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

// maxRuntime bounds a whole run.
const maxRuntime = 110 * time.Second

// errSetup reports that a case could not run.
var errSetup = errors.New("the case could not run")

// player is one run of a case.
type player struct {
	run     string // the platform's command, which starts a gateway
	dir     string // temporary folder
	trouble bool
	record  *record
}

// cases maps a case's name to its function, which returns the violations of its rule.
var cases = map[string]func(*player) ([]string, error){
	"late-role":      lateRole,
	"reload-drain":   reloadDrain,
	"broken-value":   brokenValue,
	"slow-discovery": slowDiscovery,
	"evacuation":     evacuation,
	"moved-host":     movedHost,
	"slow-reader":    slowReader,
	"session-format": sessionFormat,
}

func main() {
	os.Exit(play())
}

func play() int {
	if len(os.Args) < 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins2 CASE -run COMMAND -record FILE")
		return 2
	}
	flags := flag.NewFlagSet(os.Args[1], flag.ExitOnError)
	run := flags.String("run", "", "the command that starts a gateway")
	path := flags.String("record", "record.txt", "the file for what was sent, answered and run")
	_ = flags.Parse(os.Args[2:])
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(dir) }()
	rec, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	p := &player{run: *run, dir: dir, trouble: os.Getenv("TROUBLE") != "0", record: rec}
	return p.playBounded(os.Args[1])
}

// playBounded plays a case, and gives it up when it takes too long or a signal comes.
func (p *player) playBounded(name string) int {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	type result struct {
		violations []string
		err        error
	}
	done := make(chan result, 1)
	go func() {
		violations, err := cases[name](p)
		done <- result{violations, err}
	}()
	var played result
	select {
	case played = <-done:
	case <-time.After(maxRuntime):
		played.err = fmt.Errorf("%w: it took too long", errSetup)
	case received := <-signals:
		played.err = fmt.Errorf("%w: %v", errSetup, received)
	}
	endGateways()
	if endedEarly.Load() && played.err == nil {
		played.err = fmt.Errorf("%w: a gateway ended by itself", errSetup)
	}
	return p.report(name, played.violations, played.err)
}

// copyLog adds the end of the gateway's log to the record.
func (p *player) copyLog() {
	const maxLines = 60
	text, err := os.ReadFile(p.logPath())
	if err != nil {
		return
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	for _, line := range lines[max(0, len(lines)-maxLines):] {
		p.record.printf("gateway's log: %s", line)
	}
}

// report writes the verdict and returns the exit status.
func (p *player) report(name string, violations []string, err error) int {
	status := 0
	switch {
	case err != nil:
		p.record.printf("verdict: %v", err)
		status = 2
	case len(violations) > 0:
		for _, violation := range violations {
			p.record.printf("VIOLATION %s", violation)
		}
		p.record.printf("verdict: the rule was broken %d times", len(violations))
		status = 1
	default:
		p.record.printf("verdict: the rule held")
	}
	p.copyLog()
	p.record.close()
	fmt.Printf("%s trouble=%v violations=%d status=%d\n", name, p.trouble, len(violations), status)
	if err != nil {
		fmt.Println(err)
	}
	return status
}
