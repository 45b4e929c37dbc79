package routing

import "testing"

func TestClientGoneInTheStepOfAnErrorPreventsTheRetry(t *testing.T) {
	harness := newHarness(t, nil)
	harness.listGroup()
	harness.request(1, classKeyedWrite, "s")
	harness.want(harness.step(ms,
		AttemptResult{Request: 1, Host: "p", Outcome: OutcomeError, Role: RolePrimary}, ClientGone{1}))
	harness.want(harness.step(100 * ms))
}

// A slow client may take seconds for a large answer. Once the answer has begun to reach it, the attempt takes no part
// of its host's concurrency limit, is not overdue, and is neither retried nor cancelled.
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
			t.Fatalf("streaming answers lead to %v", actions)
		}
	}
	for _, host := range []string{"a", "b"} {
		if failures := harness.router.hosts[host].recentFailures; failures > 0 {
			t.Errorf("%s has %v recent failures", host, failures)
		}
	}
	host := harness.router.requests[1].openAttempt.host.ID
	harness.want(harness.step(ms,
		AttemptResult{Request: 1, Host: host, Outcome: OutcomeConnectionLost, RequestDone: true}))
	if harness.router.requests[1] != nil {
		t.Error("a request whose stream broke off is still known")
	}
}

// A request waits as no host may be used, and its client leaves: it isn't sent to a host that comes then.
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
			t.Errorf("client gone %v: %v", gone, actions)
		}
	}
}
