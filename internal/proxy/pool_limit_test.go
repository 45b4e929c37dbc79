package proxy

import (
	"errors"
	"testing"

	"merlinjunction/routing"
)

// At the connection limit a connection in its settle period must not be closed to free capacity for another host while an
// attempt waits for it. Otherwise that attempt would wait until it times out.
func TestConnectionThatAnAttemptWaitsForIsKeptAtTheLimit(t *testing.T) {
	f := newFixture(t, "a")
	f.limits.MaxConns = 1
	f.submit(readClass, 900)
	f.conns[0].handler.Established()
	f.conns[0].handler.ResponseReceived(success("x"))
	f.submit(readClass, 900) // waits for the end of the settle period
	f.UpdateHosts(false, []Host{{Address: "b", Endpoint: routing.Endpoint{ID: "b", State: routing.StateReady}}})
	f.sendHealthCheck("b") // needs a connection to another host
	f.advance(settlePeriodMs + 1)
	if f.conns[0].closed || len(f.conns[0].sent) != 2 {
		t.Errorf("connection closed %v, %d commands on it, want 2", f.conns[0].closed, len(f.conns[0].sent))
	}
}

// At the connection limit an attempt must wait for the connection to its host that is in use, and be sent on it.
func TestAttemptWaitsForAConnectionInUseAtTheLimit(t *testing.T) {
	f := newFixture(t, "a")
	f.limits.MaxConns = 1
	f.submit(readClass, 900)
	first := f.conns[0]
	first.handler.Established()
	f.submit(readClass, 900)
	first.handler.ResponseReceived(success("x"))
	f.advance(settlePeriodMs + 1)
	first.handler.ResponseReceived(success("y"))
	f.advance(1)
	f.wantAnswers(t, "1000 succeeded x", "1003 succeeded y")
}

// At the connection limit an attempt waits for a connection in use, and that connection is lost. Another connection must
// be dialed in its place.
func TestLostConnectionIsReplacedAtTheLimit(t *testing.T) {
	f := newFixture(t, "a")
	f.limits.MaxConns = 1
	f.submit(writeClass, 900)
	f.conns[0].handler.Established()
	f.submit(readClass, 900)
	f.conns[0].handler.ConnectionClosed(errors.New("reset"))
	f.advance(1)
	if len(f.conns) != 2 {
		t.Fatalf("%d connections, want 2", len(f.conns))
	}
	f.conns[1].handler.Established()
	if len(f.conns[1].sent) != 1 {
		t.Errorf("%d commands on the new connection, want 1", len(f.conns[1].sent))
	}
}

// An attempt that ends because of the gateway's own connection limit must not count as a failure of the host. The next
// request must go to the host as before.
func TestConnectionLimitDoesNotMarkHostAsFailed(t *testing.T) {
	f := newFixture(t, "a")
	f.limits.MaxConns = 0
	f.submit(readClass, 900)
	f.limits.MaxConns = 1
	f.submit(readClass, 900)
	if len(f.conns) != 1 {
		t.Error("the host gets no request after the gateway reached its own connection limit")
	}
}
