package proxy

import "testing"

// A request arrives between the end of a connection's settle period and the timer that serves the queue. The connection
// must stay in the pool: it must serve the waiting attempts and be closed after its idle time.
func TestSettledConnectionStaysInThePool(t *testing.T) {
	f := newFixture(t, "a")
	f.submit(readClass, 900)
	f.conns[0].handler.Established()
	f.conns[0].handler.ResponseReceived(success("x"))
	f.submit(readClass, 900) // waits for the end of the settle period
	f.nowMs += settlePeriodMs
	f.Submit(Request{Class: readClass, Tenant: -1, TimeLeftMs: 900, Command: "command", Responder: f})
	f.Step() // before the timers that are due now
	f.advance(10)
	if len(f.conns[0].sent) < 2 {
		t.Errorf("%d commands on the connection, want at least 2", len(f.conns[0].sent))
	}
	f.advance(3000)
	if !f.conns[0].closed {
		t.Error("the idle connection was not closed: it is open but in no list")
	}
}
