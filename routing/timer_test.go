package routing

import (
	"testing"
	"time"
)

// Hundreds of routers that wake for nothing cost more than their traffic: one that holds nothing sleeps, one that
// waits for an answer wakes when it is overdue and not before.
func TestIdleRouterSetsNoTimer(t *testing.T) {
	g := newHarness(t, nil)
	g.listGroup()
	wakes := func(events ...Event) (in []time.Duration) {
		g.now += ms
		for _, a := range g.router.Step(g.now, events) {
			if w, ok := a.(SetTimer); ok {
				in = append(in, w.After)
			}
		}
		return in
	}
	for range 50 {
		if w := wakes(); len(w) > 0 {
			t.Fatalf("an idle router asks to be woken in %v", w)
		}
	}
	w := wakes(Request{ID: 1, Class: classAny, Tenant: -1, Group: 1, TimeLeft: 2 * time.Second})
	if len(w) != 1 || w[0] < 100*ms {
		t.Fatalf("with one attempt out it asks to be woken in %v", w)
	}
	if w = wakes(); len(w) > 0 {
		t.Fatalf("it asks again, in %v", w)
	}
}
