package routing

import (
	"testing"
	"time"
)

// newListedPrimaryHarness lists a group whose host "c" is named as primary by the list.
func newListedPrimaryHarness(t *testing.T, change func(*Settings)) *harness {
	t.Helper()
	harness := newHarness(t, change)
	harness.list(
		Endpoint{ID: "a", Group: 1, State: StateReady},
		Endpoint{ID: "b", Group: 1, State: StateReady},
		Endpoint{ID: "c", Group: 1, State: StateReady, Primary: true},
	)
	return harness
}

// listPrimary updates the list so that it names a host as primary.
func (h *harness) listPrimary(id string) {
	h.update(Endpoint{ID: id, Group: 1, State: StateReady, Primary: true})
}

// While no primary is known, each write goes to the host that the list names as primary.
func TestFirstWritesGoToTheListedPrimary(t *testing.T) {
	harness := newListedPrimaryHarness(t, nil)
	for id := uint64(1); id <= 3; id++ {
		if hosts := attemptedHosts(harness.step(ms, writeRequest(id))); len(hosts) != 1 || hosts[0] != "c" {
			t.Errorf("write %d went to %v, want c", id, hosts)
		}
	}
}

// If the listed primary answers as a replica, writes are tried at the other hosts until the list names
// another primary.
func TestListedPrimaryThatAnswersAsReplicaIsNotUsed(t *testing.T) {
	harness := newListedPrimaryHarness(t, nil)
	harness.step(ms, writeRequest(1))
	hosts := attemptedHosts(harness.step(ms,
		AttemptResult{Request: 1, Host: "c", Outcome: OutcomeMisdirected, Role: RoleReplica}))
	if len(hosts) != 1 || hosts[0] == "c" {
		t.Errorf("the misdirected write went to %v, want one host other than c", hosts)
	}
	harness.listPrimary("b")
	if hosts := attemptedHosts(harness.step(ms, writeRequest(2))); len(hosts) != 1 || hosts[0] != "b" {
		t.Errorf("after the list named b, a write went to %v, want b", hosts)
	}
}

// A host that has answered as primary takes precedence over the listed primary, because the list may be out
// of date.
func TestAnswerAsPrimaryOverridesTheList(t *testing.T) {
	harness := newListedPrimaryHarness(t, nil)
	harness.step(ms, writeRequest(1))
	harness.step(ms,
		AttemptResult{Request: 1, Host: "c", Outcome: OutcomeOK, Role: RolePrimary, RequestDone: true})
	harness.listPrimary("a")
	if hosts := attemptedHosts(harness.step(ms, writeRequest(2))); len(hosts) != 1 || hosts[0] != "c" {
		t.Errorf("a write went to %v, want c", hosts)
	}
}

// The list is no proof that a host is the primary. A read that needs the primary waits until a host has
// reported or answered as primary.
func TestReadsDontGoToTheListedPrimary(t *testing.T) {
	harness := newListedPrimaryHarness(t, noHealthChecks)
	hosts := attemptedHosts(harness.step(ms, newRequest(1, classStrong, 2*time.Second)))
	if len(hosts) > 0 {
		t.Errorf("a read of strong consistency went to %v, want none while no primary is known", hosts)
	}
}

// A primary that has answered as a replica must get neither a bounded read before its position is known nor,
// because of an older report, a read that needs the primary.
func TestDemotedPrimaryGetsNoReadsWithoutStalenessCheck(t *testing.T) {
	harness := newHarness(t, func(s *Settings) { s.StalenessCheck = StalenessCheckNone })
	harness.listGroup()
	harness.request(1, classKeyedWrite, "s")
	harness.step(300*ms, AttemptResult{Request: 1, Host: "p", Outcome: OutcomeMisdirected, Role: RoleReplica})
	for _, action := range harness.request(2, classBounded, "") {
		if attempt, ok := action.(Attempt); ok && attempt.Request == 2 {
			t.Fatalf("no host is up to date or the primary, but the read went to %s", attempt.Host)
		}
	}
	// A report from before the demotion must not make the host primary again.
	harness.step(ms, HealthCheckResult{Host: "p", Role: RolePrimary, Position: harness.now - 100*ms})
	for _, action := range harness.request(3, classStrong, "") {
		if attempt, ok := action.(Attempt); ok && attempt.Request == 3 {
			t.Fatalf("a strong read went to %s because of an outdated report", attempt.Host)
		}
	}
}

// A primary that accepts requests but never answers must not block the writes of its group. Attempts of
// writes that may be retried are cancelled, and the other hosts are tried.
func TestHungPrimaryDoesNotUseUpAllAttempts(t *testing.T) {
	harness := newHarness(t, func(s *Settings) { s.Classes[classKeyedWrite].DedupWindow = 10 * time.Second })
	harness.listGroup()
	first := newRequest(1, classKeyedWrite, 5*time.Second)
	if host := harness.attemptedHost(harness.step(ms, first)); host != "p" {
		t.Fatalf("the write went to %s, want p", host)
	}
	// A single overdue answer may have been lost; the second one makes the primary unresponsive.
	for attempt, staysAtPrimary := range []bool{true, false} {
		var actions []Action
		for i := 0; len(actions) == 0 && i < 400; i++ {
			actions = harness.step(10 * ms)
		}
		harness.want(actions, CancelAttempt{1, attempt})
		host := harness.attemptedHost(harness.step(ms,
			AttemptResult{Request: 1, Attempt: attempt, Host: "p", Outcome: OutcomeCancelled}))
		if (host == "p") != staysAtPrimary {
			t.Fatalf("after %d overdue answers the write went to %s, want p: %v", attempt+1, host, staysAtPrimary)
		}
	}
}

// Guards against strong reads that missed commits, because a former primary was taken for the primary again: it
// completed a long answer that it had begun, with its role, before it lost the role. Only a report that arrived
// after the loss may make it the primary again.
func TestOldReportDoesNotMakeAFormerPrimaryThePrimary(t *testing.T) {
	for name, test := range map[string]struct {
		arrivedBefore time.Duration // time from the arrival of the role to the end of the long answer
		newPrimary    bool          // another host has answered as the primary meanwhile
		want          string        // host of a strong read after that
	}{
		"old report, no primary known": {300 * ms, false, ""},
		"old report, another primary":  {300 * ms, true, "a"},
		"new report, no primary known": {0, false, "p"},
		"new report, another primary":  {0, true, "p"},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t, noHealthChecks)
			harness.listGroup()
			harness.request(1, classStrong, "") // has a long answer
			harness.request(2, classStrong, "")
			harness.step(200*ms, AttemptResult{Request: 2, Host: "p", RequestDone: true, Role: RoleReplica})
			if test.newPrimary {
				harness.catchUpPrimary("a")
			}
			harness.step(50*ms, AttemptResult{
				Request: 1, Host: "p", RequestDone: true, Role: RolePrimary, RoleAt: harness.now + 50*ms - test.arrivedBefore,
			})
			got := ""
			if hosts := attemptedHosts(harness.request(3, classStrong, "")); len(hosts) == 1 {
				got = hosts[0]
			}
			if got != test.want {
				t.Errorf("a strong read went to %q, want %q", got, test.want)
			}
		})
	}
}

// An old report that a host is a replica must not take the role from it once it has answered as the primary.
func TestOldReportDoesNotTakeTheRoleFromThePrimary(t *testing.T) {
	harness := newHarness(t, noHealthChecks)
	harness.listGroup()
	harness.request(1, classStrong, "")
	harness.catchUpPrimary("p")
	harness.step(ms, AttemptResult{
		Request: 1, Host: "p", RequestDone: true, Role: RoleReplica, RoleAt: harness.now - 100*ms,
	})
	if host := harness.attemptedHost(harness.request(2, classStrong, "")); host != "p" {
		t.Errorf("a strong read went to %q, want p", host)
	}
}

// catchUpPrimary makes a host report that it is the primary, with the current position.
func (h *harness) catchUpPrimary(host string) {
	h.step(ms, HealthCheckResult{Host: host, Role: RolePrimary, Position: h.now + ms})
}
