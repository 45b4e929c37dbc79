package faultsim

import (
	"math"

	"merlinjunction/membership"
)

// AgreementMs returns the time from the last step until all beliefs were right. It is infinite if one is still wrong.
func (o *Oracle) AgreementMs() float64 {
	if o.wrongBeliefs > 0 {
		return math.Inf(1)
	}
	return max(0, o.lastWrongAt-o.lastStepAt)
}

// MaxFlaps returns the largest number of times that one gateway gave up another.
func (o *Oracle) MaxFlaps() int {
	most := 0
	for _, count := range o.flaps {
		most = max(most, count)
	}
	return most
}

// Measurements returns the figures about membership.
func (o *Oracle) Measurements() Measurements {
	detection := o.detectionTimes()
	withStatus := func(status membership.Status) float64 { return float64(len(o.statuses[status])) }
	return Measurements{
		FigureSuspectMs:             median(detection.suspected),
		FigureFirstDeathMs:          median(detection.dead),
		FigureAllDetectedMs:         largest(detection.detected),
		FigureAllDetectedMedianMs:   median(detection.detected),
		FigureAgreementMs:           o.AgreementMs(),
		FigureRecoveryMs:            largest(o.RecoveryTimes),
		FigureFalseDeaths:           float64(o.FalseDeaths),
		FigureFalseSuspicions:       float64(o.FalseSuspicions),
		FigureSuspicionsAfterReturn: float64(o.SuspicionsAfterReturn),
		FigureFlaps:                 float64(o.MaxFlaps()),
		FigureIsolated:              withStatus(membership.StatusIsolated),
		FigureDisputed:              withStatus(membership.StatusDisputed),
		FigureSlow:                  withStatus(membership.StatusSlow),
		FigureNameTaken:             withStatus(membership.StatusNameTaken),
		FigurePartialViews:          float64(len(o.partialViews)),
	}
}

// detectionTimes are the times from crashes to their detection, in ms.
type detectionTimes struct {
	suspected, dead, detected []float64
}

// detectionTimes collects the detection times of all crashes. A crash is left out if the gateway started again before any
// gateway suspected it. The suspicion time of any other crash that no gateway suspected is infinite.
func (o *Oracle) detectionTimes() (times detectionTimes) {
	for _, crash := range o.crashes {
		if math.IsNaN(crash.detectedMs) && math.IsNaN(crash.suspectedMs) {
			continue
		}
		suspectedMs := crash.suspectedMs
		if math.IsNaN(suspectedMs) {
			suspectedMs = math.Inf(1)
		}
		times.suspected = append(times.suspected, suspectedMs)
		if !math.IsNaN(crash.deadMs) {
			times.dead = append(times.dead, crash.deadMs)
		}
		if !math.IsNaN(crash.detectedMs) {
			times.detected = append(times.detected, crash.detectedMs)
		}
	}
	return times
}
