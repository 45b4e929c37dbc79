package proxy

import (
	"go.uber.org/zap"

	"merlinjunction/routing"
)

// Streamer is a Responder that can forward a large answer in parts, as they arrive. A stream ends with a call of Succeed,
// which gets the rest of the answer, or of AbortStream.
type Streamer interface {
	// BeginStream returns whether the answer is to be passed in parts. If it returns false, Succeed gets the complete
	// answer. After a call of StreamPart that accepted fewer bytes than it got, the Streamer calls resume when it can
	// accept more.
	BeginStream(resume func()) bool
	// StreamPart forwards a part and returns how many of its bytes were accepted.
	StreamPart(part []byte) int
	// AwaitsTurn reports whether no part is accepted because the client must get other answers first.
	AwaitsTurn() bool
	// ReadingState returns how the client has read since the last call.
	ReadingState() ReadingState
	// AbortStream ends an incomplete answer in a way that the client can't mistake for its regular end.
	AbortStream()
}

// ReadingState tells how a client has read the output of its connection.
type ReadingState int

// The states of a client.
const (
	ReadingCaughtUp ReadingState = iota // it has received all of the output, and nothing more since the last call
	ReadingAdvanced                     // it has received more
	ReadingPaused                       // it has received nothing more, and nobody else needs what it holds
	ReadingStalled                      // it has received nothing more, and memory or connections are scarce
)

const (
	// streamStallTimeoutMs is the time after which a streamed answer is aborted if the host sends nothing or the client reads
	// nothing. The time in which the answer waits for its turn doesn't count.
	streamStallTimeoutMs = 6000.0
	// pausedClientTimeoutMs replaces it where the client has unread output and nobody else needs what it holds. A client that
	// reads slowly, but without stopping, shows that only in large steps.
	pausedClientTimeoutMs = 60_000.0
	// streamCheckIntervalMs is the interval at which a streamed answer is checked for a stall.
	streamCheckIntervalMs = 250.0
)

// BeginStream starts to pass a large response to the client in parts, if the Responder is a Streamer and accepts that.
func (p *pooledConn) BeginStream(resume func()) bool {
	attempt := p.attempt
	if attempt == nil || attempt.request == nil || attempt.request.finished {
		return false
	}
	req := attempt.request
	stream, ok := req.Responder.(Streamer)
	if !ok || !stream.BeginStream(resume) {
		return false
	}
	core := p.host.core
	req.expiryTimer.Stop()
	attempt.timer.Stop()
	req.stream, req.lastPartMs = stream, core.Now()
	core.events = append(core.events, routing.StreamStarted{Request: req.id})
	core.watchStream(attempt)
	return true
}

// StreamPart passes a part of the response to the client.
func (p *pooledConn) StreamPart(part []byte) int {
	attempt := p.attempt
	if attempt == nil || attempt.request == nil || attempt.request.stream == nil {
		return 0
	}
	accepted := attempt.request.stream.StreamPart(part)
	if accepted > 0 {
		attempt.request.lastPartMs = p.host.core.Now()
	}
	return accepted
}

// watchStream aborts a streamed answer that stalls. No other timeout applies to an answer that has begun, so without it
// a host that stops sending or a client that stops reading would hold the buffers and the request indefinitely. An answer
// that waits for its turn is no stall: the answers before it have timeouts of their own. Neither is one whose client reads,
// however slowly.
func (c *Core) watchStream(attempt *hostAttempt) {
	req := attempt.request
	reading := req.stream.ReadingState()
	if reading == ReadingAdvanced || req.stream.AwaitsTurn() {
		req.lastPartMs = c.Now()
	}
	timeoutMs := streamStallTimeoutMs
	if reading == ReadingPaused && c.openConns < c.limits.MaxConns {
		timeoutMs = pausedClientTimeoutMs
	}
	stalledAtMs := req.lastPartMs + timeoutMs
	if c.Now() >= stalledAtMs {
		c.abortAttempt(attempt, routing.OutcomeTimeout)
		return
	}
	nextCheckMs := min(stalledAtMs, c.Now()+streamCheckIntervalMs)
	attempt.timer = c.timers.At(nextCheckMs, func() { c.watchStream(attempt) })
}

// abortStream ends the streamed answer to a request whose attempt didn't complete.
func (c *Core) abortStream(attempt *hostAttempt, outcome routing.Outcome) {
	req := attempt.request
	req.finished = true
	c.replyCounts[req.Class].Error++
	c.log.Warn("streamed answer was aborted",
		zap.String("host", attempt.host.ID),
		zap.Stringer("outcome", outcome),
		zap.Float64("idle_ms", c.Now()-req.lastPartMs))
	req.stream.AbortStream()
}
