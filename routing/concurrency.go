package routing

import "time"

// Adaptive concurrency limit: the attempts that a host may have open from this gateway, by additive
// increase and multiplicative decrease. What doesn't fit waits here, where requests of the greatest weight
// rate go first. Where answers take long by nature the limit is lower than the host would need.

const (
	// initialConcurrencyLimit is a host's limit until answers have moved it.
	initialConcurrencyLimit = 3.0
	// limitGrowthObjectiveShare is the part of its class's latency objective within which an answer raises the
	// limit; a later one lowers it. It is far below gateObjectiveShare: concurrency goes down before requests
	// are shed.
	limitGrowthObjectiveShare = 0.15
	// concurrencyLimitDecrease is the factor by which the limit is lowered.
	concurrencyLimitDecrease = 0.8
)

// hasCapacity reports whether a host may have one more attempt open.
func (h *host) hasCapacity() bool { return float64(len(h.openAttempts)) < h.concurrencyLimit }

// adjustConcurrencyLimit moves a host's limit after an answer to a request of a class.
func (r *Router) adjustConcurrencyLimit(host *host, latency time.Duration, class *Class) {
	if latency > secondsToDuration(limitGrowthObjectiveShare*class.LatencyObjective.Seconds()) {
		r.lowerConcurrencyLimit(host, latency)
		return
	}
	isUsed := float64(len(host.openAttempts)+1) >= host.concurrencyLimit/2
	if isUsed { // else the answer shows nothing about a higher limit
		host.concurrencyLimit += 1 / host.concurrencyLimit
	}
}

// lowerConcurrencyLimit lowers a host's limit, at most once in an interval: what was sent before it was
// lowered must not lower it again.
func (r *Router) lowerConcurrencyLimit(host *host, interval time.Duration) {
	if r.now < host.limitCutAllowedAt {
		return
	}
	host.concurrencyLimit = max(1, host.concurrencyLimit*concurrencyLimitDecrease)
	host.limitCutAllowedAt = r.now + interval
}
