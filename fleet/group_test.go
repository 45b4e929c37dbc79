package fleet

import (
	"math"
	"testing"
)

// If a host gets more of this gateway's traffic than the assignment predicts, the same is assumed of all gateways.
func TestFleetShareAbovePrediction(t *testing.T) {
	var group Group
	group.Update(NewNamedRoster(Gateway{Name: "g0"}, newGateways(30, 0, nil)), newHosts(6, 0), 2)
	fullCapacity := func(int) float64 { return 1 }
	order := group.assignment.PreferenceOrder()
	if share := group.FleetShare(0, order[0], 0.5, 1, fullCapacity); share > 0.25 {
		t.Errorf("fleet share %.2f, want at most 0.25: a third of the fleet sends half of its traffic", share)
	}
	half, whole := group.FleetShare(0, order[0], 0.5, 1, fullCapacity), group.FleetShare(0, order[0], 1, 1, fullCapacity)
	if math.Abs(whole-2*half) > 1e-9 {
		t.Errorf("fleet share %.2f for half of the gateway's traffic and %.2f for all of it, want twice as much", half, whole)
	}
	if share := group.FleetShare(0, order[5], 0.4, 1, fullCapacity); share < 0.4 {
		t.Errorf("a host that is not expected to be used has a fleet share of %.2f, want at least 0.4", share)
	}
}

// Changed loads keep the subset assignment and change the fleet shares. A changed zone leads to a new assignment.
func TestGroupUpdateReassignsOnlyIfNeeded(t *testing.T) {
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
		t.Error("changed loads led to a new assignment")
	}
	if after := group.FleetShare(0, host, 0.5, 1, capacityShare); after == before {
		t.Error("changed loads did not change the fleet share")
	}
	gateways[3].Zone = "z"
	update()
	if &group.assignment.subsets[0] == subsets {
		t.Error("a changed zone did not lead to a new assignment")
	}
}
