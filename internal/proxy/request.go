package proxy

import (
	"go.uber.org/zap"

	"merlinjunction/internal/eventloop"
	"merlinjunction/routing"
)

// Responder receives the one final answer to a request.
type Responder interface {
	// Succeed passes on a host's answer. If the answer was streamed, the body is the part that was not streamed yet.
	Succeed(body []byte)
	// Reject reports that the request was not answered and that repeating it is safe: the request did not run, or it is
	// idempotent, or every group drops repeats of its key. The client may retry after retryAfterMs; 0: no hint is given.
	Reject(retryAfterMs float64)
	// Fail reports a failure and doesn't say whether the request ran or whether repeating it is safe. The body is the
	// error that a host answered with, or nil if no host answered with an error.
	Fail(body []byte)
}

// ClientWatcher is a Responder that can tell whether its client has left before it calls Core.ClientGone.
type ClientWatcher interface {
	// ClientIsGone reports whether the client has left. It is asked right before a command is sent.
	ClientIsGone() bool
}

// Request is a client's request as a frontend submits it.
type Request struct {
	Class, Tenant int    // indices in the settings; tenant -1: no tenant
	Group         int    // group whose hosts may serve the request
	Session       string // session of the request; "" if it belongs to none
	// SessionUnidentified is set if the request belongs to a session whose name is not known. See routing.Request.
	SessionUnidentified bool
	TimeLeftMs          float64 // time until the client gives up
	ClientRetry         bool    // the client has sent the request before
	Command             any     // passed to UpstreamConn.Send
	Responder           Responder
}

// The final answer is sent a short margin before the client gives up, so that it arrives in time. The margin is the
// lesser of the two values.
const (
	answerMarginMs    = 5.0 // in milliseconds
	answerMarginShare = 0.1 // as a share of the request's TimeLeftMs
)

const (
	// lateExpiryMs is the delay in handling the expiry of a request above which the delay is logged. It is equal to
	// answerMarginMs: after a longer delay, the final answer is sent after the client has given up.
	lateExpiryMs = 5.0
	// missingAnswerDelayMs is the time from the expiry of a request until a missing answer is logged. It leaves time for
	// the Step that follows the expiry, in which the router decides on the final answer.
	missingAnswerDelayMs = 20.0
)

// request is an accepted request. It is kept until it is finished and no attempt of it is open.
type request struct {
	Request
	id            uint64
	deadlineMs    float64 // time at which the client gives up
	expiryMs      float64 // the open attempt is aborted at this time, so that the final answer is sent by the deadline
	expiryTimer   *eventloop.Timer
	finished      bool // the request has its final answer, or its client is gone
	attemptCount  int
	openAttempt   *hostAttempt
	mayHaveRun    bool     // an attempt was written and its outcome doesn't prove that nothing ran
	stream        Streamer // set once a streamed answer has begun; from then on there is no deadline and no retry
	lastPartMs    float64  // time at which the last part of the streamed answer was forwarded, or its client read more
	lastErrorBody []byte   // body of the last answer that was an error
}

// Submit accepts a request and returns its ID. It returns false if Limits.MaxRequests is reached or the request has no
// time left. The frontend must then reject the request itself.
func (c *Core) Submit(submitted Request) (uint64, bool) {
	if c.finalDeadlineMs > 0 {
		submitted.TimeLeftMs = min(submitted.TimeLeftMs, c.finalDeadlineMs-c.Now())
	}
	if len(c.requests) >= c.limits.MaxRequests || submitted.TimeLeftMs <= 0 {
		c.CountRejection(submitted.Class)
		return 0, false
	}
	c.lastID++
	req := &request{Request: submitted, id: c.lastID, deadlineMs: c.Now() + submitted.TimeLeftMs}
	c.requests[req.id] = req
	req.expiryMs = req.deadlineMs - min(answerMarginMs, answerMarginShare*submitted.TimeLeftMs)
	req.expiryTimer = c.timers.At(req.expiryMs, func() { c.expire(req) })
	c.events = append(c.events, routing.Request{
		ID: req.id, Class: submitted.Class, Tenant: submitted.Tenant, Group: submitted.Group, Session: submitted.Session,
		SessionUnidentified: submitted.SessionUnidentified,
		TimeLeft:            toDuration(submitted.TimeLeftMs), ClientRetry: submitted.ClientRetry,
	})
	return req.id, true
}

// SetFinalDeadline sets the time at which the program exits, as the latest deadline of all requests that are submitted
// from now on. A request that is unanswered at that time never gets an answer. During a graceful shutdown requests still
// arrive on connections that stay open because another request is in flight on them.
func (c *Core) SetFinalDeadline(atMs float64) { c.finalDeadlineMs = atMs }

// clientIsGone reports whether the request's client is known to have left.
func (r *request) clientIsGone() bool {
	watcher, ok := r.Responder.(ClientWatcher)
	return ok && watcher.ClientIsGone()
}

// ClientGone ends a request whose client has left, and reports whether the request may have run or may yet. An attempt that was completely written stays open: it may run, and
// the router uses its result. An attempt that waits for a connection or is partly written ends as not sent. An attempt
// whose answer is being streamed ends as cancelled, as there is no receiver for the rest.
func (c *Core) ClientGone(id uint64) (mayHaveRun bool) {
	req := c.requests[id]
	if req == nil || req.finished {
		return false
	}
	req.finished = true
	mayHaveRun = req.mayHaveRun || req.openAttempt != nil && req.openAttempt.written
	c.events = append(c.events, routing.ClientGone{Request: id})
	if open := req.openAttempt; open != nil && (!open.written || req.stream != nil) {
		c.abortAttempt(open, routing.OutcomeCancelled)
	}
	req.Command, req.Responder, req.Session = nil, nil, "" // an attempt may keep the request until its deadline
	if c.stepping {                                        // the remaining actions may start an attempt of the request, which then needs its result
		c.abandoned = append(c.abandoned, req)
		return mayHaveRun
	}
	c.removeIfDone(req)
	return mayHaveRun
}

// CancelRequest ends a request that its client cancelled, without calling its Responder: the frontend answers the client
// itself. An open attempt is aborted, written or not.
func (c *Core) CancelRequest(id uint64) {
	req := c.requests[id]
	c.ClientGone(id)
	if req != nil && req.openAttempt != nil {
		c.abortAttempt(req.openAttempt, routing.OutcomeCancelled)
	}
}

// rejectRequest calls Responder.Reject as the final answer, unless the request is finished.
func (c *Core) rejectRequest(action routing.Reject) {
	req := c.finishRequest(action.Request)
	if req == nil {
		return
	}
	c.replyCounts[req.Class].Overload++
	req.Responder.Reject(toMs(action.RetryAfter))
}

// failRequest calls Responder.Fail as the final answer, unless the request is finished.
func (c *Core) failRequest(action routing.Fail) {
	req := c.finishRequest(action.Request)
	if req == nil {
		return
	}
	c.replyCounts[req.Class].Error++
	req.Responder.Fail(req.lastErrorBody)
}

// finishRequest marks a request as finished and returns it, for the caller to give the final answer. It returns nil if
// the request is unknown or was finished before.
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

// removeAbandoned removes the requests whose clients left during the Step and that have no open attempt.
func (c *Core) removeAbandoned() {
	for _, req := range c.abandoned {
		c.removeIfDone(req)
	}
	c.abandoned = c.abandoned[:0]
}

// expire aborts the open attempt when the final answer is due; the router then decides on that answer.
func (c *Core) expire(req *request) {
	if req.openAttempt != nil {
		c.abortAttempt(req.openAttempt, routing.OutcomeTimeout)
	}
	if lateMs := c.Now() - req.expiryMs; lateMs > lateExpiryMs {
		c.log.Warn("request expiry was handled late", zap.Float64("late_ms", lateMs))
	}
	if !req.finished {
		c.timers.After(missingAnswerDelayMs, func() { c.logMissingAnswer(req) })
	}
}

// logMissingAnswer logs a request that expired and still has no final answer, which is a bug of this program.
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
