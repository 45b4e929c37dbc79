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

func writeRequest(id uint64) Request {
	return Request{ID: id, Class: classKeyedWrite, Tenant: -1, Group: 1, TimeLeft: 2 * time.Second}
}

func attemptedHosts(acts []Action) (to []string) {
	for _, a := range acts {
		if a, ok := a.(Attempt); ok {
			to = append(to, a.Host)
		}
	}
	return to
}

// The first list's word is taken: the first writes go to the member that it names, each of them.
func TestFirstWritesGoToTheNamed(t *testing.T) {
	g := newListedPrimaryHarness(t, nil)
	for id := uint64(1); id <= 3; id++ {
		if to := attemptedHosts(g.step(ms, writeRequest(id))); len(to) != 1 || to[0] != "c" {
			t.Errorf("write %d goes to %v", id, to)
		}
	}
}

// Where the member that is named says that it is none, the others are tried, until the list names another.
func TestNamedIsNone(t *testing.T) {
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
func TestAnswerBeforeList(t *testing.T) {
	g := newListedPrimaryHarness(t, nil)
	g.step(ms, writeRequest(1))
	g.step(ms, AttemptResult{Request: 1, Attempt: 0, Host: "c", Outcome: OutcomeOK, Role: RolePrimary, RequestDone: true})
	g.step(ms, EndpointUpdate{Endpoints: []Endpoint{{ID: "a", Group: 1, State: StateReady, Primary: true}}})
	if to := attemptedHosts(g.step(ms, writeRequest(2))); len(to) != 1 || to[0] != "c" {
		t.Errorf("a write goes to %v", to)
	}
}

// A cold member that is named gets writes by its warmth, and those that it can't take don't go astray.
func TestNamedAndCold(t *testing.T) {
	g := newHarness(t, func(s *Settings) { s.GatewayCount = 300 })
	g.step(0, EndpointUpdate{Full: true, Endpoints: []Endpoint{
		{ID: "a", Group: 1, State: StateReady}, {ID: "b", Group: 1, State: StateReady}, {ID: "d", Group: 1, State: StateReady}, {ID: "e", Group: 1, State: StateReady},
		{ID: "c", Group: 1, State: StateReady, Primary: true, StartedAt: g.now},
	}})
	sent, astray := 0, 0
	for id := uint64(1); id <= 200; id++ {
		for _, to := range attemptedHosts(g.step(10*ms, writeRequest(id))) {
			if sent++; to != "c" {
				astray++
			}
			g.step(ms, AttemptResult{Request: id, Attempt: 0, Host: to, Outcome: OutcomeRejected})
		}
	}
	if astray > 0 || sent == 0 || sent == 200 {
		t.Errorf("%d of 200 writes were sent, %d astray", sent, astray)
	}
}

// A read never goes by the list's word: session reads that need the primary wait or go elsewhere by proof.
func TestReadsDontGoByTheList(t *testing.T) {
	g := newListedPrimaryHarness(t, func(s *Settings) { s.StalenessCheck = StalenessCheckNone; s.HealthChecksAllowed = false })
	if to := attemptedHosts(g.step(ms, Request{ID: 1, Class: classStrong, Tenant: -1, Group: 1, TimeLeft: 2 * time.Second})); len(to) > 0 {
		t.Errorf("a fresh read goes to %v, which has proved nothing", to)
	}
}
