package routing

import (
	"fmt"
	"testing"
	"time"
)

// A request that has reached no host must be rejected early enough for its client to send it again. Here the
// group has only draining hosts.
func TestRequestThatReachedNoHostIsRejectedBeforeHalfItsTime(t *testing.T) {
	harness := newHarness(t, nil)
	harness.listGroup()
	harness.list(
		Endpoint{ID: "p", Group: 1, State: StateDraining},
		Endpoint{ID: "a", Group: 1, State: StateDraining},
	)
	harness.now += time.Second // the drain grace period is over
	if actions := harness.request(1, classKeyedWrite, "s"); len(actions) > 0 {
		t.Fatalf("want no action while the request waits, got %v", actions)
	}
	for elapsed := 10 * ms; elapsed <= 2*time.Second; elapsed += 10 * ms {
		if len(harness.step(10*ms)) > 0 {
			if elapsed >= time.Second || elapsed < 900*ms {
				t.Errorf("rejected after %v, want 900 ms to 1 s of the request's 2 s", elapsed)
			}
			return
		}
	}
	t.Error("the request was not rejected within 2 s")
}

// A write that isn't idempotent must fail after an outcome that leaves open whether it has run: a retry could
// execute it twice.
func TestNonIdempotentWriteIsNotRetriedIfItMayHaveRun(t *testing.T) {
	for _, outcome := range []Outcome{OutcomeError, OutcomeTimeout, OutcomeConnectionLost, OutcomeCancelled} {
		t.Run(fmt.Sprint("outcome ", int(outcome)), func(t *testing.T) {
			harness := newHarness(t, nil)
			harness.listGroup()
			harness.request(1, classUnsafeWrite, "s")
			harness.want(harness.step(10*ms, AttemptResult{Request: 1, Host: "p", Outcome: outcome}), Fail{1})
		})
	}
}

// A write that a host has rejected can't have run, so it is retried although it isn't idempotent.
func TestNonIdempotentWriteIsRetriedIfItCannotHaveRun(t *testing.T) {
	harness := newHarness(t, nil)
	harness.listGroup()
	harness.request(1, classUnsafeWrite, "s")
	harness.want(harness.step(ms,
		AttemptResult{Request: 1, Host: "p", Outcome: OutcomeRejected, Role: RolePrimary}))
	actions := harness.step(rejectionEjectionTime + waitingCheckInterval)
	if host := harness.attemptedHost(actions); host != "p" {
		t.Fatalf("the retry went to %s, want p", host)
	}
}

// After the deduplication window, hosts may execute a repeat of an idempotency key, so the write must fail
// then.
func TestKeyedWriteIsRetriedOnlyWithinItsDedupWindow(t *testing.T) {
	harness := newHarness(t, nil)
	harness.listGroup()
	harness.request(1, classKeyedWrite, "s")
	actions := harness.step(10*ms,
		AttemptResult{Request: 1, Host: "p", Outcome: OutcomeError, Role: RolePrimary})
	if host := harness.attemptedHost(actions); host != "p" {
		t.Fatalf("the retry went to %s, want p", host)
	}
	harness.want(harness.step(1200*ms,
		AttemptResult{Request: 1, Attempt: 1, Host: "p", Outcome: OutcomeError, Role: RolePrimary}), Fail{1})
}

// A request without time left is rejected at once, and a request to a group without hosts gets exactly one
// answer.
func TestRequestGetsExactlyOneAnswerIfNoHostCanServeIt(t *testing.T) {
	harness := newHarness(t, nil)
	expired := Request{ID: 1, Class: classKeyedWrite, Group: 7, Tenant: -1}
	harness.want(harness.step(0, expired), Reject{1, 500 * ms})
	harness.request(2, classUnsafeWrite, "s")
	answers := 0
	for range 400 {
		answers += len(harness.step(10 * ms))
	}
	if answers != 1 {
		t.Fatalf("got %d answers to request 2, want 1", answers)
	}
}

// The timeout of an attempt at the deadline of its request must lead to one answer, not two.
func TestTimeoutAtTheDeadlineIsAnsweredOnce(t *testing.T) {
	harness := newHarness(t, nil)
	harness.listGroup()
	harness.request(1, classUnsafeWrite, "s")
	actions := harness.step(2*time.Second, AttemptResult{Request: 1, Host: "p", Outcome: OutcomeTimeout})
	harness.want(actions, Fail{1})
	harness.want(harness.step(time.Second))
}
