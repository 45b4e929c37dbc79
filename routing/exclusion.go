package routing

import "time"

// Exclusion by hand: operators' orders not to use a host. They are kept apart from the endpoint list and
// overrule it: a host that is listed anew, restarts or drains stays excluded until it is included. A host
// counts as draining from its exclusion on (see inService).

// onExcludeHost excludes a host, whether it is known or not. Its open attempts may finish. Of several
// exclusions the earliest counts.
func (r *Router) onExcludeHost(event ExcludeHost) {
	since := r.now
	if event.Since > 0 {
		since = min(since, event.Since)
	}
	if earlier, excluded := r.excludedSince[event.Host]; !excluded || since < earlier {
		r.excludedSince[event.Host] = since
	}
}

// onIncludeHost ends a host's exclusion. What counted against it belongs to the time before: it gets
// requests at once, one that is warming up within its limits.
func (r *Router) onIncludeHost(event IncludeHost) {
	if _, excluded := r.excludedSince[event.Host]; !excluded {
		return
	}
	delete(r.excludedSince, event.Host)
	host := r.hosts[event.Host]
	if host == nil {
		return
	}
	host.recentFailures, host.unresponsive, host.ejectedUntil = 0, false, 0
	host.lag, host.lastOutcomeAt = 0, r.now
	host.concurrencyLimit = max(host.concurrencyLimit, initialConcurrencyLimit)
}

// UnavailableHosts returns the number of listed hosts that are draining, excluded, ejected or unresponsive.
// Unresponsive hosts are counted although they get reads. Ejections are taken at the clock time now, drain
// grace periods at the time of the last Step.
func (r *Router) UnavailableHosts(now time.Duration) int {
	count := 0
	for _, host := range r.hosts {
		isEjected := now < host.ejectedUntil
		if host.State != StateGone && (!r.inService(host) || host.unresponsive || isEjected) {
			count++
		}
	}
	return count
}
