package routing

import (
	"cmp"
	"slices"
)

// What the member list and reports say. The list is late: whom it names as primary is only tried first.

func (r *Router) onEndpointUpdate(e EndpointUpdate) {
	if e.Failed {
		r.subscribeAt = r.now + subscribeRetryInterval
		return
	}
	seen, first := map[string]bool{}, r.largestGroupSize == 0
	for _, l := range e.Endpoints {
		seen[l.ID] = true
		r.applyEndpoint(l, e)
	}
	for _, g := range r.sortedGroups {
		ready := 0
		for _, m := range g.hosts {
			if e.Full && !seen[m.ID] && m.State != StateGone {
				r.setEndpointState(m, StateGone, e)
			}
			if m.State == StateReady && (first || r.capacityShare(m) >= 1) { // those that replace others add nothing
				ready++
			}
		}
		r.largestGroupSize = max(r.largestGroupSize, ready) // over all groups: a router that starts late may know one at its least
	}
}

func (r *Router) applyEndpoint(l Endpoint, e EndpointUpdate) {
	m := r.hosts[l.ID]
	if m == nil {
		if l.State == StateGone {
			return
		}
		g := r.groupFor(l.Group)
		m = &host{Endpoint: l, group: g, lastOutcomeAt: r.now, concurrencyLimit: initialConcurrencyLimit}
		m.State, m.Primary = StateReady, false
		r.hosts[l.ID] = m
		g.hosts = append(g.hosts, m)
		slices.SortFunc(g.hosts, func(a, b *host) int { return cmp.Compare(a.ID, b.ID) })
		asks := r.settings.HealthChecksAllowed && r.settings.StalenessCheck == StalenessCheckNone && r.settings.SubsetSize == 0
		if asks && l.State == StateReady { // else when needed
			r.emit(HealthCheck{l.ID})
		}
	}
	if l.StartedAt > m.StartedAt {
		m.StartedAt, m.strikes, m.unresponsive = l.StartedAt, 0, false
	}
	if l.Primary && !m.Primary {
		m.group.listedPrimary, m.group.listedPrimaryAt = m, r.currentPosition()
	}
	m.Primary = l.Primary
	r.setEndpointState(m, l.State, e)
}

func (r *Router) setEndpointState(m *host, s EndpointState, e EndpointUpdate) {
	if s != StateReady && m.State == StateReady {
		m.drainNotifiedAt = e.effectiveNotifiedAt(r.now)
	}
	m.listedAsDraining = m.listedAsDraining && s == StateGone || s == StateDraining
	m.State, r.topologyVersion = s, r.topologyVersion+1
}

// onProbed takes in a report, some time old: a primary's position is its time, and counts if it is newest.
func (r *Router) onHealthCheckResult(e HealthCheckResult) {
	m := r.hosts[e.Host]
	if m == nil {
		return
	}
	if m.healthCheckedAt = 0; e.Outcome != OutcomeOK {
		return
	}
	r.observePosition(m, e.Position)
	newer := m.group.primary == nil || e.Position+r.settings.PositionEpoch > m.group.primarySeenAt
	if e.Role == RolePrimary && e.Position > m.demotedAt && newer {
		r.observeRole(m, RolePrimary)
	}
}
