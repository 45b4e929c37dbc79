package routing

import "time"

// Primary discovery. The primary of a group is the host that last answered or reported as primary. The
// endpoint list is often out of date, so the host that it names as primary gets writes only while no
// responsive primary is known. Reads never rely on the list: a host that is no longer the primary would
// answer them with old data.

const (
	// primarySearchPause is the shortest pause of writes after a round of a search, in which each host has its
	// turn once. The pause ends at the next slot of this gateway. The value applies before scaleToObjective.
	primarySearchPause = 50 * time.Millisecond
	// gatewaySlotGap is the shortest time between the slots of two gateways that do the same thing: end the
	// pause of a search, or check the health of a lagging replica. It isn't scaled.
	gatewaySlotGap = 2 * time.Millisecond
)

// A primarySearch sends writes to the hosts of a group in turn until one of them is the primary.
type primarySearch struct {
	nextHost       int // index in group.hosts, modulo the number of hosts
	visitedInRound int // hosts visited in this round, including those that got no write
	pausedUntil    time.Duration
}

// observeRole records the role that a host reports about itself. arrivedAt is the clock time at which the
// report arrived. A long answer may have its report at the beginning, and other reports may arrive before
// its end. A report that is older than what is known is ignored.
func (r *Router) observeRole(host *host, role Role, arrivedAt time.Duration) {
	switch {
	case host.moved:
	case role == RolePrimary:
		r.observePrimary(host, arrivedAt)
	case role == RoleReplica:
		r.observeReplica(host, arrivedAt)
	}
}

// observePrimary records that a host reports to be the primary.
func (r *Router) observePrimary(host *host, arrivedAt time.Duration) {
	group := host.group
	isOlder := group.primary != nil && arrivedAt < group.primarySeenAt
	if isOlder || arrivedAt-r.settings.PositionEpoch < host.answeredAsReplicaAt {
		return
	}
	if group.primary != host {
		r.log(host, "is now the primary")
		r.withdrawReads(group.primary)
	}
	group.primary, group.primarySeenAt, group.search.visitedInRound = host, arrivedAt, 0
}

// observeReplica records that a host reports to be a replica.
func (r *Router) observeReplica(host *host, arrivedAt time.Duration) {
	group := host.group
	if group.primary == host && arrivedAt < group.primarySeenAt {
		return
	}
	host.answeredAsReplicaAt = max(host.answeredAsReplicaAt, arrivedAt-r.settings.PositionEpoch)
	if group.primary == host {
		group.primary = nil
		r.log(host, "is no longer the primary")
		r.withdrawReads(host)
	}
}

// withdrawReads withdraws the reads that were sent to a host because it was the primary and had all commits.
// They may still wait for a connection to it. former is nil if the group had no primary.
func (r *Router) withdrawReads(former *host) {
	if former == nil {
		return
	}
	for _, open := range former.openAttempts {
		switch open.request.class.Consistency {
		case ConsistencyBounded, ConsistencySession, ConsistencyStrong:
			r.emit(WithdrawAttempt{Request: open.request.ID, Attempt: open.number})
		}
	}
}

// availablePrimary returns the primary, or nil if it is unknown or may not get a request now. The primary
// may be unresponsive: a read that is sent to the primary has no other host that may answer it, and its
// answer ends the unresponsiveness. Only writes search for another primary (selectForWrite).
func (r *Router) availablePrimary(group *group) *host {
	if group.primary != nil && r.mayReceive(group.primary) {
		return group.primary
	}
	return nil
}

// selectForWrite returns the host for a write, or nil if the write has to wait. It uses the known primary
// if it is responsive, otherwise the listed primary if it is credible and responsive, otherwise the next
// host of the search. A write waits for a responsive primary or listed primary that may not get a request
// now.
func (r *Router) selectForWrite(request *request) *host {
	group := request.group
	if primary := group.primary; primary != nil && r.isResponsive(primary) {
		return r.availablePrimary(group)
	}
	if listed := group.credibleListedPrimary(); listed != nil && r.isResponsive(listed) {
		if r.mayReceive(listed) {
			return listed
		}
		return nil
	}
	return r.searchPrimary(request)
}

// credibleListedPrimary returns the host that the endpoint list names as primary. It returns nil if there
// is none or if the host has answered as a replica since the list named it. A search instead would send
// several writes of each gateway to replicas.
func (g *group) credibleListedPrimary() *host {
	if g.listedPrimary != nil && g.listedPrimary.answeredAsReplicaAt < g.listedPrimaryAt {
		return g.listedPrimary
	}
	return nil
}

// searchPrimary returns the next host of the group's search that may get a write. It returns nil if there
// is none or during the pause after a round. A call considers each host at most once. If the round ends
// during a call, the call continues with the next round, and the pause applies from the next call on. The
// last attempt of a request is not used for the search, but kept for a primary that is found in time.
func (r *Router) searchPrimary(request *request) *host {
	group := request.group
	lastAttempt := request.attemptCount > 0 && request.attemptCount >= r.settings.MaxAttempts-1
	if r.now < group.search.pausedUntil || lastAttempt {
		return nil
	}
	for range group.hosts {
		candidate := r.nextSearchHost(group)
		// A write also loads a warming host that rejects it.
		if r.mayReceive(candidate) && r.passesSlowStart(candidate, 1, r.now-request.arrivedAt) {
			return candidate
		}
	}
	return nil
}

// nextSearchHost returns the next host of the search. At the end of a round it starts a pause that ends in
// a slot of this gateway, so that the rounds of different gateways don't coincide.
func (r *Router) nextSearchHost(group *group) *host {
	search := &group.search
	next := group.hosts[search.nextHost%len(group.hosts)]
	search.nextHost++
	search.visitedInRound++
	if search.visitedInRound >= len(group.hosts) {
		search.visitedInRound = 0
		pauseMs := durationToMillis(r.scaleToObjective(primarySearchPause))
		slots := r.roster.Schedule()
		endMs := slots.NextSlot(durationToMillis(r.now), pauseMs, durationToMillis(gatewaySlotGap))
		search.pausedUntil = millisToDuration(endMs)
	}
	return next
}

// receivesAsPrimary reports whether the host of a request is the primary or, for a write, the listed
// primary.
//
// Known weakness: it also returns true if searchPrimary returned this host, for example an unresponsive
// primary. searchPrimary has then already called passesSlowStart for the host, and dispatch calls it again,
// so a warming host is charged twice for the write.
func (h *host) receivesAsPrimary(request *request) bool {
	isListed := request.class.Consistency == ConsistencyWrite && h == h.group.listedPrimary
	return h == h.group.primary || isListed
}
