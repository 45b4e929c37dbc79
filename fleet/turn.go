package fleet

import "math"

// Turns spreads over time what all gateways do. A cycle has a slot for each gateway, by its seat, so the fleet's sum is
// one call a gap whatever its size; the slot of a gateway that dies goes with its seat: the others close up. Where
// seats aren't known each gateway waits as long as a cycle, and chance spreads them.
type Turns struct {
	Size int // of the fleet
	Seat int // -1: not known
}

// Turns are the turns of a roster.
func (r *Roster) Turns() Turns { return Turns{r.size, r.self} }

// Next is when this gateway may do it again: its next slot at or after now+least, in cycles of a gap for each gateway.
func (t Turns) Next(now, least, gap float64) float64 {
	cycle := float64(t.Size) * gap
	if t.Seat < 0 || cycle <= least { // the fleet's sum is bounded by the pause alone
		return now + max(least, cycle)
	}
	first := now + least
	slot := math.Floor(first/cycle)*cycle + float64(t.Seat)*gap
	if slot < first {
		slot += cycle
	}
	return slot
}

// Every is how often a gateway may do what the fleet may do once a gap, if it likes to do it each usual milliseconds.
func (t Turns) Every(usual, gap float64) float64 { return max(usual, gap*float64(t.Size)) }
