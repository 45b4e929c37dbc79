package extended

import (
	"merlinjunction/internal/protocol/pg"
	"merlinjunction/internal/proxy"
)

var (
	_ proxy.Responder     = (*session)(nil)
	_ proxy.Streamer      = (*session)(nil)
	_ proxy.ClientWatcher = (*session)(nil)
)

// ClientIsGone reports whether the client has left.
func (s *session) ClientIsGone() bool { return s.client.IsGone() }

// Succeed handles the complete answer of a host, or the part that follows the streamed part.
func (s *session) Succeed(answer []byte) {
	s.inFlight, s.resumeStream = false, nil
	s.onSuccess(answer)
	s.flush()
	s.client.Resume()
}

// Reject responds that the request was not answered and that the client may retry it safely. See pg.RejectionResponse.
func (s *session) Reject(retryAfterMs float64) {
	s.Fail(pg.RejectionResponse(retryAfterMs).AppendTo(nil))
}

// Fail forwards the error of a host. Without such an error it responds that the outcome of the statement is unknown.
func (s *session) Fail(hostError []byte) {
	s.inFlight = false
	if onFailure := s.onFailure; onFailure != nil {
		s.onFailure = nil
		onFailure()
	} else {
		s.failWith(pg.FailureMessage(hostError))
	}
	s.client.Resume()
}

// BeginStream accepts an answer as a stream, unless a row limit requires that its rows are buffered in a portal.
func (s *session) BeginStream(resume func()) bool {
	if s.rowLimited {
		return false
	}
	s.resumeStream = resume
	return true
}

// StreamPart sends the output of earlier statements, then as much of the part as the client's window allows. It returns the
// number of bytes of the part that were sent.
func (s *session) StreamPart(part []byte) int {
	if !s.inFlight {
		return 0
	}
	s.flush()
	return s.client.SendPart(part)
}

// ReadingState returns how the client has read its output.
func (s *session) ReadingState() proxy.ReadingState { return s.client.ReadingState() }

// AwaitsTurn always returns false, since a session has one request in flight at a time.
func (s *session) AwaitsTurn() bool { return false }

// Flushed resumes a streamed answer once all output has been sent to the client.
func (s *session) Flushed() {
	if s.resumeStream != nil {
		s.resumeStream()
	}
}

// AbortStream ends the answer with an error, after the rest of the row was filled, where the client has sent more pipelines.
// Otherwise it closes the connection, from which a client learns sooner that the answer is not complete.
func (s *session) AbortStream() {
	if !s.client.HasInputAfterSync() {
		s.closeConnection()
		return
	}
	s.resumeStream = s.fillRow
	s.fillRow()
}

// fillRow fills the rest of the row as far as the client's window allows, and then ends the answer with an error.
func (s *session) fillRow() {
	switch s.client.FillRow() {
	case pg.FillComplete:
		s.resumeStream = nil
		s.Fail(nil)
	case pg.FillImpossible:
		s.closeConnection()
	case pg.FillIncomplete:
	}
}

// closeConnection closes the connection in the middle of the answer.
func (s *session) closeConnection() {
	s.inFlight, s.resumeStream = false, nil
	s.client.Abort()
}

// Cancel cancels the request in flight. Its statement may have run. A streamed answer is aborted; otherwise the client gets
// an error.
func (s *session) Cancel() {
	s.frontend.Core.CancelRequest(s.requestID)
	if s.resumeStream != nil {
		s.AbortStream()
		return
	}
	s.onFailure = nil
	s.Fail(canceledByClient.AppendTo(nil))
}
