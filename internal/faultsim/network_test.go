package faultsim

import (
	"math/rand/v2"
	"testing"
)

// countDeliveries sends 1000 datagrams over a link. It returns the numbers of lost and of duplicated ones.
func countDeliveries(t *testing.T, network *Network, random *rand.Rand) (lost, duplicated int) {
	t.Helper()
	for range 1000 {
		delivery := network.DrawDelivery(random, 1, 2)
		delays := delivery.delaysMs()
		if len(delays) == 0 {
			lost++
		} else if delays[0] < 1 {
			t.Fatalf("delay of %v ms, want at least 1 ms", delays[0])
		}
		if len(delays) == 2 {
			duplicated++
		}
	}
	return lost, duplicated
}

// Loss and duplication follow the conditions of the active faults.
func TestNetworkConditions(t *testing.T) {
	network := NewNetwork(1, &NetworkConditions{DelayMs: []float64{1, 2}})
	random := rand.New(rand.NewPCG(1, 1))
	if lost, duplicated := countDeliveries(t, network, random); lost > 0 || duplicated > 0 {
		t.Errorf("%d lost, %d duplicated without faults, want none", lost, duplicated)
	}
	conditions := &NetworkConditions{LossShare: 0.3, DuplicateShare: 0.5, DelayMs: []float64{10, 20}}
	network.Apply(&Step{Operation: ChangeConditions, Conditions: conditions})
	lost, duplicated := countDeliveries(t, network, random)
	if lost < 250 || lost > 350 || duplicated < 300 || duplicated > 400 {
		t.Errorf("%d lost, %d duplicated during the fault, want 250 to 350 and 300 to 400", lost, duplicated)
	}
	network.Apply(&Step{Operation: ChangeConditions, Conditions: conditions, Undo: true})
	if lost, duplicated := countDeliveries(t, network, random); lost > 0 || duplicated > 0 {
		t.Errorf("%d lost, %d duplicated after the fault, want none", lost, duplicated)
	}
}

// A link that two faults cut is healed only when both are undone. The opposite direction is never cut.
func TestNetworkCuts(t *testing.T) {
	network := NewNetwork(1, &NetworkConditions{DelayMs: []float64{1, 2}})
	cut := &Step{Operation: Cut, Target: 1, Destinations: []int{2}}
	heal := &Step{Operation: Cut, Target: 1, Destinations: []int{2}, Undo: true}
	for i, step := range []*Step{cut, cut, heal, heal} {
		network.Apply(step)
		if got := network.IsCut(1, 2); got != (i < 3) || network.IsCut(2, 1) {
			t.Errorf("after step %d: cut is %v, want %v; opposite direction cut is %v", i, got, i < 3, network.IsCut(2, 1))
		}
	}
}
