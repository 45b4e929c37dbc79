package routing

import (
	"fmt"
	"testing"
	"time"
)

func TestWriteGoesToPrimaryAndDirtySessionFollows(t *testing.T) {
	g := newHarness(t, nil)
	g.listGroup()
	if m := g.attemptedHost(g.request(1, classKeyedWrite, "s")); m != "p" {
		t.Fatalf("write went to %s", m)
	}
	if m := g.attemptedHost(g.request(2, classSession, "s")); m != "p" {
		t.Fatalf("a dirty session's read went to %s", m)
	}
	if m := g.attemptedHost(g.request(3, classSession, "other")); m == "p" {
		t.Fatal("a clean session's read went to the primary")
	}
}

func TestCompletionCleansAndStamps(t *testing.T) {
	g := newHarness(t, func(s *Settings) { s.StalenessCheck, s.HealthChecksAllowed = StalenessCheckNone, false })
	g.listGroup()
	g.request(1, classKeyedWrite, "s")
	g.step(5*ms, AttemptResult{Request: 1, Host: "p", RequestDone: true, Role: RolePrimary, Position: g.now + 4*ms})
	if m := g.attemptedHost(g.request(2, classSession, "s")); m != "p" {
		t.Fatalf("no replica has the stamp, but the read went to %s", m)
	}
	g.step(ms, HealthCheckResult{Host: "a", Role: RoleReplica, Position: g.now})
	for id := uint64(3); id < 8; id++ {
		if m := g.attemptedHost(g.request(id, classSession, "s")); m != "a" {
			t.Fatalf("only a has the stamp, but the read went to %s", m)
		}
		g.step(ms, AttemptResult{Request: id, Host: "a", RequestDone: true, Role: RoleReplica})
	}
}

// A fresh router knows no positions: where replicas don't check, none is tried before it has told one.
func TestUnknownReplicaGetsNoSessionReadWhereNoneChecks(t *testing.T) {
	g := newHarness(t, func(s *Settings) { s.StalenessCheck = StalenessCheckNone })
	g.step(0, EndpointUpdate{Full: true, Endpoints: []Endpoint{{ID: "p", Group: 1, State: StateReady}, {ID: "a", Group: 1, State: StateReady}}})
	g.want(g.request(1, classSession, "s"))
	g.want(g.step(ms, HealthCheckResult{Host: "a", Role: RoleReplica, Position: g.now}), Attempt{Request: 1, Host: "a"})
}

// Writes that never ran, or were lost, must not leave sessions in the table for good.
func TestSessionTableIsBounded(t *testing.T) {
	g := newHarness(t, nil)
	g.listGroup()
	for id := range uint64(50) {
		g.request(id, classUnsafeWrite, fmt.Sprint("s", id))
		r := AttemptResult{Request: id, Host: "p", RequestDone: true, Role: RolePrimary, Position: g.now}
		if id%3 == 0 { // lost
			r.Outcome, r.RequestDone = OutcomeError, false
		}
		g.step(ms, r)
	}
	for range 40 {
		g.step(time.Second)
	}
	if n := len(g.router.sessions) + len(g.router.requests); n > 0 {
		t.Fatalf("%d entries left", n)
	}
}

// Another process of the gateway may have answered a write of any session: while it lives, and for what it did until it
// ended, no replica is taken to be fresh that has not said so since.
func TestSiblingProcessMakesSessionsCountAsHavingWritten(t *testing.T) {
	g := newHarness(t, func(s *Settings) { s.StalenessCheck, s.HealthChecksAllowed = StalenessCheckNone, false })
	g.listGroup()
	g.catchUp()
	id := uint64(0)
	to := func() string {
		id++
		m := g.attemptedHost(g.step(ms, Request{ID: id, Class: classSession, Tenant: -1, Group: 1, Session: "s", TimeLeft: time.Second}))
		g.step(ms, AttemptResult{Request: id, Host: m, RequestDone: true, Role: RoleUnknown})
		return m
	}
	if m := to(); m == "p" {
		t.Fatalf("a clean session's read goes to %s", m)
	}
	g.step(ms, SiblingProcess{Running: true})
	if m := to(); m != "p" {
		t.Errorf("beside another router it goes to %s", m)
	}
	g.step(ms, SiblingProcess{Running: false})
	if m := to(); m != "p" {
		t.Errorf("just after that has ended it goes to %s", m)
	}
	g.step(ms, HealthCheckResult{Host: "a", Role: RoleReplica, Position: g.now})
	if m := to(); m != "a" {
		t.Errorf("once a replica has come so far it goes to %s", m)
	}
}
