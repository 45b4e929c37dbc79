package extended

import (
	"merlinjunction/internal/protocol/pg"
)

// Kinds of objects in Describe and Close messages.
const (
	kindStatement = 'S'
	kindPortal    = 'P'
)

func isObjectKind(kind byte) bool { return kind == kindStatement || kind == kindPortal }

// handleClose handles Close: the kind of object, its name. Closing an unknown name is no error.
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
