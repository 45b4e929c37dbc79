package fleet

import (
	"math"
	"testing"
)

// What exceeds the expected share of this gateway is assumed to exceed that of all gateways.
func TestFleetShareBeyondExpectation(t *testing.T) {
	var group Group
	group.Update(NewNamedRoster(Gateway{Name: "g0"}, newGateways(30, 0, nil)), newHosts(6, 0), 2)
	fullCapacity := func(int) float64 { return 1 }
	order := group.assignment.PreferenceOrder()
	if share := group.FleetShare(0, order[0], 0.5, 1, fullCapacity); share > 0.25 {
		t.Errorf("a share of %.2f where a third of the fleet sends half", share)
	}
	half, whole := group.FleetShare(0, order[0], 0.5, 1, fullCapacity), group.FleetShare(0, order[0], 1, 1, fullCapacity)
	if math.Abs(whole-2*half) > 1e-9 {
		t.Errorf("shares of %.2f for half of the traffic and %.2f for all", half, whole)
	}
	if share := group.FleetShare(0, order[5], 0.4, 1, fullCapacity); share < 0.4 {
		t.Errorf("a share of %.2f at a host that this gateway is not expected to use", share)
	}
}

// A change of loads keeps the assignment and counts from then on; a change of a name or a zone makes a new assignment.
func TestLoadsKeepTheAssignment(t *testing.T) {
	var group Group
	gateways := newGateways(30, 2, func(int) float64 { return 10 })
	update := func() { group.Update(NewNamedRoster(gateways[0], gateways), newHosts(6, 2), 2) }
	capacityShare := func(int) float64 { return 0.5 }
	update()
	subsets, host := &group.assignment.subsets[0], group.assignment.PreferenceOrder()[0]
	before := group.FleetShare(0, host, 0.5, 1, capacityShare)
	for i := range gateways[1:] {
		gateways[i+1].Load = 1
	}
	update()
	if &group.assignment.subsets[0] != subsets {
		t.Error("other loads made a new assignment")
	}
	if after := group.FleetShare(0, host, 0.5, 1, capacityShare); after == before {
		t.Error("other loads changed nothing")
	}
	gateways[3].Zone = "z"
	update()
	if &group.assignment.subsets[0] == subsets {
		t.Error("another zone made no new assignment")
	}
}
