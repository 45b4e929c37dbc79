package routing

import (
	"testing"
	"time"
)

// A drain that counts as told since some time ends the use of a primary that long sooner.
func TestADrainingPrimaryIsUsedForTheGraceSinceItWasTold(t *testing.T) {
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

// A request waits in the module as no member may be used, and its client leaves: a member that comes is not sent it.
func TestWhoHasLeftIsNotSentWhenAMemberComes(t *testing.T) {
	for _, left := range []bool{true, false} {
		g := newHarness(t, nil)
		g.step(ms, EndpointUpdate{Full: true, Endpoints: []Endpoint{{ID: "a", Group: 1, State: StateDraining}}})
		g.want(g.request(1, classAny, ""))
		if left {
			g.want(g.step(ms, ClientGone{Request: 1}))
		}
		acts := g.step(ms, EndpointUpdate{Endpoints: []Endpoint{{ID: "a", Group: 1, State: StateReady}}})
		if sent := len(acts) == 1; sent == left {
			t.Errorf("left %v: %v", left, acts)
		}
	}
}
