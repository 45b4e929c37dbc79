package fleet

import (
	"maps"
	"slices"
)

const (
	// extraHostUseMs is how long a host outside the subset stays in use after it was last needed. Most hosts recover in
	// less time.
	extraHostUseMs = 10_000.0
	// extraHostStaggerMs is added to extraHostUseMs for each further extra host, so that they are released one after
	// another.
	extraHostStaggerMs = 1_000.0
)

// Aperture decides which hosts of a group this gateway uses. It always uses its subset. While the subset has less
// capacity than subsetSize healthy hosts, the gateway also uses extra hosts, in order of preference, until the hosts in
// use together have that capacity. So the aperture widens as soon as hosts of the subset fail, warm up or have no spare
// capacity. Extra hosts stay in use for a while after they were last needed and are released one at a time.
type Aperture struct {
	hosts           []Host
	preferenceOrder []int
	subsetSize      int
	inUseUntil      map[string]float64 // by host ID; only hosts outside the subset
}

// Update replaces the subset assignment. Extra hosts that are still in the group stay in use until their time is over.
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

// InUse reports for each host, by index, whether it is in use. capacity returns what a host can serve now: 0 if it fails
// or is full, its capacity share if it is warming up, 1 if it is healthy. If any host has capacity, at least one such
// host is in use. InUse also changes the aperture: it extends the time of the extra hosts that are needed now, and
// releases the extra hosts whose time is over.
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
