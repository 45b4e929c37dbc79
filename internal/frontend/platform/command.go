package platform

import (
	"strconv"
	"strings"

	"merlinjunction/internal/protocol/pg"
)

var _ pg.StreamingCommand = (*statement)(nil)

// AppendTo appends a Query message with the text that the client sent. Only the time left in its annotation is replaced, by
// timeLeftMs in whole milliseconds, at least 1.
func (st *statement) AppendTo(buf []byte, timeLeftMs float64) []byte {
	buf, mark := pg.BeginMessage(buf, pg.MsgQuery)
	buf = append(buf, st.text[:st.timeLeftStart]...)
	buf = strconv.AppendInt(buf, int64(max(1, timeLeftMs)), 10)
	buf = append(buf, st.text[st.timeLeftEnd:]...)
	return pg.EndMessage(append(buf, 0), mark)
}

// Forwards accepts the types of messages in a query result.
func (st *statement) Forwards(messageType byte) bool { return pg.IsQueryResult(messageType) }

// CanStream requires that only a RowDescription precedes the streamed row, and that both have one column.
func (st *statement) CanStream(answer []byte, columns int) bool {
	return pg.MessageTypes(answer) == "T" && pg.ColumnCount(answer) == 1 && columns == 1
}

// IsStreamComplete requires a CommandComplete whose command tag matches the statement.
func (st *statement) IsStreamComplete(answer []byte) bool {
	return pg.MessageTypes(answer) == "C" && st.matchesCommandTag(answer)
}

// IsComplete requires a RowDescription and a DataRow, both with one column, and a CommandComplete whose command tag matches
// the statement.
func (st *statement) IsComplete(answer []byte) bool {
	if pg.MessageTypes(answer) != "TDC" {
		return false
	}
	columns := 0
	for range 2 { // the RowDescription and the DataRow
		columns += pg.ColumnCount(answer)
		_, _, size, _ := pg.SplitMessage(answer, pg.MaxMessage)
		answer = answer[size:]
	}
	return columns == 2 && st.matchesCommandTag(answer)
}

// matchesCommandTag reports whether a CommandComplete has the command tag of an INSERT for a write, or of a SELECT for a
// read.
func (st *statement) matchesCommandTag(commandComplete []byte) bool {
	tagPrefix := "SELECT"
	if st.write {
		tagPrefix = "INSERT"
	}
	return strings.HasPrefix(pg.CommandTag(commandComplete), tagPrefix)
}
