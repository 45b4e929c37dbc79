package routing

import "time"

// Exclusions: operators' commands not to use a host. They are kept apart from the endpoint list and
// override it: a host that is listed again, restarts or drains stays excluded until it is included. From
// its exclusion on, a host counts as draining (see inService).

// onExcludeHost excludes a host, even one that is not listed yet. Its open attempts may finish. If a host
// is excluded several times, the earliest time applies.
func (r *Router) onExcludeHost(event ExcludeHost) {
	since := r.now
	if event.Since > 0 {
		since = min(since, event.Since)
	}
	if earlier, excluded := r.excludedSince[event.Host]; !excluded || since < earlier {
		r.excludedSince[event.Host] = since
	}
}

// onIncludeHost ends the exclusion of a host. The earlier failures, lag and ejection no longer apply: the
// host gets requests at once, within the limits of slow start if it is warming up.
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
// Unresponsive hosts are counted although they still get reads. Ejections are evaluated at the clock time
// now, and drain grace periods at the time of the last Step.
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
