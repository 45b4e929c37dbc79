package membership

import "net/netip"

// unknownReplyIntervalMs is the minimum time between two sync requests to unknown senders. It limits the traffic that
// unknown senders can cause.
const unknownReplyIntervalMs = 50.0

// handleUnknownSender handles a message from an unknown process. previous is the member entry of another process of the
// sender's name, or nil. Most messages are answered with a sync request that also carries what this member knows of the
// sender's name.
func (v *View) handleUnknownSender(from netip.AddrPort, previous *member, message *Message) {
	v.handleRumorsAboutSelf(message.Rumors)
	for i := range message.Records {
		if IDOf(message.Records[i].Name) == v.id {
			v.handleRecordAboutSelf(&message.Records[i])
		}
	}
	if !v.joined {
		return
	}
	if previous != nil && previous.Addr != from && previous.isReachable() {
		// The name belongs to a reachable member. Its record lets the two processes resolve the name conflict.
		v.replyToUnknown(from, func(request *Message) {
			request.Records = append(request.Records, previous.record())
		})
		return
	}
	if message.Kind == SyncRequest && message.introduction() != nil {
		v.handleIntroduction(from, previous, message)
		return
	}
	switch message.Kind { // the sender may know this member already
	case Ping:
		v.handlePing(from, nil, message)
	case PingRequest:
		v.handlePingRequest(from, nil, message)
	}
	if message.Kind != Ping && message.Kind != Ack && message.Kind != SyncRequest {
		return
	}
	v.replyToUnknown(from, func(request *Message) {
		if previous != nil {
			request.Rumors = append(request.Rumors, previous.rumor(previous.State.advertised()))
		}
	})
}

// replyToUnknown sends a SyncRequest with additional content, unless one was sent to any unknown sender within
// unknownReplyIntervalMs.
func (v *View) replyToUnknown(to netip.AddrPort, addContent func(request *Message)) {
	if v.now < v.lastUnknownReplyAt+unknownReplyIntervalMs {
		return
	}
	v.lastUnknownReplyAt = v.now
	request := v.newSyncRequest()
	addContent(request)
	v.send(to, nil, request, 0)
}

// handleIntroduction accepts a process that introduces itself with its record in a SyncRequest. previous is the member
// entry of the earlier process of its name, or nil.
func (v *View) handleIntroduction(from netip.AddrPort, previous *member, message *Message) {
	sender := previous
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
