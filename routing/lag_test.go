package routing

import (
	"testing"
	"time"
)

// A replica that lags by seconds would reject each read after a wait. It must get health checks instead of
// reads until it has caught up.
func TestLaggingReplicaGetsHealthChecksNotReads(t *testing.T) {
	harness := newHarness(t, nil)
	harness.listGroup()
	harness.now += 20 * time.Second
	answerAtPrimary := func(id uint64, attempt int) {
		harness.step(ms, AttemptResult{
			Request: id, Attempt: attempt, Host: "p", Outcome: OutcomeOK, Role: RolePrimary, RequestDone: true,
		})
	}
	for id := range uint64(2) { // both replicas reject a read: they are 10 s behind
		host := harness.attemptedHost(harness.request(id, classBounded, ""))
		harness.step(ms, AttemptResult{
			Request: id, Host: host, Outcome: OutcomeMisdirected, Role: RoleReplica,
			Position: harness.now - 10*time.Second,
		})
		answerAtPrimary(id, 1)
	}
	healthChecks := 0
	for id := uint64(10); id < 50; id++ { // well past lagRetention
		harness.now += 100 * ms
		actions := harness.router.Step(harness.now, []Event{newRequest(id, classBounded, time.Second)})
		for _, action := range actions {
			switch action := action.(type) {
			case HealthCheck:
				healthChecks++
				harness.step(0, HealthCheckResult{
					Host: action.Host, Role: RoleReplica, Position: harness.now - 10*time.Second,
				})
			case Attempt:
				if action.Host != "p" {
					t.Fatalf("the read went to %s, which lags, want p", action.Host)
				}
			}
		}
		answerAtPrimary(id, 0)
	}
	if healthChecks < 8 || healthChecks > 24 {
		t.Errorf("%d health checks in 4 s, want 8 to 24", healthChecks)
	}
	harness.catchUp()
	if host := harness.attemptedHost(harness.request(99, classBounded, "")); host == "p" {
		t.Error("a replica that has caught up gets no reads")
	}
}
