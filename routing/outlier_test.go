package routing

import (
	"fmt"
	"testing"
	"time"
)

// Where clients' time is over before an answer is overdue, the time-out counts against a host from which nothing came.
func TestTimeoutCountsAgainstUnresponsiveHost(t *testing.T) {
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
				t.Errorf("unresponsive %v", unresponsive)
			}
		})
	}
}

// A lost connection takes all its attempts with it: a host must not be ejected for it.
func TestLostConnectionIsNoDeadHost(t *testing.T) {
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
		t.Fatalf("went to %s", host)
	}
}

// A bad request gets a quick error from whichever host is tried. Such errors move from host to host: they must neither
// be retried nor count against hosts, while those of a single failing host are still retried.
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
			t.Errorf("%v recent failures for quick errors", failures)
		}
		return count
	}
	if count := retries(func(string) bool { return true }); count > 4 {
		t.Errorf("%d of 40 bad requests were retried", count)
	}
	if count := retries(func(host string) bool { return host == "a" }); count < 10 {
		t.Errorf("only %d retries of what failed at a single host", count)
	}
}

// A primary that alone refuses connections is dead, and another is sought. Where one host after another refuses while
// others answer, connections are scarce: the primary is kept, and no replica is tried with its writes.
func TestScarceConnectionsAreNoDeadPrimary(t *testing.T) {
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
				t.Fatalf("unresponsive %v after two refusals", primary.unresponsive)
			}
			primary.unresponsive = false // it has answered since
			router.recordConnectFailure(primary)
			if primary.unresponsive == scarce {
				t.Errorf("the refusing primary is unresponsive: %v", primary.unresponsive)
			}
		})
	}
}

// A host that refuses connections is ejected, twice as long for each recent failure that it has; one that has responded just
// before only for a short time.
func TestEjectionAfterRefusedConnections(t *testing.T) {
	for _, test := range []struct {
		name         string
		failures     float64
		sinceOutcome time.Duration
		want         time.Duration
	}{
		{"responded just before", 0, 0, rejectionEjectionTime},
		{"responded long ago", 0, time.Second, connectFailureEjectionTime},
		{"responded just before, with a failure", 1, 0, 2 * connectFailureEjectionTime},
		{"with as many failures as can be", maxRecentFailures, time.Second, 64 * connectFailureEjectionTime},
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
				t.Error("an ejected host may get requests")
			}
		})
	}
}
