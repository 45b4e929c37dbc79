package routing

import (
	"testing"
	"time"
)

// named lists a group whose third member the list names as primary.
func newListedPrimaryHarness(t *testing.T, change func(*Settings)) *harness {
	g := newHarness(t, change)
	g.step(0, EndpointUpdate{Full: true, Endpoints: []Endpoint{
		{ID: "a", Group: 1, State: StateReady}, {ID: "b", Group: 1, State: StateReady}, {ID: "c", Group: 1, State: StateReady, Primary: true},
	}})
	return g
}

// The first list's word is taken: the first writes go to the member that it names, each of them.
func TestFirstWritesGoToTheListedPrimary(t *testing.T) {
	g := newListedPrimaryHarness(t, nil)
	for id := uint64(1); id <= 3; id++ {
		if to := attemptedHosts(g.step(ms, writeRequest(id))); len(to) != 1 || to[0] != "c" {
			t.Errorf("write %d goes to %v", id, to)
		}
	}
}

// Where the member that is named says that it is none, the others are tried, until the list names another.
func TestListedPrimaryThatIsReplicaIsDropped(t *testing.T) {
	g := newListedPrimaryHarness(t, nil)
	g.step(ms, writeRequest(1))
	if to := attemptedHosts(g.step(ms, AttemptResult{Request: 1, Attempt: 0, Host: "c", Outcome: OutcomeMisdirected, Role: RoleReplica})); len(to) != 1 || to[0] == "c" {
		t.Errorf("after its miss the write goes to %v", to)
	}
	g.step(ms, EndpointUpdate{Endpoints: []Endpoint{{ID: "b", Group: 1, State: StateReady, Primary: true}}})
	if to := attemptedHosts(g.step(ms, writeRequest(2))); len(to) != 1 || to[0] != "b" {
		t.Errorf("once another is named a write goes to %v", to)
	}
}

// What answers as primary goes before what the list names: the list is late.
func TestAnswerAsPrimaryOverrulesTheList(t *testing.T) {
	g := newListedPrimaryHarness(t, nil)
	g.step(ms, writeRequest(1))
	g.step(ms, AttemptResult{Request: 1, Attempt: 0, Host: "c", Outcome: OutcomeOK, Role: RolePrimary, RequestDone: true})
	g.step(ms, EndpointUpdate{Endpoints: []Endpoint{{ID: "a", Group: 1, State: StateReady, Primary: true}}})
	if to := attemptedHosts(g.step(ms, writeRequest(2))); len(to) != 1 || to[0] != "c" {
		t.Errorf("a write goes to %v", to)
	}
}

// A read never goes by the list's word: session reads that need the primary wait or go elsewhere by proof.
func TestReadsDontGoToTheListedPrimary(t *testing.T) {
	g := newListedPrimaryHarness(t, func(s *Settings) { s.StalenessCheck = StalenessCheckNone; s.HealthChecksAllowed = false })
	if to := attemptedHosts(g.step(ms, Request{ID: 1, Class: classStrong, Tenant: -1, Group: 1, TimeLeft: 2 * time.Second})); len(to) > 0 {
		t.Errorf("a fresh read goes to %v, which has proved nothing", to)
	}
}

func TestDemotedReplicaGetsNoBoundedReadWhereNoneChecks(t *testing.T) {
	g := newHarness(t, func(s *Settings) { s.StalenessCheck = StalenessCheckNone })
	g.listGroup()
	g.request(1, classKeyedWrite, "s")
	g.step(300*ms, AttemptResult{Request: 1, Host: "p", Outcome: OutcomeMisdirected, Role: RoleReplica})
	for _, a := range g.request(2, classBounded, "") {
		if at, ok := a.(Attempt); ok && at.Request == 2 {
			t.Fatalf("no member is fresh enough or primary, but the read went to %s", at.Host)
		}
	}
	// A report from before the demotion must not make it primary again.
	g.step(ms, HealthCheckResult{Host: "p", Role: RolePrimary, Position: g.now - 100*ms})
	for _, a := range g.request(3, classStrong, "") {
		if at, ok := a.(Attempt); ok && at.Request == 3 {
			t.Fatalf("went to %s on an old report", at.Host)
		}
	}
}

// A primary that takes work and answers nothing must not keep the group waiting for it: what may be repeated is
// called off, and the other members are tried.
func TestHungPrimaryDoesNotEatEveryAttempt(t *testing.T) {
	g := newHarness(t, func(s *Settings) { s.Classes[classKeyedWrite].DedupWindow = 10 * time.Second })
	g.listGroup()
	if m := g.attemptedHost(g.step(ms, Request{ID: 1, Class: classKeyedWrite, Tenant: -1, Group: 1, TimeLeft: 5 * time.Second})); m != "p" {
		t.Fatalf("went to %s", m)
	}
	for n, want := range []string{"p", "another"} { // one overdue answer may be lost; a second is silence
		var got []Action
		for i := 0; len(got) == 0 && i < 400; i++ {
			got = g.step(10 * ms)
		}
		g.want(got, CancelAttempt{1, n})
		m := g.attemptedHost(g.step(ms, AttemptResult{Request: 1, Attempt: n, Host: "p", Outcome: OutcomeCancelled}))
		if (m == "p") != (want == "p") {
			t.Fatalf("after %d overdue answers the write went to %s", n+1, m)
		}
	}
}
