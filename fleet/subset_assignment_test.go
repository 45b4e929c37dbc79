package fleet

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// For any number of gateways and hosts, the order of preference contains every host once, so a subset contains no host
// twice. The number of subsets that contain a host is bounded by 1.1 times the mean. All gateways compute the same
// assignment.
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
			t.Fatalf("subsets of %d hosts, order of %d hosts; want %d and %d",
				assignment.SubsetSize(), len(order), want, hostCount)
		}
		for i, host := range slices.Sorted(slices.Values(order)) {
			if host != i {
				t.Fatalf("the order is not a permutation of the hosts: %v", order)
			}
		}
		maxCount := int(math.Ceil(float64(assignment.SubsetSize()*gatewayCount) / float64(hostCount) * 1.1))
		for host, count := range assignment.SubsetCounts() {
			if assignment.SubsetSize() < hostCount && count > maxCount {
				// a host may be in more subsets only if a gateway found no other host below the bound
				if count > maxCount+assignment.SubsetSize() {
					t.Fatalf("host %d is in %d subsets, the bound is %d", host, count, maxCount)
				}
			}
		}
	})
}

// In ten fleets of 300 gateways and twelve groups of ten hosts, no host is in more than 1.11 times the mean number of
// subsets. Most hosts of a subset are in the gateway's own zone.
func TestAssignSubsetsBalancesHosts(t *testing.T) {
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
				t.Errorf("fleet %d, group %d: a host is in %.2f times the mean number of subsets, want at most 1.11", fleet, group, got)
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
				t.Errorf("%d of 600 picks are in the gateway's own zone, want at least 540", inOwnZone)
			}
		}
	}
}

// movedHosts compares the subsets of the first gatewayCount gateways in two assignments. For each host it counts the
// subsets that contain the host before and not after, and it returns the largest count and the sum of the counts.
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

// When a gateway joins, each host leaves at most two subsets. When the fleet grows by a tenth, few hosts move between
// subsets. When a host is added, about as many move as the new host is assigned to.
func TestAssignSubsetsMovesFewHosts(t *testing.T) {
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
			t.Errorf("from %d gateways to a tenth more: %d of %d picks moved, want at most an eighth", count, sum, 2*count)
		}
	}
	if worst > 2 {
		t.Errorf("one more gateway removed a host from %d subsets, want at most 2", worst)
	}
	if _, sum := movedHosts(assign(300, 10), assign(300, 11), 300); sum > 150 {
		t.Errorf("one more host moved %d of 600 picks, want at most 150", sum)
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
