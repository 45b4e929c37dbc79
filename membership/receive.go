package membership

import "net/netip"

// receive handles a message.
func (v *View) receive(from netip.AddrPort, m *Message) {
	if m.From == v.id && m.BootID == v.cfg.BootID {
		return // its own, sent back
	}
	v.lastReceivedAt = v.now
	if v.status == StatusIsolated {
		v.recheckUnreachable()
	}
	switch m.Kind {
	case Join:
		v.handleJoin(from, m)
		return
	case JoinAccepted:
		v.handleJoinAccepted(from, m)
		return
	case JoinRejected:
		v.handleJoinRejected(m)
		return
	}
	if !v.joined {
		if m.Kind != Ping || m.Target != v.id || v.status == StatusNameTaken {
			return
		}
		v.completeJoin() // the sender knows this member at this address: the JoinAccepted was lost
	}
	if m.From == v.id {
		v.handleNameConflict(from, m)
		return
	}
	sender := v.members[m.From]
	if sender == nil || sender.BootID != m.BootID {
		v.handleUnknownSender(from, sender, m)
		return
	}
	v.receiveFromMember(from, sender, m)
}

// receiveFromMember handles a message of a known process. Accusations and deaths count only from senders that are live
// here: the others may be the ones that are cut off.
func (v *View) receiveFromMember(from netip.AddrPort, sender *member, m *Message) {
	if m.Incarnation > sender.Incarnation {
		v.acceptIncarnation(sender, m.Incarnation, causeRefuted)
	}
	senderIsLive := sender.State.isLive()
	for i := range m.Rumors {
		v.handleRumor(&m.Rumors[i], senderIsLive)
	}
	isSync := m.Kind == SyncRequest || m.Kind == SyncResponse
	for i := range m.Records {
		v.handleRecord(&m.Records[i], !isSync)
	}
	switch m.Kind {
	case Ping:
		v.handlePing(from, sender, m)
	case Ack:
		v.handleAck(sender, m)
	case PingRequest:
		v.handlePingRequest(from, sender, m)
	case Nack:
		if senderIsLive {
			v.handleNack(sender, m)
		}
	case SyncRequest:
		v.handleSyncRequest(from, sender, m)
	}
	if m.Kind == Ping || m.Kind == Ack && m.Target == 0 {
		v.compareDigests(from, sender, m.Digest)
	}
}
