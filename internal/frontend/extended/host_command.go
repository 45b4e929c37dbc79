package extended

import (
	"strings"

	"merlinjunction/internal/protocol/pg"
)

// Each command to a host is one unit that ends in Sync. A host keeps no state between two commands, so that any other
// host can serve the next one.

var (
	_ pg.StreamingCommand = executeCommand{}
	_ pg.StreamingCommand = queryCommand("")
)

// executeCommand runs a portal's statement.
type executeCommand struct{ portal *portal }

// AppendTo appends Parse, Bind, Execute and Sync, all with unnamed objects.
func (c executeCommand) AppendTo(buf []byte, _ float64) []byte {
	buf = appendParse(buf, c.portal.statement)
	buf, mark := pg.BeginMessage(buf, pg.MsgBind)
	buf = append(buf, 0, 0) // the names of the portal and the statement
	buf = pg.EndMessage(append(buf, c.portal.bindFields...), mark)
	buf = pg.AppendMessage(buf, pg.MsgExecute, 0, 0, 0, 0, 0) // the portal's name, no row limit
	return pg.AppendMessage(buf, pg.MsgSync)
}

// Forwards accepts the messages that may answer an Execute.
func (executeCommand) Forwards(kind byte) bool {
	return kind == pg.MsgDataRow || kind == pg.MsgCommandComplete || kind == pg.MsgEmptyQueryResponse
}

// IsComplete requires rows and a CommandComplete, or the answer to an empty statement.
func (executeCommand) IsComplete(answer []byte) bool {
	return isCompleteResult(pg.MessageTypes(answer))
}

// CanStream allows only rows before a streamed one. How many columns the row may have is checked as it passes.
func (executeCommand) CanStream(answer []byte, _ int) bool {
	return isOnlyRows(pg.MessageTypes(answer))
}

// IsStreamComplete requires rows and a CommandComplete.
func (executeCommand) IsStreamComplete(answer []byte) bool {
	return strings.TrimLeft(pg.MessageTypes(answer), "D") == "C"
}

// describeCommand asks for the parameters and columns of a statement.
type describeCommand struct{ statement *preparedStatement }

// AppendTo appends Parse, Describe and Sync, all for the unnamed statement.
func (c describeCommand) AppendTo(buf []byte, _ float64) []byte {
	buf = appendParse(buf, c.statement)
	buf = pg.AppendMessage(buf, pg.MsgDescribe, kindStatement, 0)
	return pg.AppendMessage(buf, pg.MsgSync)
}

// Forwards accepts the messages that may answer a Describe.
func (describeCommand) Forwards(kind byte) bool {
	return kind == pg.MsgParameterDescription || kind == pg.MsgRowDescription || kind == pg.MsgNoData
}

// IsComplete requires the parameters, and the columns or NoData.
func (describeCommand) IsComplete(answer []byte) bool {
	types := pg.MessageTypes(answer)
	return types == "tT" || types == "tn"
}

// queryCommand is a simple query.
type queryCommand string

// AppendTo appends the query.
func (c queryCommand) AppendTo(buf []byte, _ float64) []byte {
	return pg.AppendStrings(buf, pg.MsgQuery, string(c))
}

// Forwards accepts the messages of a query result, and the answer to an empty statement.
func (queryCommand) Forwards(kind byte) bool {
	return pg.IsQueryResult(kind) || kind == pg.MsgEmptyQueryResponse
}

// IsComplete requires rows and a CommandComplete, with or without a RowDescription, or the answer to an empty
// statement.
func (queryCommand) IsComplete(answer []byte) bool {
	return isCompleteResult(strings.TrimPrefix(pg.MessageTypes(answer), "T"))
}

// CanStream allows only a RowDescription and rows before a streamed row.
func (queryCommand) CanStream(answer []byte, _ int) bool {
	return isOnlyRows(strings.TrimPrefix(pg.MessageTypes(answer), "T"))
}

// IsStreamComplete requires rows and a CommandComplete.
func (queryCommand) IsStreamComplete(answer []byte) bool {
	return executeCommand{}.IsStreamComplete(answer)
}

// appendParse appends a Parse message for the unnamed statement.
func appendParse(buf []byte, statement *preparedStatement) []byte {
	buf, mark := pg.BeginMessage(buf, pg.MsgParse)
	buf = append(buf, 0) // the statement's name
	buf = append(append(buf, statement.text...), 0)
	count := len(statement.parameterTypes) / pg.ParameterTypeSize
	buf = append(buf, byte(count>>8), byte(count))
	return pg.EndMessage(append(buf, statement.parameterTypes...), mark)
}

// isCompleteResult reports whether message types are those of rows and CommandComplete, or EmptyQueryResponse.
func isCompleteResult(types string) bool {
	end := strings.TrimLeft(types, "D")
	return end == "C" || end == "I"
}

// isOnlyRows reports whether message types are those of any number of rows.
func isOnlyRows(types string) bool { return strings.Trim(types, "D") == "" }
