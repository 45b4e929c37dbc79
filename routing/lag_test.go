package routing

import (
	"testing"
	"time"
)

// On the bench reads were tried at replicas that lagged by seconds, again and again, and each waited to be turned away.
func TestLaggingReplicaGetsHealthChecksNotReads(t *testing.T) {
	g := newHarness(t, nil)
	g.listGroup()
	g.now += 20 * time.Second
	for id := range uint64(2) { // both turn a read away: they are 10 s behind
		at := g.attemptedHost(g.request(id, classBounded, ""))
		g.step(ms, AttemptResult{Request: id, Host: at, Outcome: OutcomeMisdirected, Role: RoleReplica, Position: g.now - 10*time.Second})
		g.step(ms, AttemptResult{Request: id, Attempt: 1, Host: "p", Outcome: OutcomeOK, Role: RolePrimary, RequestDone: true})
	}
	probes := 0
	for id := uint64(10); id < 50; id++ { // well past lagKept
		g.now += 100 * ms
		for _, a := range g.router.Step(g.now, []Event{Request{ID: id, Class: classBounded, Tenant: -1, Group: 1, TimeLeft: time.Second}}) {
			switch a := a.(type) {
			case HealthCheck:
				probes++
				g.step(0, HealthCheckResult{Host: a.Host, Role: RoleReplica, Position: g.now - 10*time.Second})
			case Attempt:
				if a.Host != "p" {
					t.Fatalf("tried at %s, which lags", a.Host)
				}
			}
		}
		g.step(ms, AttemptResult{Request: id, Host: "p", Outcome: OutcomeOK, Role: RolePrimary, RequestDone: true})
	}
	if probes < 8 || probes > 24 {
		t.Errorf("%d probes in 4 s", probes)
	}
	g.catchUp()
	if m := g.attemptedHost(g.request(99, classBounded, "")); m == "p" {
		t.Error("a replica that is level again gets no reads")
	}
}
