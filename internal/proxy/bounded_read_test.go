package proxy

import (
	"runtime"
	"testing"
	"time"
	"weak"

	"merlinjunction/routing"
)

const (
	maxStalenessMs = 200.0
	strongClass    = keyedWriteClass + 1
)

// newReadFixture returns a fixture with the primary a and the replica b, whose positions are the current time. The class
// readClass has bounded staleness, and replicas don't check their positions.
func newReadFixture(t *testing.T) *fixture {
	t.Helper()
	settings := fixtureSettings()
	settings.StalenessCheck = routing.StalenessCheckNone
	settings.Classes[readClass].Consistency = routing.ConsistencyBounded
	settings.Classes[readClass].MaxStaleness = maxStalenessMs * time.Millisecond
	settings.Classes = append(settings.Classes, settings.Classes[readClass])
	settings.Classes[strongClass].Consistency = routing.ConsistencyStrong
	limits := Limits{ConnectTimeoutMs: 250, HostIdleTimeoutMs: 3000, MaxConns: 4, MaxRequests: 3}
	f := newFixtureWith(t, settings, limits, nil)
	f.updateHosts(routing.StateReady, "a", "b")
	f.report("a", routing.RolePrimary)
	f.report("b", routing.RoleReplica)
	return f
}

// report passes the router a load report of a host whose position is the current time.
func (f *fixture) report(host string, role routing.Role) {
	f.t.Helper()
	f.events = append(f.events, routing.HealthCheckResult{Host: host, Role: role, Position: toDuration(f.nowMs)})
	f.Step()
}

// connTo returns the last connection that was dialed to a host.
func (f *fixture) connTo(host string) *fakeConn {
	f.t.Helper()
	for i := len(f.conns) - 1; i >= 0; i-- {
		if f.conns[i].addr == host {
			return f.conns[i]
		}
	}
	f.t.Fatalf("no connection to host %s was dialed", host)
	return nil
}

// Guards against bounded reads that were answered from data older than their bound, because the connection to the replica
// came up late. A read that waits until the replica's known data is too old must go to another host at once.
func TestBoundedReadIsNotSentToAReplicaThatBecameStale(t *testing.T) {
	for _, test := range []struct {
		name          string
		establishedMs float64 // time from the decision until the connection to the replica is established
		sent          int     // commands that the replica gets
	}{
		{"in time", maxStalenessMs - 10, 1},
		{"too late", maxStalenessMs + 10, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newReadFixture(t)
			f.submit(readClass, 900)
			replica := f.connTo("b")
			f.advance(test.establishedMs)
			replica.handler.Established()
			f.advance(5)
			if got := len(replica.sent); got != test.sent {
				t.Errorf("the replica got %d commands, want %d", got, test.sent)
			}
			if test.sent == 0 {
				primary := f.connTo("a")
				primary.handler.Established()
				if len(primary.sent) != 1 {
					t.Errorf("the primary got %d commands, want 1", len(primary.sent))
				}
			}
		})
	}
}

// Guards against memory that grew with each answered read, because a timer kept its command until the data of the replica
// would have become too old.
func TestAnsweredCommandIsReleased(t *testing.T) {
	f := newReadFixture(t)
	kept := f.submitLargeRead()
	replica := f.connTo("b")
	replica.handler.Established()
	replica.handler.ResponseReceived(success("x"))
	f.Step()
	replica.sent = nil
	runtime.GC()
	if len(f.answers) != 1 || kept.Value() != nil {
		t.Errorf("answers %q, command kept: %v; want one answer and false", f.answers, kept.Value() != nil)
	}
	runtime.KeepAlive(f)
}

// submitLargeRead submits a read and returns a weak pointer to its command.
func (f *fixture) submitLargeRead() weak.Pointer[[1 << 10]byte] {
	command := new([1 << 10]byte)
	if _, ok := f.Submit(Request{Class: readClass, Tenant: -1, TimeLeftMs: 900, Command: command, Responder: f}); !ok {
		f.t.Fatal("the read was not accepted")
	}
	f.Step()
	return weak.Make(command)
}
