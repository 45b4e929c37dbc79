package extended

import (
	"fmt"

	"merlinjunction/internal/protocol/pg"
)

// flushAboveBytes is how much output is collected before it is sent without a Flush or Sync. It bounds the memory for
// a client that never asks for its answers.
const flushAboveBytes = 8 << 10

var (
	_ pg.Session  = (*session)(nil)
	_ pg.Canceler = (*session)(nil)
	_ pg.Flusher  = (*session)(nil)
)

// session is the state of one client. It handles one message at a time, so that a pipeline stays in order.
type session struct {
	frontend *Frontend
	client   *pg.Client
	id       uint64
	group    int // of hosts, by the client's database

	statements    map[string]*preparedStatement
	portals       map[string]*portal
	reservedBytes int // counted in frontend.reservedBytes too

	output           []byte // not yet sent to the client
	simpleQuery      bool   // the current message is a simple query, or answered like one: ReadyForQuery follows
	inPipeline       bool   // a message of the extended protocol was received, and no Sync since
	discardUntilSync bool   // an error was reported in this pipeline

	inFlight     bool // a request is in the core
	requestID    uint64
	onSuccess    func(answer []byte)
	rowLimited   bool   // the rows of the request in flight are buffered for a portal that is read in parts
	resumeStream func() // asks the core for more of a streamed answer; nil when none is being streamed
}

// Busy reports whether a request is in flight.
func (s *session) Busy() bool { return s.inFlight }

// Accepts reports whether the next message can be handled now.
func (s *session) Accepts(byte) bool { return !s.inFlight }

// InPipeline reports whether a pipeline has begun whose Sync hasn't been received.
func (s *session) InPipeline() bool { return s.inPipeline }

// ClientGone releases the session's memory and cancels its request.
func (s *session) ClientGone() {
	s.release(s.reservedBytes)
	if s.inFlight {
		s.inFlight = false
		s.frontend.Core.ClientGone(s.requestID)
	}
}

// HandleMessage handles one message of the client.
func (s *session) HandleMessage(kind byte, body []byte) {
	s.simpleQuery = kind == pg.MsgQuery
	switch {
	case isExtendedQuery(kind):
		s.inPipeline = true
	case kind == pg.MsgSync:
		s.inPipeline = false
	}
	if s.discardUntilSync && kind != pg.MsgSync {
		if !isKnownMessage(kind) {
			s.client.FatalUnknownMessage(kind)
		}
		return
	}
	err := s.callHandler(kind, body)
	if len(s.output) > flushAboveBytes {
		s.flush()
	}
	if err != nil {
		s.flush()
		s.client.Fatal(pg.StateProtocol, fmt.Sprintf("malformed message of type %q", kind))
	}
}

// callHandler calls the handler for a message's type. The error is pg.ErrMalformed or nil; errors of a statement are
// responses.
func (s *session) callHandler(kind byte, body []byte) error {
	fields := pg.NewFieldReader(body)
	switch kind {
	case pg.MsgQuery:
		return s.handleQuery(fields)
	case pg.MsgParse:
		return s.handleParse(fields)
	case pg.MsgBind:
		return s.handleBind(fields, body)
	case pg.MsgDescribe:
		return s.handleDescribe(fields)
	case pg.MsgExecute:
		return s.handleExecute(fields)
	case pg.MsgClose:
		return s.handleClose(fields)
	case pg.MsgFlush:
		return s.handleFlush(fields)
	case pg.MsgSync:
		return s.handleSync(fields)
	case pg.MsgFunctionCall:
		s.simpleQuery = true
		s.fail(functionCallsNotSupported)
	case pg.MsgCopyData, pg.MsgCopyDone, pg.MsgCopyFail: // sent before the client has seen that its COPY was rejected
	default:
		s.client.FatalUnknownMessage(kind)
	}
	return nil
}

// isExtendedQuery reports whether a message type belongs to the extended query protocol, apart from Sync.
func isExtendedQuery(kind byte) bool {
	switch kind {
	case pg.MsgParse, pg.MsgBind, pg.MsgDescribe, pg.MsgExecute, pg.MsgClose, pg.MsgFlush:
		return true
	}
	return false
}

// isKnownMessage reports whether a client may send a message type, apart from Sync and Terminate.
func isKnownMessage(kind byte) bool {
	switch kind {
	case pg.MsgQuery, pg.MsgFunctionCall, pg.MsgCopyData, pg.MsgCopyDone, pg.MsgCopyFail:
		return true
	}
	return isExtendedQuery(kind)
}

// handleFlush handles Flush, which has no fields.
func (s *session) handleFlush(fields *pg.FieldReader) error {
	if !fields.AtEnd() {
		return pg.ErrMalformed
	}
	s.flush()
	return nil
}

// handleSync ends a pipeline: it closes all portals and forgets the pipeline's error.
func (s *session) handleSync(fields *pg.FieldReader) error {
	if !fields.AtEnd() {
		return pg.ErrMalformed
	}
	s.discardUntilSync = false
	for name := range s.portals {
		s.dropPortal(name)
	}
	s.output = pg.AppendReadyForQuery(s.output)
	s.flush()
	return nil
}

// fail reports an error to the client. The rest of the pipeline is discarded, so that no host sees what follows a
// failed statement.
func (s *session) fail(response pg.ErrorResponse) { s.failWith(response.AppendTo(nil)) }

// failWith is fail for an ErrorResponse message that is already encoded.
func (s *session) failWith(errorMessage []byte) {
	s.output = append(s.output, errorMessage...)
	if s.simpleQuery {
		s.output = pg.AppendReadyForQuery(s.output)
	} else {
		s.discardUntilSync = true
	}
	s.flush()
}

// finishSimpleQuery sends the answer to a simple query. The answer to an Execute waits for Flush or Sync.
func (s *session) finishSimpleQuery() {
	if s.simpleQuery {
		s.output = pg.AppendReadyForQuery(s.output)
		s.flush()
	}
}

// flush sends the collected output to the client.
func (s *session) flush() {
	s.client.Send(s.output)
	s.output = nil
}
