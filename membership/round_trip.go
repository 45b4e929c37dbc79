package membership

import "math"

const (
	roundTripGain        = 8 // inverse weight of a new sample in the mean and the deviation
	deviationsInWait     = 4 // as in TCP's retransmission time-out
	lossGain             = 0.05
	negligibleLossRate   = 0.01
	missedShare          = 0.002 // of probes of a live member that may fail because all attempts were lost
	minProbeAttempts     = 2
	maxProbeAttempts     = 6
	maxAttemptIntervalMs = 800.0 // between two attempts, of a healthy member
)

// roundTripEstimator measures how long answers take and how many messages are lost.
type roundTripEstimator struct {
	meanMs      float64
	deviationMs float64
	lossRate    float64 // share of answered probes that needed more than one attempt
}

// observe adds the round trip of an answered attempt.
func (e *roundTripEstimator) observe(roundTripMs float64) {
	if e.meanMs == 0 {
		e.meanMs, e.deviationMs = roundTripMs, roundTripMs/2
		return
	}
	e.deviationMs += (math.Abs(roundTripMs-e.meanMs) - e.deviationMs) / roundTripGain
	e.meanMs += (roundTripMs - e.meanMs) / roundTripGain
}

// observeLoss adds whether an answered probe needed more than one attempt.
func (e *roundTripEstimator) observeLoss(retried bool) {
	lost := 0.0
	if retried {
		lost = 1
	}
	e.lossRate += lossGain * (lost - e.lossRate)
}

// timeoutMs is the longest usual round trip, within bounds.
func (e *roundTripEstimator) timeoutMs(minMs float64) float64 {
	return min(max(minMs, e.meanMs+deviationsInWait*e.deviationMs), maxAttemptIntervalMs)
}

// attemptsNeeded is how many attempts reach a live member almost certainly at the present loss rate.
func (e *roundTripEstimator) attemptsNeeded() int {
	if e.lossRate <= negligibleLossRate {
		return minProbeAttempts
	}
	attempts := int(math.Ceil(math.Log(missedShare) / math.Log(e.lossRate)))
	return min(max(minProbeAttempts, attempts), maxProbeAttempts)
}

// attemptIntervalMs is the time between two attempts of a probe.
func (v *View) attemptIntervalMs() float64 {
	return v.roundTrip.timeoutMs(v.cfg.MinAttemptIntervalMs) * v.health.factor()
}

// recordRoundTrip records the round trip of an answer to an attempt of a probe that started at some time. countLoss
// says that the probe counts towards the loss rate.
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
