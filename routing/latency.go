package routing

import (
	"math"
	"time"
)

// Latency estimates, and the scaling of times to deployments with short latency objectives.

const (
	// initialLatency is the mean answer time that is assumed until answers have come.
	initialLatency = 200 * time.Millisecond
	// latencyGain is the weight of a new answer in the mean.
	latencyGain = 0.05
	// overdueLatencyGain is the weight of an overdue answer, whose time isn't known yet.
	overdueLatencyGain = 0.0125
	// referenceObjective is the shortest latency objective of a deployment that the times of this package are
	// made for. Below it they shrink in proportion.
	referenceObjective = 200 * time.Millisecond
)

// A latencyEstimate is the moving mean of the answer time of a class, waiting at the host included, and its
// moving mean deviation.
type latencyEstimate struct {
	meanSeconds      float64
	deviationSeconds float64
}

// observe takes an answer time into the estimate with a weight from 0 to 1.
func (l *latencyEstimate) observe(seconds, gain float64) {
	difference := seconds - l.meanSeconds
	l.meanSeconds += gain * difference
	l.deviationSeconds += gain * (math.Abs(difference) - l.deviationSeconds)
}

// latencyOf returns the estimate for the class of a request.
func (r *Router) latencyOf(request *request) *latencyEstimate { return &r.latencies[request.Class] }

// scaleToObjective shortens a time in proportion where the shortest latency objective of all classes is
// below referenceObjective. Otherwise a host's answers would become overdue only when the time of the
// requests is over.
func (r *Router) scaleToObjective(unscaled time.Duration) time.Duration {
	shortest := referenceObjective
	for i := range r.settings.Classes {
		shortest = min(shortest, r.settings.Classes[i].LatencyObjective)
	}
	return secondsToDuration(unscaled.Seconds() * shortest.Seconds() / referenceObjective.Seconds())
}

// durationToMillis converts a time to milliseconds, the unit of package fleet.
func durationToMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// millisToDuration converts milliseconds to a time.
func millisToDuration(ms float64) time.Duration { return secondsToDuration(ms / 1000) }

// secondsToDuration converts seconds to a time.
func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
