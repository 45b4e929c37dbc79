package routing

import (
	"slices"
	"time"

	"merlinjunction/fleet"
)

// What one of many routers may use of its members: the subset that it keeps to, and its part of what a cold
// one can take. The sums over all routers are worked out in package fleet.

const (
	slowStartBurstSeconds    = 0.3 // seconds that a budget of a cold member is kept for
	slowStartUsableShare     = 0.8 // share used of the load that tips a cold member
	clientAttemptsPerRequest = 1.5 // of a request that was refused, in all
)

// deal tells what subsets are dealt of: the gateways, and the members that are ready (the primary too: who it
// is is known late, and not to all alike). False: this router keeps to none.
func (r *Router) updateSubset(g *group) bool {
	if r.settings.SubsetSize == 0 || g.subsetVersion == r.topologyVersion {
		return r.settings.SubsetSize > 0
	}
	var hosts []fleet.Host
	g.subsetHosts, g.subsetVersion = g.subsetHosts[:0], r.topologyVersion
	for _, m := range g.hosts {
		if m.subsetIndex = -1; m.State == StateReady {
			m.subsetIndex = len(hosts)
			g.subsetHosts, hosts = append(g.subsetHosts, m), append(hosts, fleet.Host{ID: m.ID, Zone: m.Zone})
		}
	}
	g.subset.Update(r.roster, hosts, r.settings.SubsetSize)
	return true
}

// near leaves of the members that a read may go to those that this router keeps to, if there are any.
func (r *Router) preferSubset(g *group, ms []*host) []*host {
	if len(ms) < 2 || !r.updateSubset(g) {
		return ms
	}
	use := g.subset.InUse(durationToMillis(r.now), func(i int) float64 {
		if m := g.subsetHosts[i]; m != g.primary && r.eligible(m) && r.hasCapacity(m) {
			return r.capacityShare(m)
		}
		return 0
	})
	kept := slices.DeleteFunc(slices.Clone(ms), func(m *host) bool { return m.subsetIndex < 0 || !use[m.subsetIndex] })
	if len(kept) == 0 {
		return ms
	}
	return kept
}

// part is what of its group's traffic comes to a member from all routers, where share of this one's does.
func (r *Router) fleetTrafficShare(m *host, share float64) float64 {
	g := m.group
	if m == g.primary || m == g.listedPrimary || !r.updateSubset(g) || m.subsetIndex < 0 {
		return share
	}
	warmth := func(i int) float64 { return r.capacityShare(g.subsetHosts[i]) }
	return g.subset.FleetShare(durationToMillis(r.now), m.subsetIndex, share, ownZoneWeight, warmth)
}

func (r *Router) slowStartLimit() fleet.SlowStartLimit {
	return fleet.SlowStartLimit{
		HostCount: float64(r.largestGroupSize), OverloadMultiple: r.settings.OverloadMultiple, UsableShare: slowStartUsableShare,
		OverloadWindowMs: durationToMillis(r.settings.OverloadWindow), AttemptsPerRequest: clientAttemptsPerRequest,
		LoadFactor: r.loadEstimator.Factor(durationToMillis(r.now)),
	}
}

// pace is how many sends a second a cold member may get from here, by what its group has answered here.
func (r *Router) slowStartRate(m *host) float64 {
	return r.slowStartLimit().AdmitRate(r.capacityShare(m), m.group.peakAnswerRate)
}

// admit tells whether a cold member may get one more request; share is the part of its group's traffic here
// that comes to it.
func (r *Router) admitSlowStart(m *host, share float64, waited time.Duration) bool {
	w := r.capacityShare(m)
	if w >= 1 {
		return true
	}
	fit := 0.0
	for _, o := range m.group.hosts {
		if r.eligible(o) {
			fit++
		}
	}
	if m == m.group.primary || m == m.group.listedPrimary {
		share = max(share, 1/max(1, fit)) // what members that are left alone would get comes here
	}
	part := r.fleetTrafficShare(m, share)
	if pace := r.slowStartRate(m); pace >= 1 {
		return m.slowStartBudget.Take(durationToMillis(r.now), pace*r.roster.QuotaScale(share/part), slowStartBurstSeconds)
	}
	chance := r.slowStartLimit().AdmitProbability(w, part, durationToMillis(waited))
	return chance >= 1 || r.rng.Float64() < chance
}
