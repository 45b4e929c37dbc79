package membership

const (
	// lateStepMs is the lateness of a step, relative to Wake, above which the process is assumed not to have run in
	// between. Wake is never later than lateStepMs after a step. With longer waits a View would not notice a short pause.
	lateStepMs         = 100.0
	resumeGraceMs      = 1000.0      // time after a late step in which this member accuses no other member
	leftStepIntervalMs = 3_600_000.0 // interval between steps of a member that has left and has nothing to do
	longBeforeStartMs  = -1e9        // stands for a time long before the start
)

// clock holds the times of a View.
type clock struct {
	started   bool
	driverMs  float64 // the driver's time of the last step
	now       float64 // time of the View's own clock, which stands still while the process doesn't run
	wakeAt    float64 // when the next step is due, on the View's clock
	resumedAt float64 // when the process resumed after the last late step, on the View's clock
}

// advanceClock advances the View's clock to the driver's time. Time in which the process did not run doesn't count.
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

// resume handles a step that came lateMs after Wake. The View's clock advances only by untilWakeMs, the time that
// remained until Wake. Probes are dropped, as their answers may have been lost.
func (v *View) resume(untilWakeMs, lateMs float64) {
	v.counters.lateSteps++
	v.health.penalizeLateStep(v.now+untilWakeMs, lateMs)
	v.dropProbes()
	v.now += untilWakeMs
	v.resumedAt, v.lastReceivedAt, v.lastAckAt = v.now, v.now, v.now
}

// start initializes the times. A member that is a seed itself, or has no seeds, founds a fleet.
func (v *View) start() {
	v.nextProbeAt = v.rng.Float64() * v.cfg.ProbeIntervalMs
	v.nextReconnectAt = reconnectIntervalMs
	v.resumedAt, v.lastRefutedAt = -resumeGraceMs, longBeforeStartMs
	if v.isSeed() {
		v.completeJoin()
		v.setStatus(StatusHealthy, causeIsSeed)
	}
}

// jitter returns a random factor from minFactor to minFactor+width, so that members don't act in lockstep.
func (v *View) jitter(minFactor, width float64) float64 { return minFactor + width*v.rng.Float64() }

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
