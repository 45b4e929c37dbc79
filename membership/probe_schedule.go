package membership

const (
	maxConcurrentRegularProbes = 16
	maxConcurrentVerifications = 8
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
	v.startVerifications()
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

// countProbes returns the number of unanswered probes of a kind.
func (v *View) countProbes(kind probeKind) int {
	count := 0
	for _, p := range v.probes {
		if p.kind == kind {
			count++
		}
	}
	return count
}

// nextProbeTarget returns the target of the next regular probe, or nil if there is none. As in SWIM, targets are
// chosen in rounds: each round visits every live member once, in random order.
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

// addToProbeRound inserts a member at a random position of the current round.
func (v *View) addToProbeRound(m *member) {
	if m.inProbeRound {
		return
	}
	m.inProbeRound = true
	v.probeRound = append(v.probeRound, m)
	i, last := v.rng.IntN(len(v.probeRound)), len(v.probeRound)-1
	v.probeRound[i], v.probeRound[last] = v.probeRound[last], v.probeRound[i]
}

// verification is a request to probe a member because of a hint that it may be dead.
type verification struct {
	target *member
	rumor  *Rumor // about the target, which can refute it; may be nil
}

// scheduleVerification queues a verification probe of a member, unless one is queued already.
func (v *View) scheduleVerification(target *member, rumor *Rumor) {
	for _, queued := range v.verifications {
		if queued.target == target {
			return
		}
	}
	v.verifications = append(v.verifications, verification{target, rumor})
}

func (v *View) startVerifications() {
	for len(v.verifications) > 0 && v.countProbes(verificationProbe) < maxConcurrentVerifications {
		next := v.verifications[0]
		v.verifications = v.verifications[1:]
		if !next.target.probeInFlight && next.target.State.isLive() {
			v.startProbe(&probe{kind: verificationProbe, target: next.target, rumor: next.rumor})
		}
	}
}

const (
	reconnectIntervalMs     = 1000.0 // average interval while members are Unreachable or died recently
	slowReconnectIntervalMs = 5000.0 // average interval otherwise
	fastReconnectIntervalMs = 50.0   // after a success, so that more and more members reconnect once a partition heals
	reconnectsPerSuccess    = 4      // reconnect probes that each success adds
	maxPendingReconnects    = 32
	reconnectBatch          = 4 // maximum number of dead members probed, and of Unreachable ones verified, at one time
)

// reconnectSucceeded schedules further reconnect probes after a dead member has answered one.
func (v *View) reconnectSucceeded() {
	v.pendingReconnects = min(maxPendingReconnects, v.pendingReconnects+reconnectsPerSuccess)
	v.nextReconnectAt = min(v.nextReconnectAt, v.now+fastReconnectIntervalMs)
}

// startReconnects probes some dead members and schedules verification probes of some Unreachable ones.
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
	v.verifySomeUnreachable()
	v.scheduleReconnect()
}

// verifySomeUnreachable schedules verification probes of up to reconnectBatch Unreachable members, starting at a random
// position of the list of live members.
func (v *View) verifySomeUnreachable() {
	if v.counts[Unreachable] == 0 {
		return
	}
	scheduled := 0
	first := v.rng.IntN(len(v.live))
	for i := 0; i < len(v.live) && scheduled < reconnectBatch; i++ {
		if m := v.live[(first+i)%len(v.live)]; m.State == Unreachable {
			v.scheduleVerification(m, nil)
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

// hasRecentDeath reports whether the last member in the list of dead members died within recentDeathMs. New deaths are
// appended to the list, but removing a member may move an earlier death to the end. In that case hasRecentDeath may
// report false although another member died recently.
func (v *View) hasRecentDeath() bool {
	return len(v.dead) > 0 && v.now-v.dead[len(v.dead)-1].stateChangedAt < recentDeathMs
}

// verifyAllIntervalMs is the minimum time between two verifications of all Unreachable members.
const verifyAllIntervalMs = 500.0

// verifyAllUnreachable schedules verification probes of all Unreachable members, as the fault that separated this member
// from them may have ended.
func (v *View) verifyAllUnreachable() {
	if v.counts[Unreachable] == 0 || v.now < v.nextVerifyAllAt {
		return
	}
	v.nextVerifyAllAt = v.now + verifyAllIntervalMs
	for _, m := range v.live {
		if m.State == Unreachable {
			v.scheduleVerification(m, nil)
		}
	}
}
