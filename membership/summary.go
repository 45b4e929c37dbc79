package membership

// Summary is a View in figures.
type Summary struct {
	Status        Status
	Alive         int // this member included
	Suspect       int
	Unreachable   int
	Dead          int
	Left          int
	Partial       bool    // much of the fleet went away or is out of reach, see isPartial
	HealthScore   int     // 0 is healthy, maxHealthScore the worst, see localHealth
	LossRate      float64 // share of answered probes that needed more than one attempt
	RoundTripMs   float64
	PendingRumors int // still to be gossiped
	Accusations   uint64
	Refutations   uint64
	LateSteps     uint64 // calls of Step that came more than lateStepMs after Wake
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
		Partial: v.isPartial(), HealthScore: v.health.score,
		LossRate: v.roundTrip.lossRate, RoundTripMs: v.roundTrip.meanMs,
		PendingRumors: len(v.rumors.entries),
		Accusations:   v.counters.accusations, Refutations: v.counters.refutations,
		LateSteps: v.counters.lateSteps, Syncs: v.counters.syncs,
	}
}

// recentLossMs is how long a member that died counts as lost, and how long it is probed often, see scheduleReconnect.
const recentLossMs = 60_000.0

// isPartial reports whether this member may see only a part of the fleet. It does if this member is isolated, if at
// least two members and a fifth of the fleet are lost, or if nobody else is present and one member is lost. Members
// count as lost that are unreachable, for however long, or that died within recentLossMs. A member can't know whether
// lost members crashed or are cut off.
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
