package membership

import (
	"math"
	"slices"
)

// gossipState holds the queued rumors and the time of the next gossip round.
type gossipState struct {
	rumors       rumorQueue
	nextGossipAt float64
}

// queuedRumor is an update about a member that is still to be disseminated. Its content is determined at each
// transmission.
type queuedRumor struct {
	subject       *member
	withRecord    bool // the member's whole record is sent
	transmissions int
}

// rumorQueue holds at most one rumor about each member, in the order in which they are sent.
type rumorQueue struct {
	entries  []*queuedRumor
	byMember map[ID]*queuedRumor
}

func newRumorQueue() rumorQueue { return rumorQueue{byMember: map[ID]*queuedRumor{}} }

// push puts a rumor about a member at the front of the queue. It replaces an earlier rumor about the member.
func (q *rumorQueue) push(subject *member, withRecord bool) {
	if old := q.byMember[subject.id]; old != nil {
		withRecord = withRecord || old.withRecord
		q.entries = slices.DeleteFunc(q.entries, func(entry *queuedRumor) bool { return entry == old })
	}
	entry := &queuedRumor{subject: subject, withRecord: withRecord}
	q.byMember[subject.id] = entry
	q.entries = slices.Insert(q.entries, 0, entry)
}

// markTransmitted counts one transmission of each of the first count entries. It moves them to the end of the queue, or
// removes those that have been sent maxTransmissions times.
func (q *rumorQueue) markTransmitted(count, maxTransmissions int) {
	if count == 0 {
		return
	}
	var requeued []*queuedRumor
	for _, entry := range q.entries[:count] {
		entry.transmissions++
		if entry.transmissions < maxTransmissions {
			requeued = append(requeued, entry)
		} else {
			delete(q.byMember, entry.subject.id)
		}
	}
	q.entries = append(slices.Delete(q.entries, 0, count), requeued...)
}

// enqueueRumor queues a member's current state for gossip, or its whole record if withRecord is set.
func (v *View) enqueueRumor(subject *member, withRecord bool) { v.rumors.push(subject, withRecord) }

// rumorAbout returns the rumor about a member's current state, with the accusers of a suspect.
func (v *View) rumorAbout(subject *member) Rumor {
	if subject.suspicion == nil {
		return subject.rumor(subject.State.advertised())
	}
	rumor := subject.rumor(subject.State)
	accusers := subject.suspicion.accusers
	rumor.Accusers = slices.Clone(accusers[:min(len(accusers), v.cfg.DeathQuorum+1)])
	return rumor
}

// transmissionsFactor times the decimal logarithm of the fleet's size is the number of transmissions of a rumor. As in
// SWIM, a small multiple of the logarithm is enough for the rumor to reach all members with high probability.
const transmissionsFactor = 4.0

// piggyback adds as many queued rumors to a message as fit. limitBytes is the limit for all rumors and records of the
// message.
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
	v.rumors.markTransmitted(added, maxTransmissions)
}

// appendUpdate adds a queued rumor to a message and returns its size, or returns 0 if it doesn't fit into remainingBytes.
// A record has no accusers, and receivers verify a death in a record before they accept it. Therefore the record of a
// Suspect, Dead or Left member is accompanied by a rumor.
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
	gossipFanout       = 3 // receivers in a round
	maxGossipDatagrams = 3 // to one receiver in a round
)

// sendGossip runs a gossip round if one is due and rumors are queued. A round sends them to gossipFanout random members.
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
		// A suspect learns of its accusation from members that probe it. In a mass crash most suspects are dead.
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

// gossipTo sends queued rumors to one member in at most maxGossipDatagrams messages. It returns false if it finds the
// queue empty.
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
