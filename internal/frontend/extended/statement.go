package extended

import (
	"merlinjunction/internal/protocol/pg"
)

// preparedStatement is a statement that was parsed here. No host knows it: each request carries its text.
type preparedStatement struct {
	text           string
	bare           string // the text without comments
	parameterTypes []byte // OIDs, as encoded in the Parse message
	rule           *Rule  // nil for an empty statement, and for one that the gateway answers itself

	// localCommand and commandTag are set for a statement that the gateway answers itself.
	localCommand localCommand
	commandTag   string

	named         bool   // it is in session.statements: its memory is reserved
	description   []byte // ParameterDescription, and RowDescription or NoData; nil until a host has described it
	reservedBytes int
}

// prepare classifies a statement: empty, answered by the gateway itself, or with the rule that applies to it.
func (s *session) prepare(text string) (*preparedStatement, *pg.ErrorResponse) {
	bare, count := scan(text)
	statement := &preparedStatement{text: text, bare: bare, reservedBytes: len(text) + len(bare) + overheadBytes}
	if count > 1 {
		return nil, &multipleStatements
	}
	if count == 0 {
		return statement, nil
	}
	if rejection := s.prepareLocalCommand(statement); rejection != nil || statement.localCommand != nil {
		return statement, rejection
	}
	if statement.rule = s.frontend.Rules.match(bare); statement.rule == nil {
		return nil, &noMatchingRule
	}
	return statement, nil
}

// handleParse handles Parse: statement name, text, parameter types.
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
	switch {
	case s.statements[name] != nil:
		s.fail(duplicateStatement(name))
	case rejection != nil:
		s.fail(*rejection)
	case len(s.statements) >= maxNames || !s.reserve(statement.reservedBytes):
		s.fail(memoryLimitExceeded)
	default:
		statement.parameterTypes = append([]byte(nil), parameterTypes...)
		statement.named = true
		s.statements[name] = statement
		s.output = pg.AppendMessage(s.output, pg.MsgParseComplete)
	}
	return nil
}

// dropStatement removes a statement's name. Portals bound to it stay usable.
func (s *session) dropStatement(name string) *preparedStatement {
	statement := s.statements[name]
	if statement != nil {
		statement.named = false
		s.release(statement.reservedBytes)
		delete(s.statements, name)
	}
	return statement
}

// closeStatement removes a statement, and the portals bound to it.
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

// closeAllStatements removes all statements, and the portals bound to them.
func (s *session) closeAllStatements() {
	for name := range s.statements {
		s.closeStatement(name)
	}
}
