package proxy

import "testing"

// An attempt that comes between the end of a connection's settle period and the timer that serves the queue leaves the
// connection in the pool: it serves whoever waits, and is retired in the end.
func TestSettledConnectionStaysInThePool(t *testing.T) {
	b := newBench(t, "a")
	b.submit(readClass, 900)
	b.conns[0].handler.Established()
	b.conns[0].handler.ResponseReceived(success("x"))
	b.submit(readClass, 900) // waits until the connection has settled
	b.nowMs += settlePeriodMs
	b.Submit(Request{Class: readClass, Tenant: -1, TimeLeftMs: 900, Command: "command", Responder: b})
	b.Step() // before the timers of this moment
	b.advance(10)
	if len(b.conns[0].sent) < 2 {
		t.Errorf("%d commands on the settled connection", len(b.conns[0].sent))
	}
	b.advance(3000)
	if !b.conns[0].closed {
		t.Error("the connection is open but in no list")
	}
}
