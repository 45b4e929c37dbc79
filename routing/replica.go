package routing

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Replica selection.

const (
	// ownZoneWeight is how many times as often a host of the gateway's own zone is picked as another: traffic
	// between zones costs. The others keep a part, since a zone's traffic may be more than its hosts can
	// serve.
	ownZoneWeight = 4.0
	// positionCheckTimeout is how long a read waits for a replica's answer to a health check.
	positionCheckTimeout = 50 * time.Millisecond
)

// replicaCandidates are the replicas of a group that a read may go to.
type replicaCandidates struct {
	upToDate []*host // at or past the required position, with capacity
	lagging  []*host // behind it as far as is known, but perhaps not by much
	anyFull  bool    // a replica at or past the required position has no capacity left
}

// selectForRead returns a random replica among those at or past the required position. If there is none, it
// returns the most advanced replica where replicas check, else the primary. It returns nil where the read
// has to wait, or is to be shed (request.shed).
func (r *Router) selectForRead(request *request, required Position) *host {
	candidates := r.replicaCandidates(request, required)
	replica := r.pickReplica(request, r.preferSubset(request.group, candidates.upToDate))
	if replica != nil || request.shed {
		return replica
	}
	primary := request.group.primary
	primaryBusy := primary == nil || len(primary.openAttempts) > 0
	replicasCheck := r.settings.StalenessCheck != StalenessCheckNone
	switch {
	case candidates.anyFull && primaryBusy:
		return nil // wait for a replica; only a primary without an attempt from here helps out
	case !replicasCheck && r.awaitPosition(request, r.preferSubset(request.group, candidates.lagging)):
		return nil
	case replicasCheck && !candidates.anyFull:
		if replica := r.mostAdvancedReplica(candidates.lagging); replica != nil {
			return replica
		}
	}
	return r.availablePrimary(request.group)
}

// replicaCandidates returns the replicas that a read may go to. Where health checks tell that a checking
// replica is far behind, it is no candidate: it would only reject the read.
func (r *Router) replicaCandidates(request *request, required Position) replicaCandidates {
	var candidates replicaCandidates
	trustsPositions := r.settings.StalenessCheck != StalenessCheckNone && r.settings.HealthChecksAllowed
	for _, host := range request.group.hosts {
		switch {
		case host.role() == primaryRole || !r.eligible(host) || slices.Contains(request.triedHosts, host):
		case required > 0 && r.estimatedPosition(host) < required:
			r.healthCheckLagging(host)
			if !trustsPositions || r.estimatedPosition(host)+negligibleLag >= required {
				candidates.lagging = append(candidates.lagging, host)
			}
		case host.hasCapacity():
			candidates.upToDate = append(candidates.upToDate, host)
		default:
			candidates.anyFull = true
		}
	}
	return candidates
}

// pickReplica returns a random replica by selectionWeight, or nil where there is none. If the one drawn is
// warming up and gets enough already, it returns nil, and the request is shed if requests are admitted to
// it by chance.
func (r *Router) pickReplica(request *request, replicas []*host) *host {
	sum := 0.0
	for _, replica := range replicas {
		sum += r.selectionWeight(replica)
	}
	remaining := sum * r.rng.Float64()
	index := slices.IndexFunc(replicas, func(replica *host) bool {
		remaining -= r.selectionWeight(replica)
		return remaining < 0
	})
	if index < 0 {
		return nil
	}
	picked := replicas[index]
	if !r.admitSlowStart(picked, r.selectionWeight(picked)/sum, 0) {
		request.shed = r.isAdmittedByChance(picked)
		return nil
	}
	return picked
}

// selectionWeight is how often a host is picked in comparison with others: by the share of its capacity
// that it has for certain, half as often for each strike, and more often in the gateway's own zone.
func (r *Router) selectionWeight(host *host) float64 {
	weight := r.capacityShare(host) * math.Exp2(-host.strikes)
	if host.Zone == r.settings.Zone {
		weight *= ownZoneWeight
	}
	return weight
}

// awaitPosition reports whether a read waits for the position of a replica, a random one among those that
// aren't known to be up to date. Each of many gateways learns a replica's position so seldom that without
// the check nearly all reads would go to the primary.
func (r *Router) awaitPosition(request *request, replicas []*host) bool {
	timeout := r.scaleToObjective(positionCheckTimeout)
	if request.healthCheckedHost == nil && len(replicas) > 0 && r.settings.HealthChecksAllowed {
		chosen := replicas[r.rng.IntN(len(replicas))]
		request.healthCheckedHost = chosen
		if chosen.healthCheckedAt == 0 || r.now >= chosen.healthCheckedAt+timeout {
			r.sendHealthCheck(chosen)
		}
	}
	checked := request.healthCheckedHost
	return checked != nil && checked.healthCheckedAt > 0 && r.now < checked.healthCheckedAt+timeout
}

// mostAdvancedReplica returns the replica with the newest position among those that may get a request, or
// nil.
func (r *Router) mostAdvancedReplica(replicas []*host) *host {
	replicas = slices.DeleteFunc(replicas, func(replica *host) bool {
		return !replica.hasCapacity() || !r.admitSlowStart(replica, 1, 0)
	})
	if len(replicas) == 0 {
		return nil
	}
	return slices.MaxFunc(replicas, func(a, b *host) int {
		return cmp.Compare(r.estimatedPosition(a), r.estimatedPosition(b))
	})
}
