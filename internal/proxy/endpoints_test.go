package proxy

import (
	"fmt"
	"testing"

	"merlinjunction/routing"
)

// A connection to a draining host is established when the drain grace period is over. The waiting command must not be
// sent on it.
func TestNoCommandIsSentAfterDrainGraceOnSlowConnect(t *testing.T) {
	f := newFixture(t, "a")
	f.submit(readClass, 900)
	f.updateHosts(routing.StateDraining, "a")
	f.nowMs += 290
	f.conns[0].handler.Established()
	if len(f.conns[0].sent) != 0 {
		t.Error("a command was sent to a host whose drain grace period is over")
	}
	f.advance(700)
	if len(f.answers) != 1 {
		t.Errorf("answers %q, want 1", f.answers)
	}
}

// The drain grace period starts when an endpoint update counts as notified, which may be before the update arrives. This
// also applies to requests that wait for a connection at that time.
func TestDrainGraceCountsFromTheNotification(t *testing.T) {
	for _, test := range []struct {
		notifiedBeforeMs float64 // time between the notification and the arrival of the update
		sent             int
	}{{0, 1}, {150, 1}, {290, 0}, {1e6, 0}} {
		t.Run(fmt.Sprintf("notified %v ms before", test.notifiedBeforeMs), func(t *testing.T) {
			f := newFixture(t, "a")
			f.submit(readClass, 900)
			draining := Host{Address: "a", Endpoint: routing.Endpoint{ID: "a", State: routing.StateDraining}}
			f.UpdateHostsNotifiedAt(true, []Host{draining}, f.nowMs-test.notifiedBeforeMs)
			f.advance(100)
			f.conns[0].handler.Established()
			if sent := len(f.conns[0].sent); sent != test.sent {
				t.Errorf("%d commands sent 100 ms after the update arrived, want %d (drain grace period 300 ms)", sent, test.sent)
			}
		})
	}
}

// A complete endpoint list without a host means that the host is gone. After its drain grace period the host must get
// neither requests nor health checks.
func TestRemovedHostGetsNoCommand(t *testing.T) {
	f := newFixture(t, "a")
	f.submit(readClass, 900)
	f.sendHealthCheck("a")
	f.updateHosts(routing.StateReady)
	f.advance(285)
	for _, conn := range f.conns {
		if !conn.closed {
			conn.handler.Established()
		}
		if len(conn.sent) != 0 {
			t.Errorf("%d commands sent to a host that is not in the endpoint list, want none", len(conn.sent))
		}
	}
	f.advance(700)
	if len(f.answers) != 1 || len(f.hosts) != 1 { // the next endpoint update removes the host
		t.Errorf("answers %q, %d hosts; want 1 answer and 1 host", f.answers, len(f.hosts))
	}
	if f.updateHosts(routing.StateReady); len(f.hosts) != 0 {
		t.Errorf("%d hosts were not removed", len(f.hosts))
	}
}

// A host that is gone must be kept while a health check is in flight on a connection to it. Otherwise the connection
// would belong to a host that the Core no longer knows.
func TestHostIsKeptWhileItsHealthCheckIsInFlight(t *testing.T) {
	f := newFixture(t, "a")
	f.sendHealthCheck("a")
	f.conns[0].handler.Established()
	f.updateHosts(routing.StateReady)
	if len(f.hosts) != 1 {
		t.Errorf("%d hosts are kept with a health check in flight, want 1", len(f.hosts))
	}
	f.advance(healthCheckTimeoutMs + 1)
	if f.updateHosts(routing.StateReady); len(f.hosts) != 0 || !f.conns[0].closed {
		t.Errorf("%d hosts were not removed, connection closed %v; want 0 and true", len(f.hosts), f.conns[0].closed)
	}
}
