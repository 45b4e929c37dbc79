package membership

// Summary is a View in figures.
type Summary struct {
	Status        Status
	Alive         int // this member included
	Suspect       int
	Unreachable   int
	Dead          int
	Left          int
	Partial       bool    // a fifth of the fleet, and two members at least, went away recently
	Health        int     // 0 is healthy, 8 the worst; all times are stretched by half of it
	Loss          float64 // share of answered probes that needed more than one attempt
	RoundTripMs   float64
	PendingRumors int // still to be gossiped
	Accusations   uint64
	Refutations   uint64
	LateAnswers   uint64 // late calls of Step
	Syncs         uint64
}

// counters count since the start.
type counters struct{ accusations, refutations, lateSteps, syncs uint64 }

// Summary is the View in figures.
func (v *View) Summary() Summary {
	return Summary{
		Status: v.status,
		Alive:  v.counts[Alive] + 1, Suspect: v.counts[Suspect], Unreachable: v.counts[Unreachable],
		Dead: v.counts[Dead], Left: v.counts[Left],
		Partial: v.isPartial(), Health: v.health.score,
		Loss: v.roundTrip.lossRate, RoundTripMs: v.roundTrip.meanMs,
		PendingRumors: len(v.rumors.entries),
		Accusations:   v.counters.accusations, Refutations: v.counters.refutations,
		LateAnswers: v.counters.lateSteps, Syncs: v.counters.syncs,
	}
}

// recentLossMs is how long a member that went away counts as lost recently.
const recentLossMs = 60_000.0

// isPartial reports whether much of the fleet went away recently. A member can't know whether that part died or is
// cut off.
func (v *View) isPartial() bool {
	if v.status == StatusIsolated {
		return true
	}
	lost := v.counts[Unreachable]
	for _, m := range v.dead {
		if v.now-m.stateChangedAt < recentLossMs {
			lost++
		}
	}
	present := 1 + len(v.live) - v.counts[Unreachable]
	return lost > 0 && (present == 1 || lost >= 2 && lost*5 >= lost+present)
}
