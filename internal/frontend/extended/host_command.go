package extended

import (
	"strings"

	"merlinjunction/internal/protocol/pg"
)

// Each command to a host is self-contained: it is a simple query, or messages of the extended query protocol up to a Sync.
// A host keeps no state between two commands, so that another host can serve the next one.

var (
	_ pg.StreamingCommand = executeCommand{}
	_ pg.StreamingCommand = queryCommand("")

	_ pg.LargeCommand = executeCommand{}
	_ pg.LargeCommand = describeCommand{}
	_ pg.LargeCommand = queryCommand("")
)

// executeCommand is the command that runs the statement of a portal.
type executeCommand struct{ portal *portal }

// AppendTo appends Parse, Bind, Execute and Sync messages for the unnamed statement and the unnamed portal.
func (c executeCommand) AppendTo(buf []byte, _ float64) []byte {
	buf = appendParse(buf, c.portal.statement)
	buf, mark := pg.BeginMessage(buf, pg.MsgBind)
	buf = append(buf, 0, 0) // the empty names of the portal and the statement
	buf = pg.EndMessage(append(buf, c.portal.bound...), mark)
	buf = pg.AppendMessage(buf, pg.MsgExecute, 0, 0, 0, 0, 0) // the empty name of the portal, and no row limit
	return pg.AppendMessage(buf, pg.MsgSync)
}

// Sent drops the portal.
func (executeCommand) Sent() pg.Command { return executeCommand{} }

// Forwards accepts the types of messages that may answer an Execute.
func (executeCommand) Forwards(messageType byte) bool {
	return messageType == pg.MsgDataRow || messageType == pg.MsgCommandComplete || messageType == pg.MsgEmptyQueryResponse
}

// IsComplete requires any number of rows followed by a CommandComplete, or an EmptyQueryResponse.
func (executeCommand) IsComplete(answer []byte) bool {
	return isCompleteResult(pg.MessageTypes(answer))
}

// CanStream requires that only rows precede the streamed row. It doesn't check the number of columns: that is checked while
// the row is forwarded.
func (executeCommand) CanStream(answer []byte, _ int) bool {
	return isOnlyRows(pg.MessageTypes(answer))
}

// IsStreamComplete requires any number of rows followed by a CommandComplete.
func (executeCommand) IsStreamComplete(answer []byte) bool {
	return strings.TrimLeft(pg.MessageTypes(answer), "D") == "C"
}

// describeCommand is the command that asks for the parameter types and the columns of a statement.
type describeCommand struct{ statement *preparedStatement }

// AppendTo appends Parse, Describe and Sync messages for the unnamed statement.
func (c describeCommand) AppendTo(buf []byte, _ float64) []byte {
	buf = appendParse(buf, c.statement)
	buf = pg.AppendMessage(buf, pg.MsgDescribe, kindStatement, 0)
	return pg.AppendMessage(buf, pg.MsgSync)
}

// Sent drops the statement.
func (describeCommand) Sent() pg.Command { return describeCommand{} }

// Forwards accepts the types of messages that may answer a Describe.
func (describeCommand) Forwards(messageType byte) bool {
	return messageType == pg.MsgParameterDescription || messageType == pg.MsgRowDescription || messageType == pg.MsgNoData
}

// IsComplete requires a ParameterDescription followed by a RowDescription or NoData.
func (describeCommand) IsComplete(answer []byte) bool {
	types := pg.MessageTypes(answer)
	return types == "tT" || types == "tn"
}

// queryCommand is the command that runs a simple query.
type queryCommand string

// AppendTo appends a Query message.
func (c queryCommand) AppendTo(buf []byte, _ float64) []byte {
	return pg.AppendStrings(buf, pg.MsgQuery, string(c))
}

// Sent drops the text.
func (queryCommand) Sent() pg.Command { return queryCommand("") }

// Forwards accepts the types of messages in a query result, and EmptyQueryResponse.
func (queryCommand) Forwards(messageType byte) bool {
	return pg.IsQueryResult(messageType) || messageType == pg.MsgEmptyQueryResponse
}

// IsComplete requires an optional RowDescription, followed by any number of rows and a CommandComplete or by an
// EmptyQueryResponse.
func (queryCommand) IsComplete(answer []byte) bool {
	return isCompleteResult(strings.TrimPrefix(pg.MessageTypes(answer), "T"))
}

// CanStream requires that only a RowDescription and rows precede the streamed row.
func (queryCommand) CanStream(answer []byte, _ int) bool {
	return isOnlyRows(strings.TrimPrefix(pg.MessageTypes(answer), "T"))
}

// IsStreamComplete requires any number of rows followed by a CommandComplete.
func (queryCommand) IsStreamComplete(answer []byte) bool {
	return executeCommand{}.IsStreamComplete(answer)
}

// appendParse appends a Parse message for the unnamed statement.
func appendParse(buf []byte, statement *preparedStatement) []byte {
	buf, mark := pg.BeginMessage(buf, pg.MsgParse)
	buf = append(buf, 0) // the empty name of the statement
	buf = append(append(buf, statement.text...), 0)
	count := len(statement.parameterTypes) / pg.ParameterTypeSize
	buf = append(buf, byte(count>>8), byte(count))
	return pg.EndMessage(append(buf, statement.parameterTypes...), mark)
}

// isCompleteResult reports whether the message types are any number of DataRows followed by a CommandComplete or an
// EmptyQueryResponse.
func isCompleteResult(types string) bool {
	end := strings.TrimLeft(types, "D")
	return end == "C" || end == "I"
}

// isOnlyRows reports whether all message types are DataRow. It is true for no messages.
func isOnlyRows(types string) bool { return strings.Trim(types, "D") == "" }
