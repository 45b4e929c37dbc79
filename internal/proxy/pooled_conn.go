package proxy

import (
	"slices"

	"go.uber.org/zap"

	"merlinjunction/internal/eventloop"
	"merlinjunction/routing"
)

// pooledConn is an upstream connection of a host's pool. It is the UpstreamHandler of its UpstreamConn.
type pooledConn struct {
	host         *host
	address      string // address that was dialed; the address of the host may have changed since
	upstream     UpstreamConn
	established  bool
	closed       bool
	attempt      *hostAttempt     // attempt whose command the connection carries; nil while it is dialed or idle
	connectTimer *eventloop.Timer // closes the connection at the connect timeout
	idleSinceMs  float64
	settledAtMs  float64 // end of the settle period; the connection gets no command before
}

// sendIfAllowed sends an attempt on a connection that was taken from the pool. The attempt may have waited for the
// connection since the router started it, so sendIfAllowed checks again whether it may be sent: the request must not be
// finished, its client must not have left, the host must still be in its group, the drain grace period of the host and the send time of the attempt must not be over, and enough time must be
// left for the answer. Otherwise the connection is returned to the pool and the attempt ends with OutcomeNotSent.
func (p *pooledConn) sendIfAllowed(attempt *hostAttempt) {
	core := p.host.core
	timeLeftMs := healthCheckTimeoutMs
	command := core.healthCheckCommand
	finished, moved := false, false
	if req := attempt.request; req != nil {
		timeLeftMs = req.deadlineMs - core.Now()
		command, finished = req.Command, req.finished || req.clientIsGone()
		moved = req.Group != p.host.Group
	}
	tooLate := attempt.sendBeforeMs > 0 && core.Now() >= attempt.sendBeforeMs
	if finished || moved || p.host.drainGraceOver() || tooLate || timeLeftMs < minSendTimeLeftMs {
		p.release(0)
		core.finishAttempt(attempt, routing.OutcomeNotSent, Response{})
		return
	}
	p.attempt, attempt.conn = attempt, p
	p.upstream.Send(command, timeLeftMs)
}

// release returns the connection to the pool. If attempts wait, serveWaiting runs after the settle period and serves them
// in order, on any idle connections whose settle period is over by then. A connection to an earlier address of its host
// is closed instead, and so is a connection to a host that is gone if no attempt waits.
func (p *pooledConn) release(settleMs float64) {
	h := p.host
	p.attempt = nil
	if p.address != h.Address {
		p.close()
		h.dialIfNeeded()
		return
	}
	if h.State == routing.StateGone && len(h.waiting) == 0 {
		p.close()
		return
	}
	p.idleSinceMs = h.core.Now()
	p.settledAtMs = p.idleSinceMs + settleMs
	h.idle = append(h.idle, p)
	if len(h.waiting) > 0 {
		h.core.timers.At(p.settledAtMs, h.serveWaiting)
	}
}

// close closes the connection and removes it from its pool.
func (p *pooledConn) close() {
	if p.closed {
		return
	}
	p.closed = true
	p.connectTimer.Stop()
	p.upstream.Close()
	p.host.core.openConns--
	p.host.openConns--
	p.host.idle = withoutConn(p.host.idle, p)
	p.host.dialing = withoutConn(p.host.dialing, p)
}

// withoutConn removes a connection from a list, in place.
func withoutConn(list []*pooledConn, conn *pooledConn) []*pooledConn {
	return slices.DeleteFunc(list, func(other *pooledConn) bool { return other == conn })
}

// idleLongerThan reports whether the connection became idle before another one, or at the same time with a lower host ID.
func (p *pooledConn) idleLongerThan(other *pooledConn) bool {
	if p.idleSinceMs != other.idleSinceMs {
		return p.idleSinceMs < other.idleSinceMs
	}
	return p.host.ID < other.host.ID
}

// Established makes the connection available to attempts. It calls serveWaiting so that waiting attempts are sent at
// once, as release only sets a timer for that.
func (p *pooledConn) Established() {
	h := p.host
	p.established, h.connectFailed = true, false
	p.connectTimer.Stop()
	h.dialing = withoutConn(h.dialing, p)
	p.release(0)
	h.serveWaiting()
}

// RequestWritten marks the attempt as written: its command may run from now on.
func (p *pooledConn) RequestWritten() {
	attempt := p.attempt
	if attempt == nil {
		return
	}
	attempt.written = true
	if attempt.request != nil {
		p.host.core.writtenAttempts++
	}
}

// ResponseReceived ends the attempt with the host's response and releases the connection. It ignores a response that
// arrives after the connection was closed.
func (p *pooledConn) ResponseReceived(response Response) {
	attempt := p.attempt
	if attempt == nil || p.closed {
		return
	}
	p.host.core.finishAttempt(attempt, response.Outcome, response)
	if response.ConnectionEnds {
		p.close()
		p.host.dialIfNeeded()
		return
	}
	p.release(settlePeriodMs)
}

// ConnectionClosed ends the attempt on the connection. The outcome is OutcomeConnectionLost if the command was completely
// written and so may have run, otherwise OutcomeNoConnection.
func (p *pooledConn) ConnectionClosed(err error) {
	attempt := p.attempt
	p.close()
	core := p.host.core
	switch {
	case !p.established:
		core.log.Debug("connection to host failed", zap.String("host", p.host.ID), zap.Error(err))
		p.host.connectionFailed()
	case attempt == nil:
		p.host.dialIfNeeded()
	case attempt.written:
		core.finishAttempt(attempt, routing.OutcomeConnectionLost, Response{})
		p.host.dialIfNeeded()
	default:
		core.finishAttempt(attempt, routing.OutcomeNoConnection, Response{})
		p.host.dialIfNeeded()
	}
}
