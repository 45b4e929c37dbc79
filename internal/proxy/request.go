package proxy

import (
	"go.uber.org/zap"

	"merlinjunction/internal/eventloop"
	"merlinjunction/routing"
)

// Responder receives the one final answer to a request.
type Responder interface {
	// Succeed passes on a host's answer; of a streamed one the body is the rest.
	Succeed(body []byte)
	// Reject says that the request was not answered and that repeating it is safe: it did not run, or is idempotent, or
	// every group drops repeats of its key. The client may retry after retryAfterMs; 0: no hint is given.
	Reject(retryAfterMs float64)
	// Fail promises nothing. The body is a host's own error, or nil where no host answered with one.
	Fail(body []byte)
}

// Request is a client's request as a frontend submits it.
type Request struct {
	Class, Tenant int     // indices in the settings; a tenant of -1: none
	Group         int     // the group whose hosts may serve it
	Session       string  // "" where it belongs to none
	TimeLeftMs    float64 // until the client gives up
	ClientRetry   bool    // the client has sent it before
	Command       any     // for UpstreamConn.Send
	Responder     Responder
}

// The final answer goes out a little before the client gives up, so that it arrives in time.
const (
	answerMarginMs    = 5.0 // the margin, at most
	answerMarginShare = 0.1 // the margin as a share of the request's time, where that is less
)

const (
	// lateExpiryMs is how late the expiry of a request may be handled before that is logged. It is as long as
	// answerMarginMs: where the expiry is handled later, the final answer goes out after the client has given up.
	lateExpiryMs = 5.0
	// missingAnswerDelayMs is how long after the expiry of a request a missing answer is logged. The delay leaves time for
	// the Step that follows the expiry, in which the router decides on the final answer.
	missingAnswerDelayMs = 20.0
)

// request is a request that was accepted, until it is finished and no attempt of it is open.
type request struct {
	Request
	id            uint64
	deadlineMs    float64 // the client gives up then
	answerByMs    float64 // the open attempt is aborted then, so that the final answer is out by the deadline
	expiryTimer   *eventloop.Timer
	finished      bool // it has its final answer, or its client is gone
	attemptCount  int
	openAttempt   *hostAttempt
	stream        Streamer // takes the streamed answer, which has begun; no deadline and no retry from then on
	lastPartMs    float64  // when the last part of the streamed answer moved
	lastErrorBody []byte   // of the last host that answered with an error
}

// Submit accepts a request and returns its ID. It returns false where the frontend has to reject the request: too
// many are held, or no time is left.
func (c *Core) Submit(submitted Request) (uint64, bool) {
	if c.finalDeadlineMs > 0 {
		submitted.TimeLeftMs = min(submitted.TimeLeftMs, c.finalDeadlineMs-c.Now())
	}
	if len(c.requests) >= c.limits.MaxRequests || submitted.TimeLeftMs <= 0 {
		c.replyCounts[submitted.Class].Overload++
		return 0, false
	}
	c.lastID++
	req := &request{Request: submitted, id: c.lastID, deadlineMs: c.Now() + submitted.TimeLeftMs}
	c.requests[req.id] = req
	req.answerByMs = req.deadlineMs - min(answerMarginMs, answerMarginShare*submitted.TimeLeftMs)
	req.expiryTimer = c.timers.At(req.answerByMs, func() { c.expire(req) })
	c.events = append(c.events, routing.Request{
		ID: req.id, Class: submitted.Class, Tenant: submitted.Tenant, Group: submitted.Group, Session: submitted.Session,
		TimeLeft: toDuration(submitted.TimeLeftMs), ClientRetry: submitted.ClientRetry,
	})
	return req.id, true
}

// SetFinalDeadline bounds the time of all requests that are submitted from now on: the program exits at that time,
// and a request that is unanswered then never gets an answer. During a graceful shutdown requests still arrive on
// connections that stay open because another request is in flight on them.
func (c *Core) SetFinalDeadline(atMs float64) { c.finalDeadlineMs = atMs }

// ClientGone notes that a request's client has left. An attempt that was written stays open: it may run, and its
// result is of use to the router. One that was not, because it waits for a connection or is partly written, ends as
// not sent. An attempt whose answer is being streamed ends as cancelled, as nobody takes the rest.
func (c *Core) ClientGone(id uint64) {
	req := c.requests[id]
	if req == nil || req.finished {
		return
	}
	req.finished = true
	c.events = append(c.events, routing.ClientGone{Request: id})
	if open := req.openAttempt; open != nil && (!open.written || req.stream != nil) {
		c.abortAttempt(open, routing.OutcomeCancelled)
	}
	if c.stepping { // an attempt of it may be among the actions still to come, and needs its result
		c.departed = append(c.departed, req)
		return
	}
	c.removeIfDone(req)
}

// CancelRequest ends a request at its client's wish, without a call of its Responder: the frontend answers the client
// itself. An open attempt is aborted, written or not.
func (c *Core) CancelRequest(id uint64) {
	req := c.requests[id]
	c.ClientGone(id)
	if req != nil && req.openAttempt != nil {
		c.abortAttempt(req.openAttempt, routing.OutcomeCancelled)
	}
}

// rejectRequest gives the final answer that the request was not answered and that repeating it is safe.
func (c *Core) rejectRequest(action routing.Reject) {
	req := c.finishRequest(action.Request)
	if req == nil {
		return
	}
	c.replyCounts[req.Class].Overload++
	req.Responder.Reject(toMs(action.RetryAfter))
}

// failRequest gives the final answer that promises nothing.
func (c *Core) failRequest(action routing.Fail) {
	req := c.finishRequest(action.Request)
	if req == nil {
		return
	}
	c.replyCounts[req.Class].Error++
	req.Responder.Fail(req.lastErrorBody)
}

// finishRequest marks a request as finished and returns it; nil where it was finished before. The caller passes the
// final answer to the client.
func (c *Core) finishRequest(id uint64) *request {
	req := c.requests[id]
	if req == nil || req.finished {
		return nil
	}
	req.finished = true
	c.removeIfDone(req)
	return req
}

// removeIfDone removes a request that is finished and has no open attempt.
func (c *Core) removeIfDone(req *request) {
	if req.finished && req.openAttempt == nil {
		req.expiryTimer.Stop()
		delete(c.requests, req.id)
	}
}

// removeDeparted removes the requests whose clients left during the Step.
func (c *Core) removeDeparted() {
	for _, req := range c.departed {
		c.removeIfDone(req)
	}
	c.departed = c.departed[:0]
}

// expire aborts the open attempt when the final answer is due; the router then decides on that answer.
func (c *Core) expire(req *request) {
	if req.openAttempt != nil {
		c.abortAttempt(req.openAttempt, routing.OutcomeTimeout)
	}
	if lateMs := c.Now() - req.answerByMs; lateMs > lateExpiryMs {
		c.log.Warn("request expiry was handled late", zap.Float64("late_ms", lateMs))
	}
	if !req.finished {
		c.timers.After(missingAnswerDelayMs, func() { c.logMissingAnswer(req) })
	}
}

// logMissingAnswer logs a request that expired and still has no final answer, which is a fault of this program.
func (c *Core) logMissingAnswer(req *request) {
	if req.finished {
		return
	}
	c.log.Error("request has no final answer after its expiry",
		zap.Uint64("request", req.id),
		zap.Int("class", req.Class),
		zap.Int("group", req.Group),
		zap.Int("attempts", req.attemptCount),
		zap.Bool("attempt_open", req.openAttempt != nil),
		zap.Float64("time_left_ms", req.TimeLeftMs))
}
