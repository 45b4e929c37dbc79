package extended

import (
	"bytes"
	"strings"

	"merlinjunction/internal/protocol/pg"
	"merlinjunction/internal/proxy"
)

// Each command is one unit that ends in Sync: no host keeps anything between two of them, so any other can
// serve the next.

type executeCommand struct{ *portal }

var (
	_ pg.Streamed    = executeCommand{}
	_ pg.Streamed    = queryCommand("")
	_ proxy.Streamer = (*session)(nil)
	_ pg.Flusher     = (*session)(nil)
)

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

// Whole allows rows and their end, or the answer to an empty statement.
func (executeCommand) Whole(answer []byte) bool {
	return ended(pg.Shape(answer))
}

// Opens allows rows before a large one, of which the rest of the row tells whether it is well formed.
func (executeCommand) Opens(answer []byte, _ int) bool {
	return strings.Trim(pg.Shape(answer), "D") == ""
}

// Ends allows rows and their end.
func (executeCommand) Ends(answer []byte) bool { return strings.TrimLeft(pg.Shape(answer), "D") == "C" }

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

// Whole asks for the parameters and the columns, or that there are none.
func (describeCommand) Whole(answer []byte) bool {
	shape := pg.Shape(answer)
	return shape == "tT" || shape == "tn"
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

// Whole allows columns, rows and their end, or the answer to an empty statement.
func (queryCommand) Whole(answer []byte) bool {
	return ended(strings.TrimPrefix(pg.Shape(answer), "T"))
}

// Opens allows columns and rows before a large one.
func (queryCommand) Opens(answer []byte, _ int) bool {
	return strings.Trim(strings.TrimPrefix(pg.Shape(answer), "T"), "D") == ""
}

// Ends allows rows and their end.
func (queryCommand) Ends(answer []byte) bool { return executeCommand{}.Ends(answer) }

// ended tells whether a shape is rows and their end.
func ended(shape string) bool {
	shape = strings.TrimLeft(shape, "D")
	return shape == "C" || shape == "I"
}
