package proxy

import (
	"merlinjunction/internal/eventloop"
	"merlinjunction/routing"
)

// minSendTimeLeftMs is the minimum time that a request must have left for its command to be sent. With less time left,
// the command would load the host for an answer that arrives after the client has given up.
const minSendTimeLeftMs = 1.0

// hostAttempt is one attempt to run a command on a host, either for a request or, if request is nil, as a health check.
type hostAttempt struct {
	request *request
	// number is the index of the attempt among the attempts of its request, from 0. routing.CancelAttempt and
	// routing.AttemptResult identify an attempt by it. The router counts the attempts itself, in the same order.
	number int
	host   *host
	// conn is nil while the attempt waits for a connection. It stays set after the attempt has ended, when the connection
	// may already carry another attempt. abortAttempt must check ended first, or it would close that connection.
	conn         *pooledConn
	sendBeforeMs float64 // the command is not sent at or after this time; 0: no such time
	// written is set when the last byte of the command was handed to the system, so that the command may run. An
	// UpstreamConn may have a similar flag for its current command (pg.hostConn does); this one belongs to the attempt.
	written bool
	ended   bool
	timer   *eventloop.Timer // aborts the attempt
	// sendTimer aborts the attempt at sendBeforeMs if it is not written. A timer that outlives its attempt would keep the
	// command in memory.
	sendTimer *eventloop.Timer
}

// startAttempt sends a request to the host that the router chose. The attempt ends as not sent if the host is unknown or
// the request is finished or has expired.
func (c *Core) startAttempt(action routing.Attempt) {
	req := c.requests[action.Request]
	if req == nil || req.openAttempt != nil {
		return
	}
	attempt := &hostAttempt{request: req, number: req.attemptCount}
	req.attemptCount++
	req.openAttempt = attempt
	h := c.hosts[action.Host]
	// The client may have left during this Step. An attempt that starts after the expiry would not be ended by the expiry
	// timer.
	if h == nil || req.finished || c.Now() >= req.expiryMs {
		c.finishAttempt(attempt, routing.OutcomeNotSent, Response{})
		return
	}
	attempt.host = h
	if action.GiveUpAt > 0 {
		attempt.timer = c.timers.At(toMs(action.GiveUpAt), func() { c.abortAttempt(attempt, routing.OutcomeTimeout) })
	}
	attempt.sendBeforeMs = toMs(action.SendBefore)
	if attempt.sendBeforeMs > 0 {
		attempt.sendTimer = c.timers.At(attempt.sendBeforeMs, func() { c.abortUnwritten(attempt) })
	}
	c.assignConn(attempt)
}

// cancelAttempt aborts an attempt that the router cancels.
func (c *Core) cancelAttempt(action routing.CancelAttempt) {
	if attempt := c.findOpenAttempt(action.Request, action.Attempt); attempt != nil {
		c.abortAttempt(attempt, routing.OutcomeCancelled)
	}
}

// withdrawAttempt ends an attempt that the router withdraws, unless its command has been written.
func (c *Core) withdrawAttempt(action routing.WithdrawAttempt) {
	if attempt := c.findOpenAttempt(action.Request, action.Attempt); attempt != nil {
		c.abortUnwritten(attempt)
	}
}

// findOpenAttempt returns the open attempt of a request if it has the given number, otherwise nil.
func (c *Core) findOpenAttempt(requestID uint64, number int) *hostAttempt {
	req := c.requests[requestID]
	if req == nil || req.openAttempt == nil || req.openAttempt.number != number {
		return nil
	}
	return req.openAttempt
}

// abortUnwritten ends an attempt that still waits for a connection, or whose command is only partly written.
func (c *Core) abortUnwritten(attempt *hostAttempt) {
	if !attempt.written {
		c.abortAttempt(attempt, routing.OutcomeNotSent)
	}
}

// abortAttempt ends an attempt before its response and closes its connection. No cancel request is sent, so a host that
// has received the command may still run it. A command whose last byte was not written can't run; the outcome of its
// attempt is OutcomeNotSent.
func (c *Core) abortAttempt(attempt *hostAttempt, outcome routing.Outcome) {
	if attempt.ended {
		return
	}
	if !attempt.written {
		outcome = routing.OutcomeNotSent
	}
	if attempt.conn != nil {
		attempt.conn.close()
	} else {
		attempt.host.removeWaiting(attempt)
	}
	c.finishAttempt(attempt, outcome, Response{})
	attempt.host.dialIfNeeded() // other attempts may have waited for the connection
}

// finishAttempt ends an attempt, answers its request if the response is final, and reports the result to the router.
func (c *Core) finishAttempt(attempt *hostAttempt, outcome routing.Outcome, response Response) {
	if attempt.ended {
		return
	}
	attempt.ended = true
	attempt.timer.Stop()
	attempt.sendTimer.Stop()
	if attempt.request == nil {
		c.finishHealthCheck(attempt, outcome, response)
		return
	}
	req := attempt.request
	req.openAttempt = nil
	req.mayHaveRun = req.mayHaveRun || attempt.written && !outcome.ProvesNotRun()
	if !req.finished && req.stream != nil && outcome != routing.OutcomeOK {
		c.abortStream(attempt, outcome)
	}
	if !req.finished && (outcome == routing.OutcomeOK || response.StatementError) {
		c.answerWithResponse(req, outcome, response)
	}
	if outcome == routing.OutcomeError {
		req.lastErrorBody = response.Body
	}
	c.events = append(c.events, c.attemptResult(attempt, outcome, response))
	c.removeIfDone(req)
}

// answerWithResponse passes a host's response to the client as the final answer.
func (c *Core) answerWithResponse(req *request, outcome routing.Outcome, response Response) {
	req.finished = true
	counts := &c.replyCounts[req.Class]
	if outcome == routing.OutcomeOK {
		counts.Success++
		req.Responder.Succeed(response.Body)
		return
	}
	counts.Error++
	req.Responder.Fail(response.Body)
}

// attemptResult returns the event that reports the end of an attempt to the router.
func (c *Core) attemptResult(attempt *hostAttempt, outcome routing.Outcome, response Response) routing.AttemptResult {
	req := attempt.request
	result := routing.AttemptResult{
		Request:     req.id,
		Attempt:     attempt.number,
		Outcome:     outcome,
		RequestDone: req.finished,
		Role:        response.Role,
		RoleAt:      toDuration(response.RoleAtMs),
		Position:    c.position(response.PositionMs),
	}
	if attempt.host != nil {
		result.Host = attempt.host.ID
	}
	isWrite := c.settings.Classes[req.Class].Consistency == routing.ConsistencyWrite
	if outcome == routing.OutcomeOK && result.Position == 0 && isWrite {
		result.Position = c.position(c.Now()) // the position of the commit is unknown, but no later than now
	}
	if response.StatementError { // the error is in the statement: the host works, and nothing was written
		result.Outcome = routing.OutcomeOK
	}
	return result
}
