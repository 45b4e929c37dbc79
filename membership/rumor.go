package membership

import "bytes"

// handleRumor applies a rumor. Accusations and declarations of death apply only if senderIsLive is set.
func (v *View) handleRumor(rumor *Rumor, senderIsLive bool) {
	if rumor.Subject == v.id {
		v.handleRumorAboutSelf(rumor)
		return
	}
	subject := v.members[rumor.Subject]
	if subject == nil || subject.isOutdated(rumor) {
		return
	}
	switch rumor.State {
	case Alive:
		if rumor.Incarnation > subject.Incarnation {
			v.acceptIncarnation(subject, rumor.Incarnation, causeRefutedReport)
		}
	case Suspect:
		if !senderIsLive {
			return
		}
		if rumor.Incarnation > subject.Incarnation {
			v.setState(subject, Alive, rumor.Incarnation, causeReaccused)
		}
		v.suspect(subject, rumor.Accusers, causeAccused)
	case Dead:
		if senderIsLive {
			v.setState(subject, Dead, rumor.Incarnation, causeDeclaredDead)
			v.enqueueRumor(subject, false)
		}
	case Left:
		v.setState(subject, Left, rumor.Incarnation, causeLeft)
		v.enqueueRumor(subject, false)
	}
}

// isOutdated reports whether a rumor is about another process of the member's name, about an earlier incarnation, or
// about the current incarnation of a member that is already dead or has left.
func (m *member) isOutdated(rumor *Rumor) bool {
	return rumor.BootTag != uint32(m.BootID) || rumor.Incarnation < m.Incarnation ||
		rumor.Incarnation == m.Incarnation && !m.State.isLive()
}

// acceptIncarnation records a newer incarnation of a member. It refutes a suspicion, and it is the usual way in which a
// member that is dead or has left becomes alive again. An Unreachable member stays Unreachable until it answers a probe
// of this member, and a verification probe is scheduled.
func (v *View) acceptIncarnation(subject *member, incarnation uint64, cause string) {
	state := Alive
	if subject.State == Unreachable {
		state = Unreachable
		v.scheduleVerification(subject, nil)
	}
	v.setState(subject, state, incarnation, cause)
	v.enqueueRumor(subject, false)
}

// handleRecord applies a record. A death in a record may be outdated, so the member is probed to verify it, unless the
// member is Suspect here as well. If gossip is set, new members, newer incarnations and new payloads are gossiped.
func (v *View) handleRecord(record *Record, gossip bool) {
	id := IDOf(record.Name)
	if id == v.id {
		v.handleRecordAboutSelf(record)
		return
	}
	subject := v.members[id]
	if subject == nil {
		v.handleNewRecord(record, gossip)
		return
	}
	sameProcess := record.BootID == subject.BootID
	if sameProcess && record.PayloadVersion > subject.PayloadVersion {
		subject.Payload, subject.PayloadVersion = bytes.Clone(record.Payload), record.PayloadVersion
		if gossip {
			v.enqueueRumor(subject, true)
		}
	}
	switch {
	case record.State == Alive && record.Incarnation > subject.Incarnation:
		v.updateFromRecord(subject, record)
		v.setState(subject, Alive, record.Incarnation, causeReported)
		if gossip {
			v.enqueueRumor(subject, true)
		}
	case record.State == Dead && subject.State == Suspect && record.Incarnation == subject.Incarnation && sameProcess:
		v.setState(subject, Dead, record.Incarnation, causeDeclaredDead)
	case record.State == Dead && subject.State.isLive() && record.Incarnation >= subject.Incarnation:
		rumor := record.rumor()
		v.scheduleVerification(subject, &rumor)
	case record.State == Left && subject.State != Left && record.Incarnation >= subject.Incarnation:
		v.setState(subject, Left, record.Incarnation, causeLeft)
	}
}

// handleNewRecord adds an unknown member from its record.
func (v *View) handleNewRecord(record *Record, gossip bool) {
	if record.State != Alive || record.Name == "" || !record.Addr.IsValid() {
		return
	}
	m := v.addMember(record, causeReported)
	if gossip {
		v.enqueueRumor(m, true)
	}
}
