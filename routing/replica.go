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
	// positionCheckTimeout is how long a read waits for a replica's answer to a health check, before
	// scaleToObjective.
	positionCheckTimeout = 50 * time.Millisecond
)

// replicaFitness is how well a host suits a read.
type replicaFitness int

const (
	replicaUnsuitable replicaFitness = iota // the primary, not eligible, or tried already
	replicaUpToDate                         // at or past the required position, with capacity
	replicaFull                             // at or past the required position, without capacity
	replicaLagging                          // behind it as far as is known, but perhaps not by much
	replicaFarBehind                        // known to be so far behind it that it would reject the read
)

// readCandidates are the replicas that suit a read.
type readCandidates struct {
	upToDate []*host // replicaUpToDate
	lagging  []*host // replicaLagging
	anyFull  bool    // there is one that is replicaFull
}

// selectForRead returns a random replica among those at or past the required position. If there is none, it
// returns the most advanced replica where replicas check, else the primary. It returns nil where the read
// has to wait, or is to be given up (request.droppedBySlowStart).
func (r *Router) selectForRead(request *request, required Position) *host {
	candidates := r.findReadCandidates(request, required)
	replica := r.pickReplica(request, r.preferSubset(request.group, candidates.upToDate))
	if replica != nil || request.droppedBySlowStart {
		return replica
	}
	return r.fallbackForRead(request, candidates)
}

// findReadCandidates sorts the hosts of a read's group by their fitness. Besides, it sends health checks that
// are due to those behind (healthCheckLagging).
func (r *Router) findReadCandidates(request *request, required Position) readCandidates {
	var candidates readCandidates
	for _, host := range request.group.hosts {
		switch r.replicaFitness(host, request, required) {
		case replicaUpToDate:
			candidates.upToDate = append(candidates.upToDate, host)
		case replicaFull:
			candidates.anyFull = true
		case replicaLagging:
			r.healthCheckLagging(host)
			candidates.lagging = append(candidates.lagging, host)
		case replicaFarBehind:
			r.healthCheckLagging(host)
		}
	}
	return candidates
}

// fallbackForRead returns the host for a read where no replica at or past its position may get it now, or nil
// where the read waits.
func (r *Router) fallbackForRead(request *request, candidates readCandidates) *host {
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

// replicaFitness returns how well a host suits a read that needs a position.
func (r *Router) replicaFitness(host *host, request *request, required Position) replicaFitness {
	if host.role() == primaryRole || !r.eligible(host) || slices.Contains(request.triedHosts, host) {
		return replicaUnsuitable
	}
	if estimated := r.estimatedPosition(host); required > 0 && estimated < required {
		wouldReject := r.settings.StalenessCheck != StalenessCheckNone && r.settings.HealthChecksAllowed
		if wouldReject && estimated+negligibleLag < required {
			return replicaFarBehind
		}
		return replicaLagging
	}
	if host.hasCapacity() {
		return replicaUpToDate
	}
	return replicaFull
}

// pickReplica returns a random replica by selectionWeight, or nil where there is none. If the one drawn is
// warming up and gets enough already, it returns nil, whatever the others have free, and sets
// request.droppedBySlowStart if requests are admitted to the one drawn by chance.
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
	if !r.acquireSlowStart(picked, r.selectionWeight(picked)/sum, 0) {
		request.droppedBySlowStart = r.isAdmittedByChance(picked)
		return nil
	}
	return picked
}

// selectionWeight is how often a host is picked in comparison with others: by the share of its capacity
// that it has for certain, half as often for each failure, and more often in the gateway's own zone. Two
// unknown zones ("") count as the same zone here, unlike in package fleet.
func (r *Router) selectionWeight(host *host) float64 {
	weight := r.capacityShare(host) * math.Exp2(-host.recentFailures)
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
// nil. Each warming one with capacity uses up a token of its slow-start budget, or a random draw, though only
// one gets the request.
func (r *Router) mostAdvancedReplica(replicas []*host) *host {
	replicas = slices.DeleteFunc(replicas, func(replica *host) bool {
		return !replica.hasCapacity() || !r.acquireSlowStart(replica, 1, 0)
	})
	if len(replicas) == 0 {
		return nil
	}
	return slices.MaxFunc(replicas, func(a, b *host) int {
		return cmp.Compare(r.estimatedPosition(a), r.estimatedPosition(b))
	})
}
