package platform

import (
	"hash/maphash"
	"math"

	"merlinjunction/internal/memory"
	"merlinjunction/routing"
)

const (
	// usedIDsShare is the share of Frontend.Memory that remembered IDs may hold besides the memory that is reserved there.
	usedIDsShare = 0.05
	// usedIDBytes is the memory that is counted for each remembered ID.
	usedIDBytes = 64
)

// usedIDs remembers the IDs of requests that may have run and must not run twice. A client that has left, or has not read
// its answer, may send its request once more; that would run it again, since hosts don't know the ID. Only the hashes of
// the IDs are kept.
type usedIDs struct {
	seed    maphash.Seed
	expiry  map[uint64]float64 // time at which an ID is forgotten, by its hash
	ordered []uint64           // hashes in the order in which they were remembered
}

func newUsedIDs() usedIDs {
	return usedIDs{seed: maphash.MakeSeed(), expiry: map[uint64]float64{}}
}

// contains reports whether an ID is remembered at a time.
func (u *usedIDs) contains(id string, nowMs float64) bool {
	expiryMs, known := u.expiry[maphash.String(u.seed, id)]
	return known && nowMs < expiryMs
}

// remember keeps an ID until a time. IDs that have expired are forgotten, and the oldest ones beyond the limit.
func (u *usedIDs) remember(id string, nowMs, untilMs float64, limit int) {
	hash := maphash.String(u.seed, id)
	if _, known := u.expiry[hash]; !known {
		u.ordered = append(u.ordered, hash)
	}
	u.expiry[hash] = max(untilMs, u.expiry[hash])
	for len(u.ordered) > limit || nowMs >= u.expiry[u.ordered[0]] {
		delete(u.expiry, u.ordered[0])
		u.ordered = u.ordered[1:]
		if len(u.ordered) == 0 {
			return
		}
	}
}

// usedIDLimit returns how many IDs may be remembered with a budget. Without a limit of the budget it is the largest int.
func usedIDLimit(budget *memory.Budget) int {
	if budget.LimitBytes == 0 {
		return math.MaxInt
	}
	return int(usedIDsShare * float64(budget.LimitBytes) / usedIDBytes)
}

// idRetentionMs returns how long an ID is remembered after its request has ended: no client waits longer for an answer, and
// no host drops repeats for longer.
func idRetentionMs(classes []routing.Class) float64 {
	retentionMs := 0.0
	for _, class := range classes {
		retentionMs = max(retentionMs, float64(max(class.Deadline, class.DedupWindow).Milliseconds()))
	}
	return retentionMs
}

// rememberID remembers the ID of a request that may have run, unless its class allows that it runs again.
func (r *pendingResponse) rememberID() {
	f := r.session.frontend
	if f.classes[r.request.Class].Idempotency == routing.Idempotent {
		return
	}
	nowMs := f.Core.Now()
	attemptEndsMs := r.receivedAtMs + r.timeLeftMs // an attempt may be open until then
	untilMs := max(nowMs, attemptEndsMs) + f.idRetentionMs
	f.usedIDs.remember(r.statement.id, nowMs, untilMs, usedIDLimit(&f.Memory))
}
