package routing

import "testing"

// A request whose client leaves in the same Step as its attempt fails must not be retried.
func TestClientGoneInTheStepOfAnErrorPreventsTheRetry(t *testing.T) {
	harness := newHarness(t, nil)
	harness.listGroup()
	harness.request(1, classKeyedWrite, "s")
	harness.want(harness.step(ms,
		AttemptResult{Request: 1, Host: "p", Outcome: OutcomeError, Role: RolePrimary}, ClientGone{1}))
	harness.want(harness.step(100 * ms))
}

// A slow client may take seconds to receive a large answer. Once the answer has begun to reach it, the
// attempt must not occupy its host's concurrency limit, become overdue, or be retried or cancelled.
func TestStreamingAnswerDoesNotCountAgainstItsHost(t *testing.T) {
	harness := newHarness(t, nil)
	harness.listGroup()
	harness.catchUp()
	for id := range uint64(40) {
		host := harness.attemptedHost(harness.request(id, classAny, ""))
		harness.step(ms, StreamStarted{Request: id})
		harness.step(ms, HealthCheckResult{Host: host, Role: RoleReplica, Position: harness.now})
	}
	for range 100 {
		if actions := harness.step(100 * ms); len(actions) > 0 {
			t.Fatalf("streaming answers led to %v, want no actions", actions)
		}
	}
	for _, host := range []string{"a", "b"} {
		if failures := harness.router.hosts[host].recentFailures; failures > 0 {
			t.Errorf("host %s has %v recent failures, want 0", host, failures)
		}
	}
	host := harness.router.requests[1].openAttempt.host.ID
	harness.want(harness.step(ms,
		AttemptResult{Request: 1, Host: host, Outcome: OutcomeConnectionLost, RequestDone: true}))
	if harness.router.requests[1] != nil {
		t.Error("a request whose stream was interrupted is still in the table")
	}
}

// A request waits because no host is available, and its client leaves. The request must not be sent when a
// host becomes available.
func TestWaitingRequestOfAGoneClientIsNotSent(t *testing.T) {
	for _, gone := range []bool{true, false} {
		harness := newHarness(t, nil)
		harness.step(ms, EndpointUpdate{
			Full: true, Endpoints: []Endpoint{{ID: "a", Group: 1, State: StateDraining}},
		})
		harness.want(harness.request(1, classAny, ""))
		if gone {
			harness.want(harness.step(ms, ClientGone{Request: 1}))
		}
		actions := harness.update(ready("a")...)
		if sent := len(actions) == 1; sent == gone {
			t.Errorf("client gone: %v, request sent: %v, want %v (actions %v)", gone, sent, !gone, actions)
		}
	}
}
