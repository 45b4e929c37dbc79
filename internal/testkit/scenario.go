package testkit

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// StartGateway starts the program under test against a cluster of stub hosts.
type StartGateway func(testing.TB, *Cluster) Gateway

// PlayScenarios plays each scenario file (*.txt) of a folder as a subtest, with a gateway and hosts a, b and c of its own.
// The subtests run in parallel. Each line of a file is one step. A line that begins with # is a comment, and \ at the end of
// a line joins it with the next one. The steps are:
//
//	send C MESSAGES        client C connects if necessary, and sends the messages in one packet
//	send C FLOOD MESSAGES  the same, with the messages repeated 5,000 times
//	expect C ANSWERS       the next messages that client C receives must be these
//	close C                closes client C's connection
//	half C                 closes the sending direction of client C's connection
//	reset C                resets client C's connection
//	wait MS                waits for this time
//	host H CHANGE          changes a host; see HostChange
//	all CHANGE             changes every host
//	ran VALUE HOSTS...     the value must have run at these hosts, in this order
//	count VALUE N          the value must have run N times
//	agent TEXT             the agent check must answer with the text
//	http STATUS PATH       the HTTP health check must answer with the status code
//	idle MS                the gateway must have no request in flight within this time
//	manage STATUS METHOD PATH [TEXT]
//	                       the management call must answer with the status code; TEXT is the body of a PUT (BIG stands for
//	                       64 KiB), and the answer to a GET must contain it
//	stop                   begins a graceful shutdown
//	exit                   waits until the program ends, which must be without an error
//
// MESSAGES are separated by " | "; see EncodeMessage. ANSWERS are types of messages. Some types may be followed by content:
// E:SQLSTATE[:DETAIL], C:TAG_WITH_UNDERSCORES and D:VALUE. The last answer may also be an end of the connection: eof, broken
// (in the middle of a message or with a reset), or cut (as broken, or after a complete row).
func PlayScenarios(t *testing.T, folder string, start StartGateway) {
	t.Helper()
	PlayScenariosWith(t, folder, nil, start)
}

// PlayScenariosWith does the same as PlayScenarios, and replaces each $NAME in a step by the value of the variable.
func PlayScenariosWith(t *testing.T, folder string, variables map[string]string, start StartGateway) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(folder, "*.txt"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenario files (*.txt) in %s: %v", folder, err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			t.Parallel()
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			player := NewPlayer(t, start, "a", "b", "c")
			player.variables = variables
			player.playFile(t, file, string(text))
		})
	}
}

// playFile plays the text of a scenario. A failure names the file, the step and its number. The number counts blank lines
// and comments too, and counts lines that are joined by \ as one.
func (p *Player) playFile(t *testing.T, file, text string) {
	t.Helper()
	lines := strings.Split(strings.ReplaceAll(text, "\\\n", " "), "\n")
	for i, line := range lines {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		if err := p.Step(line); err != nil {
			t.Fatalf("%s, step %d, %s: %v", file, i+1, line, err)
		}
	}
}
