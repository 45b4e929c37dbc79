package fleet

import (
	"maps"
	"slices"
)

const (
	// extraHostUseMs is how long a host beyond the subset stays in use after it was last needed: longer than most hosts
	// take to recover.
	extraHostUseMs = 10_000.0
	// extraHostStaggerMs is added for each further host, so that they are released one after another.
	extraHostStaggerMs = 1_000.0
)

// Aperture decides which hosts of a group this gateway uses now: its subset and, while that has less capacity than
// subsetSize healthy hosts, further hosts in order of preference until all of them together have as much. So it widens
// at once if hosts of the subset fail, warm up or have no capacity. Hosts beyond the subset stay in use for a while and
// are released one at a time.
type Aperture struct {
	hosts           []Host
	preferenceOrder []int
	subsetSize      int
	inUseUntil      map[string]float64 // by ID, of hosts beyond the subset
}

// Update replaces the subset assignment. Hosts that were needed stay in use for their time.
func (a *Aperture) Update(assignment *SubsetAssignment) {
	a.hosts = assignment.hosts
	a.preferenceOrder = assignment.PreferenceOrder()
	a.subsetSize = assignment.SubsetSize()
	if a.inUseUntil == nil {
		a.inUseUntil = map[string]float64{}
	}
	maps.DeleteFunc(a.inUseUntil, func(id string, _ float64) bool {
		return !slices.ContainsFunc(a.hosts, func(h Host) bool { return h.ID == id })
	})
}

// InUse reports for each host, by index, whether it is in use. capacity is what a host can serve now: 0 for one that
// fails or is full, its capacity share for one that warms up, 1 for a healthy one. If any host has capacity, at least
// one such host is in use. InUse also changes the aperture: it extends the use of the hosts beyond the subset that are
// needed now, and ends that of hosts whose time is over.
func (a *Aperture) InUse(now float64, capacity func(host int) float64) []bool {
	inUse, total := make([]bool, len(a.preferenceOrder)), 0.0
	for rank, host := range a.preferenceOrder {
		id := a.hosts[host].ID
		needed := rank < a.subsetSize || total < float64(a.subsetSize)
		if needed {
			total += capacity(host)
		}
		if needed && rank >= a.subsetSize {
			a.inUseUntil[id] = now + extraHostUseMs + extraHostStaggerMs*float64(rank-a.subsetSize)
		}
		until, retained := a.inUseUntil[id]
		inUse[host] = needed || retained && now < until
		if retained && !inUse[host] {
			delete(a.inUseUntil, id)
		}
	}
	return inUse
}
