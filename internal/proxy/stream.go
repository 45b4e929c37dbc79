package proxy

import (
	"go.uber.org/zap"

	"merlinjunction/routing"
)

// Streamer is a Responder that can take a large answer in parts, as they arrive. Succeed with the rest of the answer,
// or AbortStream, ends a stream.
type Streamer interface {
	// BeginStream returns whether the answer is taken in parts; false: Succeed gets it complete. After StreamPart has
	// taken less than all it got, resume is to be called when more can be taken.
	BeginStream(resume func()) bool
	// StreamPart passes on a part and returns how many of its bytes were taken.
	StreamPart(part []byte) int
	// AbortStream ends an answer that stays incomplete, in a way that the client can't take for its regular end.
	AbortStream()
}

// streamStallTimeoutMs is how long a streamed answer may go without any part moving before it is aborted, whether the
// host or the client holds it up.
const streamStallTimeoutMs = 6000.0

// BeginStream starts to pass a large response to the client in parts, if the frontend can take it so.
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
	taken := attempt.request.stream.StreamPart(part)
	if taken > 0 {
		attempt.request.lastPartMs = p.host.core.Now()
	}
	return taken
}

// watchStream aborts a streamed answer that stalls. Nothing else bounds the time of an answer that has begun, so a
// host that stops midway or a client that stops reading would hold its buffers and its request for good.
func (c *Core) watchStream(attempt *hostAttempt) {
	attempt.timer = c.timers.At(attempt.request.lastPartMs+streamStallTimeoutMs, func() {
		if c.Now() >= attempt.request.lastPartMs+streamStallTimeoutMs {
			c.abortAttempt(attempt, routing.OutcomeTimeout)
			return
		}
		c.watchStream(attempt)
	})
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
