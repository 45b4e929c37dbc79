package pg

import (
	"testing"

	"merlinjunction/internal/proxy"
)

// Guards against answers that were cut off although their client reads without stopping, and against clients that don't
// read and hold the slots that others need.
func TestClientThatDoesNotReadIsClosedSoonerWhereSlotsAreScarce(t *testing.T) {
	for _, test := range []struct {
		name       string
		maxClients int
		timeoutMs  float64
	}{{"plenty", 100, slowReaderTimeoutMs}, {"scarce", 1, scarceReaderTimeoutMs}} {
		t.Run(test.name, func(t *testing.T) {
			h := newPoolHarness(t, &ClientPool{MaxClients: test.maxClients})
			client := h.accept()
			startSession(client)
			client.Send(make([]byte, 4<<20)) // more than the system's buffers hold
			if client.ReadingState(); client.conn.Pending() == 0 {
				t.Fatal("all output was accepted by the system")
			}
			client.closeIfStalled(h.now)
			client.closeIfStalled(h.now + test.timeoutMs - 1)
			if !h.open(client) {
				t.Errorf("closed before %v ms", test.timeoutMs)
			}
			want := proxy.ReadingPaused
			if test.timeoutMs == scarceReaderTimeoutMs {
				want = proxy.ReadingStalled
			}
			if state := client.ReadingState(); state != want {
				t.Errorf("reading state %v, want %v", state, want)
			}
			client.closeIfStalled(h.now + test.timeoutMs)
			if h.open(client) {
				t.Errorf("open after %v ms without reading", test.timeoutMs)
			}
		})
	}
}
