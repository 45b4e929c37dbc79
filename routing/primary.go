package routing

import "time"

// Primary discovery. The primary of a group is the host that last answered as such. The endpoint list is
// often out of date: the host that it names as primary only gets the first writes. Reads never go by the
// list, since a host that isn't primary any more would answer them with old data.

const (
	// primarySearchPause is the least time that writes wait after a round of a search, which comes to each host
	// once: the pause ends at the next slot of this gateway. This is the value before scaleToObjective.
	primarySearchPause = 50 * time.Millisecond
	// gatewaySlotGap is the least time between the slots of two gateways that do the same: the ends of two
	// pauses in a search, or two health checks of one lagging replica. It isn't scaled.
	gatewaySlotGap = 2 * time.Millisecond
)

// A primarySearch tries the hosts of a group in turn with writes.
type primarySearch struct {
	nextHost     int // index in group.hosts, modulo their number
	triedInRound int // hosts that this round has come to, those that got no write included
	pausedUntil  time.Duration
}

// observeRole records the role that a host gives itself.
func (r *Router) observeRole(host *host, role Role) {
	group := host.group
	switch role {
	case RolePrimary:
		if group.primary != host {
			r.log(host, "is now the primary")
		}
		group.primary, group.primarySeenAt, group.search.triedInRound = host, r.now, 0
	case RoleReplica:
		host.answeredAsReplicaAt = r.currentPosition()
		if group.primary == host {
			group.primary = nil
			r.log(host, "is no longer the primary")
		}
	}
}

// availablePrimary returns the primary, or nil where it is unknown or may not get a request now. It may be
// unresponsive: a read that comes to the primary has no other host that may answer it, and its answer ends
// the unresponsiveness. Only writes search another primary (selectForWrite).
func (r *Router) availablePrimary(group *group) *host {
	if group.primary != nil && r.mayReceive(group.primary) {
		return group.primary
	}
	return nil
}

// selectForWrite returns the host for a write, or nil where it has to wait: the primary, where it is known
// and responsive; else the host that the list names; else the next host of the search. While one of the
// first two is only short of capacity the write waits for it.
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

// credibleListedPrimary returns the host that the list names as primary, or nil where there is none or it
// has answered as a replica since. A search in its place would send several writes of each gateway to
// replicas.
func (g *group) credibleListedPrimary() *host {
	if g.listedPrimary != nil && g.listedPrimary.answeredAsReplicaAt < g.listedPrimaryAt {
		return g.listedPrimary
	}
	return nil
}

// searchPrimary returns the next host of the group's search that may get a write, or nil where there is none
// and during the pause after a round. A call looks at each host at most once. Where the round ends during a
// call, the call goes on with the next round, and the pause holds from the next call on. It keeps the
// request's last attempt for a primary that is found in time.
func (r *Router) searchPrimary(request *request) *host {
	group := request.group
	lastAttempt := request.attemptCount > 0 && request.attemptCount >= r.settings.MaxAttempts-1
	if r.now < group.search.pausedUntil || lastAttempt {
		return nil
	}
	for range group.hosts {
		candidate := r.nextSearchHost(group)
		// A warming host that rejects a write has had the load of it all the same.
		if r.mayReceive(candidate) && r.acquireSlowStart(candidate, 1, r.now-request.arrivedAt) {
			return candidate
		}
	}
	return nil
}

// nextSearchHost advances the search by one host. After a round it pauses until a slot of this gateway's
// own, so that the gateways' rounds don't coincide.
func (r *Router) nextSearchHost(group *group) *host {
	search := &group.search
	next := group.hosts[search.nextHost%len(group.hosts)]
	search.nextHost++
	search.triedInRound++
	if search.triedInRound >= len(group.hosts) {
		search.triedInRound = 0
		pauseMs := durationToMillis(r.scaleToObjective(primarySearchPause))
		slots := r.roster.Schedule()
		endMs := slots.NextSlot(durationToMillis(r.now), pauseMs, durationToMillis(gatewaySlotGap))
		search.pausedUntil = millisToDuration(endMs)
	}
	return next
}

// receivesAsPrimary reports whether the host of a request is the primary or, for a write, the listed primary.
//
// Known weakness: it is true too where searchPrimary returned that host, an unresponsive primary for example.
// searchPrimary has acquired the host's slow start then, and dispatch acquires it again: a warming host is
// charged twice for the write.
func (h *host) receivesAsPrimary(request *request) bool {
	isListed := request.class.Consistency == ConsistencyWrite && h == h.group.listedPrimary
	return h == h.group.primary || isListed
}
