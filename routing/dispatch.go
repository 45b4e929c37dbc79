package routing

import (
	"cmp"
	"slices"
)

// Dispatching: the way of a request from its group's queue to a host. Each step is a rule of a file of its
// own: mayAttempt and giveUp (retry.go), requiredPosition (consistency.go), selectForRead (replica.go),
// selectForWrite (primary.go), passesSlowStart (slowstart.go), passesAdmissionGate (admission.go).

// dispatchWaiting dispatches a group's waiting requests: those of the greatest weight rate first, and of
// these the newest first. In a queue that lasts, oldest first would answer every request just too late.
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

// selectHost returns a host for a request, or nil where none may get it now.
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
	r.emit(Attempt{Request: request.ID, Host: target.ID, SendBefore: request.sendBefore()})
}

// countLoadSent adds an attempt to what was sent lately, in seconds of the mean answer time of its class.
func (r *Router) countLoadSent(request *request, target *host) {
	seconds := r.latencyOf(request).meanSeconds
	r.totalLoadSent += seconds
	if target.role() == primaryRole {
		r.primaryLoadSent += seconds
	}
}
