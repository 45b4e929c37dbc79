package membership

const (
	// lateStepMs is how much later than Wake a step must come to mean that the process did not run in between. A View
	// never asks to be called later than that, or it would not notice.
	lateStepMs         = 100.0
	resumeGraceMs      = 1000.0      // after a late step, in which nobody is accused
	leftStepIntervalMs = 3_600_000.0 // of a member that has left and has nothing to do
	longBeforeStartMs  = -1e9
)

// clock is the time of a View.
type clock struct {
	started   bool
	driverMs  float64 // the driver's time of the last step
	now       float64 // the View's own time, which stands still while the process doesn't run
	wakeAt    float64 // when the next step is due
	resumedAt float64 // when the process ran again after a late step
}

// advanceClock moves the View's time on by the driver's. Time in which the process did not run doesn't count.
func (v *View) advanceClock(driverMs float64) {
	if !v.started {
		v.started, v.driverMs = true, driverMs
		v.self.Since = driverMs
		v.start()
		return
	}
	elapsed := driverMs - v.driverMs
	v.driverMs = driverMs
	if elapsed <= 0 {
		return
	}
	if late := elapsed - (v.wakeAt - v.now); late > lateStepMs {
		v.resume(max(0, v.wakeAt-v.now), late)
		return
	}
	v.now += elapsed
}

// resume continues after a late step. Only the time that was waited for counts, and probes are dropped as their answers
// may have been lost.
func (v *View) resume(elapsed, late float64) {
	v.counters.lateSteps++
	v.health.penalizeLateStep(v.now+elapsed, late)
	v.dropProbes()
	v.now += elapsed
	v.resumedAt, v.lastReceivedAt, v.lastAckAt = v.now, v.now, v.now
}

// start sets the first times. A member that is a seed itself, or has none, founds a fleet.
func (v *View) start() {
	v.nextProbeAt = v.rng.Float64() * v.cfg.ProbeIntervalMs
	v.nextReconnectAt = reconnectIntervalMs
	v.resumedAt, v.lastRefutedAt = -resumeGraceMs, longBeforeStartMs
	if v.isSeed() {
		v.completeJoin()
		v.setStatus(StatusHealthy, causeIsSeed)
	}
}

// jitter is a random factor from least to least+width, so that members don't act in step.
func (v *View) jitter(least, width float64) float64 { return least + width*v.rng.Float64() }

// setWake determines when the next step is due.
func (v *View) setWake() {
	v.wakeAt = min(v.nextProbeAt, v.nextReconnectAt, v.nextJoinAt, v.now+lateStepMs)
	if len(v.rumors.entries) > 0 {
		v.wakeAt = min(v.wakeAt, v.nextGossipAt)
	}
	for _, p := range v.probes {
		v.wakeAt = min(v.wakeAt, p.dueAt())
	}
	for _, m := range v.suspects {
		v.wakeAt = min(v.wakeAt, v.suspicionDueAt(m.suspicion))
	}
	v.wakeAt = max(v.wakeAt, v.now+1)
}
