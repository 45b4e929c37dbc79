package routing

import (
	"slices"

	"merlinjunction/fleet"
)

// Subset assignment: which hosts of a group this gateway prefers for reads. Package fleet computes the
// assignment from the gateways and the ready hosts, so all gateways get the same result. The assignment
// includes the primary, because the gateways learn late, and at different times, which host it is.

// updateSubset recomputes a group's assignment if the hosts or gateways have changed. It reports whether
// this gateway uses subsets.
func (r *Router) updateSubset(group *group) bool {
	if r.settings.SubsetSize == 0 {
		return false
	}
	if group.subsetVersion == r.topologyVersion {
		return true
	}
	group.subsetVersion = r.topologyVersion
	group.subsetHosts = group.subsetHosts[:0]
	var assigned []fleet.Host
	for _, host := range group.hosts {
		host.subsetIndex = -1
		if host.State == StateReady {
			host.subsetIndex = len(assigned)
			group.subsetHosts = append(group.subsetHosts, host)
			assigned = append(assigned, fleet.Host{ID: host.ID, Zone: host.Zone})
		}
	}
	group.subset.Update(r.roster, assigned, r.settings.SubsetSize)
	return true
}

// preferSubset returns the candidate hosts of a read that are in use in this gateway's subset, or all
// candidates if none is.
func (r *Router) preferSubset(group *group, hosts []*host) []*host {
	if len(hosts) < 2 || !r.updateSubset(group) {
		return hosts
	}
	inUse := group.subset.InUse(durationToMillis(r.now), func(index int) float64 {
		assigned := group.subsetHosts[index]
		if assigned != group.primary && r.mayReceive(assigned) {
			return r.capacityShare(assigned)
		}
		return 0
	})
	preferred := slices.DeleteFunc(slices.Clone(hosts), func(candidate *host) bool {
		return candidate.subsetIndex < 0 || !inUse[candidate.subsetIndex]
	})
	if len(preferred) == 0 {
		return hosts
	}
	return preferred
}

// fleetTrafficShare returns the share of a group's traffic from all gateways that goes to a host, given the
// share of this gateway's traffic (ownShare) that does.
func (r *Router) fleetTrafficShare(host *host, ownShare float64) float64 {
	group := host.group
	mayBePrimary := host == group.primary || host == group.listedPrimary
	if mayBePrimary || !r.updateSubset(group) || host.subsetIndex < 0 {
		return ownShare
	}
	nowMs := durationToMillis(r.now)
	return group.subset.FleetShare(nowMs, host.subsetIndex, ownShare, ownZoneWeight, func(index int) float64 {
		return r.capacityShare(group.subsetHosts[index])
	})
}
