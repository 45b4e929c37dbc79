package platform

import (
	"merlinjunction/internal/protocol/pg"
	"merlinjunction/internal/proxy"
)

var (
	_ proxy.Responder = (*pendingResponse)(nil)
	_ proxy.Streamer  = (*pendingResponse)(nil)
)

// pendingResponse is an entry of a session's response queue, and the responder of its request. Requests may complete in
// any order; the entry at the head of the queue is the only one whose body or stream is sent to the client.
type pendingResponse struct {
	session   *session
	statement *statement // nil when the gateway answers without a host

	request      proxy.Request
	receivedAtMs float64
	requestID    uint64 // in the core, valid once submitted
	submitted    bool

	body         []byte // nil until complete; of a streamed answer it is only what follows the streamed part
	resumeStream func() // asks the core for more of a streamed answer; nil when the answer isn't streamed
}

// blockedBy reports whether an earlier query has to be answered first, so that queries for one key take effect in the
// order of their arrival: a read sees the writes that its own connection has requested before it. A response whose body
// is nil always has a statement.
func (r *pendingResponse) blockedBy(earlier []*pendingResponse) bool {
	for _, other := range earlier {
		if other.body != nil || other.statement.key != r.statement.key {
			continue
		}
		if other.statement.write || r.statement.write {
			return true
		}
	}
	return false
}

// submit hands the request to the core. The time that it was blocked counts against its deadline.
func (r *pendingResponse) submit() {
	core := r.session.frontend.Core
	r.submitted = true
	r.request.TimeLeftMs -= core.Now() - r.receivedAtMs
	requestID, accepted := core.Submit(r.request)
	r.requestID = requestID
	if !accepted {
		r.complete(pg.RejectionResponse(0).AppendTo(nil))
	}
}

// complete sets the body and closes the request ID.
func (r *pendingResponse) complete(body []byte) {
	r.closeRequestID()
	r.body = pg.AppendReadyForQuery(body)
}

// closeRequestID makes the ID available to other requests.
func (r *pendingResponse) closeRequestID() {
	delete(r.session.frontend.openRequests, r.statement.id)
}

// clientGone cancels the request if it has no answer yet.
func (r *pendingResponse) clientGone() {
	if r.statement == nil || r.body != nil {
		return
	}
	r.closeRequestID()
	if r.submitted {
		r.session.frontend.Core.ClientGone(r.requestID)
	}
}

// BeginStream accepts every answer as a stream.
func (r *pendingResponse) BeginStream(resume func()) bool {
	r.resumeStream = resume
	return true
}

// StreamPart forwards as much as the client's window allows, once all earlier responses are sent. It returns the number
// of bytes that were forwarded.
func (r *pendingResponse) StreamPart(part []byte) int {
	s := r.session
	if len(s.responses) == 0 || s.responses[0] != r {
		return 0
	}
	return s.client.SendPart(part)
}

// AbortStream closes the connection: otherwise the client could not distinguish a truncated answer from a complete one.
func (r *pendingResponse) AbortStream() {
	r.closeRequestID()
	r.session.client.Abort()
}

// Succeed forwards the answer of a host.
func (r *pendingResponse) Succeed(body []byte) {
	r.complete(body)
	r.session.advance()
}

// Reject responds that there is no answer and that the client may retry safely (see pg.RejectionResponse).
func (r *pendingResponse) Reject(retryAfterMs float64) {
	r.Succeed(pg.RejectionResponse(retryAfterMs).AppendTo(nil))
}

// Fail forwards the error of a host; without one the outcome of the statement is unknown.
func (r *pendingResponse) Fail(hostError []byte) {
	r.Succeed(pg.FailureMessage(hostError))
}
