package membership

import (
	"net/netip"
	"slices"
)

const (
	joinBackoffMs         = 500.0 // interval before the second attempt to join; doubles with each attempt
	maxJoinBackoffMs      = 5000.0
	maxJoinBackoffShift   = 10       // bounds the shift that doubles the backoff
	unknownSeedIntervalMs = 10_000.0 // interval at which a member contacts seeds at which it knows no reachable member
	nameRetryIntervalMs   = 3000.0   // interval at which a process whose name is taken tries to join
	maxJoinRecords        = 16       // records of other members in a JoinAccepted
)

// joinState holds whether this member has joined the fleet, and when its next Join is due.
type joinState struct {
	joined             bool
	joinedAt           float64
	nextJoinAt         float64
	joinAttempts       int
	lastUnknownReplyAt float64 // see replyToUnknown
}

// isSeed reports whether this member is a seed itself or has no seeds. Such a member founds a fleet.
func (v *View) isSeed() bool {
	return len(v.cfg.Seeds) == 0 || slices.Contains(v.cfg.Seeds, v.cfg.Addr)
}

// completeJoin records that this member has joined the fleet, and gossips its record.
func (v *View) completeJoin() {
	v.joined, v.joinedAt, v.lastReceivedAt, v.lastAckAt = true, v.now, v.now, v.now
	v.enqueueRumor(v.self, true)
}

// sendJoins sends a Join to a random seed if one is due. A member that has joined sends it only to a seed at whose
// address it knows no reachable member. This merges fleets that were founded separately or were partitioned for long.
func (v *View) sendJoins() {
	if v.now < v.nextJoinAt {
		return
	}
	v.scheduleJoin()
	if len(v.cfg.Seeds) == 0 {
		return
	}
	first := v.rng.IntN(len(v.cfg.Seeds))
	for i := range v.cfg.Seeds {
		seed := v.cfg.Seeds[(first+i)%len(v.cfg.Seeds)]
		if seed != v.cfg.Addr && (!v.joined || !v.hasReachableMemberAt(seed)) {
			v.send(seed, nil, &Message{Kind: Join, Records: []Record{v.self.record()}}, 0)
			return
		}
	}
}

// scheduleJoin sets the time of the next Join.
func (v *View) scheduleJoin() {
	backoff := joinBackoffMs * float64(uint64(1)<<min(v.joinAttempts, maxJoinBackoffShift))
	interval := min(backoff, maxJoinBackoffMs)
	v.joinAttempts++
	switch {
	case v.status == StatusNameTaken:
		interval = nameRetryIntervalMs
	case v.joined && (len(v.live) > 0 || len(v.cfg.Seeds) < 2):
		interval = unknownSeedIntervalMs
	}
	v.nextJoinAt = v.now + interval*v.jitter(0.7, 0.6)
}

// handleJoin answers a Join. It rejects the joiner if a reachable process has its name at another address. Only one
// process can run at an address, so a process that was known at the joiner's address has ended.
func (v *View) handleJoin(from netip.AddrPort, message *Message) {
	record := message.introduction()
	if !v.joined || record == nil || len(message.Records) != 1 {
		return
	}
	if message.From == v.id {
		v.rejectJoin(from, v.cfg.Addr)
		return
	}
	joiner := v.members[message.From]
	switch {
	case joiner == nil:
		joiner = v.acceptMember(record, causeJoined)
	case joiner.BootID == record.BootID:
		if record.Incarnation > joiner.Incarnation {
			v.acceptIncarnation(joiner, record.Incarnation, causeRejoined)
		}
	case joiner.Addr != record.Addr && joiner.isReachable():
		v.scheduleVerification(joiner, nil)
		v.rejectJoin(from, joiner.Addr)
		return
	default:
		v.replaceProcess(joiner, record)
	}
	v.acceptJoin(from, joiner)
}

// isReachable reports whether the member is live and not Unreachable.
func (m *member) isReachable() bool { return m.State == Alive || m.State == Suspect }

// acceptMember adds a member from its own record and gossips it.
func (v *View) acceptMember(record *Record, cause string) *member {
	m := v.addMember(record, cause)
	v.enqueueRumor(m, true)
	return m
}

// replaceProcess replaces the known process of a name by the one that sent its record.
func (v *View) replaceProcess(subject *member, record *Record) {
	v.updateFromRecord(subject, record)
	v.setState(subject, Alive, max(record.Incarnation, subject.Incarnation+1), causeRestarted)
	v.enqueueRumor(subject, true)
}

// acceptJoin sends a joiner the rumor about its current state, this member's record and records of random members.
func (v *View) acceptJoin(to netip.AddrPort, joiner *member) {
	accepted := &Message{
		Kind: JoinAccepted, Rumors: []Rumor{v.rumorAbout(joiner)}, Records: []Record{v.self.record()},
	}
	remainingBytes := maxUpdateBytes - accepted.Records[0].Size() - accepted.Rumors[0].Size()
	var chosen []*member
	for range maxJoinRecords {
		m := v.randomMember(func(m *member) bool { return m == joiner || slices.Contains(chosen, m) })
		if m == nil {
			break
		}
		record := m.record()
		remainingBytes -= record.Size()
		if remainingBytes < 0 {
			break
		}
		chosen = append(chosen, m)
		accepted.Records = append(accepted.Records, record)
	}
	v.send(to, joiner, accepted, 0)
}

// rejectJoin notifies a process that its name is taken by another process, whose address is holder.
func (v *View) rejectJoin(to, holder netip.AddrPort) {
	v.send(to, nil, &Message{Kind: JoinRejected, Addr: holder}, 0)
}

// handleJoinAccepted completes the join and requests a sync from a random member, so that the seed doesn't get the sync
// requests of all joiners. If this member had joined already, it requests a sync from the sender if the digests differ.
func (v *View) handleJoinAccepted(from netip.AddrPort, message *Message) {
	if message.From == v.id {
		return
	}
	isFirst := !v.joined
	if isFirst {
		v.completeJoin()
		v.joinAttempts = 0
		v.updateStatus()
	}
	for i := range message.Records {
		v.handleRecord(&message.Records[i], false)
	}
	v.handleRumorsAboutSelf(message.Rumors)
	if !isFirst && message.Digest == v.digest {
		return
	}
	receiver, addr := v.members[message.From], from
	if other := v.randomMember(nil); isFirst && other != nil {
		receiver, addr = other, other.Addr
	}
	v.sendSyncRequest(addr, receiver)
}

// handleJoinRejected gives up the name of this process, as another process has it. A member that has already joined gives
// it up only to another process of its name with a lower boot ID.
func (v *View) handleJoinRejected(message *Message) {
	hasPrecedence := message.From == v.id && message.BootID < v.cfg.BootID
	if v.joined && !hasPrecedence {
		return
	}
	v.yieldName(message.Addr)
}
