package proxy

import (
	"errors"
	"fmt"
	"testing"
)

func TestWhatWasNotWrittenNeverRan(t *testing.T) {
	for _, writeBlocked := range []bool{true, false} {
		t.Run(fmt.Sprintf("write blocked %v", writeBlocked), func(t *testing.T) {
			b := newBench(t, "a", "b")
			b.submit(writeClass, 500) // not idempotent: retried only if it can't have run
			b.conns[0].writeBlocked = writeBlocked
			b.conns[0].handler.Established()
			b.conns[0].handler.ConnectionClosed(errors.New("reset"))
			b.advance(400)
			if retried := len(b.conns) > 1; retried != writeBlocked {
				t.Errorf("retried %v", retried)
			}
		})
	}
}
