package membership

import (
	"net/netip"
	"slices"
)

const (
	syncIntervalMs     = 600.0 // least time between two syncs
	joinSyncIntervalMs = 200.0 // the same, of a member that has just joined
	joinSyncPeriodMs   = 5000.0
	digestSettleMs     = 300.0  // after a change of the digest, in which gossip may still level a difference
	forcedSyncMs       = 1200.0 // after the last sync, from which a difference is synced even if gossip has not settled
	maxSyncResponses   = 8      // datagrams that answer one SyncRequest
)

// syncState is the state of anti-entropy.
type syncState struct {
	lastSyncAt float64
}

// compareDigests asks a member for what differs if its digest does. While gossip may still level the difference it
// does so only for a member that has just joined, or if the last sync is forcedSyncMs ago.
func (v *View) compareDigests(from netip.AddrPort, sender *member, digest uint64) {
	if digest == v.digest {
		return
	}
	interval, hasJoinedRecently := syncIntervalMs, v.now-v.joinedAt < joinSyncPeriodMs
	if hasJoinedRecently {
		interval = joinSyncIntervalMs
	}
	if v.now < v.lastSyncAt+interval {
		return
	}
	hasSettled := len(v.rumors.entries) == 0 && v.now-v.digestChangedAt > digestSettleMs
	if hasSettled || hasJoinedRecently || v.now-v.lastSyncAt > forcedSyncMs {
		v.sendSyncRequest(from, sender)
	}
}

// sendSyncRequest asks for what is known elsewhere. receiver is nil for one that is not known.
func (v *View) sendSyncRequest(to netip.AddrPort, receiver *member) {
	v.lastSyncAt = v.now
	v.counters.syncs++
	v.send(to, receiver, v.newSyncRequest(), 0)
}

// newSyncRequest introduces this member and holds its bucket digests.
func (v *View) newSyncRequest() *Message {
	return &Message{Kind: SyncRequest, Buckets: slices.Clone(v.buckets[:]), Records: []Record{v.self.record()}}
}

// handleSyncRequest answers with the records of the buckets that differ, from a random bucket on. One request gets a
// bounded number of answers; a later one gets the others. sender is nil for one that is not known.
func (v *View) handleSyncRequest(from netip.AddrPort, sender *member, message *Message) {
	if len(message.Buckets) != bucketCount {
		return
	}
	first := v.rng.IntN(bucketCount)
	differing := v.membersOfDifferingBuckets(message.Buckets)
	response, remainingBytes, sent := &Message{Kind: SyncResponse}, maxUpdateBytes, 0
	for i := range bucketCount {
		for _, subject := range differing[(first+i)%bucketCount] {
			record := subject.record()
			if record.Size() > remainingBytes {
				v.send(from, sender, response, 0)
				sent++
				if sent >= maxSyncResponses {
					return
				}
				response, remainingBytes = &Message{Kind: SyncResponse}, maxUpdateBytes
			}
			remainingBytes -= record.Size()
			response.Records = append(response.Records, record)
		}
	}
	if len(response.Records) > 0 {
		v.send(from, sender, response, 0)
	}
}

// membersOfDifferingBuckets is all members, by bucket, of buckets whose digests differ from this member's.
func (v *View) membersOfDifferingBuckets(digests []uint64) *[bucketCount][]*member {
	var differing [bucketCount][]*member
	add := func(m *member) {
		if bucket := m.id % bucketCount; digests[bucket] != v.buckets[bucket] {
			differing[bucket] = append(differing[bucket], m)
		}
	}
	add(v.self)
	for _, list := range [][]*member{v.live, v.dead, v.left} {
		for _, m := range list {
			add(m)
		}
	}
	return &differing
}
