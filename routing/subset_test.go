package routing

import (
	"fmt"
	"testing"
	"time"

	"merlinjunction/fleet"
)

// crowd is a group of a primary and replicas that have told their position, and routers that keep to two each.
func newSubsetHarness(t *testing.T, index int, change func(*Settings)) *harness {
	t.Helper()
	g := newHarness(t, func(s *Settings) {
		s.GatewayCount, s.GatewayNumber, s.SubsetSize = 8, index, 2
		if change != nil {
			change(s)
		}
	})
	var list []Endpoint
	for i := range 7 {
		list = append(list, Endpoint{ID: fmt.Sprintf("m%d", i), State: StateReady})
	}
	g.step(0, EndpointUpdate{Full: true, Endpoints: list})
	g.step(0, HealthCheckResult{Host: "m0", Outcome: OutcomeOK, Role: RolePrimary, Position: g.now - positionEpoch(g)})
	for i := range 7 {
		g.step(0, HealthCheckResult{Host: fmt.Sprintf("m%d", i), Outcome: OutcomeOK, Position: g.now - positionEpoch(g)})
	}
	return g
}

func positionEpoch(g *harness) time.Duration { return g.router.settings.PositionEpoch }

// spreadOf sends reads that any member may answer, one after another, and tells who got how many.
func readsByHost(g *harness, from uint64, n int) map[string]int {
	got := map[string]int{}
	for i := range uint64(n) {
		acts := g.step(time.Millisecond, Request{ID: from + i, Class: 0, Tenant: -1, TimeLeft: time.Second})
		for _, to := range attemptedHosts(acts) {
			got[to]++
			g.step(time.Millisecond, AttemptResult{Request: from + i, Host: to, Outcome: OutcomeOK, RequestDone: true, Position: g.now - positionEpoch(g)})
		}
	}
	return got
}

func relaxFirstClass(s *Settings) {
	s.Classes[0].Consistency, s.Classes[0].MaxStaleness, s.Classes[0].LateWeightShare = ConsistencyAny, 0, 1
}

// Eight routers of which each knows its number keep to two replicas each, at random among them; together they use all.
func TestGatewaysKeepToTheirSubsets(t *testing.T) {
	all := map[string]int{}
	for index := 1; index <= 8; index++ {
		got := readsByHost(newSubsetHarness(t, index, relaxFirstClass), 100, 40)
		if len(got) != 2 {
			t.Errorf("router %d used %v", index, got)
		}
		for id, n := range got {
			all[id]++
			if n < 8 {
				t.Errorf("router %d: %d of 40 at %s", index, n, id)
			}
		}
	}
	if len(all) < 6 {
		t.Errorf("together they used %v", all)
	}
	if got := readsByHost(newSubsetHarness(t, 0, relaxFirstClass), 100, 60); len(got) < 6 {
		t.Errorf("one that doesn't know its number keeps to %v", got)
	}
}

// A member of the subset that takes no connection, or drains, is replaced at once; nothing waits or is refused for it.
func TestASubsetWidensAtOnce(t *testing.T) {
	g := newSubsetHarness(t, 3, relaxFirstClass)
	var mine []string
	for id := range readsByHost(g, 100, 40) {
		mine = append(mine, id)
	}
	acts := g.step(time.Millisecond, Request{ID: 500, Class: 0, Tenant: -1, TimeLeft: time.Second})
	first := attemptedHosts(acts)[0]
	again := attemptedHosts(g.step(time.Millisecond, AttemptResult{Request: 500, Host: first, Outcome: OutcomeNoConnection}))
	if len(again) != 1 || again[0] == first {
		t.Fatalf("after a refused connection: %v", again)
	}
	g.step(time.Millisecond, AttemptResult{Request: 500, Attempt: 1, Host: again[0], Outcome: OutcomeOK, RequestDone: true})
	if got := readsByHost(g, 600, 20); len(got) != 2 || got[first] > 0 {
		t.Errorf("while %s is down: %v", first, got)
	}
	g.step(0, EndpointUpdate{Endpoints: []Endpoint{{ID: mine[0], State: StateDraining}, {ID: mine[1], State: StateDraining}}})
	if got := readsByHost(g, 700, 20); len(got) != 2 || got[mine[0]]+got[mine[1]] > 0 {
		t.Errorf("while both drain: %v", got)
	}
}

// A new view of the gateways changes the subset; one that says nothing new doesn't.
func TestRosterChangesTheSubset(t *testing.T) {
	g := newSubsetHarness(t, 0, relaxFirstClass)
	names := func(n int) (list []fleet.Gateway) {
		for i := range n {
			list = append(list, fleet.Gateway{Name: fmt.Sprintf("g%d", i)})
		}
		return list
	}
	changes := 0
	var last map[string]int
	for n := 3; n < 12; n++ {
		g.step(0, RosterUpdate{fleet.NewNamedRoster(fleet.Gateway{Name: "g1"}, names(n))})
		got := readsByHost(g, uint64(1000*n), 30)
		if len(got) < 2 || len(got) > 3 { // what was used before stays for a while only where it was needed
			t.Errorf("%d gateways: %v", n, got)
		}
		for id := range got {
			if last != nil && last[id] == 0 {
				changes++
				break
			}
		}
		last = got
	}
	if changes > 4 {
		t.Errorf("%d of 8 joins changed the subset", changes)
	}
}

// Reads ask replicas of the subset where they stand, and new members are not asked by everybody at once.
func TestOnlyTheSubsetGetsHealthChecks(t *testing.T) {
	g := newSubsetHarness(t, 2, func(s *Settings) { s.StalenessCheck, s.HealthChecksAllowed = StalenessCheckNone, true })
	asked := map[string]bool{}
	step := func(events ...Event) (acts []Action) {
		g.now += 50 * time.Millisecond
		for _, a := range g.router.Step(g.now, events) {
			if p, ok := a.(HealthCheck); ok {
				asked[p.Host] = true
				acts = append(acts, g.router.Step(g.now, []Event{HealthCheckResult{Host: p.Host, Outcome: OutcomeOK, Role: RoleReplica, Position: g.now - positionEpoch(g)}})...)
			}
			acts = append(acts, a)
		}
		return acts
	}
	for i := range uint64(30) {
		for _, to := range attemptedHosts(step(Request{ID: 100 + i, Class: classBounded, Tenant: -1, TimeLeft: time.Second})) {
			step(AttemptResult{Request: 100 + i, Host: to, Outcome: OutcomeOK, RequestDone: true})
		}
	}
	if len(asked) == 0 || len(asked) > 3 {
		t.Errorf("asked %v", asked)
	}
	clear(asked)
	step(EndpointUpdate{Endpoints: []Endpoint{{ID: "new", State: StateReady}}})
	if len(asked) > 0 {
		t.Error("a new member is asked by everybody")
	}
}
