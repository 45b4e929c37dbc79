package routing

import (
	"cmp"
	"slices"
)

// What the member list and reports say. The list is late: whom it names as primary is only tried first.

func (r *Router) onList(e EndpointUpdate) {
	if e.Failed {
		r.askAt = r.now + askAgain
		return
	}
	seen, first := map[string]bool{}, r.size == 0
	for _, l := range e.Endpoints {
		seen[l.ID] = true
		r.onListed(l, e)
	}
	for _, g := range r.order {
		ready := 0
		for _, m := range g.members {
			if e.Full && !seen[m.ID] && m.State != StateGone {
				r.setState(m, StateGone, e)
			}
			if m.State == StateReady && (first || r.warmth(m) >= 1) { // those that replace others add nothing
				ready++
			}
		}
		r.size = max(r.size, ready) // over all groups: a router that starts late may know one at its least
	}
}

func (r *Router) onListed(l Endpoint, e EndpointUpdate) {
	m := r.members[l.ID]
	if m == nil {
		if l.State == StateGone {
			return
		}
		g := r.groupOf(l.Group)
		m = &member{Endpoint: l, group: g, newsAt: r.now, limit: firstLimit}
		m.State, m.Primary = StateReady, false
		r.members[l.ID] = m
		g.members = append(g.members, m)
		slices.SortFunc(g.members, func(a, b *member) int { return cmp.Compare(a.ID, b.ID) })
		asks := r.set.HealthChecksAllowed && r.set.StalenessCheck == StalenessCheckNone && r.set.SubsetSize == 0
		if asks && l.State == StateReady { // else when needed
			r.do(HealthCheck{l.ID})
		}
	}
	if l.StartedAt > m.StartedAt {
		m.StartedAt, m.strikes, m.silent = l.StartedAt, 0, false
	}
	if l.Primary && !m.Primary {
		m.group.named, m.group.namedAt = m, r.here()
	}
	m.Primary = l.Primary
	r.setState(m, l.State, e)
}

func (r *Router) setState(m *member, s EndpointState, e EndpointUpdate) {
	if s != StateReady && m.State == StateReady {
		m.drainAt = e.toldAt(r.now)
	}
	m.wasListed = m.wasListed && s == StateGone || s == StateDraining
	m.State, r.version = s, r.version+1
}

// onProbed takes in a report, some time old: a primary's position is its time, and counts if it is newest.
func (r *Router) onProbed(e HealthCheckResult) {
	m := r.members[e.Host]
	if m == nil {
		return
	}
	if m.askedAt = 0; e.Outcome != OutcomeOK {
		return
	}
	r.learnPosition(m, e.Position)
	newer := m.group.primary == nil || e.Position+r.set.PositionEpoch > m.group.primaryAt
	if e.Role == RolePrimary && e.Position > m.demotedAt && newer {
		r.learnRole(m, RolePrimary)
	}
}
