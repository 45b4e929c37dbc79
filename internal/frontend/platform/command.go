package platform

import (
	"strconv"
	"strings"

	"merlinjunction/internal/protocol/pg"
)

var _ pg.StreamingCommand = (*statement)(nil)

// AppendTo appends the query as the client sent it, with the time that is left now in its annotation.
func (st *statement) AppendTo(buf []byte, timeLeftMs float64) []byte {
	buf, mark := pg.BeginMessage(buf, pg.MsgQuery)
	buf = append(buf, st.text[:st.deadlineStart]...)
	buf = strconv.AppendInt(buf, int64(max(1, timeLeftMs)), 10)
	buf = append(buf, st.text[st.deadlineEnd:]...)
	return pg.EndMessage(append(buf, 0), mark)
}

// Forwards accepts the messages of a query result.
func (st *statement) Forwards(kind byte) bool { return pg.IsQueryResult(kind) }

// CanStream requires that only the RowDescription precedes the row, and that both have one column.
func (st *statement) CanStream(answer []byte, columns int) bool {
	return pg.MessageTypes(answer) == "T" && pg.ColumnCount(answer) == 1 && columns == 1
}

// IsStreamComplete requires the CommandComplete of a statement of this kind.
func (st *statement) IsStreamComplete(answer []byte) bool {
	return pg.MessageTypes(answer) == "C" && st.matchesCommandTag(answer)
}

// IsComplete requires one row of one column, and the CommandComplete of a statement of this kind.
func (st *statement) IsComplete(answer []byte) bool {
	if pg.MessageTypes(answer) != "TDC" {
		return false
	}
	columns := 0
	for range 2 { // of the RowDescription and of the DataRow
		columns += pg.ColumnCount(answer)
		_, _, size, _ := pg.SplitMessage(answer, pg.MaxMessage)
		answer = answer[size:]
	}
	return columns == 2 && st.matchesCommandTag(answer)
}

// matchesCommandTag reports whether a CommandComplete belongs to a statement of this kind.
func (st *statement) matchesCommandTag(commandComplete []byte) bool {
	verb := "SELECT"
	if st.write {
		verb = "INSERT"
	}
	return strings.HasPrefix(pg.CommandTag(commandComplete), verb)
}
