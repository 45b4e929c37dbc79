package routing

import (
	"testing"
	"time"
)

// While members of a group were cold, less was let through to it, so it answered less, so it was taken to be able to do
// less, so less was let through: on the bench a group of warm and nearly warm members got half of its traffic in the end.
func TestWhatAColdGroupAnswersIsNotWhatItCanDo(t *testing.T) {
	g := newHarness(t, nil)
	g.listGroup()
	g.catchUp()
	id := uint64(0)
	second := func(n int) {
		for range n {
			id++
			for _, a := range g.request(id, classAny, "") {
				if a, ok := a.(Attempt); ok {
					g.step(ms, AttemptResult{Request: id, Host: a.Host, RequestDone: true, Role: RoleReplica})
				}
			}
			g.step(time.Second/time.Duration(n) - 2*ms)
		}
	}
	for range 5 {
		second(100)
	}
	warm := g.router.slowStartRate(g.router.hosts["a"])
	g.step(ms, EndpointUpdate{Endpoints: []Endpoint{{ID: "b", Group: 1, State: StateReady, StartedAt: g.now - 12*time.Second}}})
	second(10)
	if now := g.router.slowStartRate(g.router.hosts["a"]); now < warm*0.98 {
		t.Errorf("pace %v, and %v after a second with little let through", warm, now)
	}
	for range 20 { // warm again: now it is the traffic that has gone down
		second(10)
	}
	if now := g.router.slowStartRate(g.router.hosts["a"]); now > warm*0.8 {
		t.Errorf("pace %v, and %v after a long calm", warm, now)
	}
}
