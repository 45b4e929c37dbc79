package faultsim

import (
	"math"
	"strings"

	"merlinjunction/membership"
)

// Oracle compares what each gateway believes of the others with the facts. Both engines notify it of the steps that
// they carry out and of the changes that gateways report; it knows nothing of the protocol. Its times are ms since
// second 0.
type Oracle struct {
	network      *Network
	gateways     []observedGateway
	upCount      int
	beliefs      [][]membership.State // by viewer, then by member
	wrongBeliefs int                  // of all observable gateways

	flaps          map[belief]int  // how often a viewer gave a member up
	givenUp        map[belief]bool // the viewer believes the member to be dead or unreachable
	pendingReturns []pendingReturn
	crashes        []*crash
	unsettled      map[int]*crash // by gateway: crashes that not all gateways have detected
	statuses       map[membership.Status]map[int]bool
	partialViews   map[int]bool
	lastWrongAt    float64 // the last time at which any belief was wrong
	lastStepAt     float64

	FalseDeaths           int       // deaths of members that were up and reachable
	FalseSuspicions       int       // suspicions of such members, one for each viewer
	SuspicionsAfterReturn int       // suspicions by members that had just been paused
	RecoveryTimes         []float64 // ms from each return to views that are right
}

// observedGateway is the state of one gateway as a fact.
type observedGateway struct {
	up           bool
	paused       bool
	starved      bool
	wrongBy      int     // its wrong beliefs of others
	wrongOf      int     // others' wrong beliefs of it
	excusedUntil float64 // until then a wrong death is no false death
	returnedAt   float64 // when it last continued after a pause or starvation
}

// belief is one gateway's belief of another.
type belief struct {
	viewer, member int
}

// crash is a SIGKILL of one gateway and how it was detected: ms after it, NaN until then.
type crash struct {
	crashedAt   float64
	suspectedMs float64 // by the first viewer
	deadMs      float64 // declared by the first viewer
	detectedMs  float64 // by all
}

// pendingReturn is a gateway that continued, about which some belief is still wrong.
type pendingReturn struct {
	gateway int
	since   float64
}

const (
	// excuseMs is how long after its return a member may still be declared dead: what was decided before is on its way.
	excuseMs = 1000.0
	// returnMs is how long after its return a member's suspicions of others count as suspicions after a return.
	returnMs = 5000.0
	// never is a time before any run.
	never = -1e9
	// noAnswerReason begins the reason of a suspicion that rests on a gateway's own probe.
	noAnswerReason = "no answer here"
)

// NewOracle returns an Oracle of gateways that are not up yet.
func NewOracle(gateways int, network *Network) *Oracle {
	o := &Oracle{
		network:      network,
		flaps:        map[belief]int{},
		givenUp:      map[belief]bool{},
		unsettled:    map[int]*crash{},
		statuses:     map[membership.Status]map[int]bool{},
		partialViews: map[int]bool{},
	}
	o.grow(gateways)
	return o
}

// grow adds gateways up to a number of them.
func (o *Oracle) grow(count int) {
	added := count - len(o.gateways)
	for viewer := range o.beliefs {
		o.beliefs[viewer] = append(o.beliefs[viewer], make([]membership.State, added)...)
	}
	for range added {
		o.beliefs = append(o.beliefs, make([]membership.State, count))
		o.gateways = append(o.gateways, observedGateway{excusedUntil: never, returnedAt: never})
	}
}

// isObservable reports whether a gateway's beliefs, and beliefs of it, have to be right.
func (g *observedGateway) isObservable() bool { return !g.paused && !g.starved }

// Apply records a step that is carried out.
func (o *Oracle) Apply(step *Step, now float64) {
	o.lastStepAt = max(0, now) // the starts before second 0 are no faults
	index := step.Target
	if index >= len(o.gateways) && step.Operation == Start {
		o.grow(index + 1)
	}
	switch step.Operation {
	case Start:
		o.started(index, now)
	case Kill, Terminate:
		o.ended(index, now, step.Operation == Kill)
	case Pause:
		o.change(index, now, func(gateway *observedGateway) { gateway.paused = true })
	case Resume:
		o.change(index, now, func(gateway *observedGateway) { gateway.paused = false })
		o.excuseReturn(index, now)
		if !o.gateways[index].starved {
			o.pendingReturns = append(o.pendingReturns, pendingReturn{index, now})
		}
	case Starve:
		o.change(index, now, func(gateway *observedGateway) { gateway.starved = !step.Undo })
		if step.Undo {
			o.excuseReturn(index, now)
			o.pendingReturns = append(o.pendingReturns, pendingReturn{index, now})
		}
	case Cut:
		if step.Undo {
			o.excuseCutOff(index, now)
			for _, other := range step.Destinations {
				o.excuseCutOff(other, now)
			}
		}
	}
	for member := range o.unsettled {
		o.recordRecoveries(member, now)
	}
	o.recordRecoveries(index, now)
}

// started records that a gateway's process started. It knows nobody yet.
func (o *Oracle) started(index int, now float64) {
	o.change(index, now, func(gateway *observedGateway) {
		gateway.up = true
		o.upCount++
		clear(o.beliefs[index])
	})
	delete(o.unsettled, index)
	o.gateways[index].excusedUntil = now + excuseMs
}

// ended records the end of a gateway's process. One that is terminated takes its leave; a crash has to be detected.
func (o *Oracle) ended(index int, now float64, crashed bool) {
	o.upCount--
	o.change(index, now, func(gateway *observedGateway) {
		gateway.up, gateway.paused, gateway.starved = false, false, false
	})
	if crashed {
		undetected := &crash{crashedAt: now, suspectedMs: math.NaN(), deadMs: math.NaN(), detectedMs: math.NaN()}
		o.crashes = append(o.crashes, undetected)
		o.unsettled[index] = undetected
	}
}

// excuseReturn records that a gateway continues after a pause.
func (o *Oracle) excuseReturn(index int, now float64) {
	o.gateways[index].returnedAt = now
	o.gateways[index].excusedUntil = now + excuseMs
}

// excuseCutOff excuses a gateway that is still cut off when a cut is healed.
func (o *Oracle) excuseCutOff(index int, now float64) {
	if o.isCutOff(index) {
		o.gateways[index].excusedUntil = now + excuseMs
	}
}

// isCutOff reports whether a gateway can't receive from, or can't send to, half of the others or more.
func (o *Oracle) isCutOff(index int) bool {
	if len(o.network.cuts) == 0 {
		return false
	}
	others := o.upCount - 1
	unreachable := max(o.network.unreachableIn[index], o.network.unreachableOut[index])
	return others > 0 && 2*unreachable >= others
}

// ObserveBelief records that a gateway's belief of another changed, for a reason that the gateway gives.
func (o *Oracle) ObserveBelief(viewer, member int, state membership.State, reason string, now float64) {
	if viewer == member || viewer >= len(o.gateways) || member >= len(o.gateways) {
		return
	}
	previous := o.beliefs[viewer][member]
	o.setBelief(viewer, member, state, now)
	changed := belief{viewer, member}
	switch state {
	case membership.Alive:
		delete(o.givenUp, changed)
	case membership.Dead:
		if o.gateways[viewer].up && !o.isExcused(viewer, member, now) {
			o.FalseDeaths++
		}
		o.countFlap(changed)
	case membership.Unreachable:
		o.countFlap(changed)
	case membership.Suspect:
		if !o.isExcused(viewer, member, now) {
			o.FalseSuspicions++
		}
		if previous == membership.Alive && o.isSuspicionAfterReturn(viewer, member, reason, now) {
			o.SuspicionsAfterReturn++
		}
	}
	o.recordDetection(viewer, member, state, now)
	o.recordRecoveries(member, now)
}

// isExcused reports whether a fault excuses a viewer that suspects a member, or declares it dead.
func (o *Oracle) isExcused(viewer, member int, now float64) bool {
	gateway := &o.gateways[member]
	return !gateway.up ||
		!gateway.isObservable() ||
		now < gateway.excusedUntil ||
		now < o.gateways[viewer].excusedUntil ||
		o.isCutOff(member) ||
		o.isCutOff(viewer)
}

// isSuspicionAfterReturn reports whether a viewer that was paused suspects a running member for its own missed answers.
func (o *Oracle) isSuspicionAfterReturn(viewer, member int, reason string, now float64) bool {
	suspect, suspecting := &o.gateways[member], &o.gateways[viewer]
	return suspect.up && !suspect.paused && !o.isCutOff(member) &&
		strings.HasPrefix(reason, noAnswerReason) &&
		(now-suspecting.returnedAt < returnMs || suspecting.paused)
}

// countFlap counts that a viewer gives up a member that it believed to be alive.
func (o *Oracle) countFlap(changed belief) {
	if !o.givenUp[changed] {
		o.givenUp[changed] = true
		o.flaps[changed]++
	}
}

// recordDetection records the first suspicion and the first death of a crashed member.
func (o *Oracle) recordDetection(viewer, member int, state membership.State, now float64) {
	undetected := o.unsettled[member]
	if undetected == nil || !o.gateways[viewer].up {
		return
	}
	suspected := state == membership.Suspect || state == membership.Dead || state == membership.Unreachable
	if suspected && math.IsNaN(undetected.suspectedMs) {
		undetected.suspectedMs = now - undetected.crashedAt
	}
	if state == membership.Dead && math.IsNaN(undetected.deadMs) {
		undetected.deadMs = now - undetected.crashedAt
	}
}

// recordRecoveries records which crashes and returns are settled, after a change that concerns one gateway.
func (o *Oracle) recordRecoveries(index int, now float64) {
	if undetected := o.unsettled[index]; undetected != nil && o.gateways[index].wrongOf == 0 {
		undetected.detectedMs = now - undetected.crashedAt
		delete(o.unsettled, index)
	}
	pending := o.pendingReturns[:0]
	for _, returned := range o.pendingReturns {
		gateway := &o.gateways[returned.gateway]
		switch {
		case !gateway.up || !gateway.isObservable():
			// The next fault ends it.
		case gateway.wrongOf == 0 && gateway.wrongBy == 0:
			o.RecoveryTimes = append(o.RecoveryTimes, now-returned.since)
		default:
			pending = append(pending, returned)
		}
	}
	o.pendingReturns = pending
}

// ObserveStatus records that a gateway reports a status of itself.
func (o *Oracle) ObserveStatus(index int, status membership.Status) {
	if o.statuses[status] == nil {
		o.statuses[status] = map[int]bool{}
	}
	o.statuses[status][index] = true
}

// ObservePartialView records that a gateway reports a partial view.
func (o *Oracle) ObservePartialView(index int) { o.partialViews[index] = true }

// Finish ends the run: what has not become right counts as infinitely late.
func (o *Oracle) Finish(now float64) {
	o.recordWrong(now)
	for range o.pendingReturns {
		o.RecoveryTimes = append(o.RecoveryTimes, math.Inf(1))
	}
	for _, undetected := range o.unsettled {
		undetected.detectedMs = math.Inf(1)
	}
}
