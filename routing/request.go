package routing

import "time"

// A request is a client's request between its arrival and the end of its last attempt.
type request struct {
	Request
	class *Class
	group *group

	arrivedAt time.Duration
	deadline  time.Duration // clock time at which the client gives up

	writeNumber  uint64   // order of this write among all writes sent; 0: none, or not sent yet
	attemptCount int      // attempts sent so far
	openAttempt  *attempt // attempt in flight; nil: none
	triedHosts   []*host  // hosts of all attempts, in order

	reachedHost       bool  // an attempt has reached a host
	misdirected       bool  // a replica was too far behind for it: the primary is next
	healthCheckedHost *host // replica whose position it has waited for; nil: none

	mayHaveRun     bool          // an attempt that has ended may have had its effect
	uncertainSince time.Duration // when the first such attempt was sent

	droppedBySlowStart bool            // the draw for a warming host failed; other hosts may be free
	gateChecked        [hostRoles]bool // the admission gate of a role was drawn for it already
	causedError        bool            // any host answers it with a quick error; see recordRequestCausedError
	finished           bool            // it has its final answer, or its client is gone
}

// An attempt is one sending of a request to a host.
type attempt struct {
	request *request
	number  int // among the request's attempts, from 0
	host    *host
	sentAt  time.Duration

	requiredPosition Position // that the host needed to have; 0: none
	onlyOneAtHost    bool     // this gateway had no other attempt open at the host when it was sent
	overdue          bool     // its answer has taken longer than attemptTimeout
	streaming        bool     // part of its answer has reached the client
}

// onRequest accepts a new request. It waits in its group until dispatchWaiting, in the same Step.
func (r *Router) onRequest(event Request) {
	if event.Class < 0 || event.Class >= len(r.settings.Classes) || r.requests[event.ID] != nil {
		return
	}
	group := r.groupFor(event.Group)
	arrived := &request{
		Request: event, class: &r.settings.Classes[event.Class], group: group,
		arrivedAt: r.now, deadline: r.now + event.TimeLeft,
	}
	r.requests[event.ID] = arrived
	r.loadEstimator.RequestArrived(durationToMillis(r.now))
	r.meanWeightRate += weightRateGain * (r.weightRate(arrived) - r.meanWeightRate)
	group.waiting = append(group.waiting, arrived)
}

// onAttemptResult handles the end of an attempt. The request ends with it or waits to be dispatched again.
func (r *Router) onAttemptResult(event AttemptResult) {
	request := r.requests[event.Request]
	if request == nil || request.openAttempt == nil || request.openAttempt.number != event.Attempt {
		return
	}
	ended := request.openAttempt
	request.openAttempt = nil
	ended.host.removeOpenAttempt(ended)
	r.observeAttemptResult(ended, event)
	r.recordOutcome(ended, event.Outcome)
	if event.Outcome != OutcomeOK && !event.Outcome.provesNotRun() && !request.mayHaveRun {
		request.mayHaveRun, request.uncertainSince = true, ended.sentAt
	}
	if request.class.Consistency == ConsistencyWrite && event.Outcome == OutcomeOK {
		r.completeWrite(request, event.Position)
	}
	if event.RequestDone || request.finished {
		r.finish(request)
		return
	}
	if event.Outcome == OutcomeMisdirected {
		request.misdirected = true
	}
	if event.Outcome != OutcomeNoConnection && event.Outcome != OutcomeNotSent {
		request.reachedHost = true
	}
	request.group.waiting = append(request.group.waiting, request)
}

// onStreamStarted handles that an answer has begun to reach the client. The host has done its part in
// time; how long the rest takes depends on the client too, so the attempt no longer counts against the
// host's limit.
func (r *Router) onStreamStarted(event StreamStarted) {
	request := r.requests[event.Request]
	if request != nil && request.openAttempt != nil {
		started := request.openAttempt
		r.recordOutcome(started, OutcomeOK)
		started.streaming = true
		started.host.removeOpenAttempt(started)
	}
	r.finish(request)
}

// finish ends a request: nothing more is sent for it. While an attempt is in flight the request stays
// known, so that the result still counts for its host and its session.
func (r *Router) finish(request *request) {
	if request == nil {
		return
	}
	request.finished = true
	if request.openAttempt != nil {
		return
	}
	if request.writeNumber > 0 {
		r.removeDirtyWrite(request)
	}
	delete(r.requests, request.ID)
}
