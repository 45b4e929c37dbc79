package faultsim

import (
	"math"
	"strings"

	"merlinjunction/membership"
)

// Oracle holds what each gateway believes of the others against what is so. Both engines tell it of steps and of changes
// that the gateways report; it does not know how they came to them. Times are ms since second 0.
type Oracle struct {
	n       int
	net     *Network
	up      []bool
	upCount int
	paused  []bool
	starved []bool
	belief  [][]membership.State // by viewer
	flaps   map[[2]int]int       // turns to dead or unreachable, by viewer and member
	gaveUp  map[[2]int]bool
	wrongBy []int   // of a viewer that counts, on members that count
	wrongOf []int   // on a member
	wrong   int     // altogether
	gates   []*gate // that wait for somebody to be seen right
	falls   []*fall
	fallOf  map[int]*fall
	excused []float64 // until when a wrong death of a member is no false one
	lastBad float64   // the last time at which anything was wrong
	lastAt  float64   // the last step
	seen    map[membership.Status]map[int]bool
	parts   map[int]bool

	FalseDeaths  int
	FalseDoubts  int // accusations of live members that nothing had been done to
	ReturnBlames int // accusations by members that had just been stopped
	returned     []float64
	Backs        []float64 // ms from a return to views that are right
}

// fall is the end of one gateway, and how it became known.
type fall struct {
	at, suspected, dead, everyone float64 // NaN until it is so
}

// gate waits until all is right about a gateway that came back.
type gate struct {
	who   int
	since float64
}

// graceMs is for how long after it was held up a member may still be called dead: what was decided before is on its way.
const graceMs = 1000.0

// NewOracle returns the truth about n gateways that are not up yet.
func NewOracle(n int, net *Network) *Oracle {
	t := &Oracle{net: net, flaps: map[[2]int]int{}, gaveUp: map[[2]int]bool{}, fallOf: map[int]*fall{}, seen: map[membership.Status]map[int]bool{}, parts: map[int]bool{}}
	t.grow(n)
	return t
}

func (t *Oracle) grow(n int) {
	for i := range t.belief {
		t.belief[i] = append(t.belief[i], make([]membership.State, n-t.n)...)
	}
	for range n - t.n {
		t.belief = append(t.belief, make([]membership.State, n))
		t.up, t.paused, t.starved = append(t.up, false), append(t.paused, false), append(t.starved, false)
		t.wrongBy, t.wrongOf = append(t.wrongBy, 0), append(t.wrongOf, 0)
		t.excused, t.returned = append(t.excused, -1e9), append(t.returned, -1e9)
	}
	t.n = n
}

// counts tells whether a gateway's views, and views of it, have to be right.
func (t *Oracle) counts(i int) bool { return !t.paused[i] && !t.starved[i] }

func (t *Oracle) isWrong(viewer, of int) bool {
	if viewer == of || !t.up[viewer] || !t.counts(viewer) || !t.counts(of) {
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
		for j := range t.n {
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
	t.settle(now)
	sum(-1)
	change()
	sum(1)
}

// settle notes that until now something was wrong, if it was.
func (t *Oracle) settle(now float64) {
	if t.wrong > 0 {
		t.lastBad = max(t.lastBad, now)
	}
}

// Apply takes in a step.
func (t *Oracle) Apply(s *Step, now float64) {
	t.lastAt = max(0, now) // the start, before second 0, is no fault
	if s.Who >= t.n && s.Do == Start {
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
		delete(t.fallOf, i)
		t.excused[i] = now + graceMs
	case Kill, Term:
		t.upCount--
		t.recount(i, now, func() { t.up[i], t.paused[i], t.starved[i] = false, false, false })
		if s.Do == Kill {
			f := &fall{now, math.NaN(), math.NaN(), math.NaN()}
			t.falls = append(t.falls, f)
			t.fallOf[i] = f
		}
	case Pause:
		t.recount(i, now, func() { t.paused[i] = true })
	case Resume:
		t.recount(i, now, func() { t.paused[i] = false })
		t.returned[i], t.excused[i] = now, now+graceMs
		if !t.starved[i] {
			t.gates = append(t.gates, &gate{i, now})
		}
	case Starve:
		t.recount(i, now, func() { t.starved[i] = !s.Undo })
		if s.Undo {
			t.returned[i], t.excused[i] = now, now+graceMs
			t.gates = append(t.gates, &gate{i, now})
		}
	case Cut:
		if s.Undo {
			if t.atFault(i) {
				t.excused[i] = now + graceMs
			}
			for _, j := range s.To {
				if t.atFault(j) {
					t.excused[j] = now + graceMs
				}
			}
		}
	}
	for of := range t.fallOf {
		t.pass(of, now)
	}
	t.pass(i, now)
}

// atFault tells whether half of the fleet or more can't hear a gateway, or be heard by it.
func (t *Oracle) atFault(i int) bool {
	if len(t.net.cuts) == 0 {
		return false
	}
	others := t.upCount - 1
	return others > 0 && 2*max(t.net.in[i], t.net.out[i]) >= others
}

// Sees takes in that a gateway's belief of another changed. cause is the gateway's own word.
func (t *Oracle) Sees(viewer, of int, s membership.State, cause string, now float64) {
	if viewer == of || viewer >= t.n || of >= t.n {
		return
	}
	before := t.isWrong(viewer, of)
	t.settle(now)
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
	t.settle(now)
	held := !t.up[of] || t.paused[of] || t.starved[of] || now < t.excused[of] || t.atFault(of) || t.atFault(viewer) || now < t.excused[viewer]
	switch s {
	case membership.Alive:
		delete(t.gaveUp, [2]int{viewer, of})
	case membership.Dead:
		if !held && t.up[viewer] {
			t.FalseDeaths++
		}
		t.givesUp([2]int{viewer, of})
	case membership.Unreachable:
		t.givesUp([2]int{viewer, of})
	case membership.Suspect:
		if !held {
			t.FalseDoubts++
		}
		if old == membership.Alive && t.up[of] && !t.paused[of] && !t.atFault(of) && strings.HasPrefix(cause, "no answer here") &&
			(now-t.returned[viewer] < 5000 || t.paused[viewer]) {
			t.ReturnBlames++
		}
	}
	if f := t.fallOf[of]; f != nil && t.up[viewer] {
		if s == membership.Suspect || s == membership.Dead || s == membership.Unreachable {
			if math.IsNaN(f.suspected) {
				f.suspected = now - f.at
			}
		}
		if s == membership.Dead && math.IsNaN(f.dead) {
			f.dead = now - f.at
		}
	}
	t.pass(of, now)
}

// givesUp counts that a viewer gives up a member that it held to be alive.
func (t *Oracle) givesUp(pair [2]int) {
	if !t.gaveUp[pair] {
		t.gaveUp[pair] = true
		t.flaps[pair]++
	}
}

// Stands takes in what a gateway thinks of itself.
func (t *Oracle) Stands(who int, s membership.Status) {
	if t.seen[s] == nil {
		t.seen[s] = map[int]bool{}
	}
	t.seen[s][who] = true
}

// SeesPart takes in that a gateway knows that it sees only a part.
func (t *Oracle) SeesPart(who int) { t.parts[who] = true }

// pass notes what has become right, after a change about one gateway.
func (t *Oracle) pass(of int, now float64) {
	if f := t.fallOf[of]; f != nil && t.wrongOf[of] == 0 {
		f.everyone = now - f.at
		delete(t.fallOf, of)
	}
	left := t.gates[:0]
	for _, g := range t.gates {
		switch {
		case !t.up[g.who] || t.paused[g.who] || t.starved[g.who]:
		case t.wrongOf[g.who] == 0 && t.wrongBy[g.who] == 0:
			t.Backs = append(t.Backs, now-g.since)
		default:
			left = append(left, g)
		}
	}
	t.gates = left
}

// Finish closes the books at the end. What never became right counts as right only at infinity.
func (t *Oracle) Finish(now float64) {
	t.settle(now)
	for range t.gates {
		t.Backs = append(t.Backs, math.Inf(1))
	}
	for _, f := range t.fallOf {
		f.everyone = math.Inf(1)
	}
}

// AgreeMs is how long after the last step something was still wrong; infinite if it is at the end.
func (t *Oracle) AgreeMs() float64 {
	if t.wrong > 0 {
		return math.Inf(1)
	}
	return max(0, t.lastBad-t.lastAt)
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
	for i := range t.n {
		if !t.up[i] {
			continue
		}
		up++
		if !t.counts(i) {
			continue
		}
		viewers++
		sum++
		for j := range t.n {
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
