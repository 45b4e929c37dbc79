package fleet

import "math"

// PollPolicy decides when a gateway polls discovery: once for the endpoint list, then with one watch after another, and
// again after a failure. It protects discovery from polls of a whole fleet at one moment, and from more polls while it
// fails. The caller polls when the policy allows it, reports how the poll ended and supplies random draws from 0 to 1.
//
// The rule on draining hosts counts from when an update counts as notified, which may be before the gateway received
// it. The policy therefore tracks since when updates may have been missed.
type PollPolicy struct {
	SlotSchedule
	// DrainGraceMs is the drain grace period: how long a draining host may still be used once its drain is notified.
	DrainGraceMs float64
	// Pushed says that an agent on the gateway's own machine holds the endpoint list. It answers at once and costs
	// nobody anything, and what it holds counts as notified. Otherwise lists are polled from a discovery that all share.
	Pushed bool

	answered     bool    // a poll has been answered
	failures     int     // in a row
	lastTimedOut bool    // the last poll timed out
	missedSince  float64 // updates may count as notified since then although they were not received; 0: none
}

// HasAnswer reports whether a poll has been answered.
func (p *PollPolicy) HasAnswer() bool { return p.answered }

// Started records when the gateway started: what its agent holds at that time counts as notified.
func (p *PollPolicy) Started(now float64) {
	if p.Pushed {
		p.missUpdatesSince(now)
	}
}

// AddressChanged resets the policy for another address of discovery, which has not answered yet.
func (p *PollPolicy) AddressChanged(now float64) {
	p.answered, p.failures, p.lastTimedOut = false, 0, false
	p.Started(now)
}

const (
	spreadPerGatewayMs = 60.0 // time over which a fleet spreads polls that all gateways make on one occasion
	maxSpreadOfGrace   = 0.6  // at most this share of the drain grace period
	// maxAddressChangeDelayMs bounds the delay before a poll of another address: the old one may close its connections
	// 1.5 s after the change.
	maxAddressChangeDelayMs = 1000.0
)

// FirstDelay is how long a gateway waits before its first poll. hasList says that it knows an endpoint list already;
// one that knows none polls at once. The delay is bounded by the drain grace period: a host that was drained while
// this gateway was down gets no request once the grace period has passed since the gateway's start. With pushed lists
// a delay spares nobody, and what the agent holds counts already.
func (p *PollPolicy) FirstDelay(hasList bool, draw float64) float64 {
	if !hasList || p.Pushed {
		return 0
	}
	return p.fleetSpreadMs() * draw
}

// AddressChangeDelay is how long a gateway waits before it polls another address of discovery, of which all gateways
// are notified at one moment.
func (p *PollPolicy) AddressChangeDelay(draw float64) float64 {
	if p.Pushed {
		return 0
	}
	return min(maxAddressChangeDelayMs, p.fleetSpreadMs()) * draw
}

// fleetSpreadMs is the time over which the whole fleet spreads polls.
func (p *PollPolicy) fleetSpreadMs() float64 {
	return min(maxSpreadOfGrace*p.DrainGraceMs, spreadPerGatewayMs*float64(p.GatewayCount))
}

const (
	watchWaitMs           = 2000.0   // least time for which a watch waits for an update
	watchWaitPerGatewayMs = 20.0     // that time for each gateway of the fleet, if this one knows its slot
	maxWatchWaitMs        = 20_000.0 // greatest time that the size of the fleet leads to
	// shortWatchWaitMs is of a watch before any answer, for which the program waits, and of a watch after a time-out.
	shortWatchWaitMs  = 100.0
	responseTimeoutMs = 1000.0 // beyond the time for which the poll may wait
	// firstResponseTimeoutMs is for the first poll: the polls of a whole fleet queue in discovery, and a repeated poll
	// goes to the end of that queue.
	firstResponseTimeoutMs = 4000.0
)

// NextPoll is how long the next poll may wait for an update, and after which time without an answer it times out. watch
// says that the poll is for updates of a known revision.
//
// A poll that follows a time-out waits only shortWatchWaitMs. Updates that the earlier poll missed count as notified
// unansweredPollNotifiedMs after it was made, and a second long wait would end later than that.
func (p *PollPolicy) NextPoll(watch bool) (wait, timeout float64) {
	switch {
	case !watch:
	case p.answered && !p.lastTimedOut:
		wait = watchWaitMs
		if p.Slot >= 0 {
			wait = max(watchWaitMs, min(maxWatchWaitMs, watchWaitPerGatewayMs*float64(p.GatewayCount)))
		}
	default:
		wait = shortWatchWaitMs
	}
	if p.answered || p.lastTimedOut || p.Pushed {
		return wait, wait + responseTimeoutMs
	}
	return wait, wait + firstResponseTimeoutMs
}

// minPollIntervalMs is the least time between two polls of which the first was answered without an update.
const minPollIntervalMs = 100.0

// IdleDelay is how long to wait after an answer before the next poll. updated says that the answer had an update,
// polledAt is when the poll was made. It protects both sides from a busy loop if discovery answers watches at once.
// Updates of the meantime count as notified.
func (p *PollPolicy) IdleDelay(updated bool, polledAt, now float64) float64 {
	if updated || now >= polledAt+minPollIntervalMs {
		return 0
	}
	p.missUpdatesSince(now)
	return polledAt + minPollIntervalMs - now
}

// Answered records that a poll was answered. It returns whether it was the first answer, and since when its content
// counts as notified: now, or since when updates may have been missed. A gateway that counted the drain grace period
// from when it received an update would use draining hosts for too long.
func (p *PollPolicy) Answered(now float64) (first bool, notifiedAt float64) {
	first, notifiedAt = !p.answered, now
	if p.missedSince > 0 {
		notifiedAt = min(notifiedAt, p.missedSince)
	}
	p.answered, p.failures, p.lastTimedOut, p.missedSince = true, 0, false, 0
	return first, notifiedAt
}

const (
	initialBackoffMs = 100.0    // after a failure; it doubles with each further failure in a row
	maxBackoffMs     = 12_000.0 // before jitter
	// maxInitialBackoffMs bounds the first backoff where it grows with the fleet's size.
	maxInitialBackoffMs = 3000.0
	promptRetryOfGrace  = 0.25 // share of the drain grace period within which a gateway polls again, before jitter
	minPromptRetryMs    = 20.0 // without a drain grace period
	// unansweredPollNotifiedMs is how long after a poll was made what it missed counts as notified, by the protocol.
	unansweredPollNotifiedMs = 6000.0
)

// Failed records that a poll was answered with an error and returns how long to wait before the next one. A watch that
// fails is retried soon, once. After more failures, or without any answer so far, the backoff grows with the fleet's
// size. With pushed lists the backoff stays within the drain grace period: polls of an agent cost nobody anything.
func (p *PollPolicy) Failed(now, draw float64) float64 {
	p.lastTimedOut = false
	if p.Pushed {
		p.missUpdatesSince(now)
		promptRetry := p.promptRetryMs()
		return p.nextBackoff(min(initialBackoffMs, promptRetry), promptRetry, draw)
	}
	initial := initialBackoffMs
	if p.failures > 0 || !p.answered {
		initial = max(initial, min(maxInitialBackoffMs, spreadPerGatewayMs*float64(p.GatewayCount)/2))
	}
	return p.nextBackoff(initial, maxBackoffMs, draw)
}

// nextBackoff counts a failure and returns an exponential backoff with jitter of half its length either way.
func (p *PollPolicy) nextBackoff(initialMs, maxMs, draw float64) float64 {
	backoff := min(maxMs, math.Ldexp(initialMs, p.failures)) * jitter(draw)
	p.failures++
	return backoff
}

// jitter is a factor between 0.5 and 1.5.
func jitter(draw float64) float64 { return 0.5 + draw }

// TimedOut records that a poll got no answer in its time and returns how long to wait before the next one. A
// discovery that doesn't answer is down rather than overloaded, and it answers a pending poll as soon as it is back,
// while updates that it has without a pending poll count as notified. So a gateway polls again well within the drain
// grace period, after any number of time-outs. polledAt is when the poll was made.
func (p *PollPolicy) TimedOut(polledAt, now, draw float64) float64 {
	p.missUpdatesOfPoll(polledAt)
	backoff := min(p.Failed(now, draw), p.promptRetryMs()*jitter(draw))
	p.lastTimedOut = true
	return backoff
}

// ConnectionLost records that the connection broke while a poll was pending and returns how long to wait before the
// next one. The peer may have stopped long before the connection broke, so updates count as missed as with a
// time-out, and the next poll comes as soon as after a time-out unless the connection broke early.
func (p *PollPolicy) ConnectionLost(polledAt, now, draw float64) float64 {
	p.missUpdatesOfPoll(polledAt)
	backoff := p.Failed(now, draw)
	if now >= polledAt+p.promptRetryMs() {
		backoff = min(backoff, p.promptRetryMs()*jitter(draw))
	}
	return backoff
}

// missUpdatesOfPoll records that a poll that was made at polledAt ended without an answer. What an agent holds counts
// as notified all the time; what a shared discovery has, some time after the poll was made.
func (p *PollPolicy) missUpdatesOfPoll(polledAt float64) {
	if p.Pushed {
		p.missUpdatesSince(polledAt)
	} else {
		p.missUpdatesSince(polledAt + unansweredPollNotifiedMs)
	}
}

// missUpdatesSince records that updates may count as notified from a time on without having been received.
func (p *PollPolicy) missUpdatesSince(at float64) {
	if p.missedSince == 0 || at < p.missedSince {
		p.missedSince = at
	}
}

// promptRetryMs is a delay well within the drain grace period, before jitter.
func (p *PollPolicy) promptRetryMs() float64 {
	return max(minPromptRetryMs, promptRetryOfGrace*p.DrainGraceMs)
}
