package routing

import "time"

// Adaptive concurrency limit: the number of attempts that this gateway may have open at a host, adjusted by
// additive increase and multiplicative decrease. Requests above the limit wait in the gateway, where those
// with the highest weight rate are sent first. For requests that inherently run long, the limit is lower
// than the host could bear.

const (
	// initialConcurrencyLimit is the limit of a host before any answer has changed it.
	initialConcurrencyLimit = 3.0
	// limitGrowthObjectiveShare is the share of its class's latency objective within which an answer raises
	// the limit. A later answer lowers it. The value is far below gateObjectiveShare, so that concurrency is
	// reduced before requests are shed.
	limitGrowthObjectiveShare = 0.15
	// concurrencyLimitDecrease is the factor by which the limit is lowered.
	concurrencyLimitDecrease = 0.8
)

// hasCapacity reports whether the concurrency limit of a host allows one more open attempt.
func (h *host) hasCapacity() bool { return float64(len(h.openAttempts)) < h.concurrencyLimit }

// adjustConcurrencyLimit adjusts a host's limit after an answer to a request of a class.
func (r *Router) adjustConcurrencyLimit(host *host, latency time.Duration, class *Class) {
	if latency > secondsToDuration(limitGrowthObjectiveShare*class.LatencyObjective.Seconds()) {
		r.lowerConcurrencyLimit(host, latency)
		return
	}
	isUsed := float64(len(host.openAttempts)+1) >= host.concurrencyLimit/2
	if isUsed { // otherwise the answer doesn't show that the host can bear a higher limit
		host.concurrencyLimit += 1 / host.concurrencyLimit
	}
}

// lowerConcurrencyLimit lowers a host's limit, at most once per interval, so that attempts sent before the
// limit was lowered don't lower it again.
func (r *Router) lowerConcurrencyLimit(host *host, interval time.Duration) {
	if r.now < host.limitCutAllowedAt {
		return
	}
	host.concurrencyLimit = max(1, host.concurrencyLimit*concurrencyLimitDecrease)
	host.limitCutAllowedAt = r.now + interval
}
