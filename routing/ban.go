package routing

import "time"

// A ban is the operators' word that a member is not to be used. It stands beside what the list says and wins
// over it: a member that is listed anew, restarts or drains meanwhile stays banned until it is included. From
// the ban on the rule on drains holds for it.

// onExclude takes a member out, known or not. What is out at it may finish; a second ban changes nothing.
func (r *Router) onExcludeHost(e ExcludeHost) {
	at := r.now
	if e.Since > 0 {
		at = min(at, e.Since)
	}
	if old, banned := r.excludedSince[e.Host]; !banned || at < old {
		r.excludedSince[e.Host] = at
	}
}

// onInclude uses a member again, however often it was taken out. What was held against it belongs to the time
// before: it gets requests at once, a cold one by its warmth.
func (r *Router) onIncludeHost(e IncludeHost) {
	if _, banned := r.excludedSince[e.Host]; !banned {
		return
	}
	delete(r.excludedSince, e.Host)
	if m := r.hosts[e.Host]; m != nil {
		m.strikes, m.unresponsive, m.ejectedUntil, m.lag, m.lastOutcomeAt = 0, false, 0, 0, r.now
		m.concurrencyLimit = max(m.concurrencyLimit, initialConcurrencyLimit)
	}
}

// listed tells whether list and ban allow sends. A primary that drains is used while the grace lasts: only it
// takes writes.
func (r *Router) inService(m *host) bool {
	at, banned := r.excludedSince[m.ID]
	switch {
	case m.State == StateGone:
		return r.settings.RemovalNotBinding && !m.listedAsDraining && !banned
	case m.State == StateReady && !banned:
		return true
	case m.State == StateDraining && (!banned || m.drainNotifiedAt < at):
		at = m.drainNotifiedAt
	}
	return m.group.primary == m && r.now+2*r.settings.TickInterval < at+r.settings.DrainGrace
}

// UnavailableHosts is how many of the listed members get nothing new now, by ban, by the list or by their own
// doing.
func (r *Router) UnavailableHosts(now time.Duration) int {
	n := 0
	for _, m := range r.hosts {
		if m.State != StateGone && (!r.inService(m) || m.unresponsive || now < m.ejectedUntil) {
			n++
		}
	}
	return n
}
