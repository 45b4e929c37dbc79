package faultsim

import (
	"math"
	"strings"

	"merlinjunction/membership"
)

// Oracle compares what each gateway believes about the others with the facts. Both engines notify it of the steps that
// they carry out and of the changes that gateways report. It does not depend on the membership protocol. Its times are in
// ms since second 0.
type Oracle struct {
	network      *Network
	gateways     []observedGateway
	upCount      int                  // number of gateways that are up
	beliefs      [][]membership.State // by viewer, then by member
	wrongBeliefs int                  // number of wrong beliefs of all observable gateways

	flaps             map[belief]int  // number of times that the viewer gave up the member
	givenUp           map[belief]bool // the viewer gave up the member: it believes it to be dead or unreachable
	pendingReturns    []pendingReturn
	crashes           []*crash
	undetectedCrashes map[int]*crash                     // by gateway: crashes that some gateway has not detected yet
	statuses          map[membership.Status]map[int]bool // by status: the gateways that reported it
	partialViews      map[int]bool                       // the gateways that reported a partial view
	lastWrongAt       float64                            // the last time at which any belief was wrong
	lastStepAt        float64                            // the time of the last step, at least second 0

	FalseDeaths           int       // declared deaths of members that were up and reachable
	FalseSuspicions       int       // suspicions of members that were up and reachable, per viewer
	SuspicionsAfterReturn int       // suspicions by members that had just been paused
	RecoveryTimes         []float64 // time from each return to right beliefs by and of the gateway
}

// observedGateway holds the facts about one gateway.
type observedGateway struct {
	up             bool
	paused         bool
	starved        bool
	wrongBeliefsBy int     // number of its wrong beliefs about others
	wrongBeliefsOf int     // number of wrong beliefs of others about it
	excusedUntil   float64 // until then, suspicions and deaths by it or of it don't count as false
	returnedAt     float64 // when its last pause or starvation ended
}

// belief identifies the belief of one gateway, the viewer, about another one, the member.
type belief struct {
	viewer, member int
}

// crash is a SIGKILL of one gateway and its detection. The detection times are in ms since the crash, and NaN until the
// detection.
type crash struct {
	crashedAt   float64
	suspectedMs float64 // first suspicion by any viewer
	deadMs      float64 // first declaration of death by any viewer
	detectedMs  float64 // detection by all viewers
}

// pendingReturn is the return of a gateway from a pause or starvation while some belief by it or about it is still
// wrong.
type pendingReturn struct {
	gateway int
	since   float64
}

const (
	// excusePeriodMs is how long after its start, its return or a healed cut a member may still be declared dead, since
	// messages that were sent before are still in transit.
	excusePeriodMs = 1000.0
	// suspicionAfterReturnMs is how long after its return a member's suspicions of others count as suspicions after a
	// return.
	suspicionAfterReturnMs = 5000.0
	// beforeAnyRun is a time, in ms, before the start of any run.
	beforeAnyRun = -1e9
	// noAnswerReason is the prefix of the reason of a suspicion that is based on a gateway's own probe.
	noAnswerReason = "no answer here"
)

// NewOracle returns an Oracle for a number of gateways, which are all down.
func NewOracle(gateways int, network *Network) *Oracle {
	o := &Oracle{
		network:           network,
		flaps:             map[belief]int{},
		givenUp:           map[belief]bool{},
		undetectedCrashes: map[int]*crash{},
		statuses:          map[membership.Status]map[int]bool{},
		partialViews:      map[int]bool{},
	}
	o.addGatewaysUpTo(gateways)
	return o
}

// addGatewaysUpTo adds gateways until there are count of them.
func (o *Oracle) addGatewaysUpTo(count int) {
	added := count - len(o.gateways)
	for viewer := range o.beliefs {
		o.beliefs[viewer] = append(o.beliefs[viewer], make([]membership.State, added)...)
	}
	for range added {
		o.beliefs = append(o.beliefs, make([]membership.State, count))
		o.gateways = append(o.gateways, observedGateway{excusedUntil: beforeAnyRun, returnedAt: beforeAnyRun})
	}
}

// isObservable reports whether the beliefs by a gateway and about it must match the facts.
func (g *observedGateway) isObservable() bool { return !g.paused && !g.starved }

// Apply records that a step is carried out.
func (o *Oracle) Apply(step *Step, now float64) {
	o.lastStepAt = max(0, now) // the starts before second 0 are not faults
	index := step.Target
	if index >= len(o.gateways) && step.Operation == Start {
		o.addGatewaysUpTo(index + 1)
	}
	switch step.Operation {
	case Start:
		o.recordStart(index, now)
	case Kill, Terminate:
		o.recordEnd(index, now, step.Operation == Kill)
	case Pause:
		o.changeFacts(index, now, func(gateway *observedGateway) { gateway.paused = true })
	case Resume:
		o.changeFacts(index, now, func(gateway *observedGateway) { gateway.paused = false })
		o.recordReturn(index, now)
		if !o.gateways[index].starved {
			o.pendingReturns = append(o.pendingReturns, pendingReturn{index, now})
		}
	case Starve:
		o.changeFacts(index, now, func(gateway *observedGateway) { gateway.starved = !step.Undo })
		if step.Undo {
			o.recordReturn(index, now)
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
	for member := range o.undetectedCrashes {
		o.recordRecoveries(member, now)
	}
	o.recordRecoveries(index, now)
}

// recordStart records the start of a gateway's process. The process has no beliefs yet.
func (o *Oracle) recordStart(index int, now float64) {
	o.changeFacts(index, now, func(gateway *observedGateway) {
		gateway.up = true
		o.upCount++
		clear(o.beliefs[index])
	})
	delete(o.undetectedCrashes, index)
	o.gateways[index].excusedUntil = now + excusePeriodMs
}

// recordEnd records the end of a gateway's process. A process that is terminated announces that it leaves. A crash must be
// detected by the other gateways.
func (o *Oracle) recordEnd(index int, now float64, crashed bool) {
	o.upCount--
	o.changeFacts(index, now, func(gateway *observedGateway) {
		gateway.up, gateway.paused, gateway.starved = false, false, false
	})
	if crashed {
		undetected := &crash{crashedAt: now, suspectedMs: math.NaN(), deadMs: math.NaN(), detectedMs: math.NaN()}
		o.crashes = append(o.crashes, undetected)
		o.undetectedCrashes[index] = undetected
	}
}

// recordReturn records the end of a gateway's pause or starvation, and excuses the gateway for excusePeriodMs.
func (o *Oracle) recordReturn(index int, now float64) {
	o.gateways[index].returnedAt = now
	o.gateways[index].excusedUntil = now + excusePeriodMs
}

// excuseCutOff excuses a gateway for excusePeriodMs after a cut was undone, if it is still cut off.
func (o *Oracle) excuseCutOff(index int, now float64) {
	if o.isCutOff(index) {
		o.gateways[index].excusedUntil = now + excusePeriodMs
	}
}

// isCutOff reports whether a gateway can't receive from, or can't send to, at least half of the others.
func (o *Oracle) isCutOff(index int) bool {
	if len(o.network.cuts) == 0 {
		return false
	}
	others := o.upCount - 1
	unreachable := max(o.network.unreachableIn[index], o.network.unreachableOut[index])
	return others > 0 && 2*unreachable >= others
}

// ObserveBelief records that a gateway reports a changed belief about another, with a reason.
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

// isExcused reports whether a fault excuses that a viewer suspects a member or declares it dead.
func (o *Oracle) isExcused(viewer, member int, now float64) bool {
	gateway := &o.gateways[member]
	return !gateway.up ||
		!gateway.isObservable() ||
		now < gateway.excusedUntil ||
		now < o.gateways[viewer].excusedUntil ||
		o.isCutOff(member) ||
		o.isCutOff(viewer)
}

// isSuspicionAfterReturn reports whether a viewer that was paused suspects a running member because the viewer itself
// missed the member's answers during its pause.
func (o *Oracle) isSuspicionAfterReturn(viewer, member int, reason string, now float64) bool {
	suspect, suspecting := &o.gateways[member], &o.gateways[viewer]
	return suspect.up && !suspect.paused && !o.isCutOff(member) &&
		strings.HasPrefix(reason, noAnswerReason) &&
		(now-suspecting.returnedAt < suspicionAfterReturnMs || suspecting.paused)
}

// countFlap counts that a viewer gives up a member, unless it has given it up already.
func (o *Oracle) countFlap(changed belief) {
	if !o.givenUp[changed] {
		o.givenUp[changed] = true
		o.flaps[changed]++
	}
}

// recordDetection records the first suspicion and the first declaration of death of a crashed member.
func (o *Oracle) recordDetection(viewer, member int, state membership.State, now float64) {
	undetected := o.undetectedCrashes[member]
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

// recordRecoveries records, after a change that concerns one gateway, whether its crash has been detected by all and which
// returns are complete.
func (o *Oracle) recordRecoveries(index int, now float64) {
	if undetected := o.undetectedCrashes[index]; undetected != nil && o.gateways[index].wrongBeliefsOf == 0 {
		undetected.detectedMs = now - undetected.crashedAt
		delete(o.undetectedCrashes, index)
	}
	pending := o.pendingReturns[:0]
	for _, returned := range o.pendingReturns {
		gateway := &o.gateways[returned.gateway]
		switch {
		case !gateway.up || !gateway.isObservable():
			// Another fault has affected the gateway: the return is not measured.
		case gateway.wrongBeliefsOf == 0 && gateway.wrongBeliefsBy == 0:
			o.RecoveryTimes = append(o.RecoveryTimes, now-returned.since)
		default:
			pending = append(pending, returned)
		}
	}
	o.pendingReturns = pending
}

// ObserveStatus records that a gateway reports a status about itself.
func (o *Oracle) ObserveStatus(index int, status membership.Status) {
	if o.statuses[status] == nil {
		o.statuses[status] = map[int]bool{}
	}
	o.statuses[status][index] = true
}

// ObservePartialView records that a gateway reports a partial view.
func (o *Oracle) ObservePartialView(index int) { o.partialViews[index] = true }

// Finish ends the run. Returns and crashes that are still pending get an infinite time.
func (o *Oracle) Finish(now float64) {
	o.recordWrong(now)
	for range o.pendingReturns {
		o.RecoveryTimes = append(o.RecoveryTimes, math.Inf(1))
	}
	for _, undetected := range o.undetectedCrashes {
		undetected.detectedMs = math.Inf(1)
	}
}
