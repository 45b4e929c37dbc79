package routing

import (
	"testing"
	"time"
)

// Hundreds of Routers that are stepped for nothing cost more than their traffic: one that has nothing to do sets no
// timer, one that waits for an answer sets one for when it is overdue and not before.
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
			t.Fatalf("an idle Router sets timers: %v", set)
		}
	}
	set := timers(newRequest(1, classAny, 2*time.Second))
	if len(set) != 1 || set[0] < 100*ms {
		t.Fatalf("with one attempt open it sets timers: %v", set)
	}
	if set = timers(); len(set) > 0 {
		t.Fatalf("it sets another: %v", set)
	}
}
