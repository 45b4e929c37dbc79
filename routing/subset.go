package routing

import (
	"slices"

	"merlinjunction/fleet"
)

// Subset assignment: which hosts of a group this gateway prefers for reads. Package fleet assigns them, the
// same way at each gateway, from the gateways and the hosts that are ready. The primary is assigned too:
// which host it is becomes known late, and not to all gateways at the same time.

// updateSubset brings a group's assignment up to date. It reports whether this gateway keeps to a subset at
// all.
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

// preferSubset returns those of the hosts that a read may go to that this gateway prefers, or all where it
// prefers none of them.
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

// fleetTrafficShare is the part of its group's traffic that comes to a host from all gateways, where
// ownShare of this gateway's does.
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
