package routing

import (
	"testing"
)

func TestEndInTheSameBatchAsAnOutcomeSendsNothing(t *testing.T) {
	g := newHarness(t, nil)
	g.listGroup()
	g.request(1, classKeyedWrite, "s")
	g.want(g.step(ms, AttemptResult{Request: 1, Host: "p", Outcome: OutcomeError, Role: RolePrimary}, ClientGone{1}))
	g.want(g.step(100 * ms))
}

// On the bench slow clients took seconds for answers of megabytes: these held their members' places, and four in ten
// requests beside them were refused. What has begun is not judged by its length, sent again or called off.
func TestStreamingAnswerCountsAgainstNoHostOrLimit(t *testing.T) {
	g := newHarness(t, nil)
	g.listGroup()
	g.catchUp()
	for id := range uint64(40) {
		m := g.attemptedHost(g.request(id, classAny, ""))
		g.step(ms, StreamStarted{Request: id})
		g.step(ms, HealthCheckResult{Host: m, Role: RoleReplica, Position: g.now})
	}
	for range 100 {
		if a := g.step(100 * ms); len(a) > 0 {
			t.Fatalf("what has begun leads to %v", a)
		}
	}
	for _, m := range []string{"a", "b"} {
		if s := g.router.hosts[m].strikes; s > 0 {
			t.Errorf("%s has %v strikes", m, s)
		}
	}
	g.want(g.step(ms, AttemptResult{Request: 1, Host: g.router.requests[1].openAttempt.host.ID, Outcome: OutcomeConnectionLost, RequestDone: true}))
	if g.router.requests[1] != nil {
		t.Error("one that broke off is still there")
	}
}

// A request waits in the module as no member may be used, and its client leaves: a member that comes is not sent it.
func TestGoneClientsRequestIsNotSentWhenAHostComes(t *testing.T) {
	for _, left := range []bool{true, false} {
		g := newHarness(t, nil)
		g.step(ms, EndpointUpdate{Full: true, Endpoints: []Endpoint{{ID: "a", Group: 1, State: StateDraining}}})
		g.want(g.request(1, classAny, ""))
		if left {
			g.want(g.step(ms, ClientGone{Request: 1}))
		}
		acts := g.step(ms, EndpointUpdate{Endpoints: []Endpoint{{ID: "a", Group: 1, State: StateReady}}})
		if sent := len(acts) == 1; sent == left {
			t.Errorf("left %v: %v", left, acts)
		}
	}
}
