package platform

import (
	"strings"

	"merlinjunction/internal/protocol/pg"
)

// maxPipelinedQueries is how many queries of one client are accepted before the first of them is answered.
const maxPipelinedQueries = 32

var (
	_ pg.Session = (*session)(nil)
	_ pg.Flusher = (*session)(nil)
)

// session is the state of one client. Its queries run concurrently and are answered in the order of their arrival. A
// query is delayed only by an earlier one of the same key when either of the two is a write.
type session struct {
	frontend         *Frontend
	client           *pg.Client
	responses        []*pendingResponse // in the order in which the client expects them
	discardUntilSync bool               // a message of the extended protocol was rejected
}

// Busy reports whether responses are outstanding.
func (s *session) Busy() bool { return len(s.responses) > 0 }

// Accepts allows pipelined queries up to a limit. Every other message waits until nothing is outstanding.
func (s *session) Accepts(kind byte) bool {
	return len(s.responses) == 0 || kind == pg.MsgQuery && len(s.responses) < maxPipelinedQueries
}

// InPipeline is always false: each query is complete in itself.
func (s *session) InPipeline() bool { return false }

// ClientGone cancels the requests that have no answer yet.
func (s *session) ClientGone() {
	responses := s.responses
	s.responses = nil
	for _, response := range responses {
		response.clientGone()
	}
}

// Flushed resumes a streamed answer at the head of the response queue.
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
func (s *session) HandleMessage(kind byte, body []byte) {
	switch kind {
	case pg.MsgQuery:
		s.handleQuery(body)
	case pg.MsgSync:
		s.discardUntilSync = false
		s.respond(pg.AppendReadyForQuery(nil))
	case pg.MsgParse, pg.MsgBind, pg.MsgDescribe, pg.MsgExecute, pg.MsgClose, pg.MsgFlush:
		s.rejectExtendedQuery()
	case pg.MsgCopyData, pg.MsgCopyDone, pg.MsgCopyFail: // sent before the client has seen that its COPY was rejected
	default:
		s.client.FatalUnknownMessage(kind)
	}
}

// rejectExtendedQuery answers the first message of an extended query. The messages after it are discarded up to Sync,
// which alone is answered with ReadyForQuery.
func (s *session) rejectExtendedQuery() {
	if s.discardUntilSync {
		return
	}
	s.discardUntilSync = true
	rejection := pg.ErrorResponse{SQLState: pg.StateNotSupported, Message: "only simple queries are taken here"}
	s.respond(rejection.AppendTo(nil))
}

// handleQuery handles a simple query. What needs no host is answered at once; everything else becomes a request.
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
	if tag, ok := connectionCommand(text); ok {
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
	response := &pendingResponse{session: s, statement: parsed, request: request, receivedAtMs: s.frontend.Core.Now()}
	response.request.Responder = response
	s.frontend.openRequests[parsed.id] = struct{}{}
	s.enqueue(response)
}

// respondToEmptyQuery answers an empty query, which clients and load balancers use as a health check of the gateway.
func (s *session) respondToEmptyQuery() {
	if !s.frontend.Ready() {
		s.respondWithError(pg.StateCannotConnectNow, "no clients are taken now")
		return
	}
	s.respond(pg.AppendReadyForQuery(pg.AppendMessage(nil, pg.MsgEmptyQueryResponse)))
}

// connectionCommand recognizes the commands that only change the connection. The gateway answers them itself, with the
// command tag.
func connectionCommand(text string) (tag string, ok bool) {
	first, _, _ := strings.Cut(strings.TrimRight(strings.TrimSpace(text), ";"), " ")
	switch tag = strings.ToUpper(first); tag {
	case "SET", "RESET", "DISCARD":
		return tag, true
	}
	return "", false
}

// respondWithError enqueues an ErrorResponse and ReadyForQuery.
func (s *session) respondWithError(sqlstate, text string) {
	s.respond(pg.AppendReadyForQuery(pg.ErrorResponse{SQLState: sqlstate, Message: text}.AppendTo(nil)))
}

// respond enqueues a response whose body is complete.
func (s *session) respond(body []byte) {
	s.enqueue(&pendingResponse{session: s, body: body})
}

// enqueue appends a response to the queue. It is sent once it is complete and all earlier ones are sent.
func (s *session) enqueue(response *pendingResponse) {
	s.responses = append(s.responses, response)
	s.advance()
}

// advance submits the queries that no earlier one blocks any more, and sends the complete responses at the head of the
// queue.
func (s *session) advance() {
	for i, response := range s.responses {
		if !response.submitted && response.body == nil && !response.blockedBy(s.responses[:i]) {
			response.submit()
		}
	}
	for len(s.responses) > 0 && s.responses[0].body != nil {
		head := s.responses[0]
		s.responses = s.responses[1:]
		s.client.Send(head.body)
	}
	s.Flushed()
	s.client.Resume()
}
