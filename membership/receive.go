package membership

import "net/netip"

// receive handles a message that arrived from an address.
func (v *View) receive(from netip.AddrPort, message *Message) {
	if message.From == v.id && message.BootID == v.cfg.BootID {
		return // this member's own message, sent back
	}
	v.lastReceivedAt = v.now
	if v.status == StatusIsolated {
		v.verifyAllUnreachable()
	}
	switch message.Kind {
	case Join:
		v.handleJoin(from, message)
		return
	case JoinAccepted:
		v.handleJoinAccepted(from, message)
		return
	case JoinRejected:
		v.handleJoinRejected(message)
		return
	}
	if !v.joined {
		if message.Kind != Ping || message.Target != v.id || v.status == StatusNameTaken {
			return
		}
		v.completeJoin() // the sender knows this member at this address, so the JoinAccepted was lost
	}
	if message.From == v.id {
		v.handleNameConflict(from, message)
		return
	}
	sender := v.members[message.From]
	if sender == nil || sender.BootID != message.BootID {
		v.handleUnknownSender(from, sender, message)
		return
	}
	v.receiveFromMember(from, sender, message)
}

// receiveFromMember handles a message from a known process. Accusations and declarations of death apply only if the
// sender is live in this view. Otherwise the sender may be the one that is cut off.
func (v *View) receiveFromMember(from netip.AddrPort, sender *member, message *Message) {
	if message.Incarnation > sender.Incarnation {
		v.acceptIncarnation(sender, message.Incarnation, causeRefuted)
	}
	senderIsLive := sender.State.isLive()
	for i := range message.Rumors {
		v.handleRumor(&message.Rumors[i], senderIsLive)
	}
	isSync := message.Kind == SyncRequest || message.Kind == SyncResponse
	for i := range message.Records {
		v.handleRecord(&message.Records[i], !isSync)
	}
	switch message.Kind {
	case Ping:
		v.handlePing(from, sender, message)
	case Ack:
		v.handleAck(sender, message)
	case PingRequest:
		v.handlePingRequest(from, sender, message)
	case Nack:
		if senderIsLive {
			v.handleNack(sender, message)
		}
	case SyncRequest:
		v.handleSyncRequest(from, sender, message)
	}
	if message.Kind == Ping || message.Kind == Ack && message.Target == 0 {
		v.compareDigests(from, sender, message.Digest)
	}
}
