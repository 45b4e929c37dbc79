package extended

import (
	"merlinjunction/internal/protocol/pg"
)

// The kinds of objects that a Describe or Close message can name.
const (
	kindStatement = 'S'
	kindPortal    = 'P'
)

func isObjectKind(kind byte) bool { return kind == kindStatement || kind == kindPortal }

// handleClose handles a Close message, whose fields are the kind and the name of the object. As in PostgreSQL, closing an
// object that doesn't exist is not an error.
func (s *session) handleClose(fields *pg.FieldReader) error {
	kind, name := fields.Byte(), fields.Text()
	if !fields.AtEnd() || !isObjectKind(kind) {
		return pg.ErrMalformed
	}
	if kind == kindStatement {
		s.closeStatement(name)
	} else {
		s.dropPortal(name)
	}
	s.output = pg.AppendMessage(s.output, pg.MsgCloseComplete)
	return nil
}
