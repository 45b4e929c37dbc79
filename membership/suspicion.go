package membership

import (
	"fmt"
	"slices"
)

const (
	maxAccusers           = 8      // that are kept of one suspicion
	suspicionCheckMs      = 1000.0 // after this time and up to as much again, a suspicion without a quorum is checked
	minRefutationAttempts = 4.0    // attempts of a probe that a refutation has time for at least
	significantLossRate   = 0.02   // above which a member checks a suspect itself before it declares it dead
)

// suspicion is an accusation that has been neither refuted nor confirmed by a quorum.
type suspicion struct {
	accusers []ID
	quorumAt float64 // when there was a quorum of accusers; 0: not yet
	checkAt  float64 // when this member probes the suspect if there is no quorum
	checked  bool    // this member probed the suspect although there was a quorum
}

// quorum is how many accusers make a member dead: Tuning.DeathQuorum, or all members that are Alive here and this one
// if they are fewer. Suspect and Unreachable members don't count.
func (v *View) quorum() int { return min(v.cfg.DeathQuorum, v.counts[Alive]+1) }

// suspect records an accusation. It is gossiped if it adds anything.
func (v *View) suspect(subject *member, accusers []ID, cause string) {
	changed := false
	if subject.State != Suspect {
		v.setState(subject, Suspect, subject.Incarnation, cause)
		subject.suspicion = &suspicion{checkAt: v.nextSuspicionCheckAt()}
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

// addAccuser adds an accuser to a suspect and reports whether it did. Only members that are live here count.
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

// nextSuspicionCheckAt is when a suspicion without a quorum is checked next.
func (v *View) nextSuspicionCheckAt() float64 { return v.now + suspicionCheckMs*v.jitter(1, 1) }

// suspicionDueAt is when a suspicion has to be resolved or checked. With a quorum that is Tuning.SuspicionTimeoutMs
// later, stretched by the health factor, or minRefutationAttempts attempt intervals later if that is more.
func (v *View) suspicionDueAt(s *suspicion) float64 {
	if s.quorumAt > 0 {
		return s.quorumAt + max(v.cfg.SuspicionTimeoutMs*v.health.factor(), minRefutationAttempts*v.attemptIntervalMs())
	}
	return s.checkAt
}

// resolveSuspicions declares suspects dead that a quorum accuses and that have not refuted it in time.
func (v *View) resolveSuspicions() {
	for i := 0; i < len(v.suspects); {
		m := v.suspects[i]
		v.resolveSuspicion(m)
		if m.State == Suspect { // else it has been removed from the list
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
		s.checkAt = v.nextSuspicionCheckAt()
		v.scheduleCheck(subject, nil)
	case v.isSilent() || v.hasResumedRecently(): // a refutation would not have arrived
		s.quorumAt = v.now
	case v.roundTrip.lossRate > significantLossRate && !s.checked && !slices.Contains(s.accusers, v.id):
		// A refutation may have been lost.
		s.checked, s.quorumAt = true, v.now
		v.scheduleCheck(subject, nil)
	default:
		v.setState(subject, Dead, subject.Incarnation, fmt.Sprintf(causeQuorumFormat, countWord(len(s.accusers))))
		v.enqueueRumor(subject, false)
	}
}

// countWord is a number of accusers in words.
func countWord(n int) string {
	return [maxAccusers + 1]string{"no", "one", "two", "three", "four", "five", "six", "seven", "eight"}[n]
}
