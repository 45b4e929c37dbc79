package routing

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Replica selection: which replica serves a read, and when a read goes to the primary or waits.

const (
	// ownZoneWeight is the factor by which hosts in the gateway's own zone are preferred, because traffic
	// between zones is expensive. Hosts in other zones still get some reads, since the hosts of a zone may not
	// be able to serve all of its traffic.
	ownZoneWeight = 4.0
	// positionCheckTimeout is how long a read waits for the result of a replica's health check, before
	// scaleToObjective.
	positionCheckTimeout = 50 * time.Millisecond
)

// replicaFitness classifies how well a host suits a read.
type replicaFitness int

const (
	replicaUnsuitable replicaFitness = iota // the primary, not eligible, or already tried
	replicaUpToDate                         // at or past the required position, below its concurrency limit
	replicaFull                             // at or past the required position, at its concurrency limit
	replicaLagging                          // probably behind the required position, but perhaps only slightly
	replicaFarBehind                        // known to be so far behind that it would reject the read
)

// readCandidates holds the replicas that suit a read.
type readCandidates struct {
	upToDate []*host // replicaUpToDate
	lagging  []*host // replicaLagging
	anyFull  bool    // at least one replica is replicaFull
}

// selectForRead returns a random replica among those at or past the required position. If there is none, it
// returns the most advanced replica if replicas check positions themselves (StalenessCheck), otherwise the
// primary. It returns nil if the read has to wait or is to be given up (request.droppedBySlowStart).
func (r *Router) selectForRead(request *request, required Position) *host {
	candidates := r.findReadCandidates(request, required)
	replica := r.pickReplica(request, r.preferSubset(request.group, candidates.upToDate))
	if replica != nil || request.droppedBySlowStart {
		return replica
	}
	return r.fallbackForRead(request, candidates)
}

// findReadCandidates classifies the hosts of a read's group by their fitness. It also sends lagging replicas
// the health checks that are due (healthCheckLaggingReplica).
func (r *Router) findReadCandidates(request *request, required Position) readCandidates {
	var candidates readCandidates
	for _, host := range request.group.hosts {
		switch r.replicaFitness(host, request, required) {
		case replicaUpToDate:
			candidates.upToDate = append(candidates.upToDate, host)
		case replicaFull:
			candidates.anyFull = true
		case replicaLagging:
			r.healthCheckLaggingReplica(host)
			candidates.lagging = append(candidates.lagging, host)
		case replicaFarBehind:
			r.healthCheckLaggingReplica(host)
		}
	}
	return candidates
}

// fallbackForRead returns a host for a read if no replica at or past the required position may get it now.
// It returns nil if the read has to wait.
func (r *Router) fallbackForRead(request *request, candidates readCandidates) *host {
	primary := request.group.primary
	primaryBusy := primary == nil || len(primary.openAttempts) > 0
	replicasCheckStaleness := r.settings.StalenessCheck != StalenessCheckNone
	switch {
	case candidates.anyFull && primaryBusy:
		return nil // wait for a replica: the primary helps only if this gateway has no attempt open there
	case !replicasCheckStaleness && r.awaitPosition(request, r.preferSubset(request.group, candidates.lagging)):
		return nil
	case replicasCheckStaleness && !candidates.anyFull:
		if replica := r.mostAdvancedReplica(candidates.lagging); replica != nil {
			return replica
		}
	}
	return r.availablePrimary(request.group)
}

// replicaFitness returns the fitness of a host for a read that requires a position.
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

// pickReplica returns a random replica, weighted by selectionWeight, or nil if there is none. If the picked
// replica is warming up and may not get another request, it returns nil even if other replicas have
// capacity. If requests to the picked replica are admitted at random, it also sets
// request.droppedBySlowStart.
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
	if !r.passesSlowStart(picked, r.selectionWeight(picked)/sum, 0) {
		request.droppedBySlowStart = r.usesRandomAdmission(picked)
		return nil
	}
	return picked
}

// selectionWeight returns the relative probability that a host is picked. It is proportional to the share
// of its capacity that the host is certain to have, is halved by each recent failure, and is higher in the
// gateway's own zone. Two unknown zones ("") count as the same zone here, unlike in package fleet.
func (r *Router) selectionWeight(host *host) float64 {
	weight := r.capacityShare(host) * math.Exp2(-host.recentFailures)
	if host.Zone == r.settings.Zone {
		weight *= ownZoneWeight
	}
	return weight
}

// awaitPosition reports whether a read waits for a replica to report its position. The first call for a
// read chooses the replica at random among those that may lag, and sends it a health check unless one is
// pending. Each of many gateways learns the position of a replica so rarely that without this check nearly
// all reads would go to the primary.
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

// mostAdvancedReplica returns the replica with the newest estimated position among those that may get a
// request, or nil. Each warming replica with capacity spends a token of its slow-start budget or a random
// draw, although only one of them gets the request.
func (r *Router) mostAdvancedReplica(replicas []*host) *host {
	replicas = slices.DeleteFunc(replicas, func(replica *host) bool {
		return !replica.hasCapacity() || !r.passesSlowStart(replica, 1, 0)
	})
	if len(replicas) == 0 {
		return nil
	}
	return slices.MaxFunc(replicas, func(a, b *host) int {
		return cmp.Compare(r.estimatedPosition(a), r.estimatedPosition(b))
	})
}
