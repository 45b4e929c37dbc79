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

// Guards against answers that were served to another command. A host sends an answer a second time, and the clock passes the
// settle period before the event loop reads the copy. The next command must not be sent on that connection, whether it waits
// for the end of the settle period or arrives later.
func TestConnectionWithUnreadInputGetsNoCommand(t *testing.T) {
	for name, arrivesLaterMs := range map[string]float64{"during the settle period": 0, "after it": 100} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, "a")
			f.submit(readClass, 900)
			f.conns[0].handler.Established()
			f.conns[0].handler.ResponseReceived(success("x"))
			f.conns[0].unreadInput = true
			f.advance(arrivesLaterMs)
			f.submit(readClass, 800)
			f.advance(settlePeriodMs + 1)
			if sent := len(f.conns[0].sent); sent != 1 || !f.conns[0].closed || len(f.conns) != 2 {
				t.Errorf("%d commands sent, closed %v, %d connections; want 1, true and 2",
					sent, f.conns[0].closed, len(f.conns))
			}
		})
	}
}

// Each command must be preceded by a check of its connection, also the first one and the one of a connection that has been
// idle for long.
func TestConnectionIsCheckedBeforeEachCommand(t *testing.T) {
	f := newFixture(t, "a")
	f.submit(readClass, 900)
	f.conns[0].handler.Established()
	for range 3 {
		f.conns[0].handler.ResponseReceived(success("x"))
		f.advance(500)
		f.submit(readClass, 900)
	}
	if conn := f.conns[0]; conn.checks != len(conn.sent) || len(conn.sent) != 4 {
		t.Errorf("%d checks and %d commands, want 4 of each", conn.checks, len(conn.sent))
	}
}
