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
	p, ok := readBindFields(fields)
	if !ok {
		return pg.ErrMalformed
	}
	if name == "" {
		s.dropPortal("")
	}
	p.statement = s.statements[statementName]
	p.reservedBytes = len(body) + overheadBytes
	switch {
	case p.statement == nil:
		s.fail(unknownStatement(statementName))
	case s.portals[name] != nil:
		s.fail(duplicatePortal(name))
	case len(s.portals) >= maxNames || !s.reserve(p.reservedBytes):
		s.fail(memoryLimitExceeded)
	default:
		p.bindFields = append([]byte(nil), body[namesSize:]...)
		p.copyParameters()
		s.portals[name] = p
		s.output = pg.AppendMessage(s.output, pg.MsgBindComplete)
	}
	return nil
}

// readBindFields reads what follows the names in a Bind message. The parameters of the portal refer to the message.
func readBindFields(fields *pg.FieldReader) (p *portal, ok bool) {
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

func (s *session) dropPortal(name string) {
	if p := s.portals[name]; p != nil {
		s.release(p.reservedBytes)
		delete(s.portals, name)
	}
}

// bufferAnswer keeps a complete answer in the portal, and sends the rows of the first Execute.
func (s *session) bufferAnswer(p *portal, answer []byte, maxRows int) {
	for rest := answer; len(rest) > 0; {
		kind, _, size, err := pg.SplitMessage(rest, pg.MaxMessage)
		if err != nil || size == 0 {
			s.fail(pg.UnknownOutcomeResponse())
			return
		}
		if kind == pg.MsgDataRow {
			p.bufferedRows = append(p.bufferedRows, rest[:size])
		} else {
			p.lastMessage = rest[:size]
		}
		rest = rest[size:]
	}
	if !s.reserve(len(answer)) {
		p.bufferedRows, p.lastMessage = nil, nil
		s.fail(memoryLimitExceeded)
		return
	}
	p.reservedBytes += len(answer)
	s.sendBufferedRows(p, maxRows)
}

// sendBufferedRows sends up to maxRows rows of a buffered answer, 0 for all. The portal is suspended while some are
// left.
func (s *session) sendBufferedRows(p *portal, maxRows int) {
	count := len(p.bufferedRows)
	if maxRows > 0 {
		count = min(count, maxRows)
	}
	for _, row := range p.bufferedRows[:count] {
		s.output = append(s.output, row...)
	}
	p.bufferedRows = p.bufferedRows[count:]
	if len(p.bufferedRows) > 0 {
		s.output = pg.AppendMessage(s.output, pg.MsgPortalSuspended)
		return
	}
	s.output = append(s.output, p.lastMessage...)
	p.lastMessage = nil
}
