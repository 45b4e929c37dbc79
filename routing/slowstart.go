package routing

import (
	"slices"
	"time"

	"merlinjunction/fleet"
)

// Slow start. A host that has just started has only a share of its capacity. It fails if its load exceeds
// Settings.OverloadMultiple times that share for Settings.OverloadWindow. All gateways together keep the
// load below that: each one limits its own sends according to its part of the traffic, which package fleet
// computes.

const (
	// slowStartBurstSeconds is how many seconds of unused budget a host accumulates.
	slowStartBurstSeconds = 0.3
	// slowStartUsableShare is the share of the overload limit that is used. The rest is a reserve for uneven
	// traffic and for gateways whose information differs.
	slowStartUsableShare = 0.8
	// clientAttemptsPerRequest is how often a client is assumed to send a request that is rejected, including
	// the first time. No setting states this number.
	clientAttemptsPerRequest = 1.5
	// minBudgetRate is the number of sends per second from which a gateway limits a host by a token budget. At
	// lower rates, whole tokens are too coarse a limit across all gateways, so requests are admitted at
	// random.
	minBudgetRate = 1
)

// capacityShare returns the share of its capacity that a host is certain to have, from 0 to 1.
func (r *Router) capacityShare(host *host) float64 {
	age := r.now - host.StartedAt
	if host.StartedAt == 0 || age >= r.settings.SlowStartWindow {
		return 1
	}
	least, window := r.settings.SlowStartMinShare, r.settings.SlowStartWindow.Seconds()
	return least + (1-least)*max(0, age.Seconds())/window
}

// warmingUp reports whether a host is ready but not certain to have its full capacity.
func (r *Router) warmingUp(host *host) bool {
	return host.State == StateReady && r.capacityShare(host) < 1
}

// anyWarmingUp reports whether any host of a group is warming up.
func (r *Router) anyWarmingUp(group *group) bool {
	return slices.ContainsFunc(group.hosts, r.warmingUp)
}

// allWarmedUp reports whether no host of any group is warming up.
func (r *Router) allWarmedUp() bool { return !slices.ContainsFunc(r.sortedGroups, r.anyWarmingUp) }

// slowStartLimit returns the limit on a warming host that all gateways keep together.
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

// slowStartRate returns how many sends per second this gateway may make to a warming host. It follows from
// the rate at which the host's group has answered this gateway.
func (r *Router) slowStartRate(host *host) float64 {
	return r.slowStartLimit().AdmitRate(r.capacityShare(host), host.group.peakAnswerRate)
}

// usesRandomAdmission reports whether requests to a warming host are admitted at random instead of by a
// token budget. A request that is not admitted is then given up (request.droppedBySlowStart), because a
// second draw would raise the probability of admission.
func (r *Router) usesRandomAdmission(host *host) bool { return r.slowStartRate(host) < minBudgetRate }

// passesSlowStartAsPrimary calls passesSlowStart for a request whose host is the primary or the listed
// primary (receivesAsPrimary).
func (r *Router) passesSlowStartAsPrimary(primary *host, request *request) bool {
	return r.passesSlowStart(primary, r.primaryLoadSent/r.totalLoadSent, r.now-request.arrivedAt)
}

// passesSlowStart reports whether a host may get one more request. It always may once it has warmed up.
// Before that, the call takes a token from the host's budget or, where requests are admitted at random,
// makes a draw. trafficShare is the share of this gateway's traffic to the group that goes to the host, and
// waited is how long the request has waited.
func (r *Router) passesSlowStart(host *host, trafficShare float64, waited time.Duration) bool {
	capacityShare := r.capacityShare(host)
	if capacityShare >= 1 {
		return true
	}
	if host == host.group.primary || host == host.group.listedPrimary {
		// The eligible hosts also get the traffic of the others, so this one gets at least an even share.
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

// eligibleCount returns the number of eligible hosts in a group.
func (r *Router) eligibleCount(group *group) float64 {
	count := 0.0
	for _, host := range group.hosts {
		if r.eligible(host) {
			count++
		}
	}
	return count
}
