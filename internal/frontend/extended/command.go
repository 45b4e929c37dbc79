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
	_ pg.StreamingCommand = executeCommand{}
	_ pg.StreamingCommand = queryCommand("")
	_ proxy.Streamer      = (*session)(nil)
	_ pg.Flusher          = (*session)(nil)
)

// AppendTo appends Parse, Bind, Execute and Sync.
func (c executeCommand) AppendTo(buf []byte, _ float64) []byte {
	buf = appendParse(buf, c.statement)
	buf, m := pg.BeginMessage(buf, pg.MsgBind)
	buf = append(buf, 0, 0) // no names
	buf = pg.EndMessage(append(buf, c.bind...), m)
	buf = pg.AppendMessage(buf, pg.MsgExecute, 0, 0, 0, 0, 0)
	return pg.AppendMessage(buf, pg.MsgSync)
}

// Forwards passes on what may answer an Execute.
func (executeCommand) Forwards(kind byte) bool {
	return bytes.IndexByte([]byte{pg.MsgDataRow, pg.MsgComplete, pg.MsgEmptyQuery}, kind) >= 0
}

// IsComplete allows rows and their end, or the answer to an empty statement.
func (executeCommand) IsComplete(answer []byte) bool {
	return ended(pg.MessageTypes(answer))
}

// CanStream allows rows before a large one, of which the rest of the row tells whether it is well formed.
func (executeCommand) CanStream(answer []byte, _ int) bool {
	return strings.Trim(pg.MessageTypes(answer), "D") == ""
}

// IsStreamComplete allows rows and their end.
func (executeCommand) IsStreamComplete(answer []byte) bool {
	return strings.TrimLeft(pg.MessageTypes(answer), "D") == "C"
}

type describeCommand struct{ *statement }

// AppendTo appends Parse, Describe and Sync.
func (c describeCommand) AppendTo(buf []byte, _ float64) []byte {
	buf = appendParse(buf, c.statement)
	buf = pg.AppendMessage(buf, pg.MsgDescribe, 'S', 0)
	return pg.AppendMessage(buf, pg.MsgSync)
}

// Forwards passes on what may answer a Describe.
func (describeCommand) Forwards(kind byte) bool {
	return bytes.IndexByte([]byte{pg.MsgParamDesc, pg.MsgRowDescription, pg.MsgNoData}, kind) >= 0
}

// IsComplete asks for the parameters and the columns, or that there are none.
func (describeCommand) IsComplete(answer []byte) bool {
	shape := pg.MessageTypes(answer)
	return shape == "tT" || shape == "tn"
}

func appendParse(buf []byte, st *statement) []byte {
	buf, m := pg.BeginMessage(buf, pg.MsgParse)
	buf = append(buf, 0)
	buf = append(append(buf, st.text...), 0)
	buf = append(buf, byte(len(st.types)/4>>8), byte(len(st.types)/4))
	return pg.EndMessage(append(buf, st.types...), m)
}

type queryCommand string

// AppendTo appends the simple query.
func (c queryCommand) AppendTo(buf []byte, _ float64) []byte {
	return pg.AppendStrings(buf, pg.MsgQuery, string(c))
}

// Forwards passes on the parts of a result.
func (queryCommand) Forwards(kind byte) bool {
	return kind == pg.MsgRowDescription || executeCommand{}.Forwards(kind)
}

// IsComplete allows columns, rows and their end, or the answer to an empty statement.
func (queryCommand) IsComplete(answer []byte) bool {
	return ended(strings.TrimPrefix(pg.MessageTypes(answer), "T"))
}

// CanStream allows columns and rows before a large one.
func (queryCommand) CanStream(answer []byte, _ int) bool {
	return strings.Trim(strings.TrimPrefix(pg.MessageTypes(answer), "T"), "D") == ""
}

// IsStreamComplete allows rows and their end.
func (queryCommand) IsStreamComplete(answer []byte) bool {
	return executeCommand{}.IsStreamComplete(answer)
}

// ended tells whether a shape is rows and their end.
func ended(shape string) bool {
	shape = strings.TrimLeft(shape, "D")
	return shape == "C" || shape == "I"
}
