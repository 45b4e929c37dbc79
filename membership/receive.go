package membership

import "net/netip"

// receive handles a message.
func (v *View) receive(from netip.AddrPort, message *Message) {
	if message.From == v.id && message.BootID == v.cfg.BootID {
		return // its own, sent back
	}
	v.lastReceivedAt = v.now
	if v.status == StatusIsolated {
		v.recheckUnreachable()
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
		v.completeJoin() // the sender knows this member at this address: the JoinAccepted was lost
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

// receiveFromMember handles a message of a known process. Accusations and deaths count only from senders that are live
// here: the others may be the ones that are cut off.
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
