package fleet

import "slices"

// Group is what a gateway keeps about the hosts of one group: how they are dealt, which of them it uses, and what part
// of the traffic comes to each. The zero value knows no hosts.
type Group struct {
	dealing  *SubsetAssignment
	aperture Aperture
	all, own []float64
	sharesAt float64
}

// sharesKept is for how long shares are used again: hosts warm up little meanwhile, ms.
const sharesKept = 100.0

// Update takes in who shares the hosts, which they are and how many a subset has. It deals anew if any of that changed.
func (g *Group) Update(r *Roster, hosts []Host, size int) {
	d := g.dealing
	same := d != nil && d.want == size && slices.Equal(d.hosts, hosts) && d.roster.names == r.names && d.roster.self == r.self
	switch {
	case same && d.roster == r:
		return
	case same: // only loads have changed
		again := *d
		again.roster = r
		g.dealing = &again
	default:
		g.dealing = AssignSubsets(r, hosts, size)
	}
	g.all = nil
	g.aperture.Update(g.dealing)
}

// InUse tells which hosts, by index, are in use at a time; see Aperture.
func (g *Group) InUse(now float64, capacity func(host int) float64) []bool {
	return g.aperture.InUse(now, capacity)
}

// FleetShare is the part of the group's traffic that comes to a host from the whole fleet, when share of this gateway's own
// does: where that is more than all can expect of it, the others are taken to have come to do the same, for the same
// cause. warmth is of each host, zone as for Shares.
func (g *Group) FleetShare(now float64, host int, share, zone float64, warmth func(host int) float64) float64 {
	if g.all == nil || now >= g.sharesAt+sharesKept {
		list := make([]float64, len(g.dealing.hosts))
		for i := range list {
			list[i] = warmth(i)
		}
		g.all, g.own = g.dealing.TrafficShares(list, zone)
		g.sharesAt = now
	}
	if g.own[host] <= 0 {
		return max(g.all[host], share)
	}
	return g.all[host] * max(1, share/g.own[host])
}
