package routing

import (
	"testing"
)

// On the bench aims were a third of the usual: a silent member's answers were overdue only after the clients' time.
func TestTimesFollowShortObjectives(t *testing.T) {
	g := newHarness(t, func(s *Settings) {
		for i := range s.Classes {
			s.Classes[i].LatencyObjective /= 4
		}
	})
	g.listGroup()
	g.router.latencies[classAny] = latencyEstimate{meanSeconds: 0.02, deviationSeconds: 0.002}
	g.request(1, classAny, "")
	for _, a := range g.step(minAttemptTimeout/2+ms, TimerFired{}) {
		if _, ok := a.(CancelAttempt); ok {
			return
		}
	}
	t.Error("an answer is not overdue after three quarters of its aim")
}

// An answer that is lost leaves its attempt open at a member that answers others: the attempt's own patience must
// end it, and the request go elsewhere while it is still worth something.
func TestLostAnswerIsNotWaitedForWhileItsHostAnswersOthers(t *testing.T) {
	g := newHarness(t, nil)
	g.listGroup()
	for id := uint64(100); id < 200; id++ { // the class's usual time
		g.step(20*ms, AttemptResult{Request: id, Host: g.attemptedHost(g.request(id, classAny, "")), RequestDone: true, Role: RoleReplica})
	}
	lost := g.attemptedHost(g.request(1, classAny, ""))
	for id := uint64(2); id < 50; id++ {
		for _, a := range g.request(id, classAny, "") {
			if a, ok := a.(Attempt); ok {
				for _, a := range g.step(10*ms, AttemptResult{Request: id, Host: a.Host, RequestDone: true, Role: RoleReplica}) {
					if a != (CancelAttempt{1, 0}) {
						t.Fatalf("want the lost attempt called off, got %#v", a)
					}
					if g.router.hosts[lost].unresponsive {
						t.Fatal("a member that answers others is taken to be silent")
					}
					if m := g.attemptedHost(g.step(ms, AttemptResult{Request: 1, Host: lost, Outcome: OutcomeCancelled})); m == lost {
						t.Fatal("the repeat went to the same member")
					}
					return
				}
			}
		}
	}
	t.Fatal("never called off")
}
