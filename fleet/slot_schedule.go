package fleet

import "math"

// SlotSchedule spreads the calls of all gateways of a fleet over time. A cycle has one slot for each gateway, and slots
// follow each other at a fixed gap, so the fleet makes one call in each gap regardless of its size. When a gateway dies
// its slot is removed and the later slots move up. A gateway that doesn't know its slot waits for a whole cycle, and the
// calls of such gateways are spread only by chance.
type SlotSchedule struct {
	GatewayCount int // gateways in the fleet
	Slot         int // 0 to GatewayCount-1; -1: unknown
}

// Schedule returns the slot schedule of the roster.
func (r *Roster) Schedule() SlotSchedule {
	return SlotSchedule{GatewayCount: r.size, Slot: r.selfIndex}
}

// NextSlot returns when this gateway may make its next call: at its first slot at or after now+minWait. A cycle takes gap
// milliseconds for each gateway.
func (s SlotSchedule) NextSlot(now, minWait, gap float64) float64 {
	cycle := float64(s.GatewayCount) * gap
	if s.Slot < 0 || cycle <= minWait { // if the cycle is short, minWait alone bounds the rate of the fleet's calls
		return now + max(minWait, cycle)
	}
	earliest := now + minWait
	slot := math.Floor(earliest/cycle)*cycle + float64(s.Slot)*gap
	if slot < earliest {
		slot += cycle
	}
	return slot
}

// Interval returns the time between two calls of a gateway: preferred milliseconds, or longer if the fleet would
// otherwise make more than one call in each gap.
func (s SlotSchedule) Interval(preferred, gap float64) float64 {
	return max(preferred, gap*float64(s.GatewayCount))
}
