package faultsim

import (
	"math"
	"strings"

	"merlinjunction/membership"
)

// Oracle holds what each gateway believes of the others against what is so. Both engines tell it of steps and of changes
// that the gateways report; it does not know how they came to them. Times are ms since second 0.
type Oracle struct {
	count        int
	network      *Network
	up           []bool
	upCount      int
	paused       []bool
	starved      []bool
	belief       [][]membership.State // by viewer
	flaps        map[[2]int]int       // turns to dead or unreachable, by viewer and member
	givenUp      map[[2]int]bool
	wrongBy      []int            // of a viewer that counts, on members that count
	wrongOf      []int            // on a member
	wrong        int              // altogether
	returns      []*pendingReturn // that wait for somebody to be seen right
	crashes      []*crash
	crashOf      map[int]*crash
	excusedUntil []float64 // until when a wrong death of a member is no false one
	lastWrongAt  float64   // the last time at which anything was wrong
	lastStepAt   float64   // the last step
	statuses     map[membership.Status]map[int]bool
	partialViews map[int]bool

	FalseDeaths   int
	FalseDoubts   int // accusations of live members that nothing had been done to
	ReturnBlames  int // accusations by members that had just been stopped
	returnedAt    []float64
	RecoveryTimes []float64 // ms from a return to views that are right
}

// crash is the end of one gateway, and how it became known.
type crash struct {
	crashedAt, suspected, dead, everyone float64 // NaN until it is so
}

// pendingReturn waits until all is right about a gateway that came back.
type pendingReturn struct {
	gateway int
	since   float64
}

// graceMs is for how long after it was held up a member may still be called dead: what was decided before is on its way.
const excuseMs = 1000.0

// NewOracle returns the truth about n gateways that are not up yet.
func NewOracle(n int, net *Network) *Oracle {
	t := &Oracle{network: net, flaps: map[[2]int]int{}, givenUp: map[[2]int]bool{}, crashOf: map[int]*crash{}, statuses: map[membership.Status]map[int]bool{}, partialViews: map[int]bool{}}
	t.grow(n)
	return t
}

func (t *Oracle) grow(n int) {
	for i := range t.belief {
		t.belief[i] = append(t.belief[i], make([]membership.State, n-t.count)...)
	}
	for range n - t.count {
		t.belief = append(t.belief, make([]membership.State, n))
		t.up, t.paused, t.starved = append(t.up, false), append(t.paused, false), append(t.starved, false)
		t.wrongBy, t.wrongOf = append(t.wrongBy, 0), append(t.wrongOf, 0)
		t.excusedUntil, t.returnedAt = append(t.excusedUntil, -1e9), append(t.returnedAt, -1e9)
	}
	t.count = n
}

// isObservable tells whether a gateway's views, and views of it, have to be right.
func (t *Oracle) isObservable(i int) bool { return !t.paused[i] && !t.starved[i] }

func (t *Oracle) isWrong(viewer, of int) bool {
	if viewer == of || !t.up[viewer] || !t.isObservable(viewer) || !t.isObservable(of) {
		return false
	}
	s := t.belief[viewer][of]
	if t.up[of] {
		return s != membership.Alive && s != membership.Suspect
	}
	return s == membership.Alive || s == membership.Suspect
}

// recount counts again all that concerns a gateway.
func (t *Oracle) recount(i int, now float64, change func()) {
	sum := func(sign int) {
		for j := range t.count {
			if t.isWrong(i, j) {
				t.wrong += sign
				t.wrongBy[i] += sign
				t.wrongOf[j] += sign
			}
			if t.isWrong(j, i) {
				t.wrong += sign
				t.wrongBy[j] += sign
				t.wrongOf[i] += sign
			}
		}
	}
	t.noteWrong(now)
	sum(-1)
	change()
	sum(1)
}

// noteWrong notes that until now something was wrong, if it was.
func (t *Oracle) noteWrong(now float64) {
	if t.wrong > 0 {
		t.lastWrongAt = max(t.lastWrongAt, now)
	}
}

// Apply takes in a step.
func (t *Oracle) Apply(s *Step, now float64) {
	t.lastStepAt = max(0, now) // the start, before second 0, is no fault
	if s.Who >= t.count && s.Do == Start {
		t.grow(s.Who + 1)
	}
	i := s.Who
	switch s.Do {
	case Start:
		t.recount(i, now, func() {
			t.up[i] = true
			t.upCount++
			clear(t.belief[i])
		})
		delete(t.crashOf, i)
		t.excusedUntil[i] = now + excuseMs
	case Kill, Term:
		t.upCount--
		t.recount(i, now, func() { t.up[i], t.paused[i], t.starved[i] = false, false, false })
		if s.Do == Kill {
			f := &crash{now, math.NaN(), math.NaN(), math.NaN()}
			t.crashes = append(t.crashes, f)
			t.crashOf[i] = f
		}
	case Pause:
		t.recount(i, now, func() { t.paused[i] = true })
	case Resume:
		t.recount(i, now, func() { t.paused[i] = false })
		t.returnedAt[i], t.excusedUntil[i] = now, now+excuseMs
		if !t.starved[i] {
			t.returns = append(t.returns, &pendingReturn{i, now})
		}
	case Starve:
		t.recount(i, now, func() { t.starved[i] = !s.Undo })
		if s.Undo {
			t.returnedAt[i], t.excusedUntil[i] = now, now+excuseMs
			t.returns = append(t.returns, &pendingReturn{i, now})
		}
	case Cut:
		if s.Undo {
			if t.isCutOff(i) {
				t.excusedUntil[i] = now + excuseMs
			}
			for _, j := range s.To {
				if t.isCutOff(j) {
					t.excusedUntil[j] = now + excuseMs
				}
			}
		}
	}
	for of := range t.crashOf {
		t.noteRecoveries(of, now)
	}
	t.noteRecoveries(i, now)
}

// isCutOff tells whether half of the fleet or more can't hear a gateway, or be heard by it.
func (t *Oracle) isCutOff(i int) bool {
	if len(t.network.cuts) == 0 {
		return false
	}
	others := t.upCount - 1
	return others > 0 && 2*max(t.network.unreachableIn[i], t.network.unreachableOut[i]) >= others
}

// ObserveBelief takes in that a gateway's belief of another changed. cause is the gateway's own word.
func (t *Oracle) ObserveBelief(viewer, of int, s membership.State, cause string, now float64) {
	if viewer == of || viewer >= t.count || of >= t.count {
		return
	}
	before := t.isWrong(viewer, of)
	t.noteWrong(now)
	old := t.belief[viewer][of]
	t.belief[viewer][of] = s
	after := t.isWrong(viewer, of)
	if before != after {
		d := 1
		if before {
			d = -1
		}
		t.wrong += d
		t.wrongBy[viewer] += d
		t.wrongOf[of] += d
	}
	t.noteWrong(now)
	held := !t.up[of] || t.paused[of] || t.starved[of] || now < t.excusedUntil[of] || t.isCutOff(of) || t.isCutOff(viewer) || now < t.excusedUntil[viewer]
	switch s {
	case membership.Alive:
		delete(t.givenUp, [2]int{viewer, of})
	case membership.Dead:
		if !held && t.up[viewer] {
			t.FalseDeaths++
		}
		t.countFlap([2]int{viewer, of})
	case membership.Unreachable:
		t.countFlap([2]int{viewer, of})
	case membership.Suspect:
		if !held {
			t.FalseDoubts++
		}
		if old == membership.Alive && t.up[of] && !t.paused[of] && !t.isCutOff(of) && strings.HasPrefix(cause, "no answer here") &&
			(now-t.returnedAt[viewer] < 5000 || t.paused[viewer]) {
			t.ReturnBlames++
		}
	}
	if f := t.crashOf[of]; f != nil && t.up[viewer] {
		if s == membership.Suspect || s == membership.Dead || s == membership.Unreachable {
			if math.IsNaN(f.suspected) {
				f.suspected = now - f.crashedAt
			}
		}
		if s == membership.Dead && math.IsNaN(f.dead) {
			f.dead = now - f.crashedAt
		}
	}
	t.noteRecoveries(of, now)
}

// countFlap counts that a viewer gives up a member that it held to be alive.
func (t *Oracle) countFlap(pair [2]int) {
	if !t.givenUp[pair] {
		t.givenUp[pair] = true
		t.flaps[pair]++
	}
}

// ObserveStatus takes in what a gateway thinks of itself.
func (t *Oracle) ObserveStatus(who int, s membership.Status) {
	if t.statuses[s] == nil {
		t.statuses[s] = map[int]bool{}
	}
	t.statuses[s][who] = true
}

// ObservePartialView takes in that a gateway knows that it sees only a part.
func (t *Oracle) ObservePartialView(who int) { t.partialViews[who] = true }

// noteRecoveries notes what has become right, after a change about one gateway.
func (t *Oracle) noteRecoveries(of int, now float64) {
	if f := t.crashOf[of]; f != nil && t.wrongOf[of] == 0 {
		f.everyone = now - f.crashedAt
		delete(t.crashOf, of)
	}
	left := t.returns[:0]
	for _, g := range t.returns {
		switch {
		case !t.up[g.gateway] || t.paused[g.gateway] || t.starved[g.gateway]:
		case t.wrongOf[g.gateway] == 0 && t.wrongBy[g.gateway] == 0:
			t.RecoveryTimes = append(t.RecoveryTimes, now-g.since)
		default:
			left = append(left, g)
		}
	}
	t.returns = left
}

// Finish ends the run: what never became right counts as right only at infinity.
func (t *Oracle) Finish(now float64) {
	t.noteWrong(now)
	for range t.returns {
		t.RecoveryTimes = append(t.RecoveryTimes, math.Inf(1))
	}
	for _, f := range t.crashOf {
		f.everyone = math.Inf(1)
	}
}

// AgreeMs is how long after the last step something was still wrong; infinite if it is at the end.
func (t *Oracle) AgreeMs() float64 {
	if t.wrong > 0 {
		return math.Inf(1)
	}
	return max(0, t.lastWrongAt-t.lastStepAt)
}

// MostFlaps is how often at the most one gateway gave up another.
func (t *Oracle) MostFlaps() int {
	most := 0
	for _, n := range t.flaps {
		most = max(most, n)
	}
	return most
}

// Alive is how many are up, and how many each of those that count believes to be on average, itself included.
func (t *Oracle) Alive() (up int, believed float64) {
	sum, viewers := 0, 0
	for i := range t.count {
		if !t.up[i] {
			continue
		}
		up++
		if !t.isObservable(i) {
			continue
		}
		viewers++
		sum++
		for j := range t.count {
			if s := t.belief[i][j]; j != i && (s == membership.Alive || s == membership.Suspect) {
				sum++
			}
		}
	}
	if viewers > 0 {
		believed = float64(sum) / float64(viewers)
	}
	return
}
