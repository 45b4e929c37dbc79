package routing

import "time"

// Attempt timeouts. An answer that takes too long is overdue: it may be lost, or its host may be slow, hung
// or disconnected from the network.

const (
	// minAttemptTimeout is the shortest attempt timeout. Hosts and networks pause for this long without a
	// fault.
	minAttemptTimeout = 150 * time.Millisecond
	// maxTimeoutDeviations is the distance of the timeout from the mean latency of the class, in mean
	// deviations, unless it is shortened.
	maxTimeoutDeviations = 10
	// minTimeoutDeviations is the shortest such distance. The timeout is shortened where a retry would
	// otherwise come too late for the latency objective.
	minTimeoutDeviations = 6
)

// attemptTimeout returns the time after which an answer to a request of a class is overdue. It depends on
// the current latency of the class over all hosts. If possible, it leaves a retry one mean latency before
// the latency objective.
func (r *Router) attemptTimeout(class int) time.Duration {
	mean, deviation := r.latencies[class].meanSeconds, r.latencies[class].deviationSeconds
	latestRetry := r.settings.Classes[class].LatencyObjective.Seconds() - mean
	margin := max(minTimeoutDeviations*deviation, min(maxTimeoutDeviations*deviation, latestRetry-mean))
	return max(r.scaleToObjective(minAttemptTimeout), secondsToDuration(mean+margin))
}

// checkOverdueAttempts finds the open attempts of a host that have become overdue. Each one counts as a
// failure of the host, and is cancelled if mayRetryAfterCancel allows it. A request that legitimately runs
// very long is treated in the same way.
func (r *Router) checkOverdueAttempts(host *host) {
	for _, open := range host.openAttempts {
		request, age := open.request, r.now-open.sentAt
		if open.overdue || age < r.attemptTimeout(request.Class) {
			continue
		}
		r.latencyOf(request).observe(age.Seconds(), overdueLatencyGain)
		open.overdue = true
		r.addFailure(host, open.nothingReceivedSinceSent())
		if !request.finished && r.settings.CancelAllowed && r.mayRetryAfterCancel(open) {
			r.emit(CancelAttempt{request.ID, open.number})
		}
	}
}

// mayRetryAfterCancel reports whether the idempotency of a request allows a retry after its open attempt is
// cancelled: the request is idempotent, or its deduplication window is still open. It ignores MaxAttempts,
// the deadline and whether another host is free. An overdue attempt occupies its host, and if no retry
// follows, the client gets its answer at once.
func (r *Router) mayRetryAfterCancel(open *attempt) bool {
	request := open.request
	uncertainSince := open.sentAt
	if request.mayHaveRun {
		uncertainSince = request.uncertainSince
	}
	switch request.class.Idempotency {
	case Idempotent:
		return true
	case IdempotentWithKey:
		return r.now < request.class.dedupWindowEnd(uncertainSince)
	}
	return false
}
