package fleet

import (
	"maps"
	"slices"
)

// Aperture decides which hosts of a group this gateway uses now: those it prefers, as many as its subset has sound ones.
// It widens at once where they fail, are cold or have no room. What it needed beyond its subset it goes on using for a
// while, and lets go a host at a time.
type Aperture struct {
	hosts []Host
	order []int
	size  int
	until map[string]float64 // by host beyond the subset: it is used until then
}

const (
	holdMs   = 10_000.0 // that a host stays in use once it was needed: longer than most hosts take to come back
	narrowMs = 1_000.0  // more for each further host, so that not all are let go at a time
)

// Update takes in a new dealing. Hosts that were needed stay in use for their time.
func (a *Aperture) Update(d *SubsetAssignment) {
	a.hosts, a.order, a.size = d.hosts, d.PreferenceOrder(), d.SubsetSize()
	if a.until == nil {
		a.until = map[string]float64{}
	}
	maps.DeleteFunc(a.until, func(id string, _ float64) bool {
		return !slices.ContainsFunc(a.hosts, func(h Host) bool { return h.ID == id })
	})
}

// InUse tells which hosts, by index, are in use at a time. capacity is what each can do here and now: 0 for one that
// fails or has no room, its warmth for one that is cold, 1 for a sound one. Hosts are taken in order until they have the
// capacity of a subset of sound ones, so a group in which any host can do anything is never left without one.
func (a *Aperture) InUse(now float64, capacity func(host int) float64) []bool {
	use, have := make([]bool, len(a.order)), 0.0
	for i, h := range a.order {
		id := a.hosts[h].ID
		needed := i < a.size || have < float64(a.size)
		if needed {
			have += capacity(h)
		}
		if needed && i >= a.size {
			a.until[id] = now + holdMs + narrowMs*float64(i-a.size)
		}
		until, held := a.until[id]
		if use[h] = needed || held && now < until; held && !use[h] {
			delete(a.until, id)
		}
	}
	return use
}
