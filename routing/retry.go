package routing

import "time"

// Retry and giving up. A request may be attempted while its time, its attempts and its idempotency allow
// it; else it gets its final answer at once, so that the client can act on it.

const (
	// minLatencyShare is the part of its class's mean answer time that an answer takes at least.
	minLatencyShare = 0.7
	// dedupWindowMargin is the end of a deduplication window that is left unused, at most a fifth of the
	// window: hosts count it from when an attempt arrives, and one attempt may be on its way longer than
	// another.
	dedupWindowMargin = 20 * time.Millisecond
	// dedupWindowMarginDivisor is the part of a short deduplication window that is left unused: one fifth.
	dedupWindowMarginDivisor = 5
	// waitingCheckInterval is the interval at which requests that wait are looked at, before scaleToObjective.
	waitingCheckInterval = 10 * time.Millisecond
)

// mayAttempt reports whether a request that has no attempt in flight may be sent, now or later. Where it may
// not, the request gets its final answer now.
func (r *Router) mayAttempt(request *request) bool {
	switch {
	case r.deadlineIsDue(request),
		request.attemptCount >= r.settings.MaxAttempts,
		request.causedError,
		r.isUnseenTooLong(request),
		r.isTooLateToCount(request):
		return false
	}
	return r.mayRepeat(request)
}

// hasWaited reports whether a request arrived before this moment. What has just arrived is not given up for
// lack of time, unless its deadline has passed; slow start or an admission gate may still drop it.
func (r *Router) hasWaited(request *request) bool { return r.now > request.arrivedAt }

// deadlineIsDue reports whether a request's deadline has passed, or would pass before it is looked at
// again.
func (r *Router) deadlineIsDue(request *request) bool {
	if r.now >= request.deadline {
		return true
	}
	nextCheck := r.now + 2*r.settings.TickInterval + r.scaleToObjective(waitingCheckInterval)
	return r.hasWaited(request) && nextCheck >= request.deadline
}

// isUnseenTooLong reports whether half of a request's time has passed and no attempt has reached a host.
// Its client is answered while there is time to send it again.
func (r *Router) isUnseenTooLong(request *request) bool {
	if request.reachedHost || !r.hasWaited(request) {
		return false
	}
	nextCheck := r.now + r.scaleToObjective(waitingCheckInterval)
	return nextCheck >= request.arrivedAt+request.TimeLeft/2
}

// isTooLateToCount reports whether an answer would come after the latency objective to a request whose late
// answers have no weight. mayAttempt then has it given up at once.
func (r *Router) isTooLateToCount(request *request) bool {
	if request.class.LateWeightShare != 0 || !r.hasWaited(request) {
		return false
	}
	earliestAnswer := r.now + secondsToDuration(minLatencyShare*r.latencyOf(request).meanSeconds)
	return earliestAnswer >= min(request.arrivedAt+request.class.LatencyObjective, request.deadline)
}

// mayRepeat reports whether it does no harm to send a request (again): it can't have run, is idempotent, or
// hosts drop its repeat.
func (r *Router) mayRepeat(request *request) bool {
	if !request.mayHaveRun {
		return true
	}
	switch request.class.Idempotency {
	case Idempotent:
		return true
	case IdempotentWithKey:
		return r.now < request.retryBefore()
	}
	return false
}

// retryBefore returns the clock time until which hosts drop the repeat of a request with an idempotency key
// that may have run; 0 for any other request.
func (req *request) retryBefore() time.Duration {
	if !req.mayHaveRun || req.class.Idempotency != IdempotentWithKey {
		return 0
	}
	return req.class.dedupWindowEnd(req.uncertainSince)
}

// dedupWindowEnd returns the clock time until which hosts drop the repeat of a request that may have run
// since a time.
func (c *Class) dedupWindowEnd(uncertainSince time.Duration) time.Duration {
	margin := min(dedupWindowMargin, c.DedupWindow/dedupWindowMarginDivisor)
	return uncertainSince + c.DedupWindow - margin
}

// giveUp gives a request its final answer: Reject where the client may send it again without harm, else
// Fail. A rejected request may have run. Then it is idempotent, or every group drops the repeat of its key.
func (r *Router) giveUp(request *request) {
	droppedAnywhere := request.class.Idempotency == IdempotentWithKey && request.class.DedupAcrossGroups
	harmless := !request.mayHaveRun || request.class.Idempotency == Idempotent || droppedAnywhere
	switch {
	case !harmless:
		r.emit(Fail{request.ID})
	case r.settings.RetryAfterAllowed:
		// Always the longest wait: of the retries that come sooner, most would miss their latency objective too.
		r.emit(Reject{request.ID, r.settings.MaxRetryAfter})
	default:
		r.emit(Reject{Request: request.ID})
	}
	r.finish(request)
}
