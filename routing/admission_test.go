package routing

import (
	"testing"
	"time"
)

// Routers with a request now and then reach no limit of open attempts: late answers must make each let less through,
// what is worth least for its time first, and answers in time must open the gate again.
func TestLateAnswersShedLoadOfSmallGateways(t *testing.T) {
	g := newHarness(t, func(s *Settings) { s.Classes[classBounded].PriorityWeight = 0.2 })
	g.listGroup()
	id := uint64(0)
	sent := func(class int, takes time.Duration, n int) (sent int) {
		for range n {
			id++
			for _, a := range g.request(id, class, "") {
				if at, ok := a.(Attempt); ok && at.Request == id {
					sent++
					g.step(takes, AttemptResult{Request: id, Host: at.Host, RequestDone: true, Role: RoleReplica})
				}
			}
		}
		return sent
	}
	sent(classAny, 350*ms, 40)
	dear, cheap := sent(classAny, 350*ms, 60), sent(classBounded, 350*ms, 60)
	if dear > 50 || cheap >= dear {
		t.Errorf("of 60 each, %d of high and %d of low worth were sent while answers were late", dear, cheap)
	}
	sent(classAny, 10*ms, 200)
	if n := sent(classAny, 10*ms, 60); n < 55 {
		t.Errorf("%d of 60 sent after answers were in time again", n)
	}
}

// On a quiet day one answer in ten is late by chance: that must refuse nobody.
func TestSingleLateAnswersShedNothing(t *testing.T) {
	g := newHarness(t, nil)
	g.listGroup()
	for id := uint64(1); id <= 200; id++ {
		takes := 10 * ms
		if id%10 == 0 {
			takes = 350 * ms
		}
		m := g.attemptedHost(g.request(id, classAny, ""))
		g.step(takes, AttemptResult{Request: id, Host: m, RequestDone: true, Role: RoleReplica})
	}
}
