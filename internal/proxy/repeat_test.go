package proxy

import (
	"errors"
	"testing"

	"merlinjunction/routing"
)

// A keyed command that may have run may be sent again while hosts drop repeats of its key. The decision to do so is made in
// time; the connection, or room on it, may come later. On zone+brink, where connections come up late, one was sent again
// outside its window. Both orders of the window's end and the connection, and of the end and the last byte.
func TestARepeatIsNotSentOutsideItsWindow(t *testing.T) {
	for _, c := range []struct {
		name   string
		up     float64 // when the second connection comes up, in ms since the first command was sent; the window is 200
		held   bool    // the loop is held up meanwhile: the connection is heard of before the time that has passed
		stuck  bool    // then the system takes only a part of the command
		writes float64 // and the rest of it then
		runs   int     // commands that are sent on it and may run
	}{
		{"in time", 100, false, false, 0, 1},
		{"at its end", 199, false, false, 0, 0}, // it may be on its way for longer than the first was
		{"after it", 215, false, false, 0, 0},
		{"at its end, the loop held up", 195, true, false, 0, 0},
		{"partly written, the rest in time", 100, false, true, 120, 1},
		{"partly written until after it", 100, false, true, 230, 0},
	} {
		b := newBench(t, "a")
		b.submit(2, 900)
		b.conns[0].owner.Established()
		start := b.now
		if len(b.conns[0].sent) != 1 {
			t.Fatal("the first command is not sent")
		}
		b.pass(40)
		b.conns[0].owner.ConnectionClosed(errors.New("reset")) // whether it has run nobody knows
		b.pass(20)
		if len(b.conns) != 2 {
			t.Fatalf("%s: %d connections, another one was expected", c.name, len(b.conns))
		}
		second := b.conns[1]
		if c.held {
			b.now = start + c.up
		}
		b.pass(start + c.up - b.now)
		second.stuck = c.stuck
		second.owner.Established()
		if c.stuck {
			b.pass(start + c.writes - b.now)
			if !second.closed {
				second.owner.RequestWritten()
			}
		}
		b.pass(start + 240 - b.now)
		runs := len(second.sent)
		if second.closed {
			runs = 0
		}
		if runs != c.runs {
			t.Errorf("%s: %d commands may run on the second connection, want %d", c.name, runs, c.runs)
		}
		if c.runs > 0 {
			second.owner.ResponseReceived(Response{Outcome: routing.OutcomeOK, Role: routing.RolePrimary, Body: []byte("x")})
		}
		b.pass(900)
		if len(b.got) != 1 || len(b.requests) != 0 {
			t.Errorf("%s: got %q, %d requests are kept", c.name, b.got, len(b.requests))
		}
	}
}
