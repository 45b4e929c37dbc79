package extended

import (
	"bytes"

	"merlinjunction/internal/wire/pg"
)

// Each command is one unit that ends in Sync: no host keeps anything between two of them, so any other can
// serve the next.

type executeCommand struct{ *portal }

// AppendTo appends Parse, Bind, Execute and Sync.
func (c executeCommand) AppendTo(buf []byte, _ float64) []byte {
	buf = appendParse(buf, c.statement)
	buf, m := pg.Begin(buf, pg.MsgBind)
	buf = append(buf, 0, 0) // no names
	buf = pg.End(append(buf, c.bind...), m)
	buf = pg.Message(buf, pg.MsgExecute, 0, 0, 0, 0, 0)
	return pg.Message(buf, pg.MsgSync)
}

// Relays passes on what may answer an Execute.
func (executeCommand) Relays(kind byte) bool {
	return bytes.IndexByte([]byte{pg.MsgDataRow, pg.MsgComplete, pg.MsgEmptyQuery}, kind) >= 0
}

type describeCommand struct{ *statement }

// AppendTo appends Parse, Describe and Sync.
func (c describeCommand) AppendTo(buf []byte, _ float64) []byte {
	buf = appendParse(buf, c.statement)
	buf = pg.Message(buf, pg.MsgDescribe, 'S', 0)
	return pg.Message(buf, pg.MsgSync)
}

// Relays passes on what may answer a Describe.
func (describeCommand) Relays(kind byte) bool {
	return bytes.IndexByte([]byte{pg.MsgParamDesc, pg.MsgRowDescription, pg.MsgNoData}, kind) >= 0
}

func appendParse(buf []byte, st *statement) []byte {
	buf, m := pg.Begin(buf, pg.MsgParse)
	buf = append(buf, 0)
	buf = append(append(buf, st.text...), 0)
	buf = append(buf, byte(len(st.types)/4>>8), byte(len(st.types)/4))
	return pg.End(append(buf, st.types...), m)
}

type queryCommand string

// AppendTo appends the simple query.
func (c queryCommand) AppendTo(buf []byte, _ float64) []byte {
	return pg.Texts(buf, pg.MsgQuery, string(c))
}

// Relays passes on the parts of a result.
func (queryCommand) Relays(kind byte) bool {
	return kind == pg.MsgRowDescription || executeCommand{}.Relays(kind)
}
