package routing

import (
	"math"
	"time"
)

// Latency estimates, and the scaling of durations for deployments with short latency objectives.

const (
	// initialLatency is the assumed mean latency of a class before its first answer.
	initialLatency = 200 * time.Millisecond
	// latencyGain is the weight of a new answer in the mean.
	latencyGain = 0.05
	// overdueLatencyGain is the weight of an overdue answer, whose final latency isn't known yet.
	overdueLatencyGain = 0.0125
	// referenceObjective is the latency objective for which the durations of this package are chosen. They
	// shrink in proportion if the shortest objective of a deployment is below it.
	referenceObjective = 200 * time.Millisecond
)

// A latencyEstimate holds the moving mean of the latency of a class, including queueing at the host, and
// its moving mean deviation.
type latencyEstimate struct {
	meanSeconds      float64
	deviationSeconds float64
}

// observe adds a latency to the estimate with a weight from 0 to 1.
func (l *latencyEstimate) observe(seconds, gain float64) {
	difference := seconds - l.meanSeconds
	l.meanSeconds += gain * difference
	l.deviationSeconds += gain * (math.Abs(difference) - l.deviationSeconds)
}

// latencyOf returns the estimate for the class of a request.
func (r *Router) latencyOf(request *request) *latencyEstimate { return &r.latencies[request.Class] }

// scaleToObjective shortens a duration in proportion if the shortest latency objective of all classes is
// below referenceObjective. Otherwise answers would become overdue only after the time of their requests is
// over.
func (r *Router) scaleToObjective(unscaled time.Duration) time.Duration {
	shortest := referenceObjective
	for i := range r.settings.Classes {
		shortest = min(shortest, r.settings.Classes[i].LatencyObjective)
	}
	return secondsToDuration(unscaled.Seconds() * shortest.Seconds() / referenceObjective.Seconds())
}

// durationToMillis converts a duration to milliseconds, the unit of package fleet.
func durationToMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// millisToDuration converts milliseconds to a duration.
func millisToDuration(ms float64) time.Duration { return secondsToDuration(ms / 1000) }

// secondsToDuration converts seconds to a duration.
func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
