package extended

import (
	"bytes"

	"merlinjunction/internal/protocol/pg"
)

// portal is a prepared statement with bound parameters.
type portal struct {
	statement *preparedStatement
	bound     boundFields
	executed  bool // a portal is executed only once, because a second execution could repeat a write

	bufferedRows  []byte // DataRow messages of the answer that have not been sent to the client
	finalMessage  []byte // the message after the rows of a buffered answer; nil when no answer is buffered
	reservedBytes int
}

// handleBind handles a Bind message, whose fields are the portal name, the statement name, the parameter format codes, the
// parameters and the result-column format codes.
func (s *session) handleBind(fields *pg.FieldReader, body []byte) error {
	name, statementName := fields.Text(), fields.Text()
	if fields.Malformed {
		return pg.ErrMalformed
	}
	namesSize := len(name) + len(statementName) + 2 // two terminating zero bytes
	bound := boundFields(body[namesSize:])
	if !bound.isWellFormed() {
		return pg.ErrMalformed
	}
	if name == "" {
		s.dropPortal("")
	}
	statement := s.statements[statementName]
	reservation := len(body) + overheadBytes
	switch {
	case statement == nil:
		s.fail(unknownStatement(statementName))
	case s.portals[name] != nil:
		s.fail(duplicatePortal(name))
	case len(s.portals) >= maxObjectsPerKind || !s.reserve(reservation):
		s.fail(memoryLimitExceeded)
	default:
		statement.portals++
		s.portals[name] = &portal{statement: statement, bound: bytes.Clone(bound), reservedBytes: reservation}
		s.output = pg.AppendMessage(s.output, pg.MsgBindComplete)
	}
	return nil
}

// dropPortal removes a portal and releases its memory, with that of its statement if nothing else uses it. It does nothing
// if no portal has the name.
func (s *session) dropPortal(name string) {
	if dropped := s.portals[name]; dropped != nil {
		s.release(dropped.reservedBytes)
		delete(s.portals, name)
		dropped.statement.portals--
		s.releaseIfUnused(dropped.statement)
	}
}

// bufferAnswer stores a complete answer in the portal and sends the rows that the first Execute asks for.
func (s *session) bufferAnswer(portal *portal, answer []byte, maxRows int) {
	final, ok := finalMessageStart(answer)
	if !ok {
		s.fail(pg.UnknownOutcomeResponse())
		return
	}
	if !s.reserve(len(answer)) {
		s.fail(memoryLimitExceeded)
		return
	}
	portal.bufferedRows, portal.finalMessage = answer[:final], answer[final:]
	portal.reservedBytes += len(answer)
	s.sendBufferedRows(portal, maxRows)
}

// finalMessageStart returns the offset of the message that follows the rows of an answer.
func finalMessageStart(answer []byte) (offset int, ok bool) {
	for offset < len(answer) {
		messageType, _, size, err := pg.SplitMessage(answer[offset:], pg.MaxMessage)
		switch {
		case err != nil || size == 0:
			return 0, false
		case messageType != pg.MsgDataRow:
			return offset, true
		}
		offset += size
	}
	return 0, false
}

// sendBufferedRows sends up to maxRows rows of a buffered answer, or all rows if maxRows is 0. If rows remain, it sends
// PortalSuspended, else the final message of the answer.
func (s *session) sendBufferedRows(portal *portal, maxRows int) {
	end := len(portal.bufferedRows)
	if maxRows > 0 {
		end = rowsSize(portal.bufferedRows, maxRows)
	}
	s.output = append(s.output, portal.bufferedRows[:end]...)
	portal.bufferedRows = portal.bufferedRows[end:]
	if len(portal.bufferedRows) > 0 {
		s.output = pg.AppendMessage(s.output, pg.MsgPortalSuspended)
		return
	}
	s.output = append(s.output, portal.finalMessage...)
	portal.finalMessage = nil
}

// rowsSize returns the size of the first rows of a buffered answer, at most maxRows.
func rowsSize(rows []byte, maxRows int) int {
	end := 0
	for count := 0; count < maxRows && end < len(rows); count++ {
		_, _, size, _ := pg.SplitMessage(rows[end:], pg.MaxMessage)
		end += size
	}
	return end
}
