package routing

import (
	"slices"
	"time"

	"merlinjunction/fleet"
)

// A host is what the Router knows of one database host. These methods say what it may be used for:
//
//	inService     the endpoint list and the exclusions by hand allow requests to it
//	isResponsive  inService and not unresponsive: writes wait for such a primary, else they search another
//	eligible      inService, not ejected, and without an open attempt if it has a recent failure
//	mayReceive    eligible and below its concurrency limit (hasCapacity)
type host struct {
	Endpoint
	group *group

	drainNotifiedAt  time.Duration // when it became known that it drains or is gone
	listedAsDraining bool          // the list has named it as draining, and not as ready since

	position            Position      // it has applied all commits up to here: a lower bound, never lowered
	lag                 time.Duration // last known lag, where replicas check; 0: not behind
	lagKnownAt          time.Duration // when that became known
	answeredAsReplicaAt Position      // position at the time when it last answered as replica; 0: never
	lastOutcomeAt       time.Duration // when an attempt last had a result from it; at first, when it was added

	openAttempts   []*attempt // oldest first
	recentFailures float64    // overdue answers and failed connections; they fade; see addFailure
	unresponsive   bool       // nothing comes from it, or connections to it fail; see outlier.go
	ejectedUntil   time.Duration

	concurrencyLimit  float64       // open attempts that it may have from this gateway
	limitCutAllowedAt time.Duration // when the limit may be lowered again

	subsetIndex     int               // index in group.subsetHosts; -1: not in it
	healthCheckedAt time.Duration     // when a health check was sent that is still unanswered; 0: none is
	slowStartBudget fleet.TokenBucket // sends that it may get from this gateway while it warms up
}

// removeOpenAttempt takes an attempt from those that are open at the host, if it is among them.
func (h *host) removeOpenAttempt(ended *attempt) {
	h.openAttempts = slices.DeleteFunc(h.openAttempts, func(open *attempt) bool { return open == ended })
}

// hostRole distinguishes the primary of a group from its replicas. It is used as an index.
type hostRole int

const (
	replicaRole hostRole = iota
	primaryRole
	hostRoles int = iota // number of roles
)

// role is primaryRole for the host that last answered as primary of its group, else replicaRole.
func (h *host) role() hostRole {
	if h == h.group.primary {
		return primaryRole
	}
	return replicaRole
}
