package faultsim

import (
	"math"
	"net/netip"
	"slices"

	"merlinjunction/membership"
)

// record returns a member's state as a record for messages.
func (b *SWIMBaseline) record(member *swimMember) membership.Record {
	return membership.Record{
		Name:        member.Name,
		Addr:        member.Addr,
		Zone:        member.Zone,
		Version:     swimMessageVersion,
		BootID:      member.BootID,
		Incarnation: member.Incarnation,
		State:       member.State,
	}
}

// enqueueRumor puts a rumor with a member's present state first. It replaces an earlier rumor about the member.
func (b *SWIMBaseline) enqueueRumor(member *swimMember) {
	b.rumors = slices.DeleteFunc(b.rumors, func(rumor *swimRumor) bool { return rumor.member == member })
	b.rumors = slices.Insert(b.rumors, 0, &swimRumor{member: member})
}

// send completes the header of a message and sends it.
func (b *SWIMBaseline) send(to netip.AddrPort, message *membership.Message) {
	message.Version = swimMessageVersion
	message.From = b.id
	message.BootID = b.config.BootID
	message.Incarnation = b.incarnation
	b.actions = append(b.actions, membership.Send{To: to, Message: *message})
}

// sendWithRumors sends a message with the next rumors. The number of transmissions after which a rumor is dropped
// is swimGossipFactor times the logarithm of the fleet's size.
func (b *SWIMBaseline) sendWithRumors(to netip.AddrPort, message *membership.Message) {
	maxSent := int(math.Ceil(swimGossipFactor * math.Log10(float64(len(b.order)+2))))
	count := min(len(b.rumors), swimRumorsPerMessage)
	for _, rumor := range b.rumors[:count] {
		message.Records = append(message.Records, b.record(rumor.member))
		rumor.sent++
	}
	b.rumors = append(slices.Clone(b.rumors[count:]), b.rumors[:count]...)
	b.rumors = slices.DeleteFunc(b.rumors, func(rumor *swimRumor) bool { return rumor.sent >= maxSent })
	b.send(to, message)
}

// add adds a new member and gossips it.
func (b *SWIMBaseline) add(record *membership.Record) {
	member := &swimMember{
		id: membership.IDOf(record.Name),
		Member: membership.Member{
			Name:        record.Name,
			Addr:        record.Addr,
			Zone:        record.Zone,
			BootID:      record.BootID,
			Incarnation: record.Incarnation,
			State:       record.State,
		},
	}
	b.members[member.id] = member
	b.order = append(b.order, member)
	b.enqueueRumor(member)
	if member.id != b.id {
		b.actions = append(b.actions, membership.MemberChanged{
			Member: member.Member,
			New:    member.State,
			Cause:  reasonGossip,
		})
	}
}

// set changes a member's state and gossips it.
func (b *SWIMBaseline) set(member *swimMember, state membership.State, incarnation uint64, reason string) {
	previous := member.State
	member.State, member.Incarnation = state, incarnation
	if state == membership.Suspect {
		member.suspectAt = b.now
	}
	b.enqueueRumor(member)
	if previous != state {
		b.actions = append(b.actions, membership.MemberChanged{
			Member: member.Member,
			Old:    previous,
			New:    state,
			Cause:  reason,
		})
	}
}

func (b *SWIMBaseline) receive(from netip.AddrPort, message *membership.Message) {
	joining := message.Kind == membership.Join
	for i := range message.Records {
		b.merge(&message.Records[i], joining)
	}
	switch message.Kind {
	case membership.Join:
		b.sendMembers(from)
	case membership.SyncResponse:
		b.joined = true
	case membership.Ping:
		if message.Target == b.id {
			b.sendWithRumors(from, &membership.Message{Kind: membership.Ack, Seq: message.Seq})
		}
	case membership.PingRequest:
		b.relayProbe(from, message)
	case membership.Ack:
		b.acknowledge(message)
	}
}

// sendMembers answers a Join with the records of all members, divided into pages.
func (b *SWIMBaseline) sendMembers(to netip.AddrPort) {
	page := &membership.Message{Kind: membership.SyncResponse}
	for _, member := range b.order {
		page.Records = append(page.Records, b.record(member))
		if len(page.Records) == swimRecordsPerPage {
			b.send(to, page)
			page = &membership.Message{Kind: membership.SyncResponse}
		}
	}
	b.send(to, page)
}

// relayProbe sends an indirect probe on behalf of a requester.
func (b *SWIMBaseline) relayProbe(requester netip.AddrPort, request *membership.Message) {
	target := b.members[request.Target]
	if target == nil {
		return
	}
	b.relaySequence++
	b.pendingRelays = append(b.pendingRelays, pendingRelay{
		sequence:          b.relaySequence,
		requesterSequence: request.Seq,
		requester:         requester,
		target:            request.Target,
	})
	b.sendWithRumors(target.Addr, &membership.Message{
		Kind:   membership.Ping,
		Seq:    b.relaySequence,
		Target: request.Target,
	})
}

// acknowledge ends the probe that an Ack answers. If the probe was relayed, it forwards the Ack to the requester.
func (b *SWIMBaseline) acknowledge(ack *membership.Message) {
	if b.target != nil && ack.Seq == b.sequence && (ack.From == b.target.id || ack.Target == b.target.id) {
		b.acked = true
	}
	for _, relay := range b.pendingRelays {
		if relay.sequence == ack.Seq && relay.target == ack.From {
			b.sendWithRumors(relay.requester, &membership.Message{
				Kind:   membership.Ack,
				Seq:    relay.requesterSequence,
				Target: relay.target,
			})
		}
	}
}

// merge applies a record if it is newer than the known state. A false record about this gateway itself is refuted with a
// higher incarnation. The record of a joining gateway replaces that of its previous process.
func (b *SWIMBaseline) merge(record *membership.Record, joining bool) {
	member := b.members[membership.IDOf(record.Name)]
	switch {
	case member == nil:
		b.add(record)
	case member.id == b.id:
		refuted := record.State != membership.Alive && record.Incarnation >= b.incarnation
		if refuted || record.Incarnation > b.incarnation {
			b.incarnation = record.Incarnation + 1
			member.Incarnation = b.incarnation
			b.enqueueRumor(member)
		}
	case joining && record.BootID != member.BootID:
		member.BootID, member.Addr = record.BootID, record.Addr
		b.set(member, membership.Alive, max(member.Incarnation+1, record.Incarnation), reasonJoined)
	case supersedes(record, member):
		member.BootID, member.Addr = record.BootID, record.Addr
		b.set(member, record.State, record.Incarnation, reasonGossip)
	}
}

// supersedes reports whether a record has a higher incarnation, or the same one and a state of higher precedence.
func supersedes(record *membership.Record, member *swimMember) bool {
	if record.Incarnation != member.Incarnation {
		return record.Incarnation > member.Incarnation
	}
	return record.State > member.State
}
