package routing

import "time"

// Retry rules. A request may be attempted as long as its deadline, its number of attempts and its
// idempotency allow it. Otherwise it gets its final answer at once, so that the client can react to it.

const (
	// minLatencyShare is the shortest latency that wouldAnswerTooLate expects of an answer, as a share of the
	// mean latency of its class.
	minLatencyShare = 0.7
	// dedupWindowMargin is how long before the end of a deduplication window the last retry may be sent. A
	// host starts the window when an attempt arrives, and two attempts can have different network delays.
	dedupWindowMargin = 20 * time.Millisecond
	// dedupWindowMarginDivisor limits the margin in a short deduplication window to a fifth of the window.
	dedupWindowMarginDivisor = 5
	// waitingCheckInterval is the interval at which waiting requests are checked and dispatched if possible,
	// before scaleToObjective.
	waitingCheckInterval = 10 * time.Millisecond
)

// mayAttempt reports whether a request without an attempt in flight may be sent to a host, now or later. If
// it may not, dispatch gives it its final answer.
func (r *Router) mayAttempt(request *request) bool {
	switch {
	case r.expiresBeforeNextCheck(request),
		request.attemptCount >= r.settings.MaxAttempts,
		request.causedError,
		r.reachedNoHostInTime(request),
		r.wouldAnswerTooLate(request):
		return false
	}
	return r.isSafeToRetry(request)
}

// hasWaited reports whether a request arrived before the current time. A request that has just arrived is
// not given up for lack of time unless its deadline has passed. Slow start or an admission gate may still
// drop it.
func (r *Router) hasWaited(request *request) bool { return r.now > request.arrivedAt }

// expiresBeforeNextCheck reports whether a request's deadline has passed or, for a request that has waited,
// would pass before the request is checked again.
func (r *Router) expiresBeforeNextCheck(request *request) bool {
	if r.now >= request.deadline {
		return true
	}
	nextCheck := r.now + 2*r.settings.TickInterval + r.scaleToObjective(waitingCheckInterval)
	return r.hasWaited(request) && nextCheck >= request.deadline
}

// reachedNoHostInTime reports whether no attempt of a waiting request has reached a host, and half of its
// time will have passed at the next check. The client is then answered early enough to send the request
// again.
func (r *Router) reachedNoHostInTime(request *request) bool {
	if request.reachedHost || !r.hasWaited(request) {
		return false
	}
	nextCheck := r.now + r.scaleToObjective(waitingCheckInterval)
	return nextCheck >= request.arrivedAt+request.TimeLeft/2
}

// wouldAnswerTooLate reports whether a request that has waited would be answered after its latency
// objective or its deadline, while late answers of its class have no weight.
func (r *Router) wouldAnswerTooLate(request *request) bool {
	if request.class.LateWeightShare != 0 || !r.hasWaited(request) {
		return false
	}
	earliestAnswer := r.now + secondsToDuration(minLatencyShare*r.latencyOf(request).meanSeconds)
	return earliestAnswer >= min(request.arrivedAt+request.class.LatencyObjective, request.deadline)
}

// isSafeToRetry reports whether sending a request, for the first time or again, does no harm: it can't have
// run yet, it is idempotent, or hosts still drop repeats of its idempotency key.
func (r *Router) isSafeToRetry(request *request) bool {
	if !request.mayHaveRun {
		return true
	}
	switch request.class.Idempotency {
	case Idempotent:
		return true
	case IdempotentWithKey:
		return r.now < request.repeatBefore()
	}
	return false
}

// sendBefore returns the clock time before which a request must be written to a host, or 0 for no limit. No
// class has both limits, as one is for writes and the other for reads.
func (r *Router) sendBefore(request *request, target *host) time.Duration {
	return max(request.repeatBefore(), r.freshUntil(request, target))
}

// repeatBefore returns the clock time until which hosts drop a repeat of the request, if the request has an
// idempotency key and may have run. It returns 0 for any other request.
func (req *request) repeatBefore() time.Duration {
	if !req.mayHaveRun || req.class.Idempotency != IdempotentWithKey {
		return 0
	}
	return req.class.dedupWindowEnd(req.uncertainSince)
}

// dedupWindowEnd returns the clock time until which hosts are certain to drop repeats of a request.
// uncertainSince is when the first attempt that may have run was sent.
func (c *Class) dedupWindowEnd(uncertainSince time.Duration) time.Duration {
	margin := min(dedupWindowMargin, c.DedupWindow/dedupWindowMarginDivisor)
	return uncertainSince + c.DedupWindow - margin
}

// giveUp gives a request its final answer: Reject if the client can safely send it again, otherwise Fail. A
// request that may have run is rejected only if it is idempotent or if the hosts of every group drop repeats
// of its key.
func (r *Router) giveUp(request *request) {
	repeatDroppedByAllGroups := request.class.Idempotency == IdempotentWithKey && request.class.DedupAcrossGroups
	safeToResend := !request.mayHaveRun || request.class.Idempotency == Idempotent || repeatDroppedByAllGroups
	switch {
	case !safeToResend:
		r.emit(Fail{request.ID})
	case r.settings.RetryAfterAllowed:
		// Always the longest wait: most earlier retries would miss their latency objective too.
		r.emit(Reject{request.ID, r.settings.MaxRetryAfter})
	default:
		r.emit(Reject{Request: request.ID})
	}
	r.finish(request)
}
