package pg

const (
	// maxShortMessageLength is the largest length field of messages whose body is empty or, in ReadyForQuery, one byte.
	maxShortMessageLength = lengthSize + 1
	// maxNonRowMessageLength is the largest length field of other messages from a host, except for DataRow.
	maxNonRowMessageLength = 32 << 10
	// ColumnFieldsSize is the size of the fields that follow a column's name in a RowDescription, in bytes: five
	// properties of the column and the format code.
	ColumnFieldsSize = 18
	// ParameterTypeSize is the size of a parameter type's OID, in bytes.
	ParameterTypeSize = 4
)

// maxHostMessageLength returns the largest accepted length field of a message from a host, by the message's type, or 0
// for a type that no host may send to the gateway. The length is checked as soon as the header has arrived, so that the
// gateway never waits for a message of gigabytes.
func maxHostMessageLength(messageType byte) int {
	switch messageType {
	case MsgReadyForQuery, MsgParseComplete, MsgBindComplete, MsgCloseComplete, MsgNoData, MsgEmptyQueryResponse,
		MsgPortalSuspended:
		return maxShortMessageLength
	case MsgDataRow:
		return MaxMessage
	case MsgAuthentication, MsgBackendKeyData, MsgNegotiateProtocolVersion, MsgParameterStatus,
		MsgCommandComplete, MsgErrorResponse, MsgNoticeResponse, MsgNotificationResponse, MsgParameterDescription,
		MsgRowDescription:
		return maxNonRowMessageLength
	}
	return 0
}

// isWellFormed reports whether the body of a host's message matches its type.
func isWellFormed(messageType byte, body []byte) bool {
	fields := NewFieldReader(body)
	switch messageType {
	case MsgReadyForQuery:
		return len(body) == 1 && isTransactionStatus(body[0])
	case MsgParameterStatus:
		fields.Text()
		fields.Text()
	case MsgCommandComplete:
		if fields.Text() == "" {
			return false
		}
	case MsgErrorResponse, MsgNoticeResponse:
		for field := fields.Byte(); field != 0; field = fields.Byte() {
			fields.Text()
		}
		return fields.AtEnd() && (messageType == MsgNoticeResponse || len(sqlStateOf(body)) == sqlStateLen)
	case MsgRowDescription:
		for range fields.Int16() {
			fields.Text()
			fields.Bytes(ColumnFieldsSize)
		}
	case MsgDataRow:
		for range fields.Int16() {
			fields.Value()
		}
	case MsgParameterDescription:
		fields.Bytes(ParameterTypeSize * fields.Int16())
	case MsgParseComplete, MsgBindComplete, MsgCloseComplete, MsgNoData, MsgEmptyQueryResponse, MsgPortalSuspended:
	default:
		return true
	}
	return fields.AtEnd()
}

// isTransactionStatus reports whether a byte is a transaction status of ReadyForQuery.
func isTransactionStatus(status byte) bool {
	return status == transactionIdle || status == transactionOpen || status == transactionFailed
}
