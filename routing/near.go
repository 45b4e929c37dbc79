package routing

import (
	"slices"
	"time"

	"merlinjunction/fleet"
)

// What one of many routers may use of its members: the subset that it keeps to, and its part of what a cold
// one can take. The sums over all routers are worked out in package fleet.

const (
	coldBurst   = 0.3 // seconds that a budget of a cold member is kept for
	coldUse     = 0.8 // share used of the load that tips a cold member
	clientTries = 1.5 // of a request that was refused, in all
)

// deal tells what subsets are dealt of: the gateways, and the members that are ready (the primary too: who it
// is is known late, and not to all alike). False: this router keeps to none.
func (r *Router) deal(g *group) bool {
	if r.set.SubsetSize == 0 || g.dealtIn == r.version {
		return r.set.SubsetSize > 0
	}
	var hosts []fleet.Host
	g.dealt, g.dealtIn = g.dealt[:0], r.version
	for _, m := range g.members {
		if m.seat = -1; m.State == StateReady {
			m.seat = len(hosts)
			g.dealt, hosts = append(g.dealt, m), append(hosts, fleet.Host{ID: m.ID, Zone: m.Zone})
		}
	}
	g.fleet.Update(r.roster, hosts, r.set.SubsetSize)
	return true
}

// near leaves of the members that a read may go to those that this router keeps to, if there are any.
func (r *Router) near(g *group, ms []*member) []*member {
	if len(ms) < 2 || !r.deal(g) {
		return ms
	}
	use := g.fleet.InUse(millis(r.now), func(i int) float64 {
		if m := g.dealt[i]; m != g.primary && r.fit(m) && r.hasRoom(m) {
			return r.warmth(m)
		}
		return 0
	})
	kept := slices.DeleteFunc(slices.Clone(ms), func(m *member) bool { return m.seat < 0 || !use[m.seat] })
	if len(kept) == 0 {
		return ms
	}
	return kept
}

// part is what of its group's traffic comes to a member from all routers, where share of this one's does.
func (r *Router) part(m *member, share float64) float64 {
	g := m.group
	if m == g.primary || m == g.named || !r.deal(g) || m.seat < 0 {
		return share
	}
	warmth := func(i int) float64 { return r.warmth(g.dealt[i]) }
	return g.fleet.FleetShare(millis(r.now), m.seat, share, ownZone, warmth)
}

func (r *Router) coldLimit() fleet.SlowStartLimit {
	return fleet.SlowStartLimit{
		HostCount: float64(r.size), OverloadMultiple: r.set.OverloadMultiple, UsableShare: coldUse,
		OverloadWindowMs: millis(r.set.OverloadWindow), AttemptsPerRequest: clientTries,
		LoadFactor: r.surge.Factor(millis(r.now)),
	}
}

// pace is how many sends a second a cold member may get from here, by what its group has answered here.
func (r *Router) pace(m *member) float64 { return r.coldLimit().AdmitRate(r.warmth(m), m.group.rate) }

// admit tells whether a cold member may get one more request; share is the part of its group's traffic here
// that comes to it.
func (r *Router) admit(m *member, share float64, waited time.Duration) bool {
	w := r.warmth(m)
	if w >= 1 {
		return true
	}
	fit := 0.0
	for _, o := range m.group.members {
		if r.fit(o) {
			fit++
		}
	}
	if m == m.group.primary || m == m.group.named {
		share = max(share, 1/max(1, fit)) // what members that are left alone would get comes here
	}
	part := r.part(m, share)
	if pace := r.pace(m); pace >= 1 {
		return m.budget.Take(millis(r.now), pace*r.roster.QuotaScale(share/part), coldBurst)
	}
	chance := r.coldLimit().AdmitProbability(w, part, millis(waited))
	return chance >= 1 || r.rng.Float64() < chance
}
