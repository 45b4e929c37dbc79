package routing

import "testing"

// On the bench slow clients took seconds for answers of megabytes: these held their members' places, and four in ten
// requests beside them were refused. What has begun is not judged by its length, sent again or called off.
func TestAnAnswerThatHasBegunHoldsNothingUp(t *testing.T) {
	g := newRig(t, nil)
	g.group()
	g.level()
	for id := range uint64(40) {
		m := g.sent(g.ask(id, clsAny, ""))
		g.step(ms, StreamStarted{Request: id})
		g.step(ms, HealthCheckResult{Host: m, Role: RoleReplica, Position: g.now})
	}
	for range 100 {
		if a := g.step(100 * ms); len(a) > 0 {
			t.Fatalf("what has begun leads to %v", a)
		}
	}
	for _, m := range []string{"a", "b"} {
		if s := g.r.members[m].strikes; s > 0 {
			t.Errorf("%s has %v strikes", m, s)
		}
	}
	g.want(g.step(ms, AttemptResult{Request: 1, Host: g.r.requests[1].open.member.ID, Outcome: OutcomeConnectionLost, RequestDone: true}))
	if g.r.requests[1] != nil {
		t.Error("one that broke off is still there")
	}
}
