package extended

import (
	"merlinjunction/internal/protocol/pg"
)

// parameters are the bound parameters of a portal. A nil pointer stands for none, as in a simple query.
type parameters struct {
	values  [][]byte // nil for NULL
	formats []uint16 // none if all are text, one for all, or one for each
}

// has reports whether there is a parameter with a number, counted from 1.
func (p *parameters) has(number int) bool { return p != nil && number > 0 && number <= len(p.values) }

// get returns the value of a parameter and whether it is in binary format. It returns nil if there is no such parameter.
func (p *parameters) get(number int) (value []byte, isBinary bool) {
	if !p.has(number) {
		return nil, false
	}
	value = p.values[number-1]
	return value, value != nil && formatCodeOf(number-1, p.formats) == formatBinary
}

// copyValues copies the values, because the buffer of the Bind message is reused.
func (p *parameters) copyValues() {
	for i, value := range p.values {
		if value != nil {
			p.values[i] = append([]byte{}, value...)
		}
	}
}

// portal is a prepared statement with bound parameters.
type portal struct {
	statement     *preparedStatement
	parameters    parameters
	bindFields    []byte // the format codes, parameters and result format codes, as encoded in the Bind message
	resultFormats []uint16
	executed      bool // a portal is executed only once, because a second execution could repeat a write

	bufferedRows  [][]byte // DataRow messages of the answer that have not been sent to the client
	finalMessage  []byte   // the message after the rows of a buffered answer; nil when no answer is buffered
	reservedBytes int
}

// handleBind handles a Bind message, whose fields are the portal name, the statement name, the parameter format codes, the
// parameters and the result-column format codes.
func (s *session) handleBind(fields *pg.FieldReader, body []byte) error {
	name, statementName := fields.Text(), fields.Text()
	namesSize := len(name) + len(statementName) + 2 // two terminating zero bytes
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
	case len(s.portals) >= maxObjectsPerKind || !s.reserve(newPortal.reservedBytes):
		s.fail(memoryLimitExceeded)
	default:
		newPortal.bindFields = append([]byte(nil), body[namesSize:]...)
		newPortal.parameters.copyValues()
		s.portals[name] = newPortal
		s.output = pg.AppendMessage(s.output, pg.MsgBindComplete)
	}
	return nil
}

// readBindFields reads the fields that follow the names in a Bind message. The parameters of the returned portal are slices
// of the message buffer.
func readBindFields(fields *pg.FieldReader) (parsed *portal, ok bool) {
	formats, ok := readFormatCodes(fields)
	if !ok {
		return nil, false
	}
	count := fields.Int16()
	values := make([][]byte, 0, min(count, 1<<10)) // the count is not validated yet
	for range count {
		values = append(values, fields.Value())
		if fields.Malformed {
			return nil, false
		}
	}
	resultFormats, ok := readFormatCodes(fields)
	if !ok || !fields.AtEnd() || len(formats) > 1 && len(formats) != count {
		return nil, false
	}
	return &portal{parameters: parameters{values: values, formats: formats}, resultFormats: resultFormats}, true
}

// readFormatCodes reads the number of format codes and then the codes.
func readFormatCodes(fields *pg.FieldReader) (codes []uint16, ok bool) {
	count := fields.Int16()
	for range count {
		code := fields.Int16()
		if fields.Malformed || code > formatBinary {
			return nil, false
		}
		codes = append(codes, uint16(code))
	}
	return codes, !fields.Malformed
}

// dropPortal removes a portal and releases its memory. It does nothing if no portal has the name.
func (s *session) dropPortal(name string) {
	if dropped := s.portals[name]; dropped != nil {
		s.release(dropped.reservedBytes)
		delete(s.portals, name)
	}
}

// bufferAnswer stores a complete answer in the portal and sends the rows that the first Execute asks for.
func (s *session) bufferAnswer(portal *portal, answer []byte, maxRows int) {
	for rest := answer; len(rest) > 0; {
		messageType, _, size, err := pg.SplitMessage(rest, pg.MaxMessage)
		if err != nil || size == 0 {
			s.fail(pg.UnknownOutcomeResponse())
			return
		}
		if messageType == pg.MsgDataRow {
			portal.bufferedRows = append(portal.bufferedRows, rest[:size])
		} else {
			portal.finalMessage = rest[:size]
		}
		rest = rest[size:]
	}
	if !s.reserve(len(answer)) {
		portal.bufferedRows, portal.finalMessage = nil, nil
		s.fail(memoryLimitExceeded)
		return
	}
	portal.reservedBytes += len(answer)
	s.sendBufferedRows(portal, maxRows)
}

// sendBufferedRows sends up to maxRows rows of a buffered answer, or all rows if maxRows is 0. If rows remain, it sends
// PortalSuspended, else the final message of the answer.
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
	s.output = append(s.output, portal.finalMessage...)
	portal.finalMessage = nil
}
