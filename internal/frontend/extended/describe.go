package extended

import (
	"encoding/binary"

	"merlinjunction/internal/protocol/pg"
	"merlinjunction/internal/proxy"
)

// Sizes of fields in a RowDescription message, in bytes.
const (
	columnCountSize      = 2
	sizeBeforeFormatCode = pg.ColumnFieldsSize - formatCodeSize // the format code is the last field of a column
)

// handleDescribe handles a Describe message, whose fields are the kind and the name of the object. The first Describe of a
// statement is sent to a host. The description is cached in the statement, unless that exceeds a memory limit, and answers
// later ones.
func (s *session) handleDescribe(fields *pg.FieldReader) error {
	kind, name := fields.Byte(), fields.Text()
	if !fields.AtEnd() || !isObjectKind(kind) {
		return pg.ErrMalformed
	}
	statement, portal := s.statements[name], s.portals[name]
	switch {
	case kind == kindPortal && portal == nil:
		s.fail(unknownPortal(name))
		return nil
	case kind == kindPortal:
		statement = portal.statement
	case statement == nil:
		s.fail(unknownStatement(name))
		return nil
	}
	if statement.rule == nil {
		statement.description = emptyDescription()
	}
	if statement.description != nil {
		s.sendDescription(statement, kind, portal)
		return nil
	}
	request := s.newRequest(s.frontend.Rules.DescribeClass, describeCommand{statement})
	s.describeOnHost(statement, request, func() { s.sendDescription(statement, kind, portal) })
	return nil
}

// describeOnHost submits a request that has a host describe a statement, and calls a function while the statement has the
// description. After that the description is kept only if there is memory for it.
func (s *session) describeOnHost(statement *preparedStatement, request proxy.Request, onDescribed func()) {
	s.submit(request, func(answer []byte) {
		statement.setDescription(answer)
		onDescribed()
		if statement.named && s.reserve(len(answer)) {
			statement.reservedBytes += len(answer)
		} else {
			statement.description = nil
		}
	})
}

// emptyDescription returns the description of a statement that has no parameters and returns no rows.
func emptyDescription() []byte {
	return pg.AppendMessage(pg.AppendMessage(nil, pg.MsgParameterDescription, 0, 0), pg.MsgNoData)
}

// sendDescription answers a Describe message from the description of its statement. The answer for a portal has no
// ParameterDescription, and its RowDescription has the result-column format codes of the Bind message.
func (s *session) sendDescription(statement *preparedStatement, objectKind byte, portal *portal) {
	for rest := statement.description; len(rest) > 0; {
		messageType, body, size, err := pg.SplitMessage(rest, pg.MaxMessage)
		if err != nil || size == 0 {
			s.fail(pg.UnknownOutcomeResponse())
			return
		}
		switch {
		case objectKind == kindPortal && messageType == pg.MsgParameterDescription:
		case objectKind == kindPortal && messageType == pg.MsgRowDescription:
			s.output = pg.AppendMessage(s.output, messageType, withFormatCodes(body, portal.bound.resultFormats())...)
		default:
			s.output = append(s.output, rest[:size]...)
		}
		rest = rest[size:]
	}
}

// withFormatCodes returns a copy of the body of a RowDescription with the format codes of a Bind message.
func withFormatCodes(body []byte, codes formatCodes) []byte {
	fields := pg.NewFieldReader(body)
	out := append([]byte(nil), body...)
	columnEnd := columnCountSize
	for i := range fields.Int16() {
		name := fields.Text()
		fields.Bytes(sizeBeforeFormatCode)
		if fields.Malformed {
			return body
		}
		columnEnd += len(name) + 1 + pg.ColumnFieldsSize
		fields.Bytes(formatCodeSize)
		binary.BigEndian.PutUint16(out[columnEnd-formatCodeSize:], codes.code(i))
	}
	return out
}
