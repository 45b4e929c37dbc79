package membership

import (
	"fmt"
	"slices"
)

const (
	maxAccusers             = 8      // maximum accusers kept for one suspicion
	suspicionVerificationMs = 1000.0 // a suspicion without a quorum is verified after 1 to 2 times this delay
	minRefutationAttempts   = 4.0    // minimum wait for a refutation, in attempt intervals
	significantLossRate     = 0.02   // loss rate above which a member probes a suspect itself before it declares it dead
)

// suspicion holds the accusations of a suspect, which have neither been refuted nor led to a declaration of death.
type suspicion struct {
	accusers              []ID
	quorumAt              float64 // when the quorum was reached or the wait for a refutation restarted; 0 before
	verifyAt              float64 // when this member verifies the suspicion if there is no quorum yet
	verificationScheduled bool    // this member scheduled a verification after the quorum was reached
}

// quorum returns the number of accusers needed to declare a member dead. It is Tuning.DeathQuorum, but at most the number
// of members that are Alive in this view, this one included. Suspect and Unreachable members don't count.
func (v *View) quorum() int { return min(v.cfg.DeathQuorum, v.counts[Alive]+1) }

// suspect records accusations of a member. It gossips them if the member was not Suspect before or if an accuser is new,
// up to Tuning.DeathQuorum accusers.
func (v *View) suspect(subject *member, accusers []ID, cause string) {
	changed := false
	if subject.State != Suspect {
		v.setState(subject, Suspect, subject.Incarnation, cause)
		subject.suspicion = &suspicion{verifyAt: v.nextSuspicionVerifyAt()}
		v.suspects = append(v.suspects, subject)
		changed = true
	}
	for _, id := range accusers {
		if v.addAccuser(subject, id) {
			changed = changed || len(subject.suspicion.accusers) <= v.cfg.DeathQuorum
		}
	}
	if changed {
		v.enqueueRumor(subject, false)
	}
}

// addAccuser adds an accuser to a suspicion and reports whether it did. An accuser must be another member that is live in
// this view.
func (v *View) addAccuser(subject *member, id ID) bool {
	accuser, accusers := v.members[id], subject.suspicion.accusers
	if accuser == nil || id == subject.id || accuser.State == Dead || accuser.State == Left {
		return false
	}
	if slices.Contains(accusers, id) || len(accusers) >= maxAccusers {
		return false
	}
	subject.suspicion.accusers = append(accusers, id)
	return true
}

// nextSuspicionVerifyAt returns the time at which a suspicion without a quorum is verified next.
func (v *View) nextSuspicionVerifyAt() float64 { return v.now + suspicionVerificationMs*v.jitter(1, 1) }

// suspicionDueAt returns the time at which a suspicion must be resolved or verified. With a quorum of accusers, the time
// after quorumAt is Tuning.SuspicionTimeoutMs times the health factor, but at least minRefutationAttempts attempt
// intervals.
func (v *View) suspicionDueAt(s *suspicion) float64 {
	if s.quorumAt > 0 {
		return s.quorumAt + max(v.cfg.SuspicionTimeoutMs*v.health.factor(), minRefutationAttempts*v.attemptIntervalMs())
	}
	return s.verifyAt
}

// resolveSuspicions declares suspects dead that a quorum accuses and that have not refuted the accusations in time.
func (v *View) resolveSuspicions() {
	for i := 0; i < len(v.suspects); {
		m := v.suspects[i]
		v.resolveSuspicion(m)
		if m.State == Suspect { // otherwise it has been removed from the list
			i++
		}
	}
}

func (v *View) resolveSuspicion(subject *member) {
	s := subject.suspicion
	if s.quorumAt == 0 && len(s.accusers) >= v.quorum() {
		s.quorumAt = v.now
	}
	if v.now < v.suspicionDueAt(s) {
		return
	}
	switch {
	case s.quorumAt == 0:
		s.verifyAt = v.nextSuspicionVerifyAt()
		v.scheduleVerification(subject, nil)
	case v.receivesNoMessages() || v.hasResumedRecently(): // a refutation would not have arrived
		s.quorumAt = v.now
	case v.roundTrip.lossRate > significantLossRate && !s.verificationScheduled && !slices.Contains(s.accusers, v.id):
		// A refutation may have been lost, so the suspect is probed first.
		s.verificationScheduled, s.quorumAt = true, v.now
		v.scheduleVerification(subject, nil)
	default:
		v.setState(subject, Dead, subject.Incarnation, fmt.Sprintf(causeQuorumFormat, countWord(len(s.accusers))))
		v.enqueueRumor(subject, false)
	}
}

// countWord returns a number of accusers as a word.
func countWord(n int) string {
	return [maxAccusers + 1]string{"no", "one", "two", "three", "four", "five", "six", "seven", "eight"}[n]
}
