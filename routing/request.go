package routing

import "time"

// A request holds the state of a client's request from its arrival to the end of its last attempt.
type request struct {
	Request
	class *Class
	group *group

	arrivedAt time.Duration
	deadline  time.Duration // clock time at which the client stops waiting

	writeNumber  uint64   // order among all writes sent; 0: not a write, or not sent yet
	attemptCount int      // number of attempts sent so far
	openAttempt  *attempt // the attempt in flight; nil: none
	triedHosts   []*host  // hosts of all attempts, in order

	reachedHost       bool  // an attempt has reached a host
	misdirected       bool  // a host rejected it with OutcomeMisdirected: a read then goes to the primary
	healthCheckedHost *host // replica whose position the read has waited for; nil: none

	mayHaveRun     bool          // it may have been executed by an attempt that has ended
	uncertainSince time.Duration // when the first such attempt was sent

	droppedBySlowStart bool            // it failed a draw for a warming host; other hosts may be free
	gateChecked        [hostRoles]bool // the draw at the admission gate was made, by role of the host
	causedError        bool            // any host answers it with a quick error; see recordRequestCausedError
	finished           bool            // it has its final answer, or its client is gone
}

// An attempt is a single send of a request to a host.
type attempt struct {
	request *request
	number  int // index among the attempts of the request, from 0
	host    *host
	sentAt  time.Duration

	requiredPosition Position // position that the host must have applied; 0: none
	onlyOneAtHost    bool     // this gateway had no other open attempt at the host when it was sent
	overdue          bool     // its answer took longer than attemptTimeout
	streaming        bool     // part of its answer has reached the client
}

// onRequest accepts a new request. It waits in its group until dispatchWaiting runs in the same Step.
func (r *Router) onRequest(event Request) {
	if event.Class < 0 || event.Class >= len(r.settings.Classes) || r.requests[event.ID] != nil {
		return
	}
	group := r.groupFor(event.Group)
	event.Session = tableKey(event.Session)
	arrived := &request{
		Request: event, class: &r.settings.Classes[event.Class], group: group,
		arrivedAt: r.now, deadline: r.now + event.TimeLeft,
	}
	r.requests[event.ID] = arrived
	group.open++
	r.loadEstimator.RequestArrived(durationToMillis(r.now))
	r.meanWeightRate += weightRateGain * (r.weightRate(arrived) - r.meanWeightRate)
	group.waiting = append(group.waiting, arrived)
}

// onAttemptResult handles the end of an attempt. Either the request ends too, or it waits to be dispatched
// again.
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
	if event.Outcome != OutcomeOK && !event.Outcome.ProvesNotRun() && !request.mayHaveRun {
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

// onStreamStarted handles that part of an answer has reached the client. The host has answered, and how
// long the rest takes also depends on the client, so the attempt no longer counts towards the host's
// concurrency limit.
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

// finish ends a request, so that nothing more is sent for it. While an attempt is in flight the request
// stays in the table, so that the result of the attempt still updates the state of its host and session.
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
	if r.requests[request.ID] == request {
		delete(r.requests, request.ID)
		request.group.open--
	}
}
