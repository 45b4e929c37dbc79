package membership

import "math"

const (
	roundTripGain        = 8     // a new sample has the weight 1/roundTripGain in the mean and the deviation
	timeoutDeviations    = 4     // deviations above the mean in a timeout, as in TCP's retransmission timeout
	lossGain             = 0.05  // weight of a new sample in the loss rate
	negligibleLossRate   = 0.01  // loss rate up to which a probe makes at most minProbeAttempts attempts
	maxFalseFailureRate  = 0.002 // share of probes of a live member that may fail because all attempts are lost
	minProbeAttempts     = 2
	maxProbeAttempts     = 6
	maxAttemptIntervalMs = 800.0 // before it is multiplied by the health factor
)

// roundTripEstimator estimates the round-trip time and the loss rate of probes.
type roundTripEstimator struct {
	meanMs      float64
	deviationMs float64
	lossRate    float64 // share of answered probes that needed more than one attempt
}

// observe adds the round-trip time of an answered attempt.
func (e *roundTripEstimator) observe(roundTripMs float64) {
	if e.meanMs == 0 {
		e.meanMs, e.deviationMs = roundTripMs, roundTripMs/2
		return
	}
	e.deviationMs += (math.Abs(roundTripMs-e.meanMs) - e.deviationMs) / roundTripGain
	e.meanMs += (roundTripMs - e.meanMs) / roundTripGain
}

// observeLoss adds an answered probe to the loss rate. retried is set if it needed more than one attempt.
func (e *roundTripEstimator) observeLoss(retried bool) {
	lost := 0.0
	if retried {
		lost = 1
	}
	e.lossRate += lossGain * (lost - e.lossRate)
}

// timeoutMs returns the longest expected round-trip time, bounded by minMs and maxAttemptIntervalMs.
func (e *roundTripEstimator) timeoutMs(minMs float64) float64 {
	return min(max(minMs, e.meanMs+timeoutDeviations*e.deviationMs), maxAttemptIntervalMs)
}

// attemptsNeeded returns the maximum number of attempts of a probe. It is chosen so that at the current loss rate at most
// a share of maxFalseFailureRate of the probes of a live member fail, and is from minProbeAttempts to maxProbeAttempts.
func (e *roundTripEstimator) attemptsNeeded() int {
	if e.lossRate <= negligibleLossRate {
		return minProbeAttempts
	}
	attempts := int(math.Ceil(math.Log(maxFalseFailureRate) / math.Log(e.lossRate)))
	return min(max(minProbeAttempts, attempts), maxProbeAttempts)
}

// attemptIntervalMs returns the time between two attempts of a new probe.
func (v *View) attemptIntervalMs() float64 {
	return v.roundTrip.timeoutMs(v.cfg.MinAttemptIntervalMs) * v.health.factor()
}

// recordRoundTrip records the round-trip time of an answer to an attempt of a probe. startedAt and attemptIntervalMs are
// the probe's. If countLoss is set, the probe counts towards the loss rate.
func (v *View) recordRoundTrip(startedAt, attemptIntervalMs float64, attempt uint8, countLoss bool) {
	roundTripMs := v.now - startedAt - float64(attempt)*attemptIntervalMs
	if roundTripMs < 0 {
		return
	}
	v.roundTrip.observe(roundTripMs)
	if countLoss {
		v.roundTrip.observeLoss(attempt > 0)
	}
}
