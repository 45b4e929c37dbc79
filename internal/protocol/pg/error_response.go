package pg

import (
	"strconv"
	"strings"
)

// SQLSTATE codes with PostgreSQL's condition names.
const (
	StateTooManyConnections = "53300" // too_many_connections
	StateCannotConnectNow   = "57P03" // cannot_connect_now
	StateNotSupported       = "0A000" // feature_not_supported
	StateProtocol           = "08P01" // protocol_violation
	StateSyntax             = "42601" // syntax_error
	StateBadParameter       = "22023" // invalid_parameter_value
	StateTooLarge           = "54000" // program_limit_exceeded
	StateUnknownOutcome     = "40003" // statement_completion_unknown
	StateNoStatement        = "26000" // invalid_sql_statement_name
	StateNoPortal           = "34000" // invalid_cursor_name
	StateDuplicateStatement = "42P05" // duplicate_prepared_statement
	StateDuplicatePortal    = "42P03" // duplicate_cursor
	StateCanceled           = "57014" // query_canceled
	StateNoDatabase         = "3D000" // invalid_catalog_name

	stateReadOnly       = "25006" // read_only_sql_transaction
	stateSnapshotTooOld = "72000" // snapshot_too_old
)

const (
	sqlStateLen = 5
	// maxErrorTextBytes limits the text of an error response, which may quote a part of a client's message.
	maxErrorTextBytes = 256
)

// Field types of an ErrorResponse message.
const (
	fieldSeverity             = 'S'
	fieldSeverityNonlocalized = 'V' // never translated
	fieldSQLState             = 'C'
	fieldMessage              = 'M'
	fieldDetail               = 'D'
)

// ErrorResponse holds the fields of an ErrorResponse message.
type ErrorResponse struct {
	Fatal    bool // severity FATAL instead of ERROR: the connection is closed after the message
	SQLState string
	Message  string
	Detail   string // optional
}

// AppendTo appends the encoded message.
func (e ErrorResponse) AppendTo(buf []byte) []byte {
	severity := "ERROR"
	if e.Fatal {
		severity = "FATAL"
	}
	buf, lengthOffset := BeginMessage(buf, MsgErrorResponse)
	buf = appendErrorField(buf, fieldSeverity, severity)
	buf = appendErrorField(buf, fieldSeverityNonlocalized, severity)
	buf = appendErrorField(buf, fieldSQLState, e.SQLState)
	buf = appendErrorField(buf, fieldMessage, e.Message)
	buf = appendErrorField(buf, fieldDetail, e.Detail)
	return EndMessage(append(buf, 0), lengthOffset)
}

// TruncateText returns at most the first 256 bytes of a text for an error response, without a part of a character at its end.
func TruncateText(text string) string {
	return strings.ToValidUTF8(text[:min(len(text), maxErrorTextBytes)], "")
}

// appendErrorField appends a field unless it is empty.
func appendErrorField(buf []byte, field byte, text string) []byte {
	if text == "" {
		return buf
	}
	return appendString(append(buf, field), text)
}

// sqlStateOf returns the SQLSTATE in the body of an ErrorResponse, or "" if it has none.
func sqlStateOf(body []byte) string {
	fields := NewFieldReader(body)
	for {
		field := fields.Byte()
		if field == 0 || fields.Malformed {
			return ""
		}
		if text := fields.Text(); field == fieldSQLState {
			return text
		}
	}
}

// RejectionResponse returns the response to a request that was not answered and that the client can safely retry. Its
// message says that nothing was done, but an idempotent request, or one whose idempotency key all hosts share, may have
// run. The detail is the Retry-After hint in whole milliseconds; it is omitted if retryAfterMs is 0.
func RejectionResponse(retryAfterMs float64) ErrorResponse {
	response := ErrorResponse{
		SQLState: StateTooManyConnections, Message: "refused, nothing was done; trying again is harmless",
	}
	if retryAfterMs > 0 {
		response.Detail = strconv.Itoa(int(retryAfterMs))
	}
	return response
}

// UnknownOutcomeResponse returns the response to a request that may or may not have run.
func UnknownOutcomeResponse() ErrorResponse {
	return ErrorResponse{SQLState: StateUnknownOutcome, Message: "no answer from the database; the statement may have run"}
}

// FailureMessage returns the encoded ErrorResponse for a failed request. It is hostError, the message that a host sent,
// or UnknownOutcomeResponse if hostError is nil.
func FailureMessage(hostError []byte) []byte {
	if hostError == nil {
		return UnknownOutcomeResponse().AppendTo(nil)
	}
	return hostError
}
