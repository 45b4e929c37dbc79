package extended

import (
	"fmt"

	"merlinjunction/internal/protocol/pg"
)

// flushAboveBytes is the size of the collected output above which it is sent without a Flush or Sync. It limits the memory
// for a client that never sends Flush or Sync.
const flushAboveBytes = 8 << 10

var (
	_ pg.Session  = (*session)(nil)
	_ pg.Canceler = (*session)(nil)
	_ pg.Flusher  = (*session)(nil)
)

// session is the state of one client. It handles one message at a time, so that the messages of a pipeline take effect in
// order.
type session struct {
	frontend *Frontend
	client   *pg.Client
	id       uint64 // unique among all sessions of the frontend
	group    int    // number of the host group of the client's database
	tenant   int    // index of the client's tenant, or noTenant

	statements    map[string]*preparedStatement
	portals       map[string]*portal
	reservedBytes int // also counted in frontend.reservedBytes
	queryBytes    int // reserved in Frontend.QueryMemory for the simple query in hand

	output           []byte // messages that have not been sent to the client
	simpleQuery      bool   // the current message is a Query or FunctionCall, whose answer ends with ReadyForQuery
	inPipeline       bool   // a message of the extended query protocol was received, and no Sync since then
	discardUntilSync bool   // the current pipeline has an error; messages are discarded until Sync

	inFlight     bool // the proxy core has an unanswered request of this session
	requestID    uint64
	onSuccess    func(answer []byte)
	onFailure    func() // called in place of an error response; nil: the client gets the error
	rowLimited   bool   // the request in flight is an Execute with a row limit, so its rows are buffered in the portal
	resumeStream func() // asks the proxy core for more of a streamed answer; nil when no answer is being streamed
}

// Busy reports whether a request is in flight.
func (s *session) Busy() bool { return s.inFlight }

// Accepts reports whether the next message can be handled now.
func (s *session) Accepts(byte) bool { return !s.inFlight }

// InPipeline reports whether a pipeline has begun and its Sync has not been received.
func (s *session) InPipeline() bool { return s.inPipeline }

// ClientGone releases the session's memory and cancels its request in flight.
func (s *session) ClientGone() {
	s.release(s.reservedBytes)
	s.releaseQuery()
	if s.inFlight {
		s.inFlight = false
		s.frontend.Core.ClientGone(s.requestID)
	}
}

// HandleMessage handles one message of the client.
func (s *session) HandleMessage(messageType byte, body []byte) {
	s.simpleQuery = messageType == pg.MsgQuery
	switch {
	case pg.IsExtendedQuery(messageType):
		s.inPipeline = true
	case messageType == pg.MsgSync:
		s.inPipeline = false
	}
	if s.discardUntilSync && messageType != pg.MsgSync {
		if !isKnownMessage(messageType) {
			s.client.FatalUnknownMessage(messageType)
		}
		return
	}
	err := s.callHandler(messageType, body)
	if len(s.output) > flushAboveBytes {
		s.flush()
	}
	if err != nil {
		s.flush()
		s.client.Fatal(pg.StateProtocol, fmt.Sprintf("malformed message of type %q", messageType))
	}
}

// callHandler calls the handler for the type of a message. It returns pg.ErrMalformed for a malformed message. Errors of a
// statement are not returned but sent to the client.
func (s *session) callHandler(messageType byte, body []byte) error {
	fields := pg.NewFieldReader(body)
	switch messageType {
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
	case pg.MsgCopyData, pg.MsgCopyDone, pg.MsgCopyFail: // sent before the client has received the rejection of its COPY
	default:
		s.client.FatalUnknownMessage(messageType)
	}
	return nil
}

// isKnownMessage reports whether a client may send messages of a type. Sync and Terminate are not included.
func isKnownMessage(messageType byte) bool {
	switch messageType {
	case pg.MsgQuery, pg.MsgFunctionCall, pg.MsgCopyData, pg.MsgCopyDone, pg.MsgCopyFail:
		return true
	}
	return pg.IsExtendedQuery(messageType)
}

// handleFlush handles a Flush message, which has no fields.
func (s *session) handleFlush(fields *pg.FieldReader) error {
	if !fields.AtEnd() {
		return pg.ErrMalformed
	}
	s.flush()
	return nil
}

// handleSync handles a Sync message, which has no fields and ends a pipeline. It closes all portals and clears the error
// state of the pipeline.
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

// fail sends an error to the client. The rest of the pipeline is discarded, so that no host receives the statements after a
// failed one.
func (s *session) fail(response pg.ErrorResponse) { s.failWith(response.AppendTo(nil)) }

// failWith does the same as fail for an ErrorResponse message that is already encoded.
func (s *session) failWith(errorMessage []byte) {
	s.releaseQuery()
	s.output = append(s.output, errorMessage...)
	if s.simpleQuery {
		s.output = pg.AppendReadyForQuery(s.output)
	} else {
		s.discardUntilSync = true
	}
	s.flush()
}

// finishSimpleQuery ends the answer to a simple query with ReadyForQuery and sends it. It does nothing for an Execute, after
// which ReadyForQuery is sent only for the Sync.
func (s *session) finishSimpleQuery() {
	s.releaseQuery()
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
