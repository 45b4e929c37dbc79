package fleet

import "slices"

// sharesCacheMs is how long computed traffic shares are reused. The capacity shares of hosts change little in that time.
const sharesCacheMs = 100.0

// Group holds a gateway's view of one group of hosts: the subset assignment, the hosts in use and the hosts' shares of
// traffic. The zero value has no hosts.
type Group struct {
	assignment         *SubsetAssignment
	aperture           Aperture
	fleetShares        []float64 // shares of the group's traffic, by host index; nil: not computed
	ownShares          []float64 // shares of this gateway's traffic to the group, by host index
	sharesComputedAtMs float64
}

// Update sets the gateways that share the hosts, the hosts and the size of a subset. It reassigns subsets if anything
// other than the gateways' loads has changed.
func (g *Group) Update(roster *Roster, hosts []Host, subsetSize int) {
	current := g.assignment
	unchanged := current != nil && current.matches(roster, hosts, subsetSize)
	switch {
	case unchanged && current.roster == roster:
		return
	case unchanged: // only loads have changed
		updated := *current
		updated.roster = roster
		g.assignment = &updated
	default:
		g.assignment = AssignSubsets(roster, hosts, subsetSize)
	}
	g.fleetShares = nil
	g.aperture.Update(g.assignment)
}

// matches reports whether the assignment was computed for the same gateways (apart from their loads), hosts and size.
func (s *SubsetAssignment) matches(roster *Roster, hosts []Host, subsetSize int) bool {
	return s.requestedSize == subsetSize && slices.Equal(s.hosts, hosts) &&
		s.roster.namesHash == roster.namesHash && s.roster.selfIndex == roster.selfIndex
}

// InUse reports for each host, by index, whether it is in use; see Aperture.InUse.
func (g *Group) InUse(now float64, capacity func(host int) float64) []bool {
	return g.aperture.InUse(now, capacity)
}

// FleetShare returns the share of the group's traffic that a host gets from the whole fleet. ownShare is the share of
// this gateway's traffic to the group that the host gets. If ownShare exceeds the share that the assignment predicts, the
// other gateways are assumed to exceed their predicted shares by the same factor, because the cause is assumed to affect
// all gateways. capacityShare returns the share of its capacity that a host has, from 0 to 1; it is below 1 while the
// host is warming up. zoneWeight is the same as for TrafficShares.
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
