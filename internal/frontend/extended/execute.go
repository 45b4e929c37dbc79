package extended

import (
	"merlinjunction/internal/protocol/pg"
	"merlinjunction/internal/proxy"
	"merlinjunction/routing"
)

const millisecondsPerSecond = 1000

// handleExecute handles an Execute message, whose fields are the portal name and the maximum number of rows (0 for no
// limit). The first Execute of a portal runs its statement. Later ones fetch the rows that exceeded the earlier limits.
func (s *session) handleExecute(fields *pg.FieldReader) error {
	name, maxRows := fields.Text(), fields.Int32()
	if !fields.AtEnd() {
		return pg.ErrMalformed
	}
	portal := s.portals[name]
	switch {
	case portal == nil:
		s.fail(unknownPortal(name))
	case portal.finalMessage != nil:
		s.sendBufferedRows(portal, maxRows)
	case portal.executed:
		s.fail(portalAlreadyExecuted(name))
	case portal.statement.localCommand != nil:
		portal.executed = true
		s.runLocalCommand(portal.statement)
	case portal.statement.rule == nil:
		s.output = pg.AppendMessage(s.output, pg.MsgEmptyQueryResponse)
	default:
		portal.executed = true
		s.rowLimited = maxRows > 0
		s.runOnHost(portal.statement, portal.parameters, executeCommand{portal}, func(answer []byte) {
			s.handleExecuteAnswer(portal, answer, maxRows)
		})
	}
	return nil
}

// handleExecuteAnswer handles the answer of a host to an Execute.
func (s *session) handleExecuteAnswer(portal *portal, answer []byte, maxRows int) {
	if maxRows <= 0 {
		s.output = append(s.output, answer...)
		return
	}
	s.bufferAnswer(portal, answer, maxRows)
}

// handleQuery handles a Query message, which is a simple query.
func (s *session) handleQuery(fields *pg.FieldReader) error {
	text := fields.Text()
	if !fields.AtEnd() {
		return pg.ErrMalformed
	}
	s.dropStatement("") // in PostgreSQL, a simple query destroys the unnamed statement and portal
	s.dropPortal("")
	statement, rejection := s.prepare(text)
	switch {
	case rejection != nil:
		s.fail(*rejection)
	case statement.localCommand != nil:
		s.runLocalCommand(statement)
	case statement.rule != nil && !s.reserveQuery(text):
		s.fail(pg.RejectionResponse(0))
	case statement.rule != nil:
		s.rowLimited = false
		s.runOnHost(statement, nil, queryCommand(text), func(answer []byte) {
			s.output = append(s.output, answer...)
			s.finishSimpleQuery()
		})
	case s.frontend.Ready():
		s.output = pg.AppendMessage(s.output, pg.MsgEmptyQueryResponse)
		s.finishSimpleQuery()
	default:
		s.fail(noReachableHost)
	}
	return nil
}

// runOnHost submits a statement as one request to the proxy core, with the session and the idempotency key that its rule
// extracts.
func (s *session) runOnHost(statement *preparedStatement, parameters [][]byte, command any, onSuccess func(answer []byte)) {
	class := s.frontend.Rules.Classes[statement.rule.Class]
	sessionName, key := statement.rule.sessionAndKey(statement.strippedText, parameters, s.id)
	if class.Idempotency == routing.IdempotentWithKey && key == "" {
		s.fail(idempotencyKeyNeeded(class.Name))
		return
	}
	if class.Consistency != routing.ConsistencyWrite && class.Consistency != routing.ConsistencySession {
		sessionName = ""
	}
	s.submit(statement.rule.Class, sessionName, command, onSuccess)
}

// submit submits a request to the proxy core. The core answers it by calling the session's proxy.Responder methods.
func (s *session) submit(class int, sessionName string, command any, onSuccess func(answer []byte)) {
	request := proxy.Request{
		Class: class, Tenant: -1, Group: s.group, Session: sessionName, Command: command, Responder: s,
		TimeLeftMs: s.frontend.Rules.Classes[class].Deadline.Seconds() * millisecondsPerSecond,
	}
	if tenant, ok := s.frontend.Rules.Tenants[s.client.User]; ok {
		request.Tenant = tenant
	}
	requestID, accepted := s.frontend.Core.Submit(request)
	if !accepted {
		s.fail(pg.RejectionResponse(0))
		return
	}
	s.inFlight = true
	s.requestID = requestID
	s.onSuccess = onSuccess
}
