package extended

import (
	"merlinjunction/internal/protocol/pg"
	"merlinjunction/internal/proxy"
)

var (
	_ proxy.Responder = (*session)(nil)
	_ proxy.Streamer  = (*session)(nil)
)

// Succeed handles the answer of a host.
func (s *session) Succeed(answer []byte) {
	s.inFlight, s.resumeStream = false, nil
	s.onSuccess(answer)
	s.flush()
	s.client.Resume()
}

// Reject responds that there is no answer and that the client may retry safely (see pg.RejectionResponse).
func (s *session) Reject(retryAfterMs float64) {
	s.Fail(pg.RejectionResponse(retryAfterMs).AppendTo(nil))
}

// Fail forwards the error of a host; without one the outcome of the statement is unknown.
func (s *session) Fail(hostError []byte) {
	s.inFlight = false
	s.failWith(pg.FailureMessage(hostError))
	s.client.Resume()
}

// BeginStream accepts an answer as a stream unless its rows are buffered for a portal.
func (s *session) BeginStream(resume func()) bool {
	if s.rowLimited {
		return false
	}
	s.resumeStream = resume
	return true
}

// StreamPart forwards as much as the client's window allows, after the output of earlier statements. It returns the
// number of bytes that were forwarded.
func (s *session) StreamPart(part []byte) int {
	if !s.inFlight {
		return 0
	}
	s.flush()
	return s.client.SendPart(part)
}

// Flushed resumes a streamed answer once all output has been sent to the client.
func (s *session) Flushed() {
	if s.resumeStream != nil {
		s.resumeStream()
	}
}

// AbortStream closes the connection: an error in the middle of a row could not be distinguished from the row's data.
func (s *session) AbortStream() {
	s.inFlight, s.resumeStream = false, nil
	s.client.Abort()
}

// Cancel cancels the request in flight. Whether its statement has run is unknown.
func (s *session) Cancel() {
	s.frontend.Core.CancelRequest(s.requestID)
	if s.resumeStream != nil {
		s.AbortStream()
		return
	}
	s.Fail(canceledByClient.AppendTo(nil))
}
