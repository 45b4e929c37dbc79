package membership

// Summary holds the figures of a View that are reported in logs, metrics and management calls.
type Summary struct {
	Status        Status
	Alive         int // includes this member
	Suspect       int
	Unreachable   int
	Dead          int
	Left          int
	Partial       bool    // this member may see only a part of the fleet, see isPartial
	HealthScore   int     // from 0, which is healthy, to maxHealthScore, see localHealth
	LossRate      float64 // share of answered probes that needed more than one attempt
	RoundTripMs   float64
	PendingRumors int // rumors that are queued for gossip
	Accusations   uint64
	Refutations   uint64
	LateSteps     uint64 // calls of Step more than lateStepMs after Wake
	Syncs         uint64
}

// counters holds counts since the start of the View.
type counters struct{ accusations, refutations, lateSteps, syncs uint64 }

// Summary returns the current figures of the View.
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

// recentDeathMs is the time after a member's death during which it counts as lost, see isPartial, and is probed at the
// shorter interval, see scheduleReconnect.
const recentDeathMs = 60_000.0

// isPartial reports whether this member may see only a part of the fleet. This is the case if this member is isolated, if
// at least two members and a fifth of the fleet are lost, or if any member is lost and no other is present. A member is
// lost if it is Unreachable, for however long, or if it died within recentDeathMs. Members that are live and not
// Unreachable are present. This member can't know whether lost members crashed or are cut off.
func (v *View) isPartial() bool {
	if v.status == StatusIsolated {
		return true
	}
	lost := v.counts[Unreachable]
	for _, m := range v.dead {
		if v.now-m.stateChangedAt < recentDeathMs {
			lost++
		}
	}
	present := 1 + len(v.live) - v.counts[Unreachable]
	return lost > 0 && (present == 1 || lost >= 2 && lost*5 >= lost+present)
}
