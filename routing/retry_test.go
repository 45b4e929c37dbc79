package routing

import (
	"testing"
	"time"
)

// On the bench requests were refused after more than half of their time that no host had ever seen.
func TestUnseenRequestIsRejectedByHalfOfItsTime(t *testing.T) {
	g := newHarness(t, nil)
	g.listGroup()
	g.step(0, EndpointUpdate{Full: true, Endpoints: []Endpoint{{ID: "p", Group: 1, State: StateDraining}, {ID: "a", Group: 1, State: StateDraining}}})
	g.now += time.Second // the grace is over
	if left := g.request(1, classKeyedWrite, "s"); len(left) > 0 {
		t.Fatalf("got %v", left)
	}
	for at := 10 * ms; at <= 2*time.Second; at += 10 * ms {
		if len(g.step(10*ms)) > 0 {
			if at >= time.Second || at < 900*ms {
				t.Errorf("refused after %v of 2 s", at)
			}
			return
		}
	}
	t.Error("never refused")
}

func TestNonIdempotentWriteIsNeverRetriedAfterDoubt(t *testing.T) {
	for _, o := range []Outcome{OutcomeError, OutcomeTimeout, OutcomeConnectionLost, OutcomeCancelled} {
		g := newHarness(t, nil)
		g.listGroup()
		g.request(1, classUnsafeWrite, "s")
		g.want(g.step(10*ms, AttemptResult{Request: 1, Host: "p", Outcome: o}), Fail{1})
	}
}

func TestNonIdempotentWriteIsRetriedAfterProof(t *testing.T) {
	g := newHarness(t, nil)
	g.listGroup()
	g.request(1, classUnsafeWrite, "s")
	g.want(g.step(ms, AttemptResult{Request: 1, Host: "p", Outcome: OutcomeRejected, Role: RolePrimary}))
	if m := g.attemptedHost(g.step(rejectionEjectionTime + waitingCheckInterval)); m != "p" {
		t.Fatalf("went to %s", m)
	}
}

func TestKeyedWriteStaysInsideItsDedupWindow(t *testing.T) {
	g := newHarness(t, nil)
	g.listGroup()
	g.request(1, classKeyedWrite, "s")
	if m := g.attemptedHost(g.step(10*ms, AttemptResult{Request: 1, Host: "p", Outcome: OutcomeError, Role: RolePrimary})); m != "p" {
		t.Fatalf("went to %s", m)
	}
	g.want(g.step(1200*ms, AttemptResult{Request: 1, Attempt: 1, Host: "p", Outcome: OutcomeError, Role: RolePrimary}), Fail{1})
}

func TestEveryRequestGetsOneAnswerAtOnceWhereNothingCanServe(t *testing.T) {
	g := newHarness(t, nil)
	g.want(g.step(0, Request{ID: 1, Class: classKeyedWrite, Group: 7, Tenant: -1}), Reject{1, 500 * ms})
	g.request(2, classUnsafeWrite, "s")
	answers := 0
	for range 400 {
		answers += len(g.step(10 * ms))
	}
	if answers != 1 {
		t.Fatalf("%d answers", answers)
	}
}

func TestTimeoutAtTheDeadlineIsAnsweredOnce(t *testing.T) {
	g := newHarness(t, nil)
	g.listGroup()
	g.request(1, classUnsafeWrite, "s")
	g.want(g.step(2*time.Second, AttemptResult{Request: 1, Host: "p", Outcome: OutcomeTimeout}), Fail{1})
	g.want(g.step(time.Second))
}
