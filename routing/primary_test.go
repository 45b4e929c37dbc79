package routing

import (
	"testing"
	"time"
)

// newListedPrimaryHarness lists a group whose third host the list names as primary.
func newListedPrimaryHarness(t *testing.T, change func(*Settings)) *harness {
	t.Helper()
	harness := newHarness(t, change)
	harness.list(
		Endpoint{ID: "a", Group: 1, State: StateReady},
		Endpoint{ID: "b", Group: 1, State: StateReady},
		Endpoint{ID: "c", Group: 1, State: StateReady, Primary: true},
	)
	return harness
}

// listPrimary has the list name a host as primary.
func (h *harness) listPrimary(id string) {
	h.update(Endpoint{ID: id, Group: 1, State: StateReady, Primary: true})
}

// The first writes go to the host that the list names as primary, each of them.
func TestFirstWritesGoToTheListedPrimary(t *testing.T) {
	harness := newListedPrimaryHarness(t, nil)
	for id := uint64(1); id <= 3; id++ {
		if hosts := attemptedHosts(harness.step(ms, writeRequest(id))); len(hosts) != 1 || hosts[0] != "c" {
			t.Errorf("write %d goes to %v", id, hosts)
		}
	}
}

// Where the listed primary answers as a replica, the other hosts are tried, until the list names another.
func TestListedPrimaryThatIsReplicaIsDropped(t *testing.T) {
	harness := newListedPrimaryHarness(t, nil)
	harness.step(ms, writeRequest(1))
	hosts := attemptedHosts(harness.step(ms,
		AttemptResult{Request: 1, Host: "c", Outcome: OutcomeMisdirected, Role: RoleReplica}))
	if len(hosts) != 1 || hosts[0] == "c" {
		t.Errorf("a misdirected write goes to %v", hosts)
	}
	harness.listPrimary("b")
	if hosts := attemptedHosts(harness.step(ms, writeRequest(2))); len(hosts) != 1 || hosts[0] != "b" {
		t.Errorf("once another is listed a write goes to %v", hosts)
	}
}

// The host that answers as primary goes before the one that the list names: the list is late.
func TestAnswerAsPrimaryOverrulesTheList(t *testing.T) {
	harness := newListedPrimaryHarness(t, nil)
	harness.step(ms, writeRequest(1))
	harness.step(ms,
		AttemptResult{Request: 1, Host: "c", Outcome: OutcomeOK, Role: RolePrimary, RequestDone: true})
	harness.listPrimary("a")
	if hosts := attemptedHosts(harness.step(ms, writeRequest(2))); len(hosts) != 1 || hosts[0] != "c" {
		t.Errorf("a write goes to %v", hosts)
	}
}

// A read never goes to the listed primary for being listed: one that needs the primary waits for an answer as such.
func TestReadsDontGoToTheListedPrimary(t *testing.T) {
	harness := newListedPrimaryHarness(t, noHealthChecks)
	hosts := attemptedHosts(harness.step(ms, newRequest(1, classStrong, 2*time.Second)))
	if len(hosts) > 0 {
		t.Errorf("a read of strong consistency goes to %v, which has proved nothing", hosts)
	}
}

func TestDemotedReplicaGetsNoBoundedReadWhereNoneChecks(t *testing.T) {
	harness := newHarness(t, func(s *Settings) { s.StalenessCheck = StalenessCheckNone })
	harness.listGroup()
	harness.request(1, classKeyedWrite, "s")
	harness.step(300*ms, AttemptResult{Request: 1, Host: "p", Outcome: OutcomeMisdirected, Role: RoleReplica})
	for _, action := range harness.request(2, classBounded, "") {
		if attempt, ok := action.(Attempt); ok && attempt.Request == 2 {
			t.Fatalf("no host is up to date or primary, but the read went to %s", attempt.Host)
		}
	}
	// A report from before the demotion must not make it primary again.
	harness.step(ms, HealthCheckResult{Host: "p", Role: RolePrimary, Position: harness.now - 100*ms})
	for _, action := range harness.request(3, classStrong, "") {
		if attempt, ok := action.(Attempt); ok && attempt.Request == 3 {
			t.Fatalf("went to %s on an old report", attempt.Host)
		}
	}
}

// A primary that accepts requests and answers nothing must not keep the group waiting for it: what may be retried is
// cancelled, and the other hosts are tried.
func TestHungPrimaryDoesNotEatEveryAttempt(t *testing.T) {
	harness := newHarness(t, func(s *Settings) { s.Classes[classKeyedWrite].DedupWindow = 10 * time.Second })
	harness.listGroup()
	first := newRequest(1, classKeyedWrite, 5*time.Second)
	if host := harness.attemptedHost(harness.step(ms, first)); host != "p" {
		t.Fatalf("went to %s", host)
	}
	// A single overdue answer may be lost on the way; with the second the primary is unresponsive.
	for attempt, staysAtPrimary := range []bool{true, false} {
		var actions []Action
		for i := 0; len(actions) == 0 && i < 400; i++ {
			actions = harness.step(10 * ms)
		}
		harness.want(actions, CancelAttempt{1, attempt})
		host := harness.attemptedHost(harness.step(ms,
			AttemptResult{Request: 1, Attempt: attempt, Host: "p", Outcome: OutcomeCancelled}))
		if (host == "p") != staysAtPrimary {
			t.Fatalf("after %d overdue answers the write went to %s", attempt+1, host)
		}
	}
}
