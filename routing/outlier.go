package routing

import "time"

// Outlier detection and ejection. It reacts to symptoms and does not look for their causes. A host can be
// in any of three states:
//
//   - Failing. Each overdue answer, each failed connection, and each timeout during which nothing was
//     received from the host counts as a failure. The count of recent failures decays by 10% per second.
//     Each recent failure halves the probability that the host is picked, and a host with a count of 1 or
//     more gets one request at a time. OutcomeOK and OutcomeMisdirected reset the count if the answer is
//     not overdue. No other outcome resets it.
//   - Ejected. The host gets no requests until ejectedUntil. After it rejected a request the ejection lasts
//     rejectionEjectionTime. After a failed connection it lasts rejectionEjectionTime if the host has
//     responded recently and has no recent failure. Otherwise it lasts connectFailureEjectionTime, doubled
//     for each whole failure in the count, at most 12.8 s.
//   - Unresponsive. A host becomes unresponsive if it has a recent failure and nothing is received from it
//     during one more attempt. It also becomes unresponsive if a connection to it fails while connections
//     aren't scarce, unless it has responded recently and has no recent failure. A host that was just
//     listed or included counts as having responded recently. While a primary is unresponsive, writes
//     search for another one (see primary.go); reads are still sent to an unresponsive host. Any answer to
//     an attempt, a rejection or a lost connection ends the state. The result of a health check doesn't.
//
// A failed connection is OutcomeNoConnection, whatever its cause: the host refused it, the connect timeout
// passed, this gateway's own limit of connections was reached, the address is invalid, or the connection
// broke before the whole request was written.
//
// A restart in the endpoint list resets the count and ends unresponsiveness. IncludeHost ends all three
// states.
//
// The durations given here and in the constants apply before scaleToObjective, which shortens them if a
// latency objective is short. The decay of the count isn't scaled.
//
// Only unresponsiveness found by addFailure is logged, and Router.log drops lines that follow another one
// too closely. Failures, ejections, unresponsiveness after a failed connection and the end of any of the
// three states are not logged. UnavailableHosts counts the hosts that are ejected or unresponsive.

const (
	// maxRecentFailures is the upper bound of a host's count of recent failures.
	maxRecentFailures = 6
	// recentFailureThreshold is the count above which a host has a recent failure. The next lost answer makes
	// such a host unresponsive. A single lost answer doesn't, nor does one after an earlier failure has
	// decayed.
	recentFailureThreshold = 0.5
	// failureRetentionPerSecond is the share of the count that remains after one second.
	failureRetentionPerSecond = 0.9
	// rejectionEjectionTime is how long a host is ejected after it rejected a request for lack of capacity.
	rejectionEjectionTime = 50 * time.Millisecond
	// connectFailureEjectionTime is how long a host without failures is ejected after a failed connection.
	// Each whole failure in the count doubles it.
	connectFailureEjectionTime = 200 * time.Millisecond
	// minConclusiveTimeout is how long an attempt must have been open for its timeout to count against the
	// host.
	minConclusiveTimeout = 200 * time.Millisecond
	// recentResponseTime is how long a host counts as having responded recently after an attempt had an
	// outcome from it. A failed connection within this time is treated as the loss of a single connection.
	recentResponseTime = 200 * time.Millisecond
	// quickErrorLatencyShare is the share of its class's mean latency below which an error counts as quick.
	quickErrorLatencyShare = 0.4
	// requestCausedErrorThreshold is the share of quick errors above which quick errors are attributed to the
	// requests instead of the hosts.
	requestCausedErrorThreshold = 0.1
	// connectionScarcityThreshold is the share of failed connections from which connections are considered
	// scarce and the hosts healthy.
	connectionScarcityThreshold = 0.2
	// failureShareGain is the weight of a new failure or success in a movingFailureShare.
	failureShareGain = 0.1
)

// A movingFailureShare is a moving average of the share of failures of one kind among failures and answers.
// A failure counts only if the previous one occurred at another host, so a single failing host raises the
// share by at most one step.
type movingFailureShare struct {
	share          float64 // 0 to 1
	lastFailedHost *host
}

// recordFailure records a failure at a host.
func (f *movingFailureShare) recordFailure(at *host) {
	if at != f.lastFailedHost {
		f.lastFailedHost = at
		f.share += failureShareGain * (1 - f.share)
	}
}

// recordSuccess records an answer.
func (f *movingFailureShare) recordSuccess() { f.share *= 1 - failureShareGain }

// recordOutcome updates the state of a host with the outcome of one of its attempts. OutcomeConnectionLost
// shows only that the host is responsive.
func (r *Router) recordOutcome(ended *attempt, outcome Outcome) {
	if r.isInconclusive(ended, outcome) {
		return
	}
	host := ended.host
	if outcome != OutcomeTimeout && outcome != OutcomeNoConnection {
		host.lastOutcomeAt, host.unresponsive = r.now, false
	}
	if r.recordRequestCausedError(ended, outcome) {
		return
	}
	r.adjustAdmissionGates(ended, outcome)
	switch outcome {
	case OutcomeOK:
		ended.clearFailures()
		r.recordAnswer(ended)
	case OutcomeMisdirected:
		ended.clearFailures()
	case OutcomeRejected:
		r.recordRejection(host)
	case OutcomeNoConnection:
		r.recordConnectFailure(host)
	case OutcomeError:
		r.lowerConcurrencyLimit(host, r.now-ended.sentAt)
	case OutcomeTimeout:
		r.recordTimeout(ended)
	}
}

// isInconclusive reports whether the outcome of an attempt says nothing about its host: the answer had
// already begun to reach the client, nothing was sent, the gateway cancelled the attempt, or the attempt
// was sent shortly before its timeout.
func (r *Router) isInconclusive(ended *attempt, outcome Outcome) bool {
	if ended.streaming {
		return true
	}
	switch outcome {
	case OutcomeNotSent, OutcomeCancelled:
		return true
	case OutcomeTimeout:
		return ended.sentAt+r.scaleToObjective(minConclusiveTimeout) > r.now
	}
	return false
}

// clearFailures resets the recent failures of the attempt's host, unless the attempt was overdue.
func (a *attempt) clearFailures() {
	if !a.overdue {
		a.host.recentFailures = 0
	}
}

// recordRejection briefly ejects a host that rejected a request, and lowers its concurrency limit.
func (r *Router) recordRejection(host *host) {
	ejection := r.scaleToObjective(rejectionEjectionTime)
	r.lowerConcurrencyLimit(host, ejection)
	host.ejectedUntil = r.now + ejection
}

// recordTimeout lowers the host's concurrency limit. It counts the timeout as a failure if nothing was
// received from the host and the attempt was not counted already when it became overdue.
func (r *Router) recordTimeout(ended *attempt) {
	r.lowerConcurrencyLimit(ended.host, r.now-ended.sentAt)
	if !ended.overdue && ended.nothingReceivedSinceSent() {
		r.addFailure(ended.host, true)
	}
}

// recordAnswer counts an answer in the share of failed connections, the answer rate, the load estimate, the
// concurrency limit and the latency estimate.
func (r *Router) recordAnswer(ended *attempt) {
	latency := r.now - ended.sentAt
	r.connectFailures.recordSuccess()
	ended.host.group.answerCount++
	r.loadEstimator.RequestServed(durationToMillis(r.now))
	r.adjustConcurrencyLimit(ended.host, latency, ended.request.class)
	r.latencyOf(ended.request).observe(latency.Seconds(), latencyGain)
}

// recordRequestCausedError updates the share of quick errors, sets request.causedError and returns it. The
// field says whether the request itself caused the error and would get it from any host: such errors are
// quick and occur at one host after another. They don't count against hosts, and the request is not
// retried. Several hosts that fail quickly at the same time can't be told apart from this case.
func (r *Router) recordRequestCausedError(ended *attempt, outcome Outcome) bool {
	quickWithin := quickErrorLatencyShare * r.latencyOf(ended.request).meanSeconds
	isQuick := outcome == OutcomeError && (r.now-ended.sentAt).Seconds() < quickWithin
	switch {
	case outcome == OutcomeOK:
		r.quickErrors.recordSuccess()
	case isQuick:
		r.quickErrors.recordFailure(ended.host)
	}
	ended.request.causedError = isQuick && r.quickErrors.share > requestCausedErrorThreshold
	return ended.request.causedError
}

// recordConnectFailure counts a failed connection and ejects the host, for longer if it has more recent
// failures. If connections to one host after another fail while others answer, connections are scarce and
// the hosts are considered healthy. None of them becomes unresponsive, so writes don't search for another
// primary. Many hosts that are really down at the same time can't be told apart from this case.
func (r *Router) recordConnectFailure(host *host) {
	r.connectFailures.recordFailure(host)
	respondedRecently := r.now < host.lastOutcomeAt+r.scaleToObjective(recentResponseTime)
	if respondedRecently && !host.hasRecentFailure() { // a single connection was lost
		host.ejectedUntil = r.now + r.scaleToObjective(rejectionEjectionTime)
	} else {
		host.ejectedUntil = r.now + r.scaleToObjective(connectFailureEjectionTime)<<int(host.recentFailures)
		connectionsAreScarce := r.connectFailures.share >= connectionScarcityThreshold
		host.unresponsive = host.unresponsive || !connectionsAreScarce // not logged, unlike in addFailure
	}
	r.addFailure(host, false)
}

// nothingReceivedSinceSent reports whether no attempt had an outcome from the host since this one was sent.
func (a *attempt) nothingReceivedSinceSent() bool { return a.host.lastOutcomeAt < a.sentAt }

// addFailure counts an overdue answer, a timeout or a failed connection. nothingReceived means that nothing
// was received from the host since the request was sent. In that case, a host that already has a recent
// failure of any of these kinds becomes unresponsive.
func (r *Router) addFailure(host *host, nothingReceived bool) {
	isRepeated := host.hasRecentFailure()
	host.recentFailures = min(host.recentFailures+1, maxRecentFailures)
	if nothingReceived && isRepeated && !host.unresponsive {
		host.unresponsive = true
		r.log(host, "is unresponsive")
	}
}

// hasRecentFailure reports whether a host has a failure that hasn't decayed below recentFailureThreshold.
func (h *host) hasRecentFailure() bool { return h.recentFailures > recentFailureThreshold }

// eligible reports whether a host may get a request now: it is in service, not ejected, and has no open
// attempt if its count of recent failures is 1 or more.
func (r *Router) eligible(host *host) bool {
	if !r.inService(host) || r.now < host.ejectedUntil {
		return false
	}
	return host.recentFailures < 1 || len(host.openAttempts) == 0
}

// mayReceive reports whether a host is eligible and below its concurrency limit.
func (r *Router) mayReceive(host *host) bool { return r.eligible(host) && host.hasCapacity() }

// isResponsive reports whether a host is in service and not unresponsive. It may be ejected.
func (r *Router) isResponsive(host *host) bool { return r.inService(host) && !host.unresponsive }
