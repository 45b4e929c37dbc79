package routing

import (
	"slices"
	"time"

	"merlinjunction/fleet"
)

// Slow start. A host that has just started has only part of its capacity, and one that gets more than
// Settings.OverloadMultiple of that part for Settings.OverloadWindow fails. All gateways keep it below that
// together: each limits what it sends by its own part of the traffic, which package fleet works out.

const (
	// slowStartBurstSeconds is how long a host's unused budget of sends is kept.
	slowStartBurstSeconds = 0.3
	// slowStartUsableShare is the part used of the load under which a warming host fails. The rest covers uneven
	// traffic, and facts that differ between gateways.
	slowStartUsableShare = 0.8
	// clientAttemptsPerRequest is how often clients are assumed to send a request that is rejected, the first
	// time included: no setting gives it.
	clientAttemptsPerRequest = 1.5
	// minBudgetRate is the number of sends per second from which a gateway keeps a budget for a host. Below it
	// a budget of whole sends is too coarse over all gateways: requests are admitted by chance.
	minBudgetRate = 1
)

// capacityShare is the part of its capacity that a host has for certain, 0 to 1.
func (r *Router) capacityShare(host *host) float64 {
	age := r.now - host.StartedAt
	if host.StartedAt == 0 || age >= r.settings.SlowStartWindow {
		return 1
	}
	least, window := r.settings.SlowStartMinShare, r.settings.SlowStartWindow.Seconds()
	return least + (1-least)*max(0, age.Seconds())/window
}

// warmingUp reports whether a ready host has not all of its capacity for certain.
func (r *Router) warmingUp(host *host) bool {
	return host.State == StateReady && r.capacityShare(host) < 1
}

// anyWarmingUp reports whether a host of the group is warming up.
func (r *Router) anyWarmingUp(group *group) bool {
	return slices.ContainsFunc(group.hosts, r.warmingUp)
}

// allWarmedUp reports whether no host of any group is warming up.
func (r *Router) allWarmedUp() bool { return !slices.ContainsFunc(r.sortedGroups, r.anyWarmingUp) }

// slowStartLimit is the limit that all gateways keep together on a warming host.
func (r *Router) slowStartLimit() fleet.SlowStartLimit {
	return fleet.SlowStartLimit{
		HostCount:          float64(r.largestGroupSize),
		OverloadMultiple:   r.settings.OverloadMultiple,
		UsableShare:        slowStartUsableShare,
		OverloadWindowMs:   durationToMillis(r.settings.OverloadWindow),
		AttemptsPerRequest: clientAttemptsPerRequest,
		LoadFactor:         r.loadEstimator.Factor(durationToMillis(r.now)),
	}
}

// slowStartRate is how many sends per second a warming host may get from here, by what its group has
// answered here.
func (r *Router) slowStartRate(host *host) float64 {
	return r.slowStartLimit().AdmitRate(r.capacityShare(host), host.group.peakAnswerRate)
}

// isAdmittedByChance reports whether requests to a warming host are admitted by chance rather than by a
// budget. One that is not admitted is given up then (request.droppedBySlowStart): to draw again for it later
// would undo the draw.
func (r *Router) isAdmittedByChance(host *host) bool { return r.slowStartRate(host) < minBudgetRate }

// acquireSlowStartAsPrimary is acquireSlowStart for a request whose host is the primary, or is listed as such
// (receivesAsPrimary).
func (r *Router) acquireSlowStartAsPrimary(primary *host, request *request) bool {
	return r.acquireSlowStart(primary, r.primaryLoadSent/r.totalLoadSent, r.now-request.arrivedAt)
}

// acquireSlowStart acquires one more send to a host, and reports whether the host gets it: one that is
// warming up may have enough already. It takes a token from the host's budget, or makes a random draw where
// requests are admitted by chance. trafficShare is the part of its group's traffic here that comes to the
// host, waited how long the request has waited.
func (r *Router) acquireSlowStart(host *host, trafficShare float64, waited time.Duration) bool {
	capacityShare := r.capacityShare(host)
	if capacityShare >= 1 {
		return true
	}
	if host == host.group.primary || host == host.group.listedPrimary {
		// The traffic of the hosts that aren't eligible comes to the others, so at least an even part comes here.
		trafficShare = max(trafficShare, 1/max(1, r.eligibleCount(host.group)))
	}
	fleetShare := r.fleetTrafficShare(host, trafficShare)
	if rate := r.slowStartRate(host); rate >= minBudgetRate {
		quota := rate * r.roster.QuotaScale(trafficShare/fleetShare)
		return host.slowStartBudget.Take(durationToMillis(r.now), quota, slowStartBurstSeconds)
	}
	probability := r.slowStartLimit().AdmitProbability(capacityShare, fleetShare, durationToMillis(waited))
	return probability >= 1 || r.rng.Float64() < probability
}

// eligibleCount is the number of a group's hosts that may get a request now.
func (r *Router) eligibleCount(group *group) float64 {
	count := 0.0
	for _, host := range group.hosts {
		if r.eligible(host) {
			count++
		}
	}
	return count
}
