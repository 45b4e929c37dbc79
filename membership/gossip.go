package membership

import (
	"math"
	"slices"
)

// gossipState is the state of gossip.
type gossipState struct {
	rumors       rumorQueue
	nextGossipAt float64
}

// queuedRumor is an update about a member that is still to be gossiped. Its content is determined when it is sent.
type queuedRumor struct {
	subject       *member
	withRecord    bool // the whole record is sent
	transmissions int
}

// rumorQueue holds one queued rumor for each member, the next one to send first.
type rumorQueue struct {
	entries  []*queuedRumor
	byMember map[ID]*queuedRumor
}

func newRumorQueue() rumorQueue { return rumorQueue{byMember: map[ID]*queuedRumor{}} }

// push puts a rumor about a member before all others. It replaces an older one about that member.
func (q *rumorQueue) push(subject *member, withRecord bool) {
	if old := q.byMember[subject.id]; old != nil {
		withRecord = withRecord || old.withRecord
		q.entries = slices.DeleteFunc(q.entries, func(entry *queuedRumor) bool { return entry == old })
	}
	entry := &queuedRumor{subject: subject, withRecord: withRecord}
	q.byMember[subject.id] = entry
	q.entries = slices.Insert(q.entries, 0, entry)
}

// transmitted counts a transmission of the first entries. They go to the end of the queue, or are removed if they have
// been sent maxTransmissions times.
func (q *rumorQueue) transmitted(count, maxTransmissions int) {
	if count == 0 {
		return
	}
	var again []*queuedRumor
	for _, entry := range q.entries[:count] {
		entry.transmissions++
		if entry.transmissions < maxTransmissions {
			again = append(again, entry)
		} else {
			delete(q.byMember, entry.subject.id)
		}
	}
	q.entries = append(slices.Delete(q.entries, 0, count), again...)
}

// enqueueRumor has a member's present state gossiped, or its whole record.
func (v *View) enqueueRumor(subject *member, withRecord bool) { v.rumors.push(subject, withRecord) }

// rumorAbout is the rumor about a member's present state.
func (v *View) rumorAbout(subject *member) Rumor {
	if subject.suspicion == nil {
		return subject.rumor(subject.State.advertised())
	}
	rumor := subject.rumor(subject.State)
	accusers := subject.suspicion.accusers
	rumor.Accusers = slices.Clone(accusers[:min(len(accusers), v.cfg.DeathQuorum+1)])
	return rumor
}

// transmissionsFactor times the decimal logarithm of the fleet's size is how often a rumor is sent. As in SWIM, a small
// multiple of the logarithm reaches all members with high probability.
const transmissionsFactor = 4.0

// piggyback adds queued rumors to a message, as many as limitBytes allows for all its rumors and records.
func (v *View) piggyback(message *Message, limitBytes int) {
	remainingBytes := limitBytes
	for i := range message.Rumors {
		remainingBytes -= message.Rumors[i].Size()
	}
	for i := range message.Records {
		remainingBytes -= message.Records[i].Size()
	}
	if remainingBytes < rumorBytes || len(v.rumors.entries) == 0 {
		return
	}
	added := 0
	for _, entry := range v.rumors.entries {
		size := v.appendUpdate(message, entry, remainingBytes)
		if size == 0 {
			break
		}
		remainingBytes -= size
		added++
	}
	maxTransmissions := int(math.Ceil(transmissionsFactor * math.Log10(float64(len(v.live)+2))))
	v.rumors.transmitted(added, maxTransmissions)
}

// appendUpdate adds a queued rumor to a message and returns its size, or returns 0 if it doesn't fit. A record
// carries no accusers, and receivers verify a death in a record, so a rumor goes with the record unless the member is
// alive.
func (v *View) appendUpdate(message *Message, entry *queuedRumor, remainingBytes int) int {
	size, state := 0, entry.subject.State
	var record Record
	if entry.withRecord {
		record = entry.subject.record()
		size += record.Size()
	}
	var rumor Rumor
	withRumor := !entry.withRecord || state == Suspect || !state.isLive()
	if withRumor {
		rumor = v.rumorAbout(entry.subject)
		size += rumor.Size()
	}
	if size > remainingBytes {
		return 0
	}
	if entry.withRecord {
		message.Records = append(message.Records, record)
	}
	if withRumor {
		message.Rumors = append(message.Rumors, rumor)
	}
	return size
}

const (
	gossipFanout       = 3
	maxGossipDatagrams = 3 // for one receiver in a round
)

// sendGossip sends queued rumors to a few random members, round by round while there are any.
func (v *View) sendGossip() {
	if len(v.rumors.entries) == 0 || v.now < v.nextGossipAt || !v.joined {
		return
	}
	interval := v.cfg.GossipIntervalMs
	if v.isFailureBurst() {
		interval /= 2
	}
	v.nextGossipAt = v.now + interval
	var chosen []*member
	for range gossipFanout {
		// A suspect learns of the accusation from those who probe it; in a mass crash most suspects are dead.
		receiver := v.randomMember(func(m *member) bool { return m.State == Suspect || slices.Contains(chosen, m) })
		if receiver == nil {
			continue
		}
		chosen = append(chosen, receiver)
		if !v.gossipTo(receiver) {
			return
		}
	}
}

// gossipTo sends queued rumors to one member and reports whether any are left to send to others.
func (v *View) gossipTo(receiver *member) bool {
	for range maxGossipDatagrams {
		queued := len(v.rumors.entries)
		if queued == 0 {
			return false
		}
		message := &Message{Kind: Gossip}
		v.send(receiver.Addr, receiver, message, maxUpdateBytes)
		if len(message.Rumors)+len(message.Records) >= queued {
			break
		}
	}
	return true
}
