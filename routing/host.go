package routing

import (
	"slices"
	"time"

	"merlinjunction/fleet"
)

// A host holds the state of one database host. These methods report what it may be used for:
//
//	inService     the endpoint list and the operators' exclusions allow requests to it
//	isResponsive  inService and not unresponsive: writes use such a primary, otherwise they search for another
//	eligible      inService, not ejected, and without an open attempt if recentFailures is 1 or more
//	mayReceive    eligible and below its concurrency limit (hasCapacity)
type host struct {
	Endpoint
	group *group

	drainNotifiedAt  time.Duration // clock time of the notification that it is draining or gone
	moved            bool          // the endpoint list has it in another group now; this one must not use it
	listedAsDraining bool          // the list has named it as draining, and not as ready since

	position            Position      // lower bound of its applied position; never lowered
	lag                 time.Duration // last known lag, if replicas check positions themselves; 0: not behind
	lagKnownAt          time.Duration // when the lag was last observed
	answeredAsReplicaAt Position      // current position when it last answered as a replica; 0: never
	lastOutcomeAt       time.Duration // last outcome of an attempt from it, or when it was added or included

	openAttempts   []*attempt    // oldest first
	recentFailures float64       // count of recent failures, which decays; see addFailure
	unresponsive   bool          // nothing is received from it, or connections to it fail; see outlier.go
	ejectedUntil   time.Duration // it gets no requests before this time

	concurrencyLimit  float64       // number of attempts that this gateway may have open at it
	limitCutAllowedAt time.Duration // when concurrencyLimit may be lowered again

	subsetIndex     int               // index in group.subsetHosts; -1: not among them
	healthCheckedAt time.Duration     // when the pending health check was sent; 0: none is pending
	slowStartBudget fleet.TokenBucket // sends that this gateway may make to it while it warms up
}

// removeOpenAttempt removes an attempt from the open attempts of the host, if it is among them.
func (h *host) removeOpenAttempt(ended *attempt) {
	h.openAttempts = slices.DeleteFunc(h.openAttempts, func(open *attempt) bool { return open == ended })
}

// hostRole distinguishes the primary of a group from its replicas, and is used as an array index.
type hostRole int

const (
	replicaRole hostRole = iota
	primaryRole
	hostRoles int = iota // number of roles
)

// role returns primaryRole if the host was last observed as the primary of its group, otherwise
// replicaRole.
func (h *host) role() hostRole {
	if h == h.group.primary {
		return primaryRole
	}
	return replicaRole
}
