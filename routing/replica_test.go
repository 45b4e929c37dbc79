package routing

import (
	"testing"
	"time"
)

func TestStaleReplicaGetsNoBoundedReadWhereNoneChecks(t *testing.T) {
	g := newHarness(t, func(s *Settings) { s.StalenessCheck, s.HealthChecksAllowed = StalenessCheckNone, false })
	g.listGroup()
	g.step(300 * ms)
	if m := g.attemptedHost(g.request(1, classBounded, "")); m != "p" {
		t.Fatalf("positions are 300 ms old, but the read went to %s", m)
	}
	if m := g.attemptedHost(g.request(2, classAny, "")); m == "p" {
		t.Fatal("an any-read went to the primary")
	}
}

func TestMisdirectedReadGoesToPrimary(t *testing.T) {
	g := newHarness(t, nil)
	g.listGroup()
	m := g.attemptedHost(g.request(1, classBounded, ""))
	if m = g.attemptedHost(g.step(ms, AttemptResult{Request: 1, Host: m, Outcome: OutcomeMisdirected, Role: RoleReplica})); m != "p" {
		t.Fatalf("a missed read went to %s", m)
	}
}

// What crosses zones costs: a replica of the own zone is picked more often, but never alone.
func TestOwnZoneIsFavoured(t *testing.T) {
	g := newHarness(t, func(s *Settings) { s.Zone = "here" })
	g.step(0, EndpointUpdate{Full: true, Endpoints: []Endpoint{
		{ID: "p", Group: 1, State: StateReady, Zone: "there"}, {ID: "a", Group: 1, State: StateReady, Zone: "here"},
		{ID: "b", Group: 1, State: StateReady, Zone: "there"},
	}})
	g.catchUp()
	n := map[string]int{}
	for id := uint64(1); id <= 500; id++ {
		m := g.attemptedHost(g.request(id, classAny, ""))
		n[m]++
		g.step(ms, AttemptResult{Request: id, Host: m, Outcome: OutcomeOK, Role: RoleReplica, RequestDone: true})
	}
	if n["a"] < 350 || n["b"] < 50 || n["a"]+n["b"] != 500 {
		t.Errorf("picked %v", n)
	}
}

// Replicas without room must not leave an idle primary unused, and a busy one must be spared.
func TestIdlePrimaryHelpsFullReplicas(t *testing.T) {
	g := newHarness(t, nil)
	g.listGroup()
	id := uint64(1)
	for ; id <= 2*uint64(initialConcurrencyLimit); id++ {
		if m := g.attemptedHost(g.request(id, classAny, "")); m == "p" {
			t.Fatal("a replica has room, but the read went to the primary")
		}
	}
	if m := g.attemptedHost(g.request(id, classAny, "")); m != "p" {
		t.Fatalf("went to %s", m)
	}
	g.want(g.request(id+1, classAny, ""))
}

// A group without a primary must not have each read knock at every replica: misses tip cold members too.
func TestMisdirectedReadWaitsForAPrimary(t *testing.T) {
	g := newHarness(t, nil)
	g.step(0, EndpointUpdate{Full: true, Endpoints: []Endpoint{
		{ID: "a", Group: 1, State: StateReady}, {ID: "b", Group: 1, State: StateReady}, {ID: "c", Group: 1, State: StateReady},
	}})
	m := g.attemptedHost(g.request(1, classBounded, ""))
	g.want(g.step(ms, AttemptResult{Request: 1, Host: m, Outcome: OutcomeMisdirected, Role: RoleReplica}))
}

// A router that seldom hears from replicas must not crowd the primary with reads: it asks a replica for its
// position first, and only if that is too old turns to the primary.
func TestBoundedReadAwaitsPositionWhereNoneChecks(t *testing.T) {
	for _, answers := range []bool{true, false} {
		g := newHarness(t, func(s *Settings) { s.StalenessCheck = StalenessCheckNone })
		g.listGroup()
		g.now += 300 * ms
		var asked []string
		probes := func(actions []Action) (kept []Action) {
			for _, a := range actions {
				switch a := a.(type) {
				case HealthCheck:
					asked = append(asked, a.Host)
				case Attempt:
					kept = append(kept, a)
				}
			}
			return kept
		}
		got := probes(g.router.Step(g.now, []Event{Request{ID: 1, Class: classBounded, Tenant: -1, Group: 1, TimeLeft: time.Second}}))
		for i := 0; len(got) == 0 && i < 10; i++ {
			g.now += ms
			p := HealthCheckResult{Host: asked[0], Role: RoleReplica, Position: g.now - 250*ms}
			if answers {
				p.Position = g.now - 50*ms
			}
			got = probes(g.router.Step(g.now, []Event{p}))
		}
		want := "p"
		if answers {
			want = asked[0]
		}
		if len(asked) != 1 || g.attemptedHost(got) != want {
			t.Fatalf("asked %v, then %v", asked, got)
		}
	}
}

// Where replicas check, a router that knows no positions must not send all its reads to one replica, and one that has
// turned a read away is left for the others only for a while.
func TestReadsSpreadOverReplicasOfUnknownPosition(t *testing.T) {
	g := newHarness(t, func(s *Settings) { s.HealthChecksAllowed = false })
	g.step(0, EndpointUpdate{Full: true, Endpoints: []Endpoint{
		{ID: "p", Group: 1, State: StateReady}, {ID: "a", Group: 1, State: StateReady}, {ID: "b", Group: 1, State: StateReady},
	}})
	g.router.observeRole(g.router.hosts["p"], RolePrimary)
	count := func(first uint64) map[string]int {
		n := map[string]int{}
		for id := first; id < first+40; id++ {
			m := g.attemptedHost(g.request(id, classBounded, ""))
			n[m]++
			g.step(ms, AttemptResult{Request: id, Host: m, RequestDone: true, Role: RoleReplica})
		}
		return n
	}
	if n := count(1); n["a"] < 8 || n["b"] < 8 || n["p"] > 0 {
		t.Fatalf("reads went to %v", n)
	}
	g.router.hosts["a"].lag, g.router.hosts["a"].lagKnownAt = time.Second, g.now
	if n := count(100); n["a"] > 0 {
		t.Fatalf("a is behind, but reads went to %v", n)
	}
	g.step(lagRetention)
	if n := count(200); n["a"] < 8 {
		t.Fatalf("a may have caught up, but reads went to %v", n)
	}
}
