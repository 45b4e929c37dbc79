package fleet

import "math"

// Calls decides when a gateway calls discovery: once for the list, then one watch after another, and after a failure
// anew. Guards discovery against a fleet that asks all at once, and against being asked the more the less it can answer.
// A driver calls as it says, tells it how the call ended, and gives it the random draws (0 to 1).
type Calls struct {
	Turns
	GraceMs float64 // of a host's drain: what a call at the start would have told counts as told then
	heard   bool    // an answer has come
	fails   int     // in a row
}

const (
	watchMs    = 2000.0 // that a watch waits for news
	watchGap   = 20.0   // or, where gateways know their seats, between two watches of the whole fleet: they need not be many
	watchMost  = 20_000.0
	firstMs    = 100.0    // and the first one, from a version that was known at the start: the program waits for it
	patienceMs = 1000.0   // for an answer, beyond what the call may wait
	queueMs    = 4000.0   // and for the first one: calls of a whole fleet wait in line there, and one made anew stands behind
	retryMs    = 100.0    // after a failure, give or take half; most are within the 200 ms in which a watch goes on
	retryMost  = 12_000.0 // it doubles with each failure in a row, up to this
	turnMost   = 3000.0   // and starts from half of the fleet's turns, or this, where nothing has been heard yet
	spreadMs   = 60.0     // for each gateway there is: over so long a fleet spreads calls that all make at a time
	spreadMost = 0.6      // of the grace of a drain
	silentMost = 0.25     // of the grace of a drain: a watch that stays unanswered is made anew within that, half more or less
	moveMost   = 1000.0   // the address that is left may close its connections 1.5 s later
)

// First is how long a gateway that knows a list waits before its first call; one that knows none calls at once. Guards
// the rule on drains as well: a host that drained while this gateway was down gets no request after the grace, counted
// from its start.
func (c *Calls) First(known bool, draw float64) float64 {
	if !known {
		return 0
	}
	return c.spread() * draw
}

// Move is how long it waits before it calls another address that all are told of at one moment.
func (c *Calls) Move(draw float64) float64 { return min(moveMost, c.spread()) * draw }

// Moved begins anew: the address has told nothing yet.
func (c *Calls) Moved() { c.heard, c.fails = false, 0 }

// Heard tells whether an answer has come.
func (c *Calls) Heard() bool { return c.heard }

func (c *Calls) spread() float64 { return min(spreadMost*c.GraceMs, spreadMs*float64(c.Size)) }

// Call is how long the next call may wait for news, and how long its answer is waited for in all. watch says that it
// asks for what is newer than a version that is known.
func (c *Calls) Call(watch bool) (wait, patience float64) {
	switch {
	case !watch:
	case c.heard:
		wait = watchMs
		if c.Seat >= 0 {
			wait = max(watchMs, min(watchMost, watchGap*float64(c.Size)))
		}
	default:
		wait = firstMs
	}
	if c.heard {
		return wait, wait + patienceMs
	}
	return wait, wait + queueMs
}

// Answered takes in that a call was answered, and tells whether it was the first.
func (c *Calls) Answered() (first bool) {
	first = !c.heard
	c.heard, c.fails = true, 0
	return first
}

// Failed takes in that a call failed, and is how long to wait before the next one. A watch that breaks off is taken up
// again soon, once; whoever was told nothing takes another turn among its fleet.
func (c *Calls) Failed(draw float64) float64 {
	first := retryMs
	if c.fails > 0 || !c.heard {
		first = max(first, min(turnMost, spreadMs*float64(c.Size)/2))
	}
	wait := min(retryMost, math.Ldexp(first, c.fails)) * (0.5 + draw)
	c.fails++
	return wait
}

// Silent takes in that a call got no answer in its time, and is how long to wait before the next one. A gateway that
// holds a list asks again well within the grace of a drain, however often that happens: discovery is down then, not short
// of room, a call that is out when it comes back is answered at once, and what it tells while none is out counts as told.
func (c *Calls) Silent(draw float64) float64 {
	wait := c.Failed(draw)
	if c.heard {
		wait = min(wait, silentMost*c.GraceMs*(0.5+draw))
	}
	return wait
}
