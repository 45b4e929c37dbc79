package routing

import (
	"fmt"
	"testing"
	"time"
)

func TestWriteGoesToPrimaryAndDirtySessionFollows(t *testing.T) {
	harness := newHarness(t, nil)
	harness.listGroup()
	if host := harness.attemptedHost(harness.request(1, classKeyedWrite, "s")); host != "p" {
		t.Fatalf("write went to %s", host)
	}
	if host := harness.attemptedHost(harness.request(2, classSession, "s")); host != "p" {
		t.Fatalf("a dirty session's read went to %s", host)
	}
	if host := harness.attemptedHost(harness.request(3, classSession, "other")); host == "p" {
		t.Fatal("a clean session's read went to the primary")
	}
}

func TestCompletionCleansAndStamps(t *testing.T) {
	harness := newHarness(t, noHealthChecks)
	harness.listGroup()
	harness.request(1, classKeyedWrite, "s")
	harness.step(5*ms, AttemptResult{
		Request: 1, Host: "p", RequestDone: true, Role: RolePrimary, Position: harness.now + 4*ms,
	})
	if host := harness.attemptedHost(harness.request(2, classSession, "s")); host != "p" {
		t.Fatalf("no replica has the stamp, but the read went to %s", host)
	}
	harness.step(ms, HealthCheckResult{Host: "a", Role: RoleReplica, Position: harness.now})
	for id := uint64(3); id < 8; id++ {
		if host := harness.attemptedHost(harness.request(id, classSession, "s")); host != "a" {
			t.Fatalf("only a has the stamp, but the read went to %s", host)
		}
		harness.answer(ms, id, "a")
	}
}

// A Router that has just started knows no positions: where replicas don't check, none is tried before its position
// is known.
func TestUnknownReplicaGetsNoSessionReadWhereNoneChecks(t *testing.T) {
	harness := newHarness(t, func(s *Settings) { s.StalenessCheck = StalenessCheckNone })
	harness.list(ready("p", "a")...)
	harness.want(harness.request(1, classSession, "s"))
	actions := harness.step(ms, HealthCheckResult{Host: "a", Role: RoleReplica, Position: harness.now})
	harness.want(actions, Attempt{Request: 1, Host: "a"})
}

// Writes that never ran, or whose outcome is unknown, must not leave sessions in the table for good.
func TestSessionTableIsBounded(t *testing.T) {
	harness := newHarness(t, nil)
	harness.listGroup()
	for id := range uint64(50) {
		harness.request(id, classUnsafeWrite, fmt.Sprint("s", id))
		result := AttemptResult{
			Request: id, Host: "p", RequestDone: true, Role: RolePrimary, Position: harness.now,
		}
		if id%3 == 0 { // its outcome is unknown
			result.Outcome, result.RequestDone = OutcomeError, false
		}
		harness.step(ms, result)
	}
	for range 40 {
		harness.step(time.Second)
	}
	if entries := len(harness.router.sessions) + len(harness.router.requests); entries > 0 {
		t.Fatalf("%d entries left", entries)
	}
}

// Another process of the gateway may have answered a write of any session: while it runs, and for what it did until
// it ended, no replica counts as up to date that has not reported a position since.
func TestSiblingProcessMakesSessionsCountAsHavingWritten(t *testing.T) {
	harness := newHarness(t, noHealthChecks)
	harness.listGroup()
	harness.catchUp()
	id := uint64(0)
	read := func() string {
		id++
		request := newRequest(id, classSession, time.Second)
		request.Session = "s"
		host := harness.attemptedHost(harness.step(ms, request))
		harness.step(ms, AttemptResult{Request: id, Host: host, RequestDone: true, Role: RoleUnknown})
		return host
	}
	if host := read(); host == "p" {
		t.Fatalf("a clean session's read goes to %s", host)
	}
	harness.step(ms, SiblingProcess{Running: true})
	if host := read(); host != "p" {
		t.Errorf("while another process runs it goes to %s", host)
	}
	harness.step(ms, SiblingProcess{Running: false})
	if host := read(); host != "p" {
		t.Errorf("just after that process has ended it goes to %s", host)
	}
	harness.step(ms, HealthCheckResult{Host: "a", Role: RoleReplica, Position: harness.now})
	if host := read(); host != "a" {
		t.Errorf("once a replica has reached that position it goes to %s", host)
	}
}
