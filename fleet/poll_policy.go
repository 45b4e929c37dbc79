package fleet

import "math"

// PollPolicy decides when a gateway polls discovery. A gateway without an endpoint list polls for the list. A gateway
// that has one sends a watch, which is a poll that waits for an update. The policy protects discovery from simultaneous
// polls by a whole fleet, and from additional polls while discovery fails. The caller polls when the policy allows it,
// reports how each poll ended and supplies random draws from 0 to 1.
//
// The drain grace period starts when an update counts as notified, which may be before the gateway receives the update.
// The policy therefore tracks since when updates may have been missed.
type PollPolicy struct {
	SlotSchedule
	// DrainGraceMs is the drain grace period: how long a draining host may still be used once its drain is notified.
	DrainGraceMs float64
	// Pushed says that an agent on the gateway's own machine holds the endpoint list. The agent answers at once, polling
	// it puts no load on other machines, and the updates that it holds count as notified. If Pushed is false, the gateway
	// polls a discovery that the whole fleet shares.
	Pushed bool

	answered     bool    // a poll of the current discovery address has been answered
	failures     int     // consecutive failed polls
	lastTimedOut bool    // the last poll timed out
	slowAnswers  int     // doublings of responseTimeoutMs, because answers come late
	lastWait     float64 // waiting time of the last poll
	missedSince  float64 // time since which updates may count as notified without having been received; 0: none
}

// HasAnswer reports whether a poll of the current discovery address has been answered.
func (p *PollPolicy) HasAnswer() bool { return p.answered }

// Started records when the gateway started. With pushed lists, the updates that the agent holds at that time count as
// notified.
func (p *PollPolicy) Started(now float64) {
	if p.Pushed {
		p.recordMissedSince(now)
	}
}

// AddressChanged resets the policy for a new discovery address, which has not answered yet.
func (p *PollPolicy) AddressChanged(now float64) {
	p.answered, p.failures, p.lastTimedOut, p.slowAnswers = false, 0, false, 0
	p.Started(now)
}

const (
	spreadPerGatewayMs  = 60.0 // time per gateway over which a fleet spreads polls that one event triggers on all gateways
	maxSpreadGraceShare = 0.6  // upper bound of that spread, as a share of the drain grace period
	// maxAddressChangeDelayMs bounds the delay before the first poll of a new address: the old address may close its
	// connections 1.5 s after the change.
	maxAddressChangeDelayMs = 1000.0
)

// FirstDelay returns how long a gateway waits before its first poll. hasList says that the gateway already has an
// endpoint list; a gateway without one polls at once. The delay is bounded by the drain grace period: a host that was
// drained while this gateway was down gets no request once the grace period has passed since the gateway's start. With
// pushed lists there is no delay: it would reduce no load on a shared discovery, and the updates that the agent holds
// already count as notified.
func (p *PollPolicy) FirstDelay(hasList bool, draw float64) float64 {
	if !hasList || p.Pushed {
		return 0
	}
	return p.fleetSpreadMs() * draw
}

// AddressChangeDelay returns how long a gateway waits before it polls a new discovery address. All gateways are notified
// of the new address at the same time.
func (p *PollPolicy) AddressChangeDelay(draw float64) float64 {
	if p.Pushed {
		return 0
	}
	return min(maxAddressChangeDelayMs, p.fleetSpreadMs()) * draw
}

// fleetSpreadMs returns the time over which the fleet spreads polls that one event triggers on all gateways.
func (p *PollPolicy) fleetSpreadMs() float64 {
	return min(maxSpreadGraceShare*p.DrainGraceMs, spreadPerGatewayMs*float64(p.GatewayCount))
}

const (
	watchWaitMs           = 2000.0   // time that a watch may wait for an update; longer in a large fleet
	watchWaitPerGatewayMs = 20.0     // waiting time per gateway in a large fleet, if this gateway knows its slot
	maxWatchWaitMs        = 20_000.0 // upper bound of the waiting time in a large fleet
	// shortWatchWaitMs is the waiting time of a watch before the first answer, because the program waits for that answer,
	// and of a watch after a timeout.
	shortWatchWaitMs  = 100.0
	responseTimeoutMs = 1000.0 // time for the response, in addition to the time that the poll may wait for an update
	// firstResponseTimeoutMs replaces responseTimeoutMs for the first poll: the polls of a whole fleet queue in
	// discovery, and a repeated poll goes to the end of that queue. It also bounds the time for slow answers.
	firstResponseTimeoutMs = 4000.0
)

// NextPoll returns how long the next poll may wait for an update, and after how long without an answer it times out.
// watch says that the poll asks for updates after a known revision; other polls don't wait.
//
// A watch that follows a timeout waits only shortWatchWaitMs. Updates that the unanswered poll missed count as notified
// unansweredPollNotifiedMs after that poll was made, and a second long wait would end later than that.
//
// Each timeout of a shared discovery doubles the time for the next response, so that a discovery that answers late is
// heard in the end. An agent answers at once or is silent.
func (p *PollPolicy) NextPoll(watch bool) (wait, timeout float64) {
	wait = p.watchWait(watch)
	p.lastWait = wait
	if p.answered || p.lastTimedOut || p.Pushed {
		return wait, wait + min(firstResponseTimeoutMs, math.Ldexp(responseTimeoutMs, p.slowAnswers))
	}
	return wait, wait + firstResponseTimeoutMs
}

// watchWait returns how long the next poll may wait for an update.
func (p *PollPolicy) watchWait(watch bool) float64 {
	switch {
	case !watch:
		return 0
	case !p.answered || p.lastTimedOut:
		return shortWatchWaitMs
	case p.Slot >= 0:
		return max(watchWaitMs, min(maxWatchWaitMs, watchWaitPerGatewayMs*float64(p.GatewayCount)))
	}
	return watchWaitMs
}

const (
	// minPollIntervalMs is the minimum time between a poll that was answered without an update and the next poll.
	minPollIntervalMs = 100.0
	// promptAnswerShare is the share of responseTimeoutMs within which an answer shows that discovery isn't slow.
	promptAnswerShare = 0.5
)

// IdleDelay returns how long to wait after an answer before the next poll. updated says that the answer contained an
// update, and polledAt is when the poll was made. The delay prevents a busy loop on both sides if discovery answers
// watches at once. Updates that discovery gets during the delay count as notified. A prompt answer makes the time for the
// next response short again.
func (p *PollPolicy) IdleDelay(updated bool, polledAt, now float64) float64 {
	late := now - polledAt - p.lastWait
	if !updated && late < promptAnswerShare*responseTimeoutMs {
		p.slowAnswers = 0
	}
	if updated || now >= polledAt+minPollIntervalMs {
		return 0
	}
	p.recordMissedSince(now)
	return polledAt + minPollIntervalMs - now
}

// Answered records that a poll was answered. It returns whether this was the first answer, and the time from which the
// content of the answer counts as notified. That is now, or the time since which updates may have been missed if that is
// earlier. A gateway that counted the drain grace period from the receipt of an update would use draining hosts for too
// long.
func (p *PollPolicy) Answered(now float64) (first bool, notifiedAt float64) {
	first, notifiedAt = !p.answered, now
	if p.missedSince > 0 {
		notifiedAt = min(notifiedAt, p.missedSince)
	}
	p.answered, p.failures, p.lastTimedOut, p.missedSince = true, 0, false, 0
	return first, notifiedAt
}

const (
	initialBackoffMs = 100.0    // backoff after the first failure; it doubles with each consecutive failure
	maxBackoffMs     = 12_000.0 // before jitter
	// maxInitialBackoffMs bounds the backoff after the first failure if that backoff grows with the fleet's size.
	maxInitialBackoffMs   = 3000.0
	promptRetryGraceShare = 0.25 // delay of a prompt retry as a share of the drain grace period, before jitter
	minPromptRetryMs      = 20.0 // minimum delay of a prompt retry; it also holds without a drain grace period
	// unansweredPollNotifiedMs is given by the protocol: updates that an unanswered poll missed count as notified this
	// long after the poll was made.
	unansweredPollNotifiedMs = 6000.0
)

// Failed records that a poll was answered with an error and returns how long to wait before the next poll. After one
// failure of a watch the backoff is short. After consecutive failures, or before the first answer, the backoff grows
// with the fleet's size. With pushed lists the backoff stays within the drain grace period, because polling an agent puts
// no load on other machines.
func (p *PollPolicy) Failed(now, draw float64) float64 {
	p.lastTimedOut = false
	if p.Pushed {
		p.recordMissedSince(now)
		promptRetry := p.promptRetryMs()
		return p.nextBackoff(min(initialBackoffMs, promptRetry), promptRetry, draw)
	}
	initial := initialBackoffMs
	if p.failures > 0 || !p.answered {
		initial = max(initial, min(maxInitialBackoffMs, spreadPerGatewayMs*float64(p.GatewayCount)/2))
	}
	return p.nextBackoff(initial, maxBackoffMs, draw)
}

// nextBackoff counts a failure and returns an exponential backoff with a jitter of plus or minus up to half its length.
func (p *PollPolicy) nextBackoff(initialMs, maxMs, draw float64) float64 {
	backoff := min(maxMs, math.Ldexp(initialMs, p.failures)) * jitterFactor(draw)
	p.failures++
	return backoff
}

// jitterFactor converts a random draw from 0 to 1 into a factor from 0.5 to 1.5.
func jitterFactor(draw float64) float64 { return 0.5 + draw }

// TimedOut records that a poll timed out and returns how long to wait before the next poll. polledAt is when the poll was
// made. After any number of timeouts, a gateway polls again well within the drain grace period. A discovery that doesn't
// answer is down rather than overloaded, and it answers a pending poll as soon as it is up again. Without a pending poll,
// the updates that it has count as notified although the gateway hasn't received them.
func (p *PollPolicy) TimedOut(polledAt, now, draw float64) float64 {
	p.recordUnansweredPoll(polledAt)
	isFirstPoll := !p.answered && !p.lastTimedOut
	if !p.Pushed && !isFirstPoll { // the first poll had more time
		p.slowAnswers++
	}
	backoff := min(p.Failed(now, draw), p.promptRetryMs()*jitterFactor(draw))
	p.lastTimedOut = true
	return backoff
}

// ConnectionLost records that the connection broke while a poll was pending and returns how long to wait before the next
// poll. The peer may have stopped long before the connection broke, so updates count as missed in the same way as after a
// timeout. The next poll also comes as soon as after a timeout, unless the connection broke within promptRetryMs of the
// poll.
func (p *PollPolicy) ConnectionLost(polledAt, now, draw float64) float64 {
	p.recordUnansweredPoll(polledAt)
	backoff := p.Failed(now, draw)
	if now >= polledAt+p.promptRetryMs() {
		backoff = min(backoff, p.promptRetryMs()*jitterFactor(draw))
	}
	return backoff
}

// recordUnansweredPoll records that a poll that was made at polledAt ended without an answer. With pushed lists,
// updates that the poll missed may count as notified from polledAt on. With a shared discovery, they count as notified
// unansweredPollNotifiedMs after polledAt.
func (p *PollPolicy) recordUnansweredPoll(polledAt float64) {
	if p.Pushed {
		p.recordMissedSince(polledAt)
	} else {
		p.recordMissedSince(polledAt + unansweredPollNotifiedMs)
	}
}

// recordMissedSince records that, from the given time on, updates may count as notified without having been received. Of
// several such times it keeps the earliest.
func (p *PollPolicy) recordMissedSince(at float64) {
	if p.missedSince == 0 || at < p.missedSince {
		p.missedSince = at
	}
}

// promptRetryMs returns the delay of a prompt retry, which is well within the drain grace period, before jitter.
func (p *PollPolicy) promptRetryMs() float64 {
	return max(minPromptRetryMs, promptRetryGraceShare*p.DrainGraceMs)
}
