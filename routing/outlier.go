package routing

import "time"

// Outlier detection and ejection, by symptom rather than by cause. A host can be
//
//   - failing: a failure counts for each overdue answer, for each failed connection, and for a time-out
//     during which nothing came from it. The count of recent failures fades by a tenth a second. Each failure
//     in it halves how often the host is picked, and from 1 on it gets one request at a time. OutcomeOK and
//     OutcomeMisdirected clear the count where the answer isn't overdue; no other outcome does.
//   - ejected: it gets nothing until ejectedUntil. That is rejectionEjectionTime after it rejected a request.
//     After a failed connection it is the same where the host has responded lately and has no recent failure,
//     else connectFailureEjectionTime, doubled by each whole failure in the count: 12.8 s at its maximum.
//   - unresponsive: it has a recent failure, and nothing came from it during one more attempt; or a
//     connection to it fails although connections aren't scarce, unless it has responded lately and has no
//     recent failure. A host that was just listed or included counts as having responded lately. While a
//     primary is unresponsive, writes search another (see primary.go); reads are still sent to an
//     unresponsive host. An answer of any kind to an attempt, a rejection or a lost connection ends it. The
//     result of a health check doesn't.
//
// A failed connection is OutcomeNoConnection, whatever its cause: the host refused it, the connect time-out
// passed, this gateway's own limit of connections was reached, the address is invalid, or it broke before the
// whole request was written.
//
// A restart in the endpoint list clears the count and unresponsiveness, IncludeHost ends all three.
//
// The durations here and in the constants are those before scaleToObjective, which shortens them where a
// latency objective is short. The fading of the count isn't scaled.
//
// Only unresponsiveness that addFailure finds is logged, and Router.log drops lines that follow another
// closely. Failures, ejections, unresponsiveness after a failed connection and the end of any of the three
// have no log line; UnavailableHosts counts the hosts that are ejected or unresponsive.

const (
	// maxRecentFailures is the greatest count of recent failures of a host.
	maxRecentFailures = 6
	// recentFailureThreshold is the count above which a host has a recent failure. The next lost answer makes
	// such a host unresponsive: a single one doesn't, nor does one after a failure that has faded.
	recentFailureThreshold = 0.5
	// failureRetentionPerSecond is the part of the count that is left after a second.
	failureRetentionPerSecond = 0.9
	// rejectionEjectionTime is how long a host is ejected after it rejected a request for lack of capacity.
	rejectionEjectionTime = 50 * time.Millisecond
	// connectFailureEjectionTime is how long a host without failures is ejected after a failed connection; each
	// whole failure in the count doubles it.
	connectFailureEjectionTime = 200 * time.Millisecond
	// minConclusiveTimeout is the least time after the send from which a time-out counts against the host.
	minConclusiveTimeout = 200 * time.Millisecond
	// recentResponseTime is how long after an attempt's result from it a host has responded lately: a failed
	// connection in that time is taken for a single loss.
	recentResponseTime = 200 * time.Millisecond
	// quickErrorLatencyShare is the part of its class's mean answer time within which an error counts as
	// quick.
	quickErrorLatencyShare = 0.4
	// requestCausedErrorThreshold is the share of quick errors above which they are taken to be the requests'
	// own.
	requestCausedErrorThreshold = 0.1
	// connectionScarcityThreshold is the share of failed connections from which connections are taken to be
	// scarce, and the hosts to be well.
	connectionScarcityThreshold = 0.2
	// failureShareGain is the weight of a failure or a success in a movingFailureShare.
	failureShareGain = 0.1
)

// A movingFailureShare is a moving share of failures of one kind among failures and answers. Failures count
// only where they move from host to host: a single host that fails doesn't raise it by more than one step.
type movingFailureShare struct {
	share    float64 // 0 to 1
	lastHost *host   // that failed
}

// failed counts a failure at a host.
func (f *movingFailureShare) failed(at *host) {
	if at != f.lastHost {
		f.lastHost = at
		f.share += failureShareGain * (1 - f.share)
	}
}

// succeeded counts an answer.
func (f *movingFailureShare) succeeded() { f.share *= 1 - failureShareGain }

// recordOutcome counts the end of an attempt for or against its host. OutcomeConnectionLost shows that the
// host is up, and nothing more.
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

// isInconclusive reports whether the end of an attempt shows nothing about its host: the answer had
// begun already, nothing was sent, the gateway cancelled it, or its time was nearly over when it was sent.
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

// clearFailures clears the count of the attempt's host, unless its answer came late.
func (a *attempt) clearFailures() {
	if !a.overdue {
		a.host.recentFailures = 0
	}
}

// recordRejection ejects a host that rejected a request for a short time, and lowers its concurrency limit.
func (r *Router) recordRejection(host *host) {
	ejection := r.scaleToObjective(rejectionEjectionTime)
	r.lowerConcurrencyLimit(host, ejection)
	host.ejectedUntil = r.now + ejection
}

// recordTimeout counts a time-out as a failure, where nothing came from the host and the attempt has not
// counted already for being overdue.
func (r *Router) recordTimeout(ended *attempt) {
	r.lowerConcurrencyLimit(ended.host, r.now-ended.sentAt)
	if !ended.overdue && ended.nothingReceivedSince() {
		r.addFailure(ended.host, true)
	}
}

// recordAnswer counts an answer: its latency, and that its host serves.
func (r *Router) recordAnswer(ended *attempt) {
	latency := r.now - ended.sentAt
	r.connectFailures.succeeded()
	ended.host.group.servedCount++
	r.loadEstimator.RequestServed(durationToMillis(r.now))
	r.adjustConcurrencyLimit(ended.host, latency, ended.request.class)
	r.latencyOf(ended.request).observe(latency.Seconds(), latencyGain)
}

// recordRequestCausedError counts an outcome in the share of quick errors, sets request.causedError, and
// reports it: whether the outcome is an error that the request causes at whichever host is used. Such errors
// are quick and move from host to host. They don't count against hosts, and the request is not retried.
// Several hosts that fail quickly at the same time look alike.
func (r *Router) recordRequestCausedError(ended *attempt, outcome Outcome) bool {
	quickWithin := quickErrorLatencyShare * r.latencyOf(ended.request).meanSeconds
	isQuick := outcome == OutcomeError && (r.now-ended.sentAt).Seconds() < quickWithin
	switch {
	case outcome == OutcomeOK:
		r.quickErrors.succeeded()
	case isQuick:
		r.quickErrors.failed(ended.host)
	}
	ended.request.causedError = isQuick && r.quickErrors.share > requestCausedErrorThreshold
	return ended.request.causedError
}

// recordConnectFailure counts a failed connection and ejects the host, the longer the more failures it has.
// Where connections to one host after another fail while others answer, connections are scarce and the hosts
// are well: none becomes unresponsive, so writes don't search another primary. Many hosts that are really
// down at the same time look alike.
func (r *Router) recordConnectFailure(host *host) {
	r.connectFailures.failed(host)
	respondedLately := r.now < host.lastOutcomeAt+r.scaleToObjective(recentResponseTime)
	if respondedLately && !host.hasRecentFailure() { // it is up: a single connection was lost
		host.ejectedUntil = r.now + r.scaleToObjective(rejectionEjectionTime)
	} else {
		host.ejectedUntil = r.now + r.scaleToObjective(connectFailureEjectionTime)<<int(host.recentFailures)
		connectionsAreScarce := r.connectFailures.share >= connectionScarcityThreshold
		host.unresponsive = host.unresponsive || !connectionsAreScarce // without a log line, unlike in addFailure
	}
	r.addFailure(host, false)
}

// nothingReceivedSince reports whether no outcome has come from the attempt's host since the attempt was
// sent.
func (a *attempt) nothingReceivedSince() bool { return a.host.lastOutcomeAt < a.sentAt }

// addFailure counts an overdue answer, a time-out or a failed connection. nothingReceived means that nothing
// has come from the host since it got the request: where the host has a recent failure already, of any of
// these kinds, it is unresponsive then.
func (r *Router) addFailure(host *host, nothingReceived bool) {
	isRepeated := host.hasRecentFailure()
	host.recentFailures = min(host.recentFailures+1, maxRecentFailures)
	if nothingReceived && isRepeated && !host.unresponsive {
		host.unresponsive = true
		r.log(host, "is unresponsive")
	}
}

// hasRecentFailure reports whether a host has a failure that hasn't faded much.
func (h *host) hasRecentFailure() bool { return h.recentFailures > recentFailureThreshold }

// eligible reports whether a host may get a request now: it is in service, not ejected, and if it has a
// recent failure it has no other attempt open.
func (r *Router) eligible(host *host) bool {
	if !r.inService(host) || r.now < host.ejectedUntil {
		return false
	}
	return host.recentFailures < 1 || len(host.openAttempts) == 0
}

// mayReceive reports whether a host is eligible and has capacity left.
func (r *Router) mayReceive(host *host) bool { return r.eligible(host) && host.hasCapacity() }

// isResponsive reports whether a host is in service and not unresponsive. It may be ejected at the moment.
func (r *Router) isResponsive(host *host) bool { return r.inService(host) && !host.unresponsive }
