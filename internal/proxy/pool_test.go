package proxy

import (
	"errors"
	"testing"
)

func TestIdleConnectionsAreReusedAndRetired(t *testing.T) {
	f := newFixture(t, "a")
	for i := range 2 {
		f.submit(readClass, 500)
		if i == 0 {
			f.conns[0].handler.Established()
		}
		f.conns[0].handler.ResponseReceived(success("x"))
		f.advance(settlePeriodMs)
	}
	f.wantAnswers(t, "1000 succeeded x", "1002 succeeded x")
	if len(f.conns) != 1 || len(f.conns[0].sent) != 2 {
		t.Errorf("%d connections, want 1 with 2 commands", len(f.conns))
	}
	f.advance(2100)
	if !f.conns[0].closed {
		t.Error("the idle connection was not closed before the host closes it")
	}
}

// A host may close a connection right after its response, or send the response twice. A request that is sent at that
// moment would be lost, or would get the second copy as its response.
func TestConnectionGetsNoCommandDuringSettlePeriod(t *testing.T) {
	for _, test := range []struct {
		name       string
		hostCloses bool
		conns      int
		sentOnLast int
	}{
		{"connection stays", false, 1, 2},
		{"host closes it", true, 2, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, "a")
			f.submit(readClass, 500)
			f.conns[0].handler.Established()
			f.conns[0].handler.ResponseReceived(success("x"))
			f.submit(readClass, 500)
			if len(f.conns[0].sent) != 1 {
				t.Error("the second command was sent in the round of the first response")
			}
			if test.hostCloses {
				f.conns[0].handler.ConnectionClosed(errors.New("closed"))
				f.advance(1)
				f.conns[1].handler.Established()
			}
			f.advance(settlePeriodMs + 1)
			last := f.conns[len(f.conns)-1]
			if len(f.conns) != test.conns || len(last.sent) != test.sentOnLast {
				t.Errorf("%d connections, %d commands sent on the last; want %d and %d",
					len(f.conns), len(last.sent), test.conns, test.sentOnLast)
			}
		})
	}
}

// A connection that accepts no further command after a response must be closed, because bytes that follow the response
// belong to no request. The next request must get another connection.
func TestConnectionIsClosedAfterItsLastResponse(t *testing.T) {
	f := newFixture(t, "a")
	f.submit(readClass, 500)
	f.conns[0].handler.Established()
	last := success("x")
	last.ConnectionEnds = true
	f.conns[0].handler.ResponseReceived(last)
	f.submit(readClass, 500)
	if !f.conns[0].closed || len(f.conns) != 2 {
		t.Errorf("first connection closed %v, %d connections; want true and 2", f.conns[0].closed, len(f.conns))
	}
}

// No client sends requests while the gateway isn't ready, so the Core itself must detect that a host is reachable again.
func TestRecoveredHostIsDetected(t *testing.T) {
	f := newFixture(t, "a")
	f.submit(readClass, 300)
	f.conns[0].handler.ConnectionClosed(errors.New("refused"))
	f.advance(400)
	if f.Ready() {
		t.Fatal("ready without a reachable host")
	}
	f.advance(600)
	last := f.conns[len(f.conns)-1]
	last.handler.Established()
	if !f.Ready() {
		t.Error("not ready although a host is reachable again")
	}
}

// A connection that is not established within the connect timeout must be closed, and the attempt that waits for it must
// not be sent on it.
func TestConnectTimeout(t *testing.T) {
	for _, test := range []struct {
		name    string
		afterMs float64
		late    bool
	}{
		{"late", 255, true},
		{"in time", 240, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, "a")
			f.submit(writeClass, 300) // longer than the connect timeout, but too short for a second connection
			f.advance(test.afterMs)
			first := f.conns[0]
			if !first.closed {
				first.handler.Established()
			}
			if first.closed != test.late || (len(first.sent) == 1) == test.late {
				t.Errorf("connection closed %v, %d commands sent; want closed %v, and one command only if it is open",
					first.closed, len(first.sent), test.late)
			}
			f.advance(400)
			if len(f.answers) != 1 {
				t.Errorf("answers %q, want 1", f.answers)
			}
		})
	}
}
