package proxy

import (
	"errors"
	"testing"
)

// A write with an idempotency key that may have run may be retried only inside its deduplication window of 200 ms. The
// router starts the retry inside the window, but the connection may be established, or the last byte written, after its
// end. The command must then not be sent.
func TestRetryIsNotSentOutsideDedupWindow(t *testing.T) {
	for _, test := range []struct {
		name          string
		establishedMs float64 // time from the first command until the second connection is established
		loopDelayed   bool    // no timer fires before the second connection is established
		writeBlocked  bool    // the command is first written only in part
		writtenMs     float64 // time from the first command until the rest is written
		sent          int     // number of commands that are sent on the second connection and may run
	}{
		{"in time", 100, false, false, 0, 1},
		{"at its end", 199, false, false, 0, 0}, // the second command may take longer to reach the host than the first one
		{"after it", 215, false, false, 0, 0},
		{"at its end, the loop delayed", 195, true, false, 0, 0},
		{"partly written, the rest in time", 100, false, true, 120, 1},
		{"partly written until after it", 100, false, true, 230, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, "a")
			f.submit(keyedWriteClass, 900)
			f.conns[0].handler.Established()
			start := f.nowMs
			if len(f.conns[0].sent) != 1 {
				t.Fatal("the first command was not sent")
			}
			f.advance(40)
			f.conns[0].handler.ConnectionClosed(errors.New("reset")) // it is unknown whether the command ran
			f.advance(20)
			if len(f.conns) != 2 {
				t.Fatalf("%d connections, want 2", len(f.conns))
			}
			second := f.conns[1]
			if test.loopDelayed {
				f.nowMs = start + test.establishedMs
			}
			f.advance(start + test.establishedMs - f.nowMs)
			second.writeBlocked = test.writeBlocked
			second.handler.Established()
			if test.writeBlocked {
				f.advance(start + test.writtenMs - f.nowMs)
				if !second.closed {
					second.handler.RequestWritten()
				}
			}
			f.advance(start + 240 - f.nowMs)
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
			f.advance(900)
			if len(f.answers) != 1 || len(f.requests) != 0 {
				t.Errorf("answers %q, want 1; %d requests were not removed", f.answers, len(f.requests))
			}
		})
	}
}
