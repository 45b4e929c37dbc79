package routing

import (
	"fmt"
	"testing"
	"time"
)

// If requests expire before their answers are overdue, their timeouts must count against a host that sends
// nothing, and not against a host that answers other requests.
func TestTimeoutsMakeASilentHostUnresponsive(t *testing.T) {
	for _, answersOthers := range []bool{false, true} {
		t.Run(fmt.Sprint("answers others ", answersOthers), func(t *testing.T) {
			harness := newHarness(t, nil)
			harness.listGroup()
			for id := uint64(1); id <= 2; id++ {
				host := harness.attemptedHost(harness.request(id, classKeyedWrite, ""))
				if answersOthers {
					harness.step(ms, newRequest(id+10, classStrong, time.Second))
					harness.step(ms, AttemptResult{
						Request: id + 10, Host: "p", Outcome: OutcomeOK, Role: RolePrimary, RequestDone: true,
					})
				}
				harness.step(connectFailureEjectionTime,
					AttemptResult{Request: id, Host: host, Outcome: OutcomeTimeout, RequestDone: true})
			}
			if unresponsive := harness.router.hosts["p"].unresponsive; unresponsive == answersOthers {
				t.Errorf("host p unresponsive: %v, want %v", unresponsive, !answersOthers)
			}
		})
	}
}

// A lost connection ends all attempts on it at once. These must not count as separate failures and eject the
// host.
func TestLostConnectionDoesNotEjectHost(t *testing.T) {
	harness := newHarness(t, nil)
	harness.listGroup()
	for id := range uint64(3) {
		harness.request(id, classUnsafeWrite, "s")
	}
	actions := harness.step(10*ms,
		AttemptResult{Request: 0, Host: "p", Outcome: OutcomeConnectionLost},
		AttemptResult{Request: 1, Host: "p", Outcome: OutcomeConnectionLost},
		AttemptResult{Request: 2, Host: "p", Outcome: OutcomeConnectionLost})
	harness.want(actions, Fail{2}, Fail{1}, Fail{0})
	if host := harness.attemptedHost(harness.request(9, classUnsafeWrite, "s")); host != "p" {
		t.Fatalf("the next write went to %s, want p", host)
	}
}

// An invalid request gets a quick error from every host. Such errors occur at one host after another. They
// must not be retried and must not count against hosts, while the errors of a single failing host are still
// retried.
func TestQuickErrorsFromEveryHostAreRequestCaused(t *testing.T) {
	retries := func(fails func(host string) bool) int {
		harness := newHarness(t, nil)
		harness.listGroup()
		count := 0
		for id := uint64(1); id <= 40; id++ {
			host := harness.attemptedHost(harness.request(id, classAny, ""))
			if !fails(host) {
				harness.answer(100*ms, id, host)
				continue
			}
			actions := harness.step(ms,
				AttemptResult{Request: id, Host: host, Outcome: OutcomeError, Role: RoleReplica})
			for _, retryHost := range attemptedHosts(actions) {
				count++
				harness.step(100*ms, AttemptResult{
					Request: id, Attempt: 1, Host: retryHost, RequestDone: true, Role: RoleReplica,
				})
			}
		}
		hosts := harness.router.hosts
		if failures := hosts["a"].recentFailures + hosts["b"].recentFailures; failures > 0 {
			t.Errorf("quick errors left %v recent failures, want 0", failures)
		}
		return count
	}
	if count := retries(func(string) bool { return true }); count > 4 {
		t.Errorf("%d of 40 invalid requests were retried, want at most 4", count)
	}
	if count := retries(func(host string) bool { return host == "a" }); count < 10 {
		t.Errorf("%d retries of requests that failed at a single host, want at least 10", count)
	}
}

// A primary that is the only host to refuse connections is down, and writes search for another one. If one
// host after another refuses connections while others answer, connections are scarce: the primary is kept,
// and its writes are not tried at replicas.
func TestScarceConnectionsDoNotMakePrimaryUnresponsive(t *testing.T) {
	for _, scarce := range []bool{false, true} {
		t.Run(fmt.Sprint("scarce ", scarce), func(t *testing.T) {
			harness := newHarness(t, nil)
			harness.listGroup()
			router := harness.router
			primary := router.hosts["p"]
			for _, id := range []string{"p", "a", "b", "p", "a", "b"} {
				if id == "p" || scarce {
					router.recordConnectFailure(router.hosts[id])
				}
			}
			if primary.unresponsive == scarce {
				t.Fatalf("primary unresponsive after two refused connections: %v, want %v", primary.unresponsive, !scarce)
			}
			primary.unresponsive = false // as after an answer
			router.recordConnectFailure(primary)
			if primary.unresponsive == scarce {
				t.Errorf("primary unresponsive after another refusal: %v, want %v", primary.unresponsive, !scarce)
			}
		})
	}
}

// A host that refuses a connection is ejected, for twice as long for each recent failure. A host without
// recent failures that has just responded is ejected only briefly.
func TestEjectionAfterRefusedConnections(t *testing.T) {
	for _, test := range []struct {
		name         string
		failures     float64
		sinceOutcome time.Duration
		want         time.Duration
	}{
		{"responded recently", 0, 0, rejectionEjectionTime},
		{"responded long ago", 0, time.Second, connectFailureEjectionTime},
		{"responded recently, with a failure", 1, 0, 2 * connectFailureEjectionTime},
		{"with the maximum of failures", maxRecentFailures, time.Second, 64 * connectFailureEjectionTime},
	} {
		t.Run(test.name, func(t *testing.T) {
			harness := newHarness(t, nil)
			harness.listGroup()
			host := harness.router.hosts["a"]
			host.recentFailures, host.lastOutcomeAt = test.failures, harness.now-test.sinceOutcome
			harness.router.recordConnectFailure(host)
			if ejection := host.ejectedUntil - harness.now; ejection != test.want {
				t.Errorf("ejected for %v, want %v", ejection, test.want)
			}
			if harness.router.eligible(host) {
				t.Error("an ejected host is eligible")
			}
		})
	}
}
