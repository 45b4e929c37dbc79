package decide

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
		g := newRig(t, nil)
		g.group()
		g.step(ms, List{At: max(1, g.now-c.told), Members: []Member{{ID: "p", Group: 1, State: Draining}}})
		used := false
		for _, a := range g.ask(1, clsKeyed, "s") {
			at, ok := a.(Attempt)
			used = used || ok && at.Member == "p"
		}
		if used != c.used {
			t.Errorf("told %v before: a write goes to the draining primary: %v, want %v (grace 250 ms)", c.told, used, c.used)
		}
	}
}
