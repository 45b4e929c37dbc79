package platform

import (
	"merlinjunction/internal/protocol/pg"
	"merlinjunction/internal/proxy"
)

var (
	_ proxy.Responder     = (*pendingResponse)(nil)
	_ proxy.Streamer      = (*pendingResponse)(nil)
	_ proxy.ClientWatcher = (*pendingResponse)(nil)
)

// pendingResponse is an entry of a session's response queue, and the proxy.Responder of its request. Requests may complete
// in any order, but only the entry at the head of the queue is sent to the client.
type pendingResponse struct {
	session   *session
	statement *statement // nil when the gateway itself answers the message

	request      proxy.Request
	receivedAtMs float64
	timeLeftMs   float64 // time from receivedAtMs until the client gives up
	requestID    uint64  // the ID that the core has assigned; valid once submitted is true
	submitted    bool

	reservedBytes int    // memory reserved in Frontend.Memory for the query and its answer
	body          []byte // nil until complete; for a streamed answer, only the messages after the streamed part
	resumeStream  func() // asks the core for more of a streamed answer; nil if the answer is not streamed
}

// blockedBy reports whether an earlier query must be answered before this one is submitted. This is so if both have the same
// key and at least one of them is a write. Queries for one key thus take effect in the order of their arrival, and a
// read sees the earlier writes of its own connection. A response whose body is nil always has a statement.
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

// submit submits the request to the core. The time for which the request was blocked is subtracted from its time left.
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

// ClientIsGone reports whether the client has left.
func (r *pendingResponse) ClientIsGone() bool { return r.session.client.IsGone() }

// complete sets the body, which ends with ReadyForQuery, and closes the request ID. The body replaces the query in the
// reservation.
func (r *pendingResponse) complete(body []byte) {
	r.closeRequestID()
	r.body = pg.AppendReadyForQuery(body)
	r.shrinkTo(len(r.body))
}

// closeRequestID allows other requests to use the request ID, and drops the text of the query.
func (r *pendingResponse) closeRequestID() {
	delete(r.session.frontend.openRequests, r.statement.id)
	r.statement.dropText()
}

// clientGone cancels the request if it has no answer, and releases its memory.
func (r *pendingResponse) clientGone() {
	r.shrinkTo(0)
	if r.statement == nil || r.body != nil {
		return
	}
	if r.submitted && r.session.frontend.Core.ClientGone(r.requestID) {
		r.rememberID()
	}
	r.closeRequestID()
}

// BeginStream accepts every answer as a stream. The query is not sent again after that.
func (r *pendingResponse) BeginStream(resume func()) bool {
	r.resumeStream = resume
	r.statement.dropText()
	r.shrinkTo(queryOverheadBytes)
	return true
}

// StreamPart sends as much of the part as the client's window allows, and nothing while earlier responses are pending. It
// returns the number of bytes that were sent.
func (r *pendingResponse) StreamPart(part []byte) int {
	if r.AwaitsTurn() {
		return 0
	}
	return r.session.client.SendPart(part)
}

// ReadingState returns how the client has read its output.
func (r *pendingResponse) ReadingState() proxy.ReadingState { return r.session.client.ReadingState() }

// AwaitsTurn reports whether earlier responses are pending.
func (r *pendingResponse) AwaitsTurn() bool {
	responses := r.session.responses
	return len(responses) == 0 || responses[0] != r
}

// AbortStream ends the answer with an error. If a part of a row was sent, the rest is filled before that where other
// requests of the client wait behind it. Otherwise the connection is closed, from which a client learns sooner that the
// answer is not complete.
func (r *pendingResponse) AbortStream() {
	r.rememberID()
	switch {
	case r.AwaitsTurn():
		r.respond(pg.FailureMessage(nil))
	case len(r.session.responses) > 1 || r.session.client.HasInput():
		r.resumeStream = r.fillRow
		r.fillRow()
	default:
		r.closeConnection()
	}
}

// fillRow fills the rest of the row as far as the client's window allows, and then ends the answer with an error.
func (r *pendingResponse) fillRow() {
	switch r.session.client.FillRow() {
	case pg.FillComplete:
		r.respond(pg.FailureMessage(nil))
	case pg.FillImpossible:
		r.closeConnection()
	case pg.FillIncomplete:
	}
}

// closeConnection closes the connection in the middle of the answer.
func (r *pendingResponse) closeConnection() {
	r.closeRequestID()
	r.shrinkTo(0)
	r.session.client.Abort()
}

// Succeed completes the response with the answer of a host.
func (r *pendingResponse) Succeed(body []byte) {
	r.rememberID()
	r.respond(body)
}

// respond completes the response and sends what is next in turn.
func (r *pendingResponse) respond(body []byte) {
	r.complete(body)
	r.session.advance()
}

// Reject responds that the request was not answered and that the client may retry it safely. See pg.RejectionResponse.
func (r *pendingResponse) Reject(retryAfterMs float64) {
	r.respond(pg.RejectionResponse(retryAfterMs).AppendTo(nil))
}

// Fail forwards the error of a host. Without such an error it responds that the outcome of the statement is unknown.
func (r *pendingResponse) Fail(hostError []byte) {
	r.rememberID()
	r.respond(pg.FailureMessage(hostError))
}
