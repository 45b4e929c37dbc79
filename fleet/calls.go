package fleet

import "math"

// PollPolicy decides when a gateway calls discovery: once for the list, then one watch after another, and after a failure
// anew. Guards discovery against a fleet that asks all at once, and against being asked the more the less it can answer.
// A driver calls as it says, tells it how the call ended, and gives it the random draws (0 to 1).
type PollPolicy struct {
	SlotSchedule
	DrainGraceMs float64 // of a host's drain: what a call at the start would have told counts as told then
	// Pushed says that lists are pushed: an agent on the gateway's own machine has them, answers at once, costs nobody
	// anything, and what it has counts as told from the first moment on. Else they are asked for, of one that all share.
	Pushed bool
	heard  bool    // an answer has come
	fails  int     // in a row
	silent bool    // the last call got no answer in its time
	gapAt  float64 // what the next answer tells may count as told since then; 0: it is told as it comes
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
	toldMs     = 6000.0   // what a call that fell silent has missed counts as told so long after it fell silent
	leastMs    = 20.0     // between two calls of which the first failed
	idleMs     = 100.0    // between answers without news: half of the time in which a watch goes on
)

// FirstDelay is how long a gateway that knows a list waits before its first call; one that knows none calls at once. Guards
// the rule on drains as well: a host that drained while this gateway was down gets no request after the grace, counted
// from its start. Where lists are pushed nobody is spared by waiting, and what the agent has counts already.
func (c *PollPolicy) FirstDelay(known bool, draw float64) float64 {
	if !known || c.Pushed {
		return 0
	}
	return c.spread() * draw
}

// MoveDelay is how long it waits before it calls another address that all are told of at one moment.
func (c *PollPolicy) MoveDelay(draw float64) float64 {
	if c.Pushed {
		return 0
	}
	return min(moveMost, c.spread()) * draw
}

// Started takes down when the gateway started: what its agent has then counts as told.
func (c *PollPolicy) Started(now float64) {
	if c.Pushed {
		c.gap(now)
	}
}

// Moved begins anew: the address has told nothing yet.
func (c *PollPolicy) Moved(now float64) {
	c.heard, c.fails, c.silent = false, 0, false
	c.Started(now)
}

// gap takes down since when changes may count as told without having come.
func (c *PollPolicy) gap(at float64) {
	if c.gapAt == 0 || at < c.gapAt {
		c.gapAt = at
	}
}

// HasAnswer tells whether an answer has come.
func (c *PollPolicy) HasAnswer() bool { return c.heard }

func (c *PollPolicy) spread() float64 {
	return min(spreadMost*c.DrainGraceMs, spreadMs*float64(c.GatewayCount))
}

// NextCall is how long the next call may wait for news, and how long its answer is waited for in all. watch says that it
// asks for what is newer than a version that is known. The call after one that fell silent may not wait for long: what
// that one missed counts as told some seconds after it fell silent, and two in a row, as long as it, would take longer.
func (c *PollPolicy) NextCall(watch bool) (wait, patience float64) {
	switch {
	case !watch:
	case c.heard && !c.silent:
		wait = watchMs
		if c.Slot >= 0 {
			wait = max(watchMs, min(watchMost, watchGap*float64(c.GatewayCount)))
		}
	default:
		wait = firstMs
	}
	if c.heard || c.silent || c.Pushed {
		return wait, wait + patienceMs
	}
	return wait, wait + queueMs
}

// IdleDelay is how long to wait after an answer before the next call; news tells whether it said anything new, asked when it was
// asked for. Guards both sides against a watch that is answered at once for ever. What changes meanwhile counts as told.
func (c *PollPolicy) IdleDelay(news bool, asked, now float64) float64 {
	if news || now >= asked+idleMs {
		return 0
	}
	c.gap(now)
	return asked + idleMs - now
}

// Answered takes in that a call was answered, and tells whether it was the first, and since when what it says counts as
// told: now, where nothing has come between it and the last answer; else since what came between. Guards the rule on
// drains: whoever counts the grace from when it heard of a drain goes on for too long.
func (c *PollPolicy) Answered(now float64) (first bool, told float64) {
	first, told = !c.heard, now
	if c.gapAt > 0 {
		told = min(told, c.gapAt)
	}
	c.heard, c.fails, c.silent, c.gapAt = true, 0, false, 0
	return first, told
}

// Failed takes in that a call was told no, and is how long to wait before the next one. A watch that breaks off is taken up
// again soon, once; whoever was told nothing takes another turn among its fleet.
func (c *PollPolicy) Failed(now, draw float64) float64 {
	c.silent = false
	if c.Pushed { // whoever asks an agent of its own takes nothing from anybody
		c.gap(now)
		wait := min(c.within(), math.Ldexp(min(retryMs, c.within()), c.fails)) * (0.5 + draw)
		c.fails++
		return wait
	}
	first := retryMs
	if c.fails > 0 || !c.heard {
		first = max(first, min(turnMost, spreadMs*float64(c.GatewayCount)/2))
	}
	wait := min(retryMost, math.Ldexp(first, c.fails)) * (0.5 + draw)
	c.fails++
	return wait
}

// TimedOut takes in that a call got no answer in its time, and is how long to wait before the next one. A gateway asks again
// well within the grace of a drain, however often that happens, and whether discovery has told it the list that it holds
// or not: it is down then, not short of room, a call that is out when it comes back is answered at once, and what it tells
// while none is out counts as told. asked is when the call was made.
func (c *PollPolicy) TimedOut(asked, now, draw float64) float64 {
	c.missed(asked)
	wait := min(c.Failed(now, draw), c.within()*(0.5+draw))
	c.silent = true
	return wait
}

// ConnectionLost takes in that the connection broke while a call was out, and is how long to wait before the next one. It may have
// fallen silent long before it broke: what the call should have told counts as with one that is given up, and the next one is
// made as soon as after that, unless it broke at once.
func (c *PollPolicy) ConnectionLost(asked, now, draw float64) float64 {
	c.missed(asked)
	wait := c.Failed(now, draw)
	if now >= asked+c.within() {
		wait = min(wait, c.within()*(0.5+draw))
	}
	return wait
}

// missed takes down since when it counts as told what a call that was made at some time has not told, whether it came in the
// end or not.
func (c *PollPolicy) missed(asked float64) {
	if c.Pushed { // the agent has it all the time
		c.gap(asked)
	} else {
		c.gap(asked + toldMs)
	}
}

// within is a time well within the grace of a drain; where there is none, calls are not made without a pause for that.
func (c *PollPolicy) within() float64 { return max(leastMs, silentMost*c.DrainGraceMs) }
