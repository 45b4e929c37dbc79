package membership

const (
	maxHealthScore            = 8      // upper bound of the score, as in Lifeguard
	healthRecoveryMs          = 1000.0 // minimum time between two improvements of the score
	maxHealthScoreAfterOutage = 2      // upper bound after an outage, as the network was at fault rather than this member
	lateStepPenaltyMs         = 1000.0 // lateness per additional point; any late step costs one point
	maxLateStepPenalty        = 2      // additional points for one late step
)

// selfAssessment holds what this member has observed about its own condition.
type selfAssessment struct {
	status         Status
	health         localHealth
	roundTrip      roundTripEstimator
	lastReceivedAt float64   // last arrival of any message
	lastAckAt      float64   // last direct answer to a probe of this member
	acksResumedAt  float64   // end of the last outage, see contactTimeoutMs
	lastRefutedAt  float64   // last time this member advanced its incarnation
	disputeTimes   []float64 // times of recent declarations of this member's death despite its refutations
	failureTimes   []float64 // times of recent changes of members to Suspect or Dead
}

// localHealth is Lifeguard's local health multiplier. A member with evidence that it is at fault itself probes more
// slowly and waits longer for answers and refutations.
type localHealth struct {
	score     int     // 0 is healthy
	improveAt float64 // earliest time of the next improvement
}

// factor returns the multiplier of the regular probe interval, the attempt interval and the suspicion timeout. It grows
// by 0.5 with each point of the score, from 1 to 5 at maxHealthScore.
func (h *localHealth) factor() float64 { return 1 + float64(h.score)/2 }

// degrade adds one point for evidence that this member is at fault.
func (h *localHealth) degrade() { h.score = min(maxHealthScore, h.score+1) }

// penalizeLateStep adds points for a step that came lateMs after Wake.
func (h *localHealth) penalizeLateStep(now, lateMs float64) {
	h.score = min(maxHealthScore, h.score+1+int(min(lateMs/lateStepPenaltyMs, maxLateStepPenalty)))
	h.improveAt = now + healthRecoveryMs
}

// improve removes one point for an answered probe, at most once in healthRecoveryMs.
func (h *localHealth) improve(now float64) {
	if now >= h.improveAt {
		h.score = max(0, h.score-1)
		h.improveAt = now + healthRecoveryMs
	}
}

// capAfterOutage limits the score, which unanswered probes have raised during an outage.
func (h *localHealth) capAfterOutage() { h.score = min(h.score, maxHealthScoreAfterOutage) }

// contactTimeoutMs is the time after which missing contact makes this member distrust its own observations. Without any
// message for this time, it accuses no member. Without a direct answer for more than this time there is an outage, and
// unconfirmed failures of probes that started before its end are not counted.
const contactTimeoutMs = 1000.0

// noteDirectAck records a direct answer to a probe of this member. An answer after an outage ends the outage.
func (v *View) noteDirectAck() {
	if v.now-v.lastAckAt > contactTimeoutMs {
		v.acksResumedAt = v.now
		v.health.capAfterOutage()
	}
	v.lastAckAt = v.now
}

// receivesNoMessages reports whether no message has arrived for contactTimeoutMs. In that case a refutation would not
// have arrived either.
func (v *View) receivesNoMessages() bool { return v.now-v.lastReceivedAt >= contactTimeoutMs }

// hasResumedRecently reports whether a late step came within the last resumeGraceMs.
func (v *View) hasResumedRecently() bool { return v.now-v.resumedAt < resumeGraceMs }

// mayAccuse reports whether this member may accuse others because of its own failed probes.
func (v *View) mayAccuse() bool {
	return v.joined && !v.hasResumedRecently() && !v.receivesNoMessages() &&
		v.status != StatusIsolated && v.status != StatusDisputed
}
