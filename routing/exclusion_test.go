package routing

import (
	"fmt"
	"testing"
	"time"
)

// A new list, a restart or the end of a drain must not bring back a host that operators have excluded. A
// single IncludeHost must bring it back, however often it was excluded.
func TestExclusionOverridesTheListUntilTheHostIsIncluded(t *testing.T) {
	harness := newHarness(t, nil)
	harness.listGroup()
	harness.catchUp()
	harness.step(ms, ExcludeHost{Host: "a"}, ExcludeHost{Host: "new"})
	harness.step(ms, ExcludeHost{Host: "a"})
	for i, update := range []EndpointUpdate{
		{Endpoints: []Endpoint{{ID: "a", Group: 1, State: StateDraining}, {ID: "new", Group: 1, State: StateReady}}},
		{Endpoints: []Endpoint{{ID: "a", Group: 1, State: StateGone}}},
		{Endpoints: []Endpoint{{ID: "a", Group: 1, State: StateReady, StartedAt: harness.now}}},
	} {
		harness.step(40*time.Second, update) // longer than goneHostRetention
		harness.step(ms, HealthCheckResult{Host: "a", Role: RoleReplica, Position: harness.now})
		for read := range uint64(40) {
			if host := harness.read(uint64(i)*100 + read); host == "a" || host == "new" || host == "" {
				t.Fatalf("after update %d, read %d went to %q, want a host that isn't excluded", i, read, host)
			}
		}
	}
	router := harness.router
	if unavailable := router.UnavailableHosts(harness.now); unavailable != 2 {
		t.Errorf("%d hosts are unavailable, want 2", unavailable)
	}
	excluded := router.hosts["a"]
	excluded.recentFailures, excluded.unresponsive, excluded.ejectedUntil = 6, true, harness.now+time.Hour
	harness.step(ms, IncludeHost{Host: "a"})
	reads := map[string]int{}
	for read := range uint64(400) {
		harness.step(ms)
		reads[harness.read(1000+read)]++
	}
	if reads["a"] == 0 || reads["new"] > 0 || router.UnavailableHosts(harness.now) != 1 {
		t.Errorf("after a was included: reads %v, want some at a and none at new; %d hosts unavailable, want 1",
			reads, router.UnavailableHosts(harness.now))
	}
}

// From its exclusion on, a host counts as draining. No other host can replace a primary at once, so it stays
// in service during the drain grace period, unless an earlier process received the command and the period is
// over.
func TestExcludedPrimaryHasTheDrainGracePeriod(t *testing.T) {
	for _, test := range []struct {
		excludedBefore time.Duration // age of the exclusion
		inService      bool
	}{{0, true}, {time.Second, false}} {
		t.Run(fmt.Sprint("excluded for ", test.excludedBefore), func(t *testing.T) {
			harness := newHarness(t, nil)
			harness.listGroup()
			harness.catchUp()
			since := harness.now + 10*time.Second - test.excludedBefore
			harness.step(10*time.Second, ExcludeHost{Host: "p", Since: since})
			for _, elapsed := range []time.Duration{ms, 300 * ms} {
				harness.step(elapsed)
				inService := harness.router.inService(harness.router.hosts["p"])
				if inService != (test.inService && elapsed == ms) {
					t.Errorf("after another %v, excluded primary in service: %v, want %v", elapsed, inService, !inService)
				}
			}
		})
	}
}
