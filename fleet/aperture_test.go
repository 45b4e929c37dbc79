package fleet

import (
	"slices"
	"testing"
)

func newAperture() (aperture Aperture, preferenceOrder []int) {
	assignment := AssignSubsets(NewNamedRoster(Gateway{Name: "g"}, newGateways(20, 0, nil)), newHosts(6, 0), 2)
	aperture.Update(assignment)
	return aperture, assignment.PreferenceOrder()
}

// While all hosts are healthy, only the subset is in use. If a host of the subset fails, another host is in use at once
// and stays in use for ten seconds. If no host has capacity, all hosts are in use.
func TestAperture(t *testing.T) {
	aperture, order := newAperture()
	failed := map[int]bool{}
	capacity := func(host int) float64 {
		if failed[host] {
			return 0
		}
		return 1
	}
	wantInUse := func(now float64, want ...int) {
		t.Helper()
		var got []int
		for host, inUse := range aperture.InUse(now, capacity) {
			if inUse {
				got = append(got, host)
			}
		}
		slices.Sort(want)
		if !slices.Equal(got, want) {
			t.Errorf("at %.0f ms: hosts %v are in use, want %v", now, got, want)
		}
	}
	wantInUse(0, order[0], order[1])
	failed[order[0]] = true
	wantInUse(100, order[0], order[1], order[2])
	failed[order[0]] = false
	wantInUse(200, order[0], order[1], order[2])
	wantInUse(10_000, order[0], order[1], order[2])
	wantInUse(10_101, order[0], order[1])
	for host := range 6 {
		failed[host] = true
	}
	wantInUse(20_000, 0, 1, 2, 3, 4, 5)
	clear(failed)
	wantInUse(31_000, order[0], order[1], order[4], order[5])
	wantInUse(40_000, order[0], order[1])
}

// A warming host counts by its capacity share: if both hosts of the subset have a fifth of their capacity, two extra
// hosts are in use.
func TestApertureCountsCapacityShares(t *testing.T) {
	aperture, order := newAperture()
	capacity := func(host int) float64 {
		if host == order[0] || host == order[1] {
			return 0.2
		}
		return 1
	}
	count := 0
	for _, inUse := range aperture.InUse(0, capacity) {
		if inUse {
			count++
		}
	}
	if count != 4 {
		t.Errorf("%d hosts are in use, want 4: two warming and two healthy ones", count)
	}
}
