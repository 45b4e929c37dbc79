package fleet

import "math"

// SlotSchedule spreads over time what all gateways of a fleet do. A cycle has one slot for each gateway, so the fleet
// makes one call in each gap whatever its size. The slot of a gateway that dies is removed: the others move up. A
// gateway that doesn't know its slot waits for a whole cycle, and chance spreads the calls.
type SlotSchedule struct {
	GatewayCount int // gateways in the fleet
	Slot         int // 0 to GatewayCount-1; -1: unknown
}

// Schedule is the slot schedule of a roster.
func (r *Roster) Schedule() SlotSchedule {
	return SlotSchedule{GatewayCount: r.size, Slot: r.selfIndex}
}

// NextSlot is when this gateway may call next: at its first slot at or after now+minWait. A cycle is gap milliseconds
// for each gateway.
func (s SlotSchedule) NextSlot(now, minWait, gap float64) float64 {
	cycle := float64(s.GatewayCount) * gap
	if s.Slot < 0 || cycle <= minWait { // in a short cycle minWait alone bounds the fleet's calls
		return now + max(minWait, cycle)
	}
	earliest := now + minWait
	slot := math.Floor(earliest/cycle)*cycle + float64(s.Slot)*gap
	if slot < earliest {
		slot += cycle
	}
	return slot
}

// Interval is the time between two calls of a gateway that calls every preferred milliseconds by itself, while the
// fleet may make one call in each gap.
func (s SlotSchedule) Interval(preferred, gap float64) float64 {
	return max(preferred, gap*float64(s.GatewayCount))
}
