package fleet

import "math"

// loadFactorExponent makes the limit on a warming host fall faster than the load factor rises: retried requests are
// spread unevenly over groups, hosts and gateways, and no gateway sees where they accumulate.
const loadFactorExponent = 1.25

// SlowStartLimit is the limit on the traffic to a host that is warming up. A fleet observes it in sum.
type SlowStartLimit struct {
	HostCount          float64 // hosts that a group's normal traffic is meant for
	OverloadMultiple   float64 // a host is overloaded at more than this times its capacity share times even traffic
	UsableShare        float64 // of the capacity, 0 to 1; the rest covers uneven traffic and gateways' differing facts
	OverloadWindowMs   float64 // a host fails if it is overloaded for this long
	AttemptsPerRequest float64 // that a client makes of a rejected request, in all
	LoadFactor         float64 // current traffic as a multiple of normal traffic, at least 1
}

// AdmitProbability is the probability with which a request is admitted to a host that has a share of its capacity (0 to
// 1) and gets a share (0 to 1) of its group's traffic from the whole fleet. The sum over all gateways is right however
// many there are.
//
// Requests that waited for waitedMs arrive as one burst, and rejected requests are retried; both lower the probability.
// Retries are part of LoadFactor as well, so the lower of the two probabilities holds.
func (l SlowStartLimit) AdmitProbability(capacityShare, trafficShare, waitedMs float64) float64 {
	burst := 1 + waitedMs/max(l.OverloadWindowMs, 1)
	probability := l.OverloadMultiple * l.UsableShare * capacityShare / (max(1, l.HostCount) * trafficShare * burst)
	underLoad := probability / math.Pow(max(1, l.LoadFactor), loadFactorExponent)
	perAttempt := 1 - math.Pow(max(0, 1-probability), 1/l.AttemptsPerRequest)
	return min(1, underLoad, perAttempt)
}

// AdmitRate is how many requests a second one gateway may send to a host that has a share of its capacity (0 to 1).
// groupRate is how many requests a second the host's group answered this gateway while no host of it was warming up.
func (l SlowStartLimit) AdmitRate(capacityShare, groupRate float64) float64 {
	return l.OverloadMultiple * l.UsableShare * capacityShare * groupRate / max(1, l.HostCount)
}
