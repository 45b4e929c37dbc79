package routing

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// A draining replica must get no new request. A draining primary gets writes only until the end of the drain
// grace period.
func TestDrainingHostGetsNoNewRequests(t *testing.T) {
	harness := newHarness(t, nil)
	harness.listGroup()
	harness.update(
		Endpoint{ID: "a", Group: 1, State: StateDraining},
		Endpoint{ID: "p", Group: 1, State: StateDraining},
	)
	for id := uint64(1); id < 9; id++ {
		if host := harness.attemptedHost(harness.request(id, classAny, "")); host != "b" {
			t.Fatalf("the read went to %s, want b", host)
		}
		harness.step(ms, AttemptResult{Request: id, Host: "b", RequestDone: true})
	}
	if host := harness.attemptedHost(harness.request(20, classKeyedWrite, "s")); host != "p" {
		t.Fatalf("in the drain grace period the write went to %s, want p", host)
	}
	harness.step(ms, AttemptResult{
		Request: 20, Host: "p", RequestDone: true, Role: RolePrimary, Position: harness.now,
	})
	harness.step(250 * ms)
	if host := harness.attemptedHost(harness.request(21, classKeyedWrite, "s")); host != "b" {
		t.Fatalf("after the drain grace period the write went to %s, want b", host)
	}
}

// The drain grace period starts when the drain becomes known, which may be before the update.
func TestDrainGracePeriodCountsFromNotification(t *testing.T) {
	for _, test := range []struct {
		notifiedBefore time.Duration // time from the notification to the update
		used           bool
	}{{0, true}, {100 * ms, true}, {248 * ms, false}, {time.Hour, false}} {
		t.Run(test.notifiedBefore.String(), func(t *testing.T) {
			harness := newHarness(t, nil)
			harness.listGroup()
			harness.step(ms, EndpointUpdate{
				NotifiedAt: max(1, harness.now-test.notifiedBefore),
				Endpoints:  []Endpoint{{ID: "p", Group: 1, State: StateDraining}},
			})
			used := slices.Contains(attemptedHosts(harness.request(1, classKeyedWrite, "s")), "p")
			if used != test.used {
				t.Errorf("a write went to the draining primary: %v, want %v (grace period 250 ms)", used, test.used)
			}
		})
	}
}

// A host that starts to drain while a request waits for its capacity must not get that request.
func TestWaitingRequestIsNotSentToADrainingHost(t *testing.T) {
	harness := newHarness(t, nil)
	harness.list(ready("a")...)
	limit := uint64(initialConcurrencyLimit)
	for id := uint64(1); id <= limit+1; id++ {
		harness.request(id, classAny, "")
	}
	harness.want(harness.step(ms,
		EndpointUpdate{Endpoints: []Endpoint{{ID: "a", Group: 1, State: StateDraining}}},
		AttemptResult{Request: 1, Host: "a", RequestDone: true, Role: RoleReplica}))
}

// If each gateway checked the health of each new host, every pair of a gateway and a host would need a
// connection. So new hosts get health checks only if replicas don't check positions themselves.
func TestNewHostsGetHealthChecksOnlyWithoutStalenessCheck(t *testing.T) {
	for check, want := range map[StalenessCheck]int{
		StalenessCheckNone: 2, StalenessCheckReject: 0, StalenessCheckWait: 0,
	} {
		t.Run(fmt.Sprint("staleness check ", int(check)), func(t *testing.T) {
			harness := newHarness(t, func(s *Settings) { s.StalenessCheck = check })
			update := EndpointUpdate{Full: true, Endpoints: ready("a", "b")}
			actions := harness.router.Step(harness.now, []Event{update})
			if hosts := healthCheckedHosts(actions); len(hosts) != want {
				t.Errorf("health checks of %v, want %d hosts", hosts, want)
			}
		})
	}
}

// Lists may be empty, repeated, contradictory or large, and reports may be wrong. The Router must not panic,
// send requests to hosts that are draining or gone, or answer a request twice.
func TestContradictoryListsAndReports(t *testing.T) {
	harness := newHarness(t, nil)
	harness.step(0, EndpointUpdate{}, EndpointUpdate{Full: true}, EndpointUpdate{Failed: true})
	harness.want(harness.step(ms, newRequest(1, classAny, time.Second)))
	harness.listGroup()
	harness.update(
		Endpoint{ID: "a", Group: 1, State: StateDraining},
		Endpoint{ID: "a", Group: 1, State: StateReady},
		Endpoint{ID: "a", Group: 9, State: StateGone},
		Endpoint{ID: "b", Group: 1, State: StateGone},
		Endpoint{ID: "b", Group: 1, State: StateGone},
		Endpoint{ID: "new", Group: 1, State: StateGone},
	)
	for id := uint64(10); id < 30; id++ {
		for _, host := range attemptedHosts(harness.request(id, classAny, "")) {
			if host != "p" {
				t.Fatalf("the read went to %s, whose last listed state is gone", host)
			}
		}
	}
	large := EndpointUpdate{Full: true}
	for i := range 700 {
		large.Endpoints = append(large.Endpoints,
			Endpoint{ID: fmt.Sprint("m", i%600), Group: i % 90, State: EndpointState(i % 3)})
	}
	harness.step(ms, large, large)
	harness.step(ms,
		HealthCheckResult{Host: "p", Role: RolePrimary, Position: -5},
		HealthCheckResult{Host: "a", Role: Role(77), Position: 1 << 62})
}

// Guards against reads that were answered with the data of another group, because a host that the list had moved to another
// group stayed in its first one.
func TestHostThatMovesToAnotherGroupLeavesItsFirstOne(t *testing.T) {
	harness := newHarness(t, nil)
	harness.listGroup()
	for id := range uint64(4) { // some wait for a connection at each replica
		harness.request(id, classAny, "")
	}
	waiting := len(harness.router.hosts["a"].openAttempts)
	moved := Endpoint{ID: "a", Group: 2, State: StateReady}
	withdrawn := 0
	for _, action := range harness.update(moved) {
		if _, ok := action.(WithdrawAttempt); ok {
			withdrawn++
		}
	}
	if waiting == 0 || withdrawn != waiting {
		t.Errorf("%d attempts withdrawn, want the %d at the host", withdrawn, waiting)
	}
	for id := uint64(100); id < 130; id++ {
		if host := harness.attemptedHost(harness.request(id, classAny, "")); host == "a" {
			t.Fatal("a read of the first group went to the host")
		}
		harness.answer(ms, id, "b")
	}
	request := Request{ID: 200, Class: classAny, Tenant: -1, Group: 2, TimeLeft: time.Second}
	if host := harness.attemptedHost(harness.step(ms, request)); host != "a" {
		t.Errorf("a read of the new group went to %q, want a", host)
	}
}

// A primary that moves to another group is the primary of neither until it has answered as one, and a late answer to a
// request of its first group makes it the primary of none.
func TestPrimaryThatMovesToAnotherGroupIsNoPrimary(t *testing.T) {
	harness := newHarness(t, nil)
	harness.listGroup()
	harness.request(1, classUnsafeWrite, "s")
	harness.update(Endpoint{ID: "p", Group: 2, State: StateReady})
	harness.step(ms, AttemptResult{Request: 1, Host: "p", RequestDone: true, Role: RolePrimary, Position: harness.now})
	for _, group := range harness.router.sortedGroups {
		if group.primary != nil {
			t.Errorf("group %d has the primary %s, want none", group.id, group.primary.ID)
		}
	}
	harness.step(2 * maintenanceInterval)
	if hosts := len(harness.router.groups[1].hosts); hosts != 2 {
		t.Errorf("the first group has %d hosts, want a and b", hosts)
	}
}
