package membership

import "net/netip"

// unknownReplyIntervalMs is the least time between two answers to unknown senders, so that they cause little traffic.
const unknownReplyIntervalMs = 50.0

// handleUnknownSender handles a message of a process that is not known. old is the earlier process of its name, or nil.
// The sender is sent what is known of its name and asked for what it knows.
func (v *View) handleUnknownSender(from netip.AddrPort, old *member, message *Message) {
	v.handleRumorsAboutSelf(message.Rumors)
	for i := range message.Records {
		if IDOf(message.Records[i].Name) == v.id {
			v.handleRecordAboutSelf(&message.Records[i])
		}
	}
	if !v.joined {
		return
	}
	if old != nil && old.Addr != from && old.isInUse() {
		// The sender's name is that of a live member. With its record the two settle the conflict.
		v.replyToUnknown(from, func(request *Message) {
			request.Records = append(request.Records, old.record())
		})
		return
	}
	if message.Kind == SyncRequest && message.introduction() != nil {
		v.handleIntroduction(from, old, message)
		return
	}
	switch message.Kind { // the sender may know this member although this member doesn't know it yet
	case Ping:
		v.handlePing(from, nil, message)
	case PingRequest:
		v.handlePingRequest(from, nil, message)
	}
	if message.Kind != Ping && message.Kind != Ack && message.Kind != SyncRequest {
		return
	}
	v.replyToUnknown(from, func(request *Message) {
		if old != nil {
			request.Rumors = append(request.Rumors, old.rumor(old.State.advertised()))
		}
	})
}

// replyToUnknown sends a SyncRequest with additional content, unless one was sent a short time ago.
func (v *View) replyToUnknown(to netip.AddrPort, addContent func(request *Message)) {
	if v.now < v.lastUnknownReplyAt+unknownReplyIntervalMs {
		return
	}
	v.lastUnknownReplyAt = v.now
	request := v.newSyncRequest()
	addContent(request)
	v.send(to, nil, request, 0)
}

// handleIntroduction accepts a process that introduces itself with a SyncRequest. old is the earlier process of its
// name, or nil.
func (v *View) handleIntroduction(from netip.AddrPort, old *member, message *Message) {
	sender := old
	if sender == nil {
		sender = v.acceptMember(message.introduction(), causeIntroduced)
	} else {
		v.replaceProcess(sender, message.introduction())
	}
	v.handleSyncRequest(from, sender, message)
	if message.Digest != v.digest {
		v.sendSyncRequest(from, sender)
	}
}
