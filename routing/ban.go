package routing

import "time"

// A ban is the operators' word that a member is not to be used. It stands beside what the list says and wins
// over it: a member that is listed anew, restarts or drains meanwhile stays banned until it is included. From
// the ban on the rule on drains holds for it.

// onExclude takes a member out, known or not. What is out at it may finish; a second ban changes nothing.
func (r *Router) onExclude(e ExcludeHost) {
	at := r.now
	if e.Since > 0 {
		at = min(at, e.Since)
	}
	if old, banned := r.bans[e.Host]; !banned || at < old {
		r.bans[e.Host] = at
	}
}

// onInclude uses a member again, however often it was taken out. What was held against it belongs to the time
// before: it gets requests at once, a cold one by its warmth.
func (r *Router) onInclude(e IncludeHost) {
	if _, banned := r.bans[e.Host]; !banned {
		return
	}
	delete(r.bans, e.Host)
	if m := r.members[e.Host]; m != nil {
		m.strikes, m.silent, m.pauseUntil, m.lag, m.newsAt = 0, false, 0, 0, r.now
		m.limit = max(m.limit, firstLimit)
	}
}

// listed tells whether list and ban allow sends. A primary that drains is used while the grace lasts: only it
// takes writes.
func (r *Router) listed(m *member) bool {
	at, banned := r.bans[m.ID]
	switch {
	case m.State == StateGone:
		return r.set.RemovalNotBinding && !m.wasListed && !banned
	case m.State == StateReady && !banned:
		return true
	case m.State == StateDraining && (!banned || m.drainAt < at):
		at = m.drainAt
	}
	return m.group.primary == m && r.now+2*r.set.TickInterval < at+r.set.DrainGrace
}

// UnavailableHosts is how many of the listed members get nothing new now, by ban, by the list or by their own
// doing.
func (r *Router) UnavailableHosts(now time.Duration) int {
	n := 0
	for _, m := range r.members {
		if m.State != StateGone && (!r.listed(m) || m.silent || now < m.pauseUntil) {
			n++
		}
	}
	return n
}
