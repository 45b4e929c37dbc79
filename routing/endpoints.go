package routing

import (
	"cmp"
	"slices"
	"time"
)

// The endpoint list, and which hosts it leaves in service. The list is often out of date: the host that it
// names as primary gets writes only while no responsive primary is known (see primary.go).

const (
	// subscribeRetryInterval is how long after a failed poll the Router requests the endpoint list again.
	subscribeRetryInterval = 500 * time.Millisecond
	// goneHostRetention is how long a host that is gone is kept. The time counts from the notification that
	// the host is draining or, if there was none, that it is gone. Without removal, rolling replacements would
	// fill the tables.
	goneHostRetention = 30 * time.Second
)

// onEndpointUpdate applies the endpoint list or changes to it.
func (r *Router) onEndpointUpdate(update EndpointUpdate) {
	if update.Failed {
		r.subscribeAt = r.now + subscribeRetryInterval
		return
	}
	listed := map[string]bool{}
	for _, endpoint := range update.Endpoints {
		listed[endpoint.ID] = true
		r.applyEndpoint(endpoint, update)
	}
	isFirstList := r.largestGroupSize == 0
	// Each group's traffic is assumed to need as many hosts as the largest group has had. A gateway that
	// starts late may see a group while most of its hosts are missing.
	for _, group := range r.sortedGroups {
		if update.Full {
			r.removeUnlisted(group, listed, update)
		}
		r.largestGroupSize = max(r.largestGroupSize, r.countReadyHosts(group, isFirstList))
	}
}

// removeUnlisted marks the hosts of a group that are missing from a full list as gone.
func (r *Router) removeUnlisted(group *group, listed map[string]bool, update EndpointUpdate) {
	for _, host := range group.hosts {
		if !listed[host.ID] && host.State != StateGone {
			r.setEndpointState(host, StateGone, update)
		}
	}
}

// countReadyHosts returns the number of a group's ready hosts. Unless includeWarming is set, as it is for
// the first list, hosts that are warming up don't count: they may replace others that are still listed.
func (r *Router) countReadyHosts(group *group, includeWarming bool) int {
	count := 0
	for _, host := range group.hosts {
		if host.State == StateReady && (includeWarming || r.capacityShare(host) >= 1) {
			count++
		}
	}
	return count
}

// applyEndpoint applies one entry of the list.
func (r *Router) applyEndpoint(endpoint Endpoint, update EndpointUpdate) {
	host := r.hosts[endpoint.ID]
	if host == nil {
		if endpoint.State == StateGone {
			return
		}
		host = r.addHost(endpoint)
	}
	if endpoint.Group != host.Group && endpoint.State != StateGone {
		host = r.moveHost(host, endpoint)
	}
	if endpoint.StartedAt > host.StartedAt { // the host has restarted, so its recent failures no longer count
		host.StartedAt, host.recentFailures, host.unresponsive = endpoint.StartedAt, 0, false
	}
	if endpoint.Primary && !host.Primary {
		host.group.listedPrimary, host.group.listedPrimaryAt = host, r.currentPosition()
	}
	host.Primary = endpoint.Primary
	r.setEndpointState(host, endpoint.State, update)
}

// addHost adds a host that appears in the list for the first time. If a host may serve reads only once its
// position is known, it gets a health check. Gateways with subsets send that check only when a read needs
// the position, because otherwise every gateway would check every host. The check isn't recorded in
// healthCheckedAt, so a read may send another one at once.
func (r *Router) addHost(endpoint Endpoint) *host {
	group := r.groupFor(endpoint.Group)
	added := &host{
		Endpoint: endpoint, group: group, lastOutcomeAt: r.now, concurrencyLimit: initialConcurrencyLimit,
	}
	added.State, added.Primary = StateReady, false // applyEndpoint then changes them to the listed values
	r.hosts[endpoint.ID] = added
	group.hosts = append(group.hosts, added)
	slices.SortFunc(group.hosts, func(a, b *host) int { return cmp.Compare(a.ID, b.ID) })
	positionNeeded := r.settings.StalenessCheck == StalenessCheckNone && r.settings.SubsetSize == 0
	if r.settings.HealthChecksAllowed && positionNeeded && endpoint.State == StateReady {
		r.emit(HealthCheck{endpoint.ID})
	}
	return added
}

// moveHost replaces a host that is listed in another group than before. The new group starts without
// knowledge of it, as its data is another one. In the former group it stays until its open attempts end, and
// gets no more; those that still wait for a connection are withdrawn.
func (r *Router) moveHost(former *host, endpoint Endpoint) *host {
	group := former.group
	if group.primary == former {
		group.primary = nil
	}
	if group.listedPrimary == former {
		group.listedPrimary = nil
	}
	former.moved, former.State = true, StateGone
	for _, open := range former.openAttempts {
		r.emit(WithdrawAttempt{Request: open.request.ID, Attempt: open.number})
	}
	return r.addHost(endpoint)
}

// setEndpointState records the listed state of a host.
func (r *Router) setEndpointState(host *host, state EndpointState, update EndpointUpdate) {
	if state != StateReady && host.State == StateReady {
		host.drainNotifiedAt = update.effectiveNotifiedAt(r.now)
	}
	if state != StateGone { // a host that is gone keeps its last value
		host.listedAsDraining = state == StateDraining
	}
	host.State = state
	r.topologyVersion++
}

// inService reports whether the endpoint list and the operators' exclusions allow requests to a host. A
// draining or excluded primary remains in service until the end of the drain grace period, since no other
// host accepts writes. Here the period ends two ticks early. Package proxy checks it again, with a margin
// of its own, when it writes the request (drainGraceMarginMs).
func (r *Router) inService(host *host) bool {
	excludedSince, excluded := r.excludedSince[host.ID]
	drainingSince := excludedSince
	switch {
	case host.moved:
		return false
	case host.State == StateGone:
		return r.settings.UseUnlistedHosts && !host.listedAsDraining && !excluded
	case host.State == StateReady && !excluded:
		return true
	case host.State == StateDraining && (!excluded || host.drainNotifiedAt < excludedSince):
		drainingSince = host.drainNotifiedAt
	}
	// An attempt may be written up to two ticks after it is decided.
	inGracePeriod := r.now+2*r.settings.TickInterval < drainingSince+r.settings.DrainGrace
	return host.role() == primaryRole && inGracePeriod
}

// removeGoneHost removes a host that is gone from the table of hosts once goneHostRetention is over, unless
// the host has open attempts or is the primary, or the settings allow attempts to it. It reports whether the
// group no longer needs the host.
func (r *Router) removeGoneHost(host *host) bool {
	if host.moved { // the table has the host in its new group
		return len(host.openAttempts) == 0
	}
	if r.settings.UseUnlistedHosts {
		return false
	}
	isUsed := len(host.openAttempts) > 0 || host.role() == primaryRole
	if host.State != StateGone || isUsed || r.now < host.drainNotifiedAt+goneHostRetention {
		return false
	}
	delete(r.hosts, host.ID)
	r.topologyVersion++
	return true
}
