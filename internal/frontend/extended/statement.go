package extended

import (
	"encoding/binary"

	"merlinjunction/internal/protocol/pg"
)

// preparedStatement is a statement that the gateway has prepared. It is not prepared on any host: each request includes its
// text.
type preparedStatement struct {
	text           string
	strippedText   string // the text without comments
	parameterTypes []byte // OIDs of the types, as encoded in the Parse message
	rule           *Rule  // nil for an empty statement and for a statement that the gateway answers itself

	// sessionType is the type of the parameter that has the session name, as the client declared it or a host described it.
	// It is typeUnspecified if there is no such parameter or its type is not known.
	sessionType typeOID

	// localCommand and commandTag are set for a statement that the gateway answers itself.
	localCommand localCommand
	commandTag   string

	named         bool   // the statement is in session.statements
	portals       int    // number of portals that were created from the statement and are still open
	description   []byte // ParameterDescription, then RowDescription or NoData; nil until a host has sent them
	reservedBytes int    // released once the statement is not named any more and no portal uses it
}

// prepare returns a prepared statement, or the error to send to the client. The statement is empty, has a localCommand, or
// has the rule that applies to it.
func (s *session) prepare(text string) (*preparedStatement, *pg.ErrorResponse) {
	strippedText, count := scan(text)
	statement := &preparedStatement{
		text: text, strippedText: strippedText,
	}
	if count > 1 {
		return nil, &multipleStatements
	}
	if count == 0 {
		return statement, nil
	}
	if rejection := s.prepareLocalCommand(statement); rejection != nil || statement.localCommand != nil {
		return statement, rejection
	}
	if statement.rule = s.frontend.Rules.match(strippedText); statement.rule == nil {
		return nil, &noMatchingRule
	}
	return statement, nil
}

// handleParse handles a Parse message, whose fields are the statement name, the text and the parameter types.
func (s *session) handleParse(fields *pg.FieldReader) error {
	name, text := fields.Text(), fields.Text()
	parameterTypes := fields.Bytes(pg.ParameterTypeSize * fields.Int16())
	if !fields.AtEnd() {
		return pg.ErrMalformed
	}
	if name == "" {
		s.dropStatement("")
	}
	statement, rejection := s.prepare(text)
	reservation := len(name) + len(text) + len(parameterTypes) + overheadBytes
	if rejection == nil {
		reservation += len(statement.strippedText)
	}
	switch {
	case s.statements[name] != nil:
		s.fail(duplicateStatement(name))
	case rejection != nil:
		s.fail(*rejection)
	case len(s.statements) >= maxObjectsPerKind || !s.reserve(reservation):
		s.fail(memoryLimitExceeded)
	default:
		statement.parameterTypes = append([]byte(nil), parameterTypes...)
		statement.setSessionType(parameterTypes)
		statement.named = true
		statement.reservedBytes = reservation
		s.statements[name] = statement
		s.output = pg.AppendMessage(s.output, pg.MsgParseComplete)
	}
	return nil
}

// setSessionType sets sessionType from the OIDs of the parameter types, as encoded in messages, unless it is known.
func (st *preparedStatement) setSessionType(parameterTypes []byte) {
	if st.rule == nil || st.rule.SessionParam == 0 || st.sessionType != typeUnspecified {
		return
	}
	if end := st.rule.SessionParam * pg.ParameterTypeSize; end <= len(parameterTypes) {
		st.sessionType = typeOID(binary.BigEndian.Uint32(parameterTypes[end-pg.ParameterTypeSize:]))
	}
}

// setDescription sets the description of a host, and learns the type of the session's parameter from it.
func (st *preparedStatement) setDescription(description []byte) {
	st.description = description
	messageType, body, _, err := pg.SplitMessage(description, pg.MaxMessage)
	if err != nil || messageType != pg.MsgParameterDescription {
		return
	}
	fields := pg.NewFieldReader(body)
	st.setSessionType(fields.Bytes(pg.ParameterTypeSize * fields.Int16()))
}

// dropStatement removes a statement from session.statements. Portals that were created from it remain usable, and its memory
// remains reserved until the last of them is closed.
func (s *session) dropStatement(name string) *preparedStatement {
	statement := s.statements[name]
	if statement != nil {
		statement.named = false
		delete(s.statements, name)
		s.releaseIfUnused(statement)
	}
	return statement
}

// releaseIfUnused releases the memory of a statement that has lost its name and its last portal.
func (s *session) releaseIfUnused(statement *preparedStatement) {
	if !statement.named && statement.portals == 0 {
		s.release(statement.reservedBytes)
		statement.reservedBytes = 0
	}
}

// closeStatement removes a statement and the portals that were created from it.
func (s *session) closeStatement(name string) {
	statement := s.dropStatement(name)
	if statement == nil {
		return
	}
	for portalName, bound := range s.portals {
		if bound.statement == statement {
			s.dropPortal(portalName)
		}
	}
}

// closeAllStatements removes all statements and the portals that were created from them.
func (s *session) closeAllStatements() {
	for name := range s.statements {
		s.closeStatement(name)
	}
}
