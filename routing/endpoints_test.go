package routing

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestDrainingHostGetsNoNewRequests(t *testing.T) {
	harness := newHarness(t, nil)
	harness.listGroup()
	harness.update(
		Endpoint{ID: "a", Group: 1, State: StateDraining},
		Endpoint{ID: "p", Group: 1, State: StateDraining},
	)
	for id := uint64(1); id < 9; id++ {
		if host := harness.attemptedHost(harness.request(id, classAny, "")); host != "b" {
			t.Fatalf("went to %s", host)
		}
		harness.step(ms, AttemptResult{Request: id, Host: "b", RequestDone: true})
	}
	if host := harness.attemptedHost(harness.request(20, classKeyedWrite, "s")); host != "p" {
		t.Fatalf("in the drain grace period the primary accepts writes, but it went to %s", host)
	}
	harness.step(ms, AttemptResult{
		Request: 20, Host: "p", RequestDone: true, Role: RolePrimary, Position: harness.now,
	})
	harness.step(250 * ms)
	if host := harness.attemptedHost(harness.request(21, classKeyedWrite, "s")); host != "b" {
		t.Fatalf("after the drain grace period it went to %s", host)
	}
}

// The drain grace period counts from when the drain is known, which may be before the update.
func TestDrainGracePeriodCountsFromNotification(t *testing.T) {
	for _, test := range []struct {
		notifiedBefore time.Duration // the update
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
				t.Errorf("a write goes to the draining primary: %v, want %v (grace 250 ms)", used, test.used)
			}
		})
	}
}

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

// A health check of each new host by each gateway is a connection for every pair of a gateway and a host.
func TestNewHostsGetHealthChecksOnlyWithoutStalenessCheck(t *testing.T) {
	for check, want := range map[StalenessCheck]int{
		StalenessCheckNone: 2, StalenessCheckReject: 0, StalenessCheckWait: 0,
	} {
		t.Run(fmt.Sprint("staleness check ", int(check)), func(t *testing.T) {
			harness := newHarness(t, func(s *Settings) { s.StalenessCheck = check })
			update := EndpointUpdate{Full: true, Endpoints: ready("a", "b")}
			actions := harness.router.Step(harness.now, []Event{update})
			if hosts := healthCheckedHosts(actions); len(hosts) != want {
				t.Errorf("health checks of %v, want %d", hosts, want)
			}
		})
	}
}

// A list may be empty, repeated, contradictory or large, and events may come late, twice or for nothing: none of it
// may panic, send past a drain or answer twice.
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
				t.Fatalf("went to %s, whose last state was gone", host)
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
