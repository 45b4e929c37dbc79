package routing

import (
	"fmt"
	"testing"
	"time"
)

// A request that has reached no host is rejected while its client has time to send it again.
func TestUnseenRequestIsRejectedByHalfOfItsTime(t *testing.T) {
	harness := newHarness(t, nil)
	harness.listGroup()
	harness.list(
		Endpoint{ID: "p", Group: 1, State: StateDraining},
		Endpoint{ID: "a", Group: 1, State: StateDraining},
	)
	harness.now += time.Second // the drain grace period is over
	if actions := harness.request(1, classKeyedWrite, "s"); len(actions) > 0 {
		t.Fatalf("got %v", actions)
	}
	for elapsed := 10 * ms; elapsed <= 2*time.Second; elapsed += 10 * ms {
		if len(harness.step(10*ms)) > 0 {
			if elapsed >= time.Second || elapsed < 900*ms {
				t.Errorf("rejected after %v of 2 s", elapsed)
			}
			return
		}
	}
	t.Error("never rejected")
}

func TestNonIdempotentWriteIsNeverRetriedAfterDoubt(t *testing.T) {
	for _, outcome := range []Outcome{OutcomeError, OutcomeTimeout, OutcomeConnectionLost, OutcomeCancelled} {
		t.Run(fmt.Sprint("outcome ", int(outcome)), func(t *testing.T) {
			harness := newHarness(t, nil)
			harness.listGroup()
			harness.request(1, classUnsafeWrite, "s")
			harness.want(harness.step(10*ms, AttemptResult{Request: 1, Host: "p", Outcome: outcome}), Fail{1})
		})
	}
}

func TestNonIdempotentWriteIsRetriedAfterProof(t *testing.T) {
	harness := newHarness(t, nil)
	harness.listGroup()
	harness.request(1, classUnsafeWrite, "s")
	harness.want(harness.step(ms,
		AttemptResult{Request: 1, Host: "p", Outcome: OutcomeRejected, Role: RolePrimary}))
	actions := harness.step(rejectionEjectionTime + waitingCheckInterval)
	if host := harness.attemptedHost(actions); host != "p" {
		t.Fatalf("went to %s", host)
	}
}

func TestKeyedWriteStaysInsideItsDedupWindow(t *testing.T) {
	harness := newHarness(t, nil)
	harness.listGroup()
	harness.request(1, classKeyedWrite, "s")
	actions := harness.step(10*ms,
		AttemptResult{Request: 1, Host: "p", Outcome: OutcomeError, Role: RolePrimary})
	if host := harness.attemptedHost(actions); host != "p" {
		t.Fatalf("went to %s", host)
	}
	harness.want(harness.step(1200*ms,
		AttemptResult{Request: 1, Attempt: 1, Host: "p", Outcome: OutcomeError, Role: RolePrimary}), Fail{1})
}

func TestEveryRequestGetsOneAnswerAtOnceWhereNothingCanServe(t *testing.T) {
	harness := newHarness(t, nil)
	withoutTime := Request{ID: 1, Class: classKeyedWrite, Group: 7, Tenant: -1}
	harness.want(harness.step(0, withoutTime), Reject{1, 500 * ms})
	harness.request(2, classUnsafeWrite, "s")
	answers := 0
	for range 400 {
		answers += len(harness.step(10 * ms))
	}
	if answers != 1 {
		t.Fatalf("%d answers", answers)
	}
}

func TestTimeoutAtTheDeadlineIsAnsweredOnce(t *testing.T) {
	harness := newHarness(t, nil)
	harness.listGroup()
	harness.request(1, classUnsafeWrite, "s")
	actions := harness.step(2*time.Second, AttemptResult{Request: 1, Host: "p", Outcome: OutcomeTimeout})
	harness.want(actions, Fail{1})
	harness.want(harness.step(time.Second))
}
