package proxy

import (
	"errors"
	"testing"
)

// A write with an idempotency key that may have run may be retried inside its deduplication window of 200 ms. The
// router decides so in time, but the connection may be established, or the last byte written, after the window.
func TestARetryIsNotSentOutsideTheDedupWindow(t *testing.T) {
	for _, test := range []struct {
		name          string
		establishedMs float64 // when the second connection is established, since the first command was sent
		loopDelayed   bool    // no timer fires meanwhile: the connection is handled before the end of the window is
		writeBlocked  bool    // the system takes only a part of the command
		writtenMs     float64 // and the rest of it then
		sent          int     // commands that are sent on the second connection and may run
	}{
		{"in time", 100, false, false, 0, 1},
		{"at its end", 199, false, false, 0, 0}, // it may take longer to the host than the first one
		{"after it", 215, false, false, 0, 0},
		{"at its end, the loop delayed", 195, true, false, 0, 0},
		{"partly written, the rest in time", 100, false, true, 120, 1},
		{"partly written until after it", 100, false, true, 230, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, "a")
			b.submit(keyedWriteClass, 900)
			b.conns[0].handler.Established()
			start := b.nowMs
			if len(b.conns[0].sent) != 1 {
				t.Fatal("the first command is not sent")
			}
			b.advance(40)
			b.conns[0].handler.ConnectionClosed(errors.New("reset")) // whether it has run is unknown
			b.advance(20)
			if len(b.conns) != 2 {
				t.Fatalf("%d connections, want 2", len(b.conns))
			}
			second := b.conns[1]
			if test.loopDelayed {
				b.nowMs = start + test.establishedMs
			}
			b.advance(start + test.establishedMs - b.nowMs)
			second.writeBlocked = test.writeBlocked
			second.handler.Established()
			if test.writeBlocked {
				b.advance(start + test.writtenMs - b.nowMs)
				if !second.closed {
					second.handler.RequestWritten()
				}
			}
			b.advance(start + 240 - b.nowMs)
			sent := len(second.sent)
			if second.closed {
				sent = 0
			}
			if sent != test.sent {
				t.Errorf("%d commands may run on the second connection, want %d", sent, test.sent)
			}
			if test.sent > 0 {
				second.handler.ResponseReceived(primarySuccess("x"))
			}
			b.advance(900)
			if len(b.answers) != 1 || len(b.requests) != 0 {
				t.Errorf("answers %q, %d requests are kept", b.answers, len(b.requests))
			}
		})
	}
}
