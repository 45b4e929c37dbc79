package routing

import (
	"testing"
	"time"
)

// With short latency objectives an answer must become overdue while the client is still waiting.
func TestAttemptTimeoutShrinksWithShortObjectives(t *testing.T) {
	harness := newHarness(t, func(s *Settings) {
		for i := range s.Classes {
			s.Classes[i].LatencyObjective /= 4
		}
	})
	harness.listGroup()
	harness.router.latencies[classAny] = latencyEstimate{meanSeconds: 0.02, deviationSeconds: 0.002}
	harness.request(1, classAny, "")
	for _, action := range harness.step(minAttemptTimeout/2+ms, TimerFired{}) {
		if _, ok := action.(CancelAttempt); ok {
			return
		}
	}
	t.Error("the attempt was not cancelled after three quarters of its latency objective")
}

// A lost answer leaves its attempt open at a host that answers other requests. The attempt's own timeout must
// end it, so that the request is retried at another host within its latency objective.
func TestLostAnswerIsCancelledAndRetriedWhileItsHostAnswersOthers(t *testing.T) {
	harness := newHarness(t, nil)
	harness.listGroup()
	for id := uint64(100); id < 200; id++ { // to establish the latency of the class
		harness.answer(20*ms, id, harness.attemptedHost(harness.request(id, classAny, "")))
	}
	lost := harness.attemptedHost(harness.request(1, classAny, ""))
	for id := uint64(2); id < 50; id++ {
		for _, host := range attemptedHosts(harness.request(id, classAny, "")) {
			actions := harness.answer(10*ms, id, host)
			if len(actions) == 0 {
				continue
			}
			harness.want(actions, CancelAttempt{1, 0})
			if harness.router.hosts[lost].unresponsive {
				t.Fatal("a host that answers other requests counts as unresponsive")
			}
			retryHost := harness.attemptedHost(harness.step(ms,
				AttemptResult{Request: 1, Host: lost, Outcome: OutcomeCancelled}))
			if retryHost == lost {
				t.Fatal("the retry went to the same host")
			}
			return
		}
	}
	t.Fatal("the attempt with the lost answer was not cancelled")
}

// An overdue attempt of a request with an idempotency key stays open once the key's deduplication window
// allows no retry, because its answer is then the last chance of the request. The window starts with the
// first attempt that may have run.
func TestOverdueAttemptIsNotCancelledAfterTheDedupWindow(t *testing.T) {
	for _, test := range []struct {
		window    time.Duration
		cancelled bool
	}{{1200 * ms, true}, {160 * ms, false}} {
		t.Run(test.window.String(), func(t *testing.T) {
			harness := newHarness(t, func(s *Settings) { s.Classes[classKeyedWrite].DedupWindow = test.window })
			harness.listGroup()
			harness.router.latencies[classKeyedWrite] = latencyEstimate{meanSeconds: 0.02, deviationSeconds: 0.002}
			harness.request(1, classKeyedWrite, "")
			harness.attemptedHost(harness.step(10*ms, AttemptResult{Request: 1, Host: "p", Outcome: OutcomeError}))
			cancelled := false
			for _, action := range harness.step(minAttemptTimeout+ms, TimerFired{}) {
				_, isCancel := action.(CancelAttempt)
				cancelled = cancelled || isCancel
			}
			if cancelled != test.cancelled {
				t.Errorf("attempt cancelled: %v, want %v", cancelled, test.cancelled)
			}
		})
	}
}
