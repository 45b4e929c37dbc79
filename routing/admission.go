package routing

import "math"

// Load shedding by priority. Each group has an admission gate for each role of its hosts: the probability
// that a request of the mean weight rate is let through to a host of the role. Many gateways with a single
// attempt each can overrun a host without one of them reaching its concurrency limit; by the gates each
// sheds a part of its requests. The gates move as in AIMD: they open by additive increase and close by
// multiplicative decrease. For the other places that reject requests see the package comment.

const (
	// maxAdmissionGate is how far a gate opens. It is above 1, so that after answers in time a late one doesn't
	// shed anything. A gate starts at 1, where the first late answer sheds.
	maxAdmissionGate = 1.6
	// admissionGateIncrease is added to a gate by an answer in time.
	admissionGateIncrease = 0.1
	// admissionGateDecrease is the factor by which a late answer, a time-out or a rejection lowers a gate.
	admissionGateDecrease = 0.75
	// otherGroupsGateStep is the part of each step that the gates of the other groups take: a gateway with
	// little traffic gets too few answers from each group alone.
	otherGroupsGateStep = 0.2
	// weightRateGain is the weight of a new request in the mean weight rate.
	weightRateGain = 0.05
	// gateObjectiveShare is the part of its class's latency objective within which an answer is in time.
	gateObjectiveShare = 0.6
	// clientRetryWeightShare is the part of its priority weight that a client's retry has, where a late answer
	// has none: its latency objective counts from the first attempt and has most likely passed.
	clientRetryWeightShare = 0.1
)

// openGates lets all requests through.
func (g *group) openGates() {
	for role := range g.admissionGates {
		g.admissionGates[role] = 1
	}
}

// adjustAdmissionGates moves the gates of the host's role after an attempt. An error, or a lost connection,
// moves none. Anything but an answer in time counts only if this gateway had no other attempt open at the
// host, else its own concurrency may be the cause.
func (r *Router) adjustAdmissionGates(ended *attempt, outcome Outcome) {
	latency := (r.now - ended.sentAt).Seconds()
	objective := ended.request.class.LatencyObjective.Seconds()
	inTime := outcome == OutcomeOK && latency <= gateObjectiveShare*objective
	showsLoad := outcome == OutcomeOK || outcome == OutcomeTimeout || outcome == OutcomeRejected
	if !inTime && (!showsLoad || !ended.onlyOneAtHost) {
		return
	}
	for _, group := range r.sortedGroups {
		step := otherGroupsGateStep
		if group == ended.host.group {
			step = 1
		}
		gate := &group.admissionGates[ended.host.role()]
		if inTime {
			*gate = min(maxAdmissionGate, *gate+admissionGateIncrease*step)
		} else {
			*gate *= 1 - (1-admissionGateDecrease)*step
		}
	}
}

// passesAdmissionGate draws whether a request is let through to a host, and reports it. It draws only while
// the gate is below 1, and once for each role of a request, which it marks in request.gateDrawn: what has
// passed once passes again. The more a request weighs for the time that it takes, the likelier it passes.
func (r *Router) passesAdmissionGate(request *request, target *host) bool {
	role := target.role()
	gate := request.group.admissionGates[role]
	if gate >= 1 || request.gateDrawn[role] {
		return true
	}
	request.gateDrawn[role] = true
	return r.rng.Float64() < math.Pow(gate, r.meanWeightRate/r.weightRate(request))
}

// weightRate is the priority weight of a request that is answered now, for each second that an answer of
// its class takes. It orders what waits, and what is shed first.
func (r *Router) weightRate(request *request) float64 {
	class := request.class
	weight := class.PriorityWeight
	if r.now >= request.arrivedAt+class.LatencyObjective {
		weight *= class.LateWeightShare
	}
	if request.ClientRetry && class.LateWeightShare == 0 {
		weight *= clientRetryWeightShare
	}
	return weight / r.latencyOf(request).meanSeconds
}
