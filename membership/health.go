package membership

const (
	maxHealthScore          = 8      // Lifeguard's bound of the local health multiplier
	healthRecoveryMs        = 1000.0 // an answered probe improves the score once in this time
	maxHealthScoreAfterLoss = 2      // after a time without answers: the network was at fault rather than this member
	lateStepPenaltyMs       = 1000.0 // of lateness for one point, besides the one for any late step
	maxLateStepPenalty      = 2
)

// selfAssessment is what this member knows of its own condition.
type selfAssessment struct {
	status         Status
	health         localHealth
	roundTrip      roundTripEstimator
	lastReceivedAt float64   // any message
	lastAckAt      float64   // a direct answer to this member's own probe
	acksResumedAt  float64   // when such an answer came after a time without any
	lastRefutedAt  float64   // when this member took its present incarnation
	disputedAt     []float64 // when it was declared dead although it had refuted that; recent ones
	failuresAt     []float64 // when members were accused or died; recent ones
}

// localHealth is Lifeguard's local health multiplier: a member that has reason to doubt itself probes more slowly, and
// waits longer for answers and refutations.
type localHealth struct {
	score     int     // 0 is healthy
	improveAt float64 // earliest time of the next improvement
}

// factor multiplies the interval of regular probes, the interval of attempts and the suspicion time-out. It grows by a
// half with each point of the score, from 1 to 5 at maxHealthScore.
func (h *localHealth) factor() float64 { return 1 + float64(h.score)/2 }

// degrade counts evidence that this member is at fault.
func (h *localHealth) degrade() { h.score = min(maxHealthScore, h.score+1) }

// penalizeLateStep counts a step that came lateMs too late.
func (h *localHealth) penalizeLateStep(now, lateMs float64) {
	h.score = min(maxHealthScore, h.score+1+int(min(lateMs/lateStepPenaltyMs, maxLateStepPenalty)))
	h.improveAt = now + healthRecoveryMs
}

// improve counts an answered probe.
func (h *localHealth) improve(now float64) {
	if now >= h.improveAt {
		h.score = max(0, h.score-1)
		h.improveAt = now + healthRecoveryMs
	}
}

// endOfSilence takes back what a time without any answer has added.
func (h *localHealth) endOfSilence() { h.score = min(h.score, maxHealthScoreAfterLoss) }

// silenceMs is a time without messages after which this member accuses nobody, and without answers after which failures
// of that time are not counted.
const silenceMs = 1000.0

// noteDirectAck records an answer to this member's own probe.
func (v *View) noteDirectAck() {
	if v.now-v.lastAckAt > silenceMs {
		v.acksResumedAt = v.now
		v.health.endOfSilence()
	}
	v.lastAckAt = v.now
}

// isSilent reports whether this member has received no message for a while. It would not receive a refutation either.
func (v *View) isSilent() bool { return v.now-v.lastReceivedAt >= silenceMs }

// hasResumedRecently reports whether the process did not run a short time ago.
func (v *View) hasResumedRecently() bool { return v.now-v.resumedAt < resumeGraceMs }

// mayAccuse reports whether this member may trust its own observations.
func (v *View) mayAccuse() bool {
	return v.joined && !v.hasResumedRecently() && !v.isSilent() &&
		v.status != StatusIsolated && v.status != StatusDisputed
}
