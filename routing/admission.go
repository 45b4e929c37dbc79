package routing

import "math"

// Load shedding by priority. Each group has an admission gate for each role of its hosts. The value of a
// gate is the probability that a request with the mean weight rate is admitted to a host of that role. Many
// gateways with a single attempt each can overload a host although none of them reaches its concurrency
// limit; the gates make each gateway shed part of its requests. The gates follow AIMD: they open by
// additive increase and close by multiplicative decrease. For the other places where requests are rejected,
// see the package comment.

const (
	// maxAdmissionGate is the upper bound of a gate. It is above 1 so that a single late answer after answers
	// in time sheds nothing. A gate starts at 1, where the first late answer sheds load.
	maxAdmissionGate = 1.6
	// admissionGateIncrease is how much an answer in time raises a gate.
	admissionGateIncrease = 0.1
	// admissionGateDecrease is the factor by which a late answer, a timeout or a rejection lowers a gate.
	admissionGateDecrease = 0.75
	// otherGroupsGateStep is the fraction of each step that is applied to the gates of the other groups. A
	// gateway with little traffic gets too few answers from each group alone.
	otherGroupsGateStep = 0.2
	// weightRateGain is the weight of a new request in the mean weight rate.
	weightRateGain = 0.05
	// gateObjectiveShare is the share of its class's latency objective within which an answer counts as in
	// time.
	gateObjectiveShare = 0.6
	// clientRetryWeightShare is the factor applied to the priority weight of a client's retry if late answers
	// of its class have no weight. The latency objective counts from the client's first attempt and has most
	// likely passed.
	clientRetryWeightShare = 0.1
)

// openGates sets all gates to 1, so that they admit all requests.
func (g *group) openGates() {
	for role := range g.admissionGates {
		g.admissionGates[role] = 1
	}
}

// adjustAdmissionGates adjusts the gates for the host's role in all groups after an attempt. An error or a
// lost connection changes no gate. An outcome other than an answer in time counts only if this gateway had
// no other attempt open at the host when it sent this one. Otherwise, its own concurrency may be the cause.
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

// passesAdmissionGate reports whether a request is admitted to a host, by a random draw if the gate is
// below 1. The draw is made once per request and role, as recorded in request.gateChecked: a request that
// has passed is not checked again. The higher the weight rate of a request, the more likely it passes.
func (r *Router) passesAdmissionGate(request *request, target *host) bool {
	role := target.role()
	gate := request.group.admissionGates[role]
	if gate >= 1 || request.gateChecked[role] {
		return true
	}
	request.gateChecked[role] = true
	return r.rng.Float64() < math.Pow(gate, r.meanWeightRate/r.weightRate(request))
}

// weightRate returns the priority weight of an answer now, divided by the mean latency of the class in
// seconds. It determines the order of waiting requests and which requests are shed first.
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
