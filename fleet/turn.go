package fleet

import "math"

// SlotSchedule spreads over time what all gateways do. A cycle has a slot for each gateway, by its seat, so the fleet's sum is
// one call a gap whatever its size; the slot of a gateway that dies goes with its seat: the others close up. Where
// seats aren't known each gateway waits as long as a cycle, and chance spreads them.
type SlotSchedule struct {
	GatewayCount int // of the fleet
	Slot         int // -1: not known
}

// Schedule are the turns of a roster.
func (r *Roster) Schedule() SlotSchedule { return SlotSchedule{r.size, r.self} }

// NextSlot is when this gateway may do it again: its next slot at or after now+least, in cycles of a gap for each gateway.
func (t SlotSchedule) NextSlot(now, least, gap float64) float64 {
	cycle := float64(t.GatewayCount) * gap
	if t.Slot < 0 || cycle <= least { // the fleet's sum is bounded by the pause alone
		return now + max(least, cycle)
	}
	first := now + least
	slot := math.Floor(first/cycle)*cycle + float64(t.Slot)*gap
	if slot < first {
		slot += cycle
	}
	return slot
}

// Interval is how often a gateway may do what the fleet may do once a gap, if it likes to do it each usual milliseconds.
func (t SlotSchedule) Interval(usual, gap float64) float64 {
	return max(usual, gap*float64(t.GatewayCount))
}
