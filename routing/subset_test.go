package routing

import (
	"fmt"
	"testing"
	"time"

	"merlinjunction/fleet"
)

// newSubsetHarness creates one of eight gateways with a subset size of two, and lists a primary "m0" and six
// replicas that have reported their position.
func newSubsetHarness(t *testing.T, gatewayNumber int, change func(*Settings)) *harness {
	t.Helper()
	harness := newHarness(t, func(s *Settings) {
		s.GatewayCount, s.GatewayNumber, s.SubsetSize = 8, gatewayNumber, 2
		if change != nil {
			change(s)
		}
	})
	var endpoints []Endpoint
	for i := range 7 {
		endpoints = append(endpoints, Endpoint{ID: hostName(i), State: StateReady})
	}
	harness.list(endpoints...)
	harness.step(0, HealthCheckResult{
		Host: "m0", Outcome: OutcomeOK, Role: RolePrimary, Position: harness.position(),
	})
	for i := range 7 {
		harness.step(0, HealthCheckResult{Host: hostName(i), Outcome: OutcomeOK, Position: harness.position()})
	}
	return harness
}

// position returns the current position by the clock of the last step.
func (h *harness) position() Position { return h.now - h.router.settings.PositionEpoch }

// subsetRequest returns a request for the group of newSubsetHarness.
func subsetRequest(id uint64, class int) Request {
	return Request{ID: id, Class: class, Tenant: -1, TimeLeft: time.Second}
}

// readsByHost sends reads that any host may serve, one after another, and returns their number by host.
func (h *harness) readsByHost(firstID uint64, count int) map[string]int {
	reads := map[string]int{}
	for i := range uint64(count) {
		for _, host := range attemptedHosts(h.step(ms, subsetRequest(firstID+i, classAny))) {
			reads[host]++
			h.step(ms, AttemptResult{
				Request: firstID + i, Host: host, Outcome: OutcomeOK, RequestDone: true, Position: h.position(),
			})
		}
	}
	return reads
}

// lateReadsCount changes settings so that late answers to reads have their full weight.
func lateReadsCount(s *Settings) {
	class := &s.Classes[classAny]
	class.Consistency, class.MaxStaleness, class.LateWeightShare = ConsistencyAny, 0, 1
}

// Eight gateways that know their numbers must use two replicas each, chosen at random for each read, and
// together nearly all replicas. A gateway of unknown number must use all.
func TestGatewaysKeepToTheirSubsets(t *testing.T) {
	gatewaysByHost := map[string]int{}
	for number := 1; number <= 8; number++ {
		reads := newSubsetHarness(t, number, lateReadsCount).readsByHost(100, 40)
		if len(reads) != 2 {
			t.Errorf("gateway %d used %v, want 2 hosts", number, reads)
		}
		for host, count := range reads {
			gatewaysByHost[host]++
			if count < 8 {
				t.Errorf("gateway %d sent %d of 40 reads to %s, want at least 8", number, count, host)
			}
		}
	}
	if len(gatewaysByHost) < 6 {
		t.Errorf("all gateways together used %v, want at least 6 hosts", gatewaysByHost)
	}
	if reads := newSubsetHarness(t, 0, lateReadsCount).readsByHost(100, 60); len(reads) < 6 {
		t.Errorf("a gateway of unknown number used %v, want at least 6 hosts", reads)
	}
}

// A host of the subset that refuses a connection or drains must be replaced at once. No request may wait or
// be rejected because of it.
func TestUnavailableHostsOfASubsetAreReplacedAtOnce(t *testing.T) {
	harness := newSubsetHarness(t, 3, lateReadsCount)
	var subset []string
	for host := range harness.readsByHost(100, 40) {
		subset = append(subset, host)
	}
	failed := attemptedHosts(harness.step(ms, subsetRequest(500, classAny)))[0]
	retried := attemptedHosts(harness.step(ms,
		AttemptResult{Request: 500, Host: failed, Outcome: OutcomeNoConnection}))
	if len(retried) != 1 || retried[0] == failed {
		t.Fatalf("after %s refused a connection, the retry went to %v, want one other host", failed, retried)
	}
	harness.step(ms, AttemptResult{
		Request: 500, Attempt: 1, Host: retried[0], Outcome: OutcomeOK, RequestDone: true,
	})
	if reads := harness.readsByHost(600, 20); len(reads) != 2 || reads[failed] > 0 {
		t.Errorf("while %s is ejected, reads went to %v, want 2 other hosts", failed, reads)
	}
	harness.step(0, EndpointUpdate{Endpoints: []Endpoint{
		{ID: subset[0], State: StateDraining}, {ID: subset[1], State: StateDraining},
	}})
	if reads := harness.readsByHost(700, 20); len(reads) != 2 || reads[subset[0]]+reads[subset[1]] > 0 {
		t.Errorf("while %v drain, reads went to %v, want 2 other hosts", subset, reads)
	}
}

// A gateway that joins the roster must change the subsets of the others only if necessary.
func TestRosterChangesAlterTheSubsetOnlyWhereNeeded(t *testing.T) {
	harness := newSubsetHarness(t, 0, lateReadsCount)
	gateways := func(count int) []fleet.Gateway {
		var gateways []fleet.Gateway
		for i := range count {
			gateways = append(gateways, fleet.Gateway{Name: fmt.Sprintf("g%d", i)})
		}
		return gateways
	}
	changes := 0
	var previous map[string]int
	for count := 3; count < 12; count++ {
		harness.step(0, RosterUpdate{fleet.NewNamedRoster(fleet.Gateway{Name: "g1"}, gateways(count))})
		reads := harness.readsByHost(uint64(1000*count), 30)
		if len(reads) < 2 || len(reads) > 3 { // a host of the previous subset stays for a while if it was needed
			t.Errorf("with %d gateways reads went to %v, want 2 or 3 hosts", count, reads)
		}
		for host := range reads {
			if previous != nil && previous[host] == 0 {
				changes++
				break
			}
		}
		previous = reads
	}
	if changes > 4 {
		t.Errorf("%d of 8 joins changed the subset, want at most 4", changes)
	}
}

// Reads may ask only replicas of the subset for their position, and a new host must not get health checks
// from every gateway.
func TestOnlyTheSubsetGetsHealthChecks(t *testing.T) {
	harness := newSubsetHarness(t, 2, func(s *Settings) {
		s.StalenessCheck, s.HealthChecksAllowed = StalenessCheckNone, true
	})
	checked := map[string]bool{}
	step := func(events ...Event) []Action { // answers health checks and returns all actions
		harness.now += 50 * ms
		var actions []Action
		for _, action := range harness.router.Step(harness.now, events) {
			if check, ok := action.(HealthCheck); ok {
				checked[check.Host] = true
				report := HealthCheckResult{
					Host: check.Host, Outcome: OutcomeOK, Role: RoleReplica, Position: harness.position(),
				}
				actions = append(actions, harness.router.Step(harness.now, []Event{report})...)
			}
			actions = append(actions, action)
		}
		return actions
	}
	for id := uint64(100); id < 130; id++ {
		for _, host := range attemptedHosts(step(subsetRequest(id, classBounded))) {
			step(AttemptResult{Request: id, Host: host, Outcome: OutcomeOK, RequestDone: true})
		}
	}
	if len(checked) == 0 || len(checked) > 3 {
		t.Errorf("health checks of %v, want 1 to 3 hosts", checked)
	}
	clear(checked)
	step(EndpointUpdate{Endpoints: []Endpoint{{ID: "new", State: StateReady}}})
	if len(checked) > 0 {
		t.Error("a new host got a health check although no read needs its position")
	}
}
