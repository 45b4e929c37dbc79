package routing

import (
	"fmt"
	"testing"
	"time"
)

func TestDrainingHostGetsNothingNew(t *testing.T) {
	g := newHarness(t, nil)
	g.listGroup()
	g.step(ms, EndpointUpdate{Endpoints: []Endpoint{{ID: "a", Group: 1, State: StateDraining}, {ID: "p", Group: 1, State: StateDraining}}})
	for id := uint64(1); id < 9; id++ {
		if m := g.attemptedHost(g.request(id, classAny, "")); m != "b" {
			t.Fatalf("went to %s", m)
		}
		g.step(ms, AttemptResult{Request: id, Host: "b", RequestDone: true})
	}
	if m := g.attemptedHost(g.request(20, classKeyedWrite, "s")); m != "p" {
		t.Fatalf("inside the grace the draining primary takes writes, but it went to %s", m)
	}
	g.step(ms, AttemptResult{Request: 20, Host: "p", RequestDone: true, Role: RolePrimary, Position: g.now})
	g.step(250 * ms)
	if m := g.attemptedHost(g.request(21, classKeyedWrite, "s")); m != "b" {
		t.Fatalf("past the grace it went to %s", m)
	}
}

// A drain that counts as told since some time ends the use of a primary that long sooner.
func TestDrainGracePeriodCountsFromNotification(t *testing.T) {
	for _, c := range []struct {
		told time.Duration // before the list came
		used bool
	}{{0, true}, {100 * ms, true}, {248 * ms, false}, {time.Hour, false}} {
		g := newHarness(t, nil)
		g.listGroup()
		g.step(ms, EndpointUpdate{NotifiedAt: max(1, g.now-c.told), Endpoints: []Endpoint{{ID: "p", Group: 1, State: StateDraining}}})
		used := false
		for _, a := range g.request(1, classKeyedWrite, "s") {
			at, ok := a.(Attempt)
			used = used || ok && at.Host == "p"
		}
		if used != c.used {
			t.Errorf("told %v before: a write goes to the draining primary: %v, want %v (grace 250 ms)", c.told, used, c.used)
		}
	}
}

func TestDrainWhileARequestWaits(t *testing.T) {
	g := newHarness(t, nil)
	g.step(0, EndpointUpdate{Full: true, Endpoints: []Endpoint{{ID: "a", Group: 1, State: StateReady}}})
	n := uint64(initialConcurrencyLimit)
	for id := uint64(1); id <= n+1; id++ {
		g.request(id, classAny, "")
	}
	g.want(g.step(ms, EndpointUpdate{Endpoints: []Endpoint{{ID: "a", Group: 1, State: StateDraining}}},
		AttemptResult{Request: 1, Host: "a", RequestDone: true, Role: RoleReplica}))
}

// A probe of each new member by each gateway is a connection and a probe for every pair of a fleet and its hosts.
func TestNewHostsGetHealthChecksOnlyWhereReplicasDoNotCheck(t *testing.T) {
	for check, want := range map[StalenessCheck]int{StalenessCheckNone: 2, StalenessCheckReject: 0, StalenessCheckWait: 0} {
		g, probes := newHarness(t, func(s *Settings) { s.StalenessCheck = check }), 0
		for _, a := range g.router.Step(g.now, []Event{EndpointUpdate{Full: true, Endpoints: []Endpoint{
			{ID: "a", Group: 1, State: StateReady}, {ID: "b", Group: 1, State: StateReady}}}}) {
			if _, ok := a.(HealthCheck); ok {
				probes++
			}
		}
		if probes != want {
			t.Errorf("check %v: %d probes", check, probes)
		}
	}
}

// What a list says may be empty, repeated, contradictory or large, and events may come late, twice or for nothing:
// none of it may panic, send past a drain or answer twice.
func TestContradictoryListsReportsAndClocks(t *testing.T) {
	g := newHarness(t, nil)
	g.step(0, EndpointUpdate{}, EndpointUpdate{Full: true}, EndpointUpdate{Failed: true})
	g.want(g.step(ms, Request{ID: 1, Class: classAny, Tenant: -1, Group: 1, TimeLeft: time.Second}))
	g.listGroup()
	twice := []Endpoint{
		{ID: "a", Group: 1, State: StateDraining}, {ID: "a", Group: 1, State: StateReady}, {ID: "a", Group: 9, State: StateGone},
		{ID: "b", Group: 1, State: StateGone}, {ID: "b", Group: 1, State: StateGone}, {ID: "new", Group: 1, State: StateGone},
	}
	g.step(ms, EndpointUpdate{Endpoints: twice})
	for id := uint64(10); id < 30; id++ {
		for _, a := range g.request(id, classAny, "") {
			if at, ok := a.(Attempt); ok && at.Host != "p" {
				t.Fatalf("went to %s after the list's last word on it was gone", at.Host)
			}
		}
	}
	var many []Endpoint
	for i := range 700 {
		many = append(many, Endpoint{ID: fmt.Sprint("m", i%600), Group: i % 90, State: EndpointState(i % 3)})
	}
	g.step(ms, EndpointUpdate{Full: true, Endpoints: many}, EndpointUpdate{Full: true, Endpoints: many})
	g.step(ms, HealthCheckResult{Host: "p", Role: RolePrimary, Position: -5}, HealthCheckResult{Host: "a", Role: Role(77), Position: 1 << 62})
}
