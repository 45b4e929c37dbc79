package routing

import (
	"cmp"
	"slices"
)

// Dispatching: how a request gets from the queue of its group to a host. Each step is a rule in a file of
// its own: mayAttempt and giveUp (retry.go), requiredPosition (consistency.go), selectForRead (replica.go),
// selectForWrite (primary.go), passesSlowStart (slowstart.go) and passesAdmissionGate (admission.go).

// dispatchWaiting dispatches the waiting requests of a group in descending order of their weight rate, and
// the newest first among equals. In a queue that persists, serving the oldest first would answer every
// request just too late.
func (r *Router) dispatchWaiting(group *group) {
	waiting := group.waiting
	group.waiting = nil
	slices.SortStableFunc(waiting, func(a, b *request) int {
		return cmp.Or(cmp.Compare(r.weightRate(b), r.weightRate(a)), cmp.Compare(b.arrivedAt, a.arrivedAt))
	})
	for _, request := range waiting {
		r.dispatch(request)
	}
}

// dispatch sends a request to a host, gives it up, or leaves it waiting until a later Step.
func (r *Router) dispatch(request *request) {
	if request.finished || request.openAttempt != nil {
		return
	}
	if !r.mayAttempt(request) {
		r.giveUp(request)
		return
	}
	required, primaryOnly := r.requiredPosition(request)
	target := r.selectHost(request, required, primaryOnly)
	if target != nil && target.receivesAsPrimary(request) && !r.passesSlowStartAsPrimary(target, request) {
		request.droppedBySlowStart = r.usesRandomAdmission(target)
		target = nil
	}
	switch {
	case request.droppedBySlowStart:
		r.giveUp(request)
	case target == nil:
		request.group.waiting = append(request.group.waiting, request)
	case !r.passesAdmissionGate(request, target):
		r.giveUp(request)
	default:
		r.sendAttempt(request, target, required)
	}
}

// selectHost returns a host for a request, or nil if no host may get it now.
func (r *Router) selectHost(request *request, required Position, primaryOnly bool) *host {
	switch {
	case request.class.Consistency == ConsistencyWrite:
		return r.selectForWrite(request)
	case primaryOnly || request.misdirected:
		return r.availablePrimary(request.group)
	}
	return r.selectForRead(request, required)
}

// sendAttempt sends a request to a host.
func (r *Router) sendAttempt(request *request, target *host, required Position) {
	sent := &attempt{
		request: request, number: request.attemptCount, host: target, sentAt: r.now,
		requiredPosition: required, onlyOneAtHost: len(target.openAttempts) == 0,
	}
	if request.class.Consistency == ConsistencyWrite {
		r.markDirty(request)
	}
	request.attemptCount++
	request.openAttempt = sent
	request.triedHosts = append(request.triedHosts, target)
	target.openAttempts = append(target.openAttempts, sent)
	r.countLoadSent(request, target)
	r.emit(Attempt{Request: request.ID, Host: target.ID, SendBefore: r.sendBefore(request, target)})
}

// countLoadSent adds an attempt to the load that was sent recently, as the mean latency of its class in
// seconds.
func (r *Router) countLoadSent(request *request, target *host) {
	seconds := r.latencyOf(request).meanSeconds
	r.totalLoadSent += seconds
	if target.role() == primaryRole {
		r.primaryLoadSent += seconds
	}
}
