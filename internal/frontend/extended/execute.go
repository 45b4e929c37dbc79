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
		s.runPortal(portal, maxRows)
	}
	return nil
}

// runPortal runs the statement of a portal on a host. If that needs the type of a parameter, the statement is described
// first. The time of the request counts from here in both cases.
func (s *session) runPortal(portal *portal, maxRows int) {
	run := &statementRun{
		statement:   portal.statement,
		bound:       portal.bound,
		command:     executeCommand{portal},
		startedAtMs: s.frontend.Core.Now(),
		onSuccess:   func(answer []byte) { s.handleExecuteAnswer(portal, answer, maxRows) },
	}
	start := func() {
		s.rowLimited = maxRows > 0
		s.runOnHost(run)
	}
	if s.needsSessionType(run) {
		s.learnSessionType(run, start)
		return
	}
	start()
}

// typeTimeShare is the share of a request's time that finding out the type of its session's parameter may take.
const typeTimeShare = 0.5

// learnSessionType has a host describe a statement and then starts its run, also if the host fails to describe it: the
// session then counts as unidentified.
func (s *session) learnSessionType(run *statementRun, start func()) {
	request := s.newRequest(s.frontend.Rules.DescribeClass, describeCommand{run.statement})
	deadline := s.frontend.Rules.Classes[run.statement.rule.Class].Deadline.Seconds() * millisecondsPerSecond
	request.TimeLeftMs = min(request.TimeLeftMs, typeTimeShare*deadline)
	s.describeOnHost(run.statement, request, start)
	if s.inFlight {
		s.onFailure = start
	}
}

// statementRun is one run of a statement on a host.
type statementRun struct {
	statement   *preparedStatement
	bound       boundFields // nil for a simple query
	command     any
	startedAtMs float64
	onSuccess   func(answer []byte)
}

// needsSessionType reports whether the session of a statement can be identified only by the type of a parameter, and the
// type is not known yet.
func (s *session) needsSessionType(run *statementRun) bool {
	rule := run.statement.rule
	_, isBinary, _ := run.bound.parameter(rule.SessionParam)
	return isBinary && run.statement.sessionType == typeUnspecified && s.dependsOnSession(rule)
}

// dependsOnSession reports whether the session matters to the choice of a host for a statement.
func (s *session) dependsOnSession(rule *Rule) bool {
	switch s.frontend.Rules.Classes[rule.Class].Consistency {
	case routing.ConsistencyWrite, routing.ConsistencySession:
		return true
	}
	return false
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
		s.runOnHost(&statementRun{
			statement:   statement,
			command:     queryCommand(text),
			startedAtMs: s.frontend.Core.Now(),
			onSuccess: func(answer []byte) {
				s.output = append(s.output, answer...)
				s.finishSimpleQuery()
			},
		})
	case s.frontend.Ready():
		s.output = pg.AppendMessage(s.output, pg.MsgEmptyQueryResponse)
		s.finishSimpleQuery()
	default:
		s.fail(noReachableHost)
	}
	return nil
}

// runOnHost submits a statement as one request to the proxy core, with the session that its rule extracts.
func (s *session) runOnHost(run *statementRun) {
	rule, strippedText := run.statement.rule, run.statement.strippedText
	class := s.frontend.Rules.Classes[rule.Class]
	if class.Idempotency == routing.IdempotentWithKey && !rule.hasKey(strippedText, run.bound) {
		s.fail(idempotencyKeyNeeded(class.Name))
		return
	}
	if s.client.RejectsRequests() {
		s.frontend.Core.CountRejection(rule.Class)
		s.fail(pg.RejectionResponse(0))
		return
	}
	request := s.newRequest(rule.Class, run.command)
	request.TimeLeftMs -= s.frontend.Core.Now() - run.startedAtMs
	if s.dependsOnSession(rule) {
		name, identified := rule.sessionName(strippedText, run.bound, run.statement.sessionType, s.id)
		request.Session, request.SessionUnidentified = name, !identified
	}
	s.submit(request, run.onSuccess)
}

// newRequest returns a request of this session with the whole deadline of its class.
func (s *session) newRequest(class int, command any) proxy.Request {
	return proxy.Request{
		Class: class, Tenant: s.tenant, Group: s.group, Command: command, Responder: s,
		TimeLeftMs: s.frontend.Rules.Classes[class].Deadline.Seconds() * millisecondsPerSecond,
	}
}

// submit submits a request to the proxy core. The core answers it by calling the session's proxy.Responder methods.
func (s *session) submit(request proxy.Request, onSuccess func(answer []byte)) {
	requestID, accepted := s.frontend.Core.Submit(request)
	if !accepted {
		s.fail(pg.RejectionResponse(0))
		return
	}
	s.inFlight = true
	s.requestID = requestID
	s.onSuccess, s.onFailure = onSuccess, nil
}
