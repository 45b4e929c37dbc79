package routing

import (
	"cmp"
	"slices"
)

// What the member list and reports say. The list is late: whom it names as primary is only tried first.

func (r *Router) onList(e List) {
	if e.Failed {
		r.askAt = r.now + askAgain
		return
	}
	seen, first := map[string]bool{}, r.size == 0
	for _, l := range e.Members {
		seen[l.ID] = true
		r.onListed(l, e)
	}
	for _, g := range r.order {
		ready := 0
		for _, m := range g.members {
			if e.Full && !seen[m.ID] && m.State != Gone {
				r.setState(m, Gone, e)
			}
			if m.State == Ready && (first || r.warmth(m) >= 1) { // those that replace others add nothing
				ready++
			}
		}
		r.size = max(r.size, ready) // over all groups: a router that starts late may know one at its least
	}
}

func (r *Router) onListed(l Member, e List) {
	m := r.members[l.ID]
	if m == nil {
		if l.State == Gone {
			return
		}
		g := r.groupOf(l.Group)
		m = &member{Member: l, group: g, newsAt: r.now, limit: firstLimit}
		m.State, m.Primary = Ready, false
		r.members[l.ID] = m
		g.members = append(g.members, m)
		slices.SortFunc(g.members, func(a, b *member) int { return cmp.Compare(a.ID, b.ID) })
		if r.set.MayProbe && r.set.Check == CheckNone && l.State == Ready && r.set.Subset == 0 { // else when needed
			r.do(Probe{l.ID})
		}
	}
	if l.Started > m.Started {
		m.Started, m.strikes, m.silent = l.Started, 0, false
	}
	if l.Primary && !m.Primary {
		m.group.named, m.group.namedAt = m, r.here()
	}
	m.Primary = l.Primary
	r.setState(m, l.State, e)
}

func (r *Router) setState(m *member, s State, e List) {
	if s != Ready && m.State == Ready {
		m.drainAt = e.toldAt(r.now)
	}
	m.wasListed = m.wasListed && s == Gone || s == Draining
	m.State, r.version = s, r.version+1
}

// onProbed takes in a report, some time old: a primary's position is its time, and counts if it is newest.
func (r *Router) onProbed(e Probed) {
	m := r.members[e.Member]
	if m == nil {
		return
	}
	if m.askedAt = 0; e.Outcome != OK {
		return
	}
	r.learnPosition(m, e.Position)
	newer := m.group.primary == nil || e.Position+r.set.Epoch > m.group.primaryAt
	if e.Role == RolePrimary && e.Position > m.demotedAt && newer {
		r.learnRole(m, RolePrimary)
	}
}
