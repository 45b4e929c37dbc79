package extended

import (
	"merlinjunction/internal/protocol/pg"
)

// maxFormatCode is the binary format; 0 is text.
const maxFormatCode = 1

// portal is a statement with its parameters.
type portal struct {
	statement     *preparedStatement
	parameters    [][]byte // nil for NULL
	bindFields    []byte   // formats, parameters and result formats, as encoded in the Bind message
	resultFormats []uint16
	executed      bool // a portal runs once: a second run could repeat a write

	bufferedRows  [][]byte // DataRow messages of the answer that the client hasn't fetched yet
	lastMessage   []byte   // of the buffered answer, after its rows; nil when nothing is buffered
	reservedBytes int
}

// handleBind handles Bind: portal name, statement name, parameter formats, parameters, result formats.
func (s *session) handleBind(fields *pg.FieldReader, body []byte) error {
	name, statementName := fields.Text(), fields.Text()
	namesSize := len(name) + len(statementName) + 2 // two terminators
	newPortal, ok := readBindFields(fields)
	if !ok {
		return pg.ErrMalformed
	}
	if name == "" {
		s.dropPortal("")
	}
	newPortal.statement = s.statements[statementName]
	newPortal.reservedBytes = len(body) + overheadBytes
	switch {
	case newPortal.statement == nil:
		s.fail(unknownStatement(statementName))
	case s.portals[name] != nil:
		s.fail(duplicatePortal(name))
	case len(s.portals) >= maxNames || !s.reserve(newPortal.reservedBytes):
		s.fail(memoryLimitExceeded)
	default:
		newPortal.bindFields = append([]byte(nil), body[namesSize:]...)
		newPortal.copyParameters()
		s.portals[name] = newPortal
		s.output = pg.AppendMessage(s.output, pg.MsgBindComplete)
	}
	return nil
}

// readBindFields reads what follows the names in a Bind message. The parameters of the portal refer to the message.
func readBindFields(fields *pg.FieldReader) (parsed *portal, ok bool) {
	formats, ok := readFormatCodes(fields)
	if !ok {
		return nil, false
	}
	count := fields.Int16()
	parameters := make([][]byte, 0, min(count, 1<<10)) // the count isn't validated yet
	for range count {
		parameters = append(parameters, fields.Value())
		if fields.Malformed {
			return nil, false
		}
	}
	resultFormats, ok := readFormatCodes(fields)
	if !ok || !fields.AtEnd() || len(formats) > 1 && len(formats) != count {
		return nil, false
	}
	return &portal{parameters: parameters, resultFormats: resultFormats}, true
}

// readFormatCodes reads a count and as many format codes.
func readFormatCodes(fields *pg.FieldReader) (codes []uint16, ok bool) {
	count := fields.Int16()
	for range count {
		code := fields.Int16()
		if fields.Malformed || code > maxFormatCode {
			return nil, false
		}
		codes = append(codes, uint16(code))
	}
	return codes, !fields.Malformed
}

// copyParameters detaches the parameters from the message, whose buffer is reused.
func (p *portal) copyParameters() {
	for i, value := range p.parameters {
		if value != nil {
			p.parameters[i] = append([]byte{}, value...)
		}
	}
}

// dropPortal removes a portal and releases its memory. An unknown name is ignored.
func (s *session) dropPortal(name string) {
	if dropped := s.portals[name]; dropped != nil {
		s.release(dropped.reservedBytes)
		delete(s.portals, name)
	}
}

// bufferAnswer keeps a complete answer in the portal, and sends the rows of the first Execute.
func (s *session) bufferAnswer(portal *portal, answer []byte, maxRows int) {
	for rest := answer; len(rest) > 0; {
		kind, _, size, err := pg.SplitMessage(rest, pg.MaxMessage)
		if err != nil || size == 0 {
			s.fail(pg.UnknownOutcomeResponse())
			return
		}
		if kind == pg.MsgDataRow {
			portal.bufferedRows = append(portal.bufferedRows, rest[:size])
		} else {
			portal.lastMessage = rest[:size]
		}
		rest = rest[size:]
	}
	if !s.reserve(len(answer)) {
		portal.bufferedRows, portal.lastMessage = nil, nil
		s.fail(memoryLimitExceeded)
		return
	}
	portal.reservedBytes += len(answer)
	s.sendBufferedRows(portal, maxRows)
}

// sendBufferedRows sends up to maxRows rows of a buffered answer, 0 for all. The portal is suspended while some are
// left.
func (s *session) sendBufferedRows(portal *portal, maxRows int) {
	count := len(portal.bufferedRows)
	if maxRows > 0 {
		count = min(count, maxRows)
	}
	for _, row := range portal.bufferedRows[:count] {
		s.output = append(s.output, row...)
	}
	portal.bufferedRows = portal.bufferedRows[count:]
	if len(portal.bufferedRows) > 0 {
		s.output = pg.AppendMessage(s.output, pg.MsgPortalSuspended)
		return
	}
	s.output = append(s.output, portal.lastMessage...)
	portal.lastMessage = nil
}
