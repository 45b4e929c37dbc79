package fleet

import "slices"

// sharesCacheMs is how long computed traffic shares are reused: hosts warm up little in that time.
const sharesCacheMs = 100.0

// Group is a gateway's view of the hosts of one group: their subset assignment, the hosts in use and their shares of
// traffic. The zero value has no hosts.
type Group struct {
	assignment         *SubsetAssignment
	aperture           Aperture
	fleetShares        []float64 // of the group's traffic, by host; nil: not computed
	ownShares          []float64 // of this gateway's traffic to the group, by host
	sharesComputedAtMs float64
}

// Update sets the gateways that share the hosts, the hosts and the size of a subset. It assigns subsets anew if
// anything but the gateways' loads has changed.
func (g *Group) Update(roster *Roster, hosts []Host, subsetSize int) {
	current := g.assignment
	unchanged := current != nil && current.matches(roster, hosts, subsetSize)
	switch {
	case unchanged && current.roster == roster:
		return
	case unchanged: // only loads have changed
		reloaded := *current
		reloaded.roster = roster
		g.assignment = &reloaded
	default:
		g.assignment = AssignSubsets(roster, hosts, subsetSize)
	}
	g.fleetShares = nil
	g.aperture.Update(g.assignment)
}

// matches reports whether an assignment for these gateways, hosts and size would be the same.
func (s *SubsetAssignment) matches(roster *Roster, hosts []Host, subsetSize int) bool {
	return s.requestedSize == subsetSize && slices.Equal(s.hosts, hosts) &&
		s.roster.namesHash == roster.namesHash && s.roster.selfIndex == roster.selfIndex
}

// InUse reports for each host, by index, whether it is in use; see Aperture.
func (g *Group) InUse(now float64, capacity func(host int) float64) []bool {
	return g.aperture.InUse(now, capacity)
}

// FleetShare is the share of the group's traffic that a host gets from the whole fleet while it gets ownShare of this
// gateway's traffic. If ownShare is more than the assignment explains, the other gateways are assumed to exceed their
// shares by the same factor, for the same cause. capacityShare is the share of its capacity that each host has (0 to 1:
// below 1 it is warming up), zoneWeight as in TrafficShares.
func (g *Group) FleetShare(
	nowMs float64, host int, ownShare, zoneWeight float64, capacityShare func(host int) float64,
) float64 {
	if g.fleetShares == nil || nowMs >= g.sharesComputedAtMs+sharesCacheMs {
		capacityShares := make([]float64, len(g.assignment.hosts))
		for i := range capacityShares {
			capacityShares[i] = capacityShare(i)
		}
		g.fleetShares, g.ownShares = g.assignment.TrafficShares(capacityShares, zoneWeight)
		g.sharesComputedAtMs = nowMs
	}
	if g.ownShares[host] <= 0 {
		return max(g.fleetShares[host], ownShare)
	}
	return g.fleetShares[host] * max(1, ownShare/g.ownShares[host])
}
