package membership

import "bytes"

// handleRumor handles a rumor. senderIsLive says whether the sender may accuse members and declare them dead.
func (v *View) handleRumor(r *Rumor, senderIsLive bool) {
	if r.Subject == v.id {
		v.handleRumorAboutSelf(r)
		return
	}
	subject := v.members[r.Subject]
	if subject == nil || subject.isOutdated(r) {
		return
	}
	switch r.State {
	case Alive:
		if r.Incarnation > subject.Incarnation {
			v.acceptIncarnation(subject, r.Incarnation, causeRefutedReport)
		}
	case Suspect:
		if !senderIsLive {
			return
		}
		if r.Incarnation > subject.Incarnation {
			v.setState(subject, Alive, r.Incarnation, causeReaccused)
		}
		v.suspect(subject, r.Accusers, causeAccused)
	case Dead:
		if senderIsLive {
			v.setState(subject, Dead, r.Incarnation, causeDeclaredDead)
			v.enqueueRumor(subject, false)
		}
	case Left:
		v.setState(subject, Left, r.Incarnation, causeLeft)
		v.enqueueRumor(subject, false)
	}
}

// isOutdated reports whether a rumor is about another process of the member's name, about an earlier incarnation, or
// about one that is dead or has left already.
func (m *member) isOutdated(r *Rumor) bool {
	return r.BootTag != uint32(m.BootID) || r.Incarnation < m.Incarnation ||
		r.Incarnation == m.Incarnation && !m.State.isLive()
}

// acceptIncarnation records a newer incarnation of a live member. One that doesn't answer this member stays unreachable
// until it does, and is checked.
func (v *View) acceptIncarnation(m *member, incarnation uint64, cause string) {
	state := Alive
	if m.State == Unreachable {
		state = Unreachable
		v.scheduleCheck(m, nil)
	}
	v.setState(m, state, incarnation, cause)
	v.enqueueRumor(m, false)
}

// handleRecord handles a record. A death in a record may be an old one, so it is verified unless the member is suspect
// here as well. gossip says whether what is new is gossiped.
func (v *View) handleRecord(r *Record, gossip bool) {
	id := IDOf(r.Name)
	if id == v.id {
		v.handleRecordAboutSelf(r)
		return
	}
	subject := v.members[id]
	if subject == nil {
		v.handleNewRecord(r, gossip)
		return
	}
	sameProcess := r.BootID == subject.BootID
	if sameProcess && r.PayloadVersion > subject.PayloadVersion {
		subject.Payload, subject.PayloadVersion = bytes.Clone(r.Payload), r.PayloadVersion
		if gossip {
			v.enqueueRumor(subject, true)
		}
	}
	switch {
	case r.State == Alive && r.Incarnation > subject.Incarnation:
		v.updateFromRecord(subject, r)
		v.setState(subject, Alive, r.Incarnation, causeReported)
		if gossip {
			v.enqueueRumor(subject, true)
		}
	case r.State == Dead && subject.State == Suspect && r.Incarnation == subject.Incarnation && sameProcess:
		v.setState(subject, Dead, r.Incarnation, causeDeclaredDead)
	case r.State == Dead && subject.State.isLive() && r.Incarnation >= subject.Incarnation:
		rumor := r.rumor()
		v.scheduleCheck(subject, &rumor)
	case r.State == Left && subject.State != Left && r.Incarnation >= subject.Incarnation:
		v.setState(subject, Left, r.Incarnation, causeLeft)
	}
}

// handleNewRecord handles a record of a member that is not known.
func (v *View) handleNewRecord(r *Record, gossip bool) {
	if r.State != Alive || r.Name == "" || !r.Addr.IsValid() {
		return
	}
	m := v.addMember(r, causeReported)
	if gossip {
		v.enqueueRumor(m, true)
	}
}
