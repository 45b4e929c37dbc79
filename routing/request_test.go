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

// Guards against a gateway whose memory and work grew without end, because a client named a new group in each request.
func TestGroupsOfUnknownNamesAreRemoved(t *testing.T) {
	harness := newHarness(t, nil)
	harness.listGroup()
	const requests = 100
	for id := range uint64(requests) {
		harness.step(ms, Request{ID: id, Class: classAny, Tenant: -1, Group: 1000 + int(id), TimeLeft: 20 * ms})
	}
	if groups := len(harness.router.groups); groups > 25 {
		t.Errorf("%d groups while at most 20 requests wait, want at most 25", groups)
	}
	for range 30 {
		harness.step(ms, TimerFired{})
	}
	if groups, sorted := len(harness.router.groups), len(harness.router.sortedGroups); groups != 1 || sorted != 1 {
		t.Errorf("%d and %d groups are left, want only that of the hosts", groups, sorted)
	}
	if host := harness.attemptedHost(harness.request(requests, classAny, "")); host == "" {
		t.Error("the group of the hosts got no attempt")
	}
}
