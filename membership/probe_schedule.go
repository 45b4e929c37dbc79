package membership

const (
	maxConcurrentRegularProbes = 16
	maxConcurrentChecks        = 8
)

// startProbes starts the probes that are due.
func (v *View) startProbes() {
	if !v.joined {
		v.nextProbeAt, v.nextReconnectAt = v.now+v.cfg.ProbeIntervalMs, v.now+reconnectIntervalMs
		return
	}
	if v.now >= v.nextProbeAt {
		v.startRegularProbe()
	}
	v.startChecks()
	if v.now >= v.nextReconnectAt {
		v.startReconnects()
	}
}

func (v *View) startRegularProbe() {
	interval := v.cfg.ProbeIntervalMs
	if v.isFailureBurst() {
		interval = v.cfg.MinAttemptIntervalMs
	}
	v.nextProbeAt = v.now + interval*v.health.factor()*v.jitter(0.9, 0.2)
	if v.countProbes(regularProbe) >= maxConcurrentRegularProbes {
		return
	}
	if target := v.nextProbeTarget(); target != nil {
		v.startProbe(&probe{kind: regularProbe, target: target})
	}
}

// countProbes is the number of unanswered probes of a kind.
func (v *View) countProbes(kind probeKind) int {
	count := 0
	for _, p := range v.probes {
		if p.kind == kind {
			count++
		}
	}
	return count
}

// nextProbeTarget is the target of the next regular probe, or nil if there is none. Each live member is visited once
// before any is visited twice, in a random order.
func (v *View) nextProbeTarget() *member {
	for range 2 {
		for len(v.probeRound) > 0 {
			end := len(v.probeRound) - 1
			m := v.probeRound[end]
			v.probeRound = v.probeRound[:end]
			m.inProbeRound = false
			if m.State.isLive() && !m.probeInFlight && v.members[m.id] == m {
				return m
			}
		}
		for _, m := range v.live {
			v.addToProbeRound(m)
		}
	}
	return nil
}

// addToProbeRound inserts a member at a random place of the present round.
func (v *View) addToProbeRound(m *member) {
	if m.inProbeRound {
		return
	}
	m.inProbeRound = true
	v.probeRound = append(v.probeRound, m)
	i, last := v.rng.IntN(len(v.probeRound)), len(v.probeRound)-1
	v.probeRound[i], v.probeRound[last] = v.probeRound[last], v.probeRound[i]
}

// check is a member that is to be probed because of a hint that it may be dead.
type check struct {
	target *member
	rumor  *Rumor // for the target to refute; nil: none
}

// scheduleCheck has a member probed soon.
func (v *View) scheduleCheck(target *member, rumor *Rumor) {
	for _, c := range v.checks {
		if c.target == target {
			return
		}
	}
	v.checks = append(v.checks, check{target, rumor})
}

func (v *View) startChecks() {
	for len(v.checks) > 0 && v.countProbes(checkProbe) < maxConcurrentChecks {
		next := v.checks[0]
		v.checks = v.checks[1:]
		if !next.target.probeInFlight && next.target.State.isLive() {
			v.startProbe(&probe{kind: checkProbe, target: next.target, rumor: next.rumor})
		}
	}
}

const (
	reconnectIntervalMs     = 1000.0 // while members are unreachable or died recently
	slowReconnectIntervalMs = 5000.0
	fastReconnectIntervalMs = 50.0 // after a success: a healed cut is crossed in growing numbers
	reconnectsPerSuccess    = 4
	maxPendingReconnects    = 32
	reconnectBatch          = 4
)

// reconnectSucceeded adds further attempts after a dead member has answered.
func (v *View) reconnectSucceeded() {
	v.pendingReconnects = min(maxPendingReconnects, v.pendingReconnects+reconnectsPerSuccess)
	v.nextReconnectAt = min(v.nextReconnectAt, v.now+fastReconnectIntervalMs)
}

// startReconnects probes some dead members and checks some unreachable ones.
func (v *View) startReconnects() {
	count := 1
	if v.pendingReconnects > 0 {
		count = min(v.pendingReconnects, reconnectBatch)
		v.pendingReconnects -= count
	}
	for range min(count, len(v.dead)) {
		if target := v.dead[v.rng.IntN(len(v.dead))]; !target.probeInFlight {
			v.startProbe(&probe{kind: reconnectProbe, target: target})
		}
	}
	v.checkUnreachable()
	v.scheduleReconnect()
}

// checkUnreachable has some unreachable members checked, from a random place of the list on.
func (v *View) checkUnreachable() {
	if v.counts[Unreachable] == 0 {
		return
	}
	scheduled := 0
	first := v.rng.IntN(len(v.live))
	for i := 0; i < len(v.live) && scheduled < reconnectBatch; i++ {
		if m := v.live[(first+i)%len(v.live)]; m.State == Unreachable {
			v.scheduleCheck(m, nil)
			scheduled++
		}
	}
}

func (v *View) scheduleReconnect() {
	switch {
	case v.pendingReconnects > 0:
		v.nextReconnectAt = v.now + fastReconnectIntervalMs
	case v.counts[Unreachable] > 0 || v.hasRecentDeath():
		v.nextReconnectAt = v.now + reconnectIntervalMs*v.jitter(0.5, 1)
	default:
		v.nextReconnectAt = v.now + slowReconnectIntervalMs*v.jitter(0.5, 1)
	}
}

// hasRecentDeath reports whether the last member in the list of the dead died recently. That is the latest death until
// a member is removed from the list, which may put an earlier death last: then this reports false too early.
func (v *View) hasRecentDeath() bool {
	return len(v.dead) > 0 && v.now-v.dead[len(v.dead)-1].stateChangedAt < recentLossMs
}

// recheckIntervalMs is the least time between two checks of all unreachable members.
const recheckIntervalMs = 500.0

// recheckUnreachable has all unreachable members checked: what kept this member from them may be over.
func (v *View) recheckUnreachable() {
	if v.counts[Unreachable] == 0 || v.now < v.nextRecheckAt {
		return
	}
	v.nextRecheckAt = v.now + recheckIntervalMs
	for _, m := range v.live {
		if m.State == Unreachable {
			v.scheduleCheck(m, nil)
		}
	}
}
