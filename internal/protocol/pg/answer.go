package pg

import "merlinjunction/routing"

// maxAnswerBytes bounds the buffered part of a host's answer.
const maxAnswerBytes = 256 << 10

// MessageTypes returns the types of the messages in an answer, in order: "TDC" for a query result with one row. It
// returns "?" for an answer that doesn't consist of complete messages.
func MessageTypes(answer []byte) string {
	var types []byte
	for len(answer) > 0 {
		messageType, _, size, err := SplitMessage(answer, maxAnswerBytes)
		if err != nil || size == 0 {
			return "?"
		}
		types, answer = append(types, messageType), answer[size:]
	}
	return string(types)
}

// ColumnCount returns the number of columns of the RowDescription or DataRow that an answer begins with.
func ColumnCount(answer []byte) int {
	_, body, _, _ := SplitMessage(answer, maxAnswerBytes)
	return NewFieldReader(body).Int16()
}

// CommandTag returns the tag of the CommandComplete that an answer begins with.
func CommandTag(answer []byte) string {
	_, body, _, _ := SplitMessage(answer, maxAnswerBytes)
	return NewFieldReader(body).Text()
}

// IsQueryResult reports whether a message type occurs in the result of a simple query with rows: RowDescription,
// DataRow or CommandComplete.
func IsQueryResult(messageType byte) bool {
	return messageType == MsgRowDescription || messageType == MsgDataRow || messageType == MsgCommandComplete
}

// outcomeOf returns the outcome of an attempt from the SQLSTATE of its answer. The SQLSTATE is "" if the attempt succeeded.
func outcomeOf(sqlState string) routing.Outcome {
	switch sqlState {
	case "":
		return routing.OutcomeOK
	case stateReadOnly, stateSnapshotTooOld:
		return routing.OutcomeMisdirected
	case StateTooManyConnections, StateCannotConnectNow:
		return routing.OutcomeRejected
	}
	return routing.OutcomeError
}

// isStatementError reports whether an SQLSTATE denotes an error in the statement itself. Every host would return such an
// error, so it is forwarded to the client. Errors of the SQLSTATE classes 08, 25, 40, 53, 54, 57, 58, 72 and XX depend on
// the host or the time of the attempt instead.
func isStatementError(sqlState string) bool {
	if len(sqlState) != sqlStateLen {
		return false
	}
	switch sqlState[:2] {
	case "0A", "22", "23", "26", "42", "44", "P0":
		return true
	}
	return false
}
