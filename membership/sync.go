package membership

import (
	"net/netip"
	"slices"
)

const (
	syncIntervalMs       = 600.0 // minimum time between two sync requests
	joinSyncIntervalMs   = 200.0 // the same, within joinSyncPeriodMs after the join
	joinSyncPeriodMs     = 5000.0
	digestSettleMs       = 300.0  // time after a digest change in which gossip may still resolve a difference
	forcedSyncIntervalMs = 1200.0 // time after the last sync request from which a sync doesn't wait for gossip
	maxSyncResponses     = 8      // maximum messages that answer one SyncRequest
)

// syncState is the state of anti-entropy, which exchanges records between members whose digests differ.
type syncState struct {
	lastSyncAt float64
}

// compareDigests sends a sync request to a member whose digest differs from this member's. While gossip may still resolve
// the difference, it does so only if this member has joined recently or if the last sync request is more than
// forcedSyncIntervalMs ago.
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
	if hasSettled || hasJoinedRecently || v.now-v.lastSyncAt > forcedSyncIntervalMs {
		v.sendSyncRequest(from, sender)
	}
}

// sendSyncRequest requests the records that differ from another member. receiver is nil if the receiver is unknown.
func (v *View) sendSyncRequest(to netip.AddrPort, receiver *member) {
	v.lastSyncAt = v.now
	v.counters.syncs++
	v.send(to, receiver, v.newSyncRequest(), 0)
}

// newSyncRequest returns a SyncRequest with this member's record and bucket digests.
func (v *View) newSyncRequest() *Message {
	return &Message{Kind: SyncRequest, Buckets: slices.Clone(v.buckets[:]), Records: []Record{v.self.record()}}
}

// handleSyncRequest answers with the records of the buckets that differ, starting at a random bucket. It sends at most
// maxSyncResponses messages; later requests get the remaining records. sender is nil if the sender is unknown.
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

// membersOfDifferingBuckets returns, by bucket, all members in the buckets whose digests differ from this member's.
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
