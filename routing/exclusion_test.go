package routing

import (
	"testing"
	"time"
)

// A list, a restart or a drain that ends must not bring a member back that operators have taken out; one call back must.
func TestExclusionOverrulesTheListUntilOneInclude(t *testing.T) {
	g := newHarness(t, nil)
	g.listGroup()
	g.catchUp()
	g.step(ms, ExcludeHost{Host: "a"}, ExcludeHost{Host: "new"})
	g.step(ms, ExcludeHost{Host: "a"})
	for i, e := range []EndpointUpdate{
		{Endpoints: []Endpoint{{ID: "a", Group: 1, State: StateDraining}, {ID: "new", Group: 1, State: StateReady}}},
		{Endpoints: []Endpoint{{ID: "a", Group: 1, State: StateGone}}},
		{Endpoints: []Endpoint{{ID: "a", Group: 1, State: StateReady, StartedAt: g.now}}},
	} {
		g.step(40*time.Second, e) // longer than a member that is gone is kept
		g.step(ms, HealthCheckResult{Host: "a", Role: RoleReplica, Position: g.now})
		for n := range uint64(40) {
			if m := g.read(uint64(i)*100 + n); m == "a" || m == "new" || m == "" {
				t.Fatalf("after list %d read %d went to %q", i, n, m)
			}
		}
	}
	if n := g.router.UnavailableHosts(g.now); n != 2 {
		t.Errorf("%d members are said to be avoided", n)
	}
	g.router.hosts["a"].strikes, g.router.hosts["a"].unresponsive, g.router.hosts["a"].ejectedUntil = 6, true, g.now+time.Hour
	g.step(ms, IncludeHost{Host: "a"})
	seen := map[string]int{}
	for n := range uint64(400) {
		g.step(ms)
		seen[g.read(1000+n)]++
	}
	if seen["a"] == 0 || seen["new"] > 0 || g.router.UnavailableHosts(g.now) != 1 {
		t.Errorf("after the include: %v, %d avoided", seen, g.router.UnavailableHosts(g.now))
	}
}

// The rule on drains holds from the ban on: a primary, which nobody can stand in for at once, is used while the grace
// lasts, and no longer where it was banned by an earlier process.
func TestExcludedPrimaryHasTheDrainGracePeriod(t *testing.T) {
	for _, c := range []struct {
		ago  time.Duration
		want bool
	}{{0, true}, {time.Second, false}} {
		g := newHarness(t, nil)
		g.listGroup()
		g.catchUp()
		g.step(10*time.Second, ExcludeHost{Host: "p", Since: g.now + 10*time.Second - c.ago})
		for _, passed := range []time.Duration{ms, 300 * ms} {
			g.step(passed)
			if got := g.router.inService(g.router.hosts["p"]); got != (c.want && passed == ms) {
				t.Errorf("banned %v ago, %v later: %v", c.ago, passed, got)
			}
		}
	}
}
