package routing

import (
	"testing"
	"time"
)

// Needless Steps of hundreds of Routers would cost more than their traffic. A Router that has nothing to do
// must set no timer, and one that waits for an answer must set a single timer for when the answer becomes
// overdue.
func TestIdleRouterSetsNoTimer(t *testing.T) {
	harness := newHarness(t, nil)
	harness.listGroup()
	timers := func(events ...Event) []time.Duration {
		harness.now += ms
		var timers []time.Duration
		for _, action := range harness.router.Step(harness.now, events) {
			if timer, ok := action.(SetTimer); ok {
				timers = append(timers, timer.After)
			}
		}
		return timers
	}
	for range 50 {
		if set := timers(); len(set) > 0 {
			t.Fatalf("an idle Router set timers %v, want none", set)
		}
	}
	set := timers(newRequest(1, classAny, 2*time.Second))
	if len(set) != 1 || set[0] < 100*ms {
		t.Fatalf("with one open attempt the Router set timers %v, want one of at least 100 ms", set)
	}
	if set = timers(); len(set) > 0 {
		t.Fatalf("the Router set timers %v although one was pending, want none", set)
	}
}
