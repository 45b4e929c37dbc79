package fleet

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// For any sizes: a subset has no host twice, no host is in more than a tenth above the mean number of subsets, and the
// order of preference has every host once. Every gateway computes the same assignment as the others.
func TestAssignSubsets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gatewayCount, hostCount := rapid.IntRange(1, 80).Draw(t, "gateways"), rapid.IntRange(1, 30).Draw(t, "hosts")
		size, zones := rapid.IntRange(1, 6).Draw(t, "size"), rapid.IntRange(0, 3).Draw(t, "zones")
		gateways, hosts := newGateways(gatewayCount, zones, nil), newHosts(hostCount, zones)
		self := rapid.IntRange(0, gatewayCount-1).Draw(t, "self")
		assignment := AssignSubsets(NewNamedRoster(gateways[self], gateways), hosts, size)
		other := AssignSubsets(NewNamedRoster(gateways[0], gateways), hosts, size)
		if !slices.Equal(assignment.SubsetCounts(), other.SubsetCounts()) {
			t.Fatal("two gateways compute different assignments")
		}
		order := assignment.PreferenceOrder()
		if want := min(size, hostCount); assignment.SubsetSize() != want || len(order) != hostCount {
			t.Fatalf("subsets of %d, order of %d", assignment.SubsetSize(), len(order))
		}
		for i, host := range slices.Sorted(slices.Values(order)) {
			if host != i {
				t.Fatalf("the order is no permutation: %v", order)
			}
		}
		maxCount := int(math.Ceil(float64(assignment.SubsetSize()*gatewayCount) / float64(hostCount) * 1.1))
		for host, count := range assignment.SubsetCounts() {
			if assignment.SubsetSize() < hostCount && count > maxCount {
				// a host may be in more subsets only if all others of a gateway were at the bound
				if count > maxCount+assignment.SubsetSize() {
					t.Fatalf("host %d is in %d subsets, %d at most", host, count, maxCount)
				}
			}
		}
	})
}

// With 300 gateways and 120 hosts in twelve groups of ten, no host is in more than 1.11 times the mean number of
// subsets, in ten fleets. Most picks are in the gateway's own zone.
func TestAssignSubsetsIsEven(t *testing.T) {
	imbalance := func(s *SubsetAssignment) float64 {
		sum := 0
		for _, count := range s.SubsetCounts() {
			sum += count
		}
		return float64(slices.Max(s.SubsetCounts())) * float64(len(s.hosts)) / float64(sum)
	}
	for fleet := range 10 {
		gateways := newGateways(300, 3, nil)
		for i := range gateways {
			gateways[i].Name = fmt.Sprintf("f%d-%d", fleet, i)
		}
		for group := range 12 {
			hosts := newHosts(10, 3)
			for i := range hosts {
				hosts[i].ID = fmt.Sprintf("%d-%d", group, i)
			}
			assignment := AssignSubsets(NewNamedRoster(gateways[0], gateways), hosts, 2)
			if got := imbalance(assignment); got > 1.11 {
				t.Errorf("fleet %d, group %d: a host is in %.2f times the mean number of subsets", fleet, group, got)
			}
			inOwnZone := 0
			for gateway := range gateways {
				for _, host := range assignment.subsetOf(gateway) {
					if assignment.sameZone(gateway, int(host)) {
						inOwnZone++
					}
				}
			}
			if inOwnZone < 540 {
				t.Errorf("%d of 600 picks are in the gateway's own zone", inOwnZone)
			}
		}
	}
}

// movedHosts counts, over the first gateways of two assignments, the hosts that are in a gateway's subset before and
// not after: the largest number for one host, and the sum.
func movedHosts(before, after *SubsetAssignment, gatewayCount int) (most, sum int) {
	movedByHost := map[string]int{}
	for gateway := range gatewayCount {
		for _, host := range before.subsetOf(gateway) {
			id := before.hosts[host].ID
			if !slices.ContainsFunc(after.subsetOf(gateway), func(other int32) bool { return after.hosts[other].ID == id }) {
				movedByHost[id]++
			}
		}
	}
	for _, moved := range movedByHost {
		most, sum = max(most, moved), sum+moved
	}
	return most, sum
}

// One gateway more moves at most two subsets at a host, a tenth more gateways move few, one host more moves about its
// own share.
func TestAssignSubsetsMovesLittle(t *testing.T) {
	gateways := newGateways(400, 0, nil)
	for i := range gateways {
		gateways[i].Name = fmt.Sprintf("%04d", i)
	}
	assign := func(gatewayCount, hostCount int) *SubsetAssignment {
		return AssignSubsets(NewNamedRoster(gateways[0], gateways[:gatewayCount]), newHosts(hostCount, 0), 2)
	}
	worst := 0
	for count := 100; count < 330; count += 10 {
		before := assign(count, 10)
		most, _ := movedHosts(before, assign(count+1, 10), count)
		worst = max(worst, most)
		if _, sum := movedHosts(before, assign(count+count/10, 10), count); sum > count/4 {
			t.Errorf("%d gateways and a tenth more: %d of %d subsets' hosts moved", count, sum, 2*count)
		}
	}
	if worst > 2 {
		t.Errorf("one gateway more moved %d subsets at one host", worst)
	}
	if _, sum := movedHosts(assign(300, 10), assign(300, 11), 300); sum > 150 {
		t.Errorf("one host more moved %d of 600", sum)
	}
}

func BenchmarkAssignSubsets(b *testing.B) {
	for _, count := range []int{300, 1000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			roster, hosts := NewNamedRoster(Gateway{Name: "g0"}, newGateways(count, 3, nil)), newHosts(10, 3)
			for b.Loop() {
				AssignSubsets(roster, hosts, 2)
			}
		})
	}
}
