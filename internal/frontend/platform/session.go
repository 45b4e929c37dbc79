package platform

import (
	"strings"

	"merlinjunction/internal/protocol/pg"
)

// maxPipelinedQueries is the number of queries of one client that can be pending at the same time.
const maxPipelinedQueries = 32

var (
	_ pg.Session = (*session)(nil)
	_ pg.Flusher = (*session)(nil)
)

// session is the state of one client. Its queries run concurrently and are answered in the order of their arrival. A query
// is delayed only while an earlier query for the same key is pending and at least one of the two is a write.
type session struct {
	frontend         *Frontend
	client           *pg.Client
	responses        []*pendingResponse // the response queue, in the order of the messages that are answered
	awaitsMemory     bool               // the session is in Frontend.awaitMemory
	discardUntilSync bool               // an extended query was rejected; its messages are discarded until Sync
}

// Busy reports whether responses are pending.
func (s *session) Busy() bool { return len(s.responses) > 0 }

// Accepts allows up to maxPipelinedQueries pending queries, and fewer while memory is scarce. Messages of other types wait
// until no response is pending.
func (s *session) Accepts(messageType byte) bool {
	return len(s.responses) == 0 || messageType == pg.MsgQuery && s.maySendAhead()
}

// InPipeline always returns false: a simple query is not part of a pipeline that a Sync ends.
func (s *session) InPipeline() bool { return false }

// ClientGone cancels the requests that have no answer.
func (s *session) ClientGone() {
	responses := s.responses
	s.responses = nil
	for _, response := range responses {
		response.clientGone()
	}
}

// Flushed resumes the answer at the head of the response queue if it is being streamed.
func (s *session) Flushed() {
	if len(s.responses) == 0 {
		return
	}
	head := s.responses[0]
	if head.resumeStream != nil && head.body == nil {
		head.resumeStream()
	}
}

// HandleMessage handles one message of the client.
func (s *session) HandleMessage(messageType byte, body []byte) {
	switch messageType {
	case pg.MsgQuery:
		s.handleQuery(body)
	case pg.MsgSync:
		s.discardUntilSync = false
		s.respond(pg.AppendReadyForQuery(nil))
	case pg.MsgParse, pg.MsgBind, pg.MsgDescribe, pg.MsgExecute, pg.MsgClose, pg.MsgFlush:
		s.rejectExtendedQuery()
	case pg.MsgCopyData, pg.MsgCopyDone, pg.MsgCopyFail: // sent before the client has received the rejection of its COPY
	default:
		s.client.FatalUnknownMessage(messageType)
	}
}

// rejectExtendedQuery answers the first message of the extended query protocol with an error. The following messages are
// discarded until Sync, which is answered with ReadyForQuery.
func (s *session) rejectExtendedQuery() {
	if s.discardUntilSync {
		return
	}
	s.discardUntilSync = true
	rejection := pg.ErrorResponse{SQLState: pg.StateNotSupported, Message: "only simple queries are taken here"}
	s.respond(rejection.AppendTo(nil))
}

// handleQuery handles a Query message. Empty queries, session commands and invalid queries are answered without a host.
// Every other query becomes a request.
func (s *session) handleQuery(body []byte) {
	fields := pg.NewFieldReader(body)
	text := fields.Text()
	if !fields.AtEnd() {
		s.client.Fatal(pg.StateProtocol, "the query is no text")
		return
	}
	if strings.Trim(text, whitespaceAndSemicolon) == "" {
		s.respondToEmptyQuery()
		return
	}
	if tag, ok := sessionCommandTag(text); ok {
		s.respond(pg.AppendReadyForQuery(pg.AppendStrings(nil, pg.MsgCommandComplete, tag)))
		return
	}
	parsed, err := parseStatement(text)
	if err != nil {
		s.respondWithError(pg.StateSyntax, err.Error())
		return
	}
	request, err := s.frontend.newRequest(parsed)
	if err != nil {
		s.respondWithError(pg.StateBadParameter, err.Error())
		return
	}
	response := &pendingResponse{
		session: s, statement: parsed, request: request,
		receivedAtMs: s.frontend.Core.Now(), timeLeftMs: parsed.timeLeftMs,
	}
	response.request.Responder = response
	if s.client.RejectsRequests() || !response.reserveQuery() {
		s.frontend.Core.CountRejection(request.Class)
		s.respond(pg.AppendReadyForQuery(pg.RejectionResponse(0).AppendTo(nil)))
		return
	}
	s.frontend.openRequests[parsed.id] = struct{}{}
	s.enqueue(response)
}

// respondToEmptyQuery answers an empty query. Clients and load balancers use empty queries as health checks of the gateway.
func (s *session) respondToEmptyQuery() {
	if !s.frontend.Ready() {
		s.respondWithError(pg.StateCannotConnectNow, "no clients are taken now")
		return
	}
	s.respond(pg.AppendReadyForQuery(pg.AppendMessage(nil, pg.MsgEmptyQueryResponse)))
}

// sessionCommandTag returns the command tag of a command that only changes the state of the PostgreSQL session. The gateway
// answers such a command itself.
func sessionCommandTag(text string) (tag string, ok bool) {
	first, _, _ := strings.Cut(strings.TrimRight(strings.TrimSpace(text), ";"), " ")
	switch tag = strings.ToUpper(first); tag {
	case "SET", "RESET", "DISCARD":
		return tag, true
	}
	return "", false
}

// respondWithError enqueues a response of ErrorResponse and ReadyForQuery.
func (s *session) respondWithError(sqlstate, text string) {
	response := pg.ErrorResponse{SQLState: sqlstate, Message: pg.TruncateText(text)}
	s.respond(pg.AppendReadyForQuery(response.AppendTo(nil)))
}

// respond enqueues a response whose body is complete.
func (s *session) respond(body []byte) {
	s.enqueue(&pendingResponse{session: s, body: body})
}

// enqueue appends a response to the queue. The response is sent when it is complete and all earlier responses are sent.
func (s *session) enqueue(response *pendingResponse) {
	s.responses = append(s.responses, response)
	s.advance()
}

// advance submits the queries that are ready, and sends the complete responses at the head of the queue. If the new head is
// a streamed answer, it is resumed.
func (s *session) advance() {
	s.submitReady()
	for len(s.responses) > 0 && s.responses[0].body != nil {
		head := s.responses[0]
		s.responses[0] = nil // the slice keeps its first elements until it grows
		s.responses = s.responses[1:]
		s.client.Send(head.body)
		head.shrinkTo(0)
		s.submitReady() // the new head needs no memory for its answer
	}
	s.Flushed()
	s.client.Resume()
}

// submitReady submits the queries that no earlier query blocks. Those behind the head of the queue wait while there is no
// memory for their answers.
func (s *session) submitReady() {
	for i, response := range s.responses {
		if response.submitted || response.body != nil || response.blockedBy(s.responses[:i]) {
			continue
		}
		if i > 0 && !response.reserveAnswer() {
			s.awaitMemory()
			return
		}
		response.submit()
	}
}
