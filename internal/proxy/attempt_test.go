package proxy

import (
	"errors"
	"fmt"
	"testing"
)

// A non-idempotent write must be retried after a connection loss if its command was not completely written, and so can't
// have run, and must not be retried otherwise.
func TestUnwrittenNonIdempotentRequestIsRetried(t *testing.T) {
	for _, writeBlocked := range []bool{true, false} {
		t.Run(fmt.Sprintf("write blocked %v", writeBlocked), func(t *testing.T) {
			f := newFixture(t, "a", "b")
			f.submit(writeClass, 500)
			f.conns[0].writeBlocked = writeBlocked
			f.conns[0].handler.Established()
			f.conns[0].handler.ConnectionClosed(errors.New("reset"))
			f.advance(400)
			if retried := len(f.conns) > 1; retried != writeBlocked {
				t.Errorf("retried %v, want %v", retried, writeBlocked)
			}
		})
	}
}
