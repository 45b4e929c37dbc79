package fleet

import "math"

// loadFactorExponent makes the limit on the traffic to a warming host fall faster than the load factor rises: retried
// requests are spread unevenly over groups, hosts and gateways, and no gateway sees where they accumulate.
const loadFactorExponent = 1.25

// SlowStartLimit limits the traffic to a host that is warming up. The limit applies to the sum of all gateways' traffic.
type SlowStartLimit struct {
	HostCount          float64 // hosts that normally share the group's traffic
	OverloadMultiple   float64 // a host is overloaded above OverloadMultiple * capacity share * mean traffic per host
	UsableShare        float64 // usable share of the capacity, 0 to 1; the rest covers uneven traffic and differing views
	OverloadWindowMs   float64 // a host fails if it is overloaded for this long
	AttemptsPerRequest float64 // attempts that a client makes for a rejected request, including the first
	LoadFactor         float64 // current traffic as a multiple of normal traffic, at least 1
}

// AdmitProbability returns the probability of admitting a request to a warming host. capacityShare is the share of its
// capacity that the host has, and trafficShare is the share of its group's traffic that it gets from the whole fleet;
// both are 0 to 1. The sum of the admitted requests meets the limit for any number of gateways.
//
// Requests that waited for waitedMs arrive as one burst, and rejected requests are retried; both lower the probability.
// LoadFactor includes retries as well, so the result is the lower of the probability for the load factor and the
// probability for retries, rather than their product.
func (l SlowStartLimit) AdmitProbability(capacityShare, trafficShare, waitedMs float64) float64 {
	burst := 1 + waitedMs/max(l.OverloadWindowMs, 1)
	probability := l.OverloadMultiple * l.UsableShare * capacityShare / (max(1, l.HostCount) * trafficShare * burst)
	underLoad := probability / math.Pow(max(1, l.LoadFactor), loadFactorExponent)
	perAttempt := 1 - math.Pow(max(0, 1-probability), 1/l.AttemptsPerRequest)
	return min(1, underLoad, perAttempt)
}

// AdmitRate returns how many requests a second one gateway may send to a warming host. capacityShare is the share of its
// capacity that the host has, 0 to 1. groupRate is how many of this gateway's requests a second the host's group answered
// while none of the group's hosts was warming up.
func (l SlowStartLimit) AdmitRate(capacityShare, groupRate float64) float64 {
	return l.OverloadMultiple * l.UsableShare * capacityShare * groupRate / max(1, l.HostCount)
}
