// Package pg speaks version 3 of PostgreSQL's wire protocol in both directions: as a server towards clients
// and as a client towards database hosts.
package pg

import (
	"bytes"
	"encoding/binary"
	"errors"
	"strconv"
)

// Message types, named as in PostgreSQL's documentation. Some letters mean different things by direction.
const (
	MsgBind     = 'B'
	MsgClose    = 'C'
	MsgDescribe = 'D'
	MsgExecute  = 'E'
	MsgFlush    = 'H'
	MsgParse    = 'P'
	MsgQuery    = 'Q'
	MsgSync     = 'S'
	MsgEnd      = 'X' // Terminate

	MsgFunctionCall = 'F'
	MsgCopyData     = 'd'
	MsgCopyDone     = 'c'
	MsgCopyFail     = 'f'

	MsgAuthentication  = 'R'
	MsgBackendKeyData  = 'K'
	MsgBindComplete    = '2'
	MsgCloseComplete   = '3'
	MsgComplete        = 'C' // CommandComplete
	MsgDataRow         = 'D'
	MsgEmptyQuery      = 'I'
	MsgError           = 'E'
	MsgNegotiate       = 'v' // NegotiateProtocolVersion
	MsgNotification    = 'A' // NotificationResponse
	MsgNoData          = 'n'
	MsgNotice          = 'N'
	MsgParamDesc       = 't' // ParameterDescription
	MsgParameterStatus = 'S'
	MsgParseComplete   = '1'
	MsgSuspended       = 's' // PortalSuspended
	MsgReady           = 'Z' // ReadyForQuery
	MsgRowDescription  = 'T'
)

// Codes in the place of a protocol version.
const (
	Version3      = 3 << 16
	codeCancel    = 80877102
	codeSSL       = 80877103
	codeGSS       = 80877104
	headerSize    = 5
	startupHeader = 8
	maxStartup    = 10_000
)

// SQLSTATEs.
const (
	StateTooManyConnections = "53300"
	StateCannotConnectNow   = "57P03"
	StateNotSupported       = "0A000"
	StateProtocol           = "08P01"
	StateSyntax             = "42601"
	StateBadParameter       = "22023"
	StateTooLarge           = "54000" // program_limit_exceeded
	StateUnknownOutcome     = "40003" // statement_completion_unknown
	StateNoStatement        = "26000" // invalid_sql_statement_name
	StateNoPortal           = "34000" // invalid_cursor_name
	StateDupStatement       = "42P05" // duplicate_prepared_statement
	StateDupPortal          = "42P03" // duplicate_cursor
	StateCanceled           = "57014" // query_canceled
	StateNoDatabase         = "3D000" // invalid_catalog_name
	stateReadOnly           = "25006"
	stateTooOld             = "72000" // snapshot_too_old
)

// ErrMalformed says that a message is not what its type and length promise.
var ErrMalformed = errors.New("malformed message")

// ErrTooLarge says that a message is longer than is taken here.
var ErrTooLarge = errors.New("message too large")

// SplitMessage splits the first message off buf: its type, its body and its whole size, 0 while it is not all there.
func SplitMessage(buf []byte, most int) (kind byte, body []byte, size int, err error) {
	if len(buf) < headerSize {
		return 0, nil, 0, nil
	}
	n := binary.BigEndian.Uint32(buf[1:])
	switch {
	case n < 4:
		return buf[0], nil, 0, ErrMalformed
	case uint64(n) > uint64(most):
		return buf[0], nil, 0, ErrTooLarge
	case len(buf) < int(n)+1:
		return 0, nil, 0, nil
	}
	return buf[0], buf[headerSize : n+1], int(n) + 1, nil
}

// FieldReader reads the parts of a body in order. After one that is not there, Bad is true.
type FieldReader struct {
	rest      []byte
	Malformed bool
}

// NewFieldReader starts at the front of a body.
func NewFieldReader(body []byte) *FieldReader { return &FieldReader{rest: body} }

// Bytes takes the next n bytes.
func (f *FieldReader) Bytes(n int) []byte {
	if n < 0 || n > len(f.rest) {
		f.Malformed, f.rest = true, nil
		return nil
	}
	b := f.rest[:n:n]
	f.rest = f.rest[n:]
	return b
}

// Byte takes one byte.
func (f *FieldReader) Byte() byte {
	if b := f.Bytes(1); b != nil {
		return b[0]
	}
	return 0
}

// Int16 takes a count, of which there are no negative ones.
func (f *FieldReader) Int16() int {
	if b := f.Bytes(2); b != nil {
		return int(binary.BigEndian.Uint16(b))
	}
	return 0
}

// Int32 takes a signed number.
func (f *FieldReader) Int32() int {
	if b := f.Bytes(4); b != nil {
		return int(int32(binary.BigEndian.Uint32(b)))
	}
	return 0
}

// Text takes a text that ends with a zero byte.
func (f *FieldReader) Text() string {
	i := bytes.IndexByte(f.rest, 0)
	if i < 0 {
		f.Malformed, f.rest = true, nil
		return ""
	}
	s := string(f.rest[:i])
	f.rest = f.rest[i+1:]
	return s
}

// Value takes a length and so many bytes; nil is NULL.
func (f *FieldReader) Value() []byte {
	n := f.Int32()
	if n == -1 {
		return nil
	}
	if b := f.Bytes(n); b != nil {
		return b
	}
	return []byte{}
}

// End tells whether the body was well formed and has been read to its end.
func (f *FieldReader) End() bool { return !f.Malformed && len(f.rest) == 0 }

// longest is how long a message from a host may be, by its type; 0: no host sends it to a gateway. It lets a length
// be judged as soon as the header is there: what claims to be 3 GB is never waited for.
func longest(kind byte) int {
	switch kind {
	case MsgReady, MsgParseComplete, MsgBindComplete, MsgCloseComplete, MsgNoData, MsgEmptyQuery, MsgSuspended:
		return 5
	case MsgDataRow:
		return MaxMessage
	case MsgAuthentication, MsgBackendKeyData, MsgParameterStatus, MsgComplete, MsgError, MsgNotice, MsgNegotiate,
		MsgNotification, MsgParamDesc, MsgRowDescription:
		return maxWords
	}
	return 0
}

// wellFormed tells whether the body of a host's message is what its type promises.
func wellFormed(kind byte, body []byte) bool {
	f := NewFieldReader(body)
	switch kind {
	case MsgReady:
		return len(body) == 1 && bytes.IndexByte([]byte("ITE"), body[0]) >= 0
	case MsgParameterStatus:
		f.Text()
		f.Text()
	case MsgComplete:
		if f.Text() == "" {
			return false
		}
	case MsgError, MsgNotice:
		for field := f.Byte(); field != 0; field = f.Byte() {
			f.Text()
		}
		return f.End() && (kind == MsgNotice || len(stateOf(body)) == 5)
	case MsgRowDescription:
		for range f.Int16() {
			f.Text()
			f.Bytes(18)
		}
	case MsgDataRow:
		for range f.Int16() {
			f.Value()
		}
	case MsgParamDesc:
		f.Bytes(4 * f.Int16())
	case MsgParseComplete, MsgBindComplete, MsgCloseComplete, MsgNoData, MsgEmptyQuery, MsgSuspended:
	default:
		return true
	}
	return f.End()
}

// MessageTypes names the types of the messages in an answer, in order: one row is TDC.
func MessageTypes(answer []byte) string {
	var kinds []byte
	for len(answer) > 0 {
		kind, _, size, err := SplitMessage(answer, maxAnswer)
		if err != nil || size == 0 {
			return "?"
		}
		kinds, answer = append(kinds, kind), answer[size:]
	}
	return string(kinds)
}

// ColumnCount is the number that the first message of an answer, a RowDescription or DataRow, begins with.
func ColumnCount(answer []byte) int {
	_, body, _, _ := SplitMessage(answer, maxAnswer)
	return NewFieldReader(body).Int16()
}

// CommandTag is the text that the first message of an answer, a CommandComplete, begins with.
func CommandTag(answer []byte) string {
	_, body, _, _ := SplitMessage(answer, maxAnswer)
	return NewFieldReader(body).Text()
}

// BeginMessage starts a message; End must follow with the same mark. A type of 0 has no type byte.
func BeginMessage(buf []byte, kind byte) (out []byte, mark int) {
	if kind != 0 {
		buf = append(buf, kind)
	}
	return append(buf, 0, 0, 0, 0), len(buf)
}

// EndMessage fills in the length of the message begun at mark.
func EndMessage(buf []byte, mark int) []byte {
	binary.BigEndian.PutUint32(buf[mark:], uint32(len(buf)-mark))
	return buf
}

// AppendMessage appends a message with a body.
func AppendMessage(buf []byte, kind byte, body ...byte) []byte {
	buf, m := BeginMessage(buf, kind)
	return EndMessage(append(buf, body...), m)
}

// AppendStrings appends a message of zero-terminated texts.
func AppendStrings(buf []byte, kind byte, texts ...string) []byte {
	buf, m := BeginMessage(buf, kind)
	for _, s := range texts {
		buf = append(append(buf, s...), 0)
	}
	return EndMessage(buf, m)
}

// AppendReadyForQuery appends ReadyForQuery, outside a transaction.
func AppendReadyForQuery(buf []byte) []byte { return AppendMessage(buf, MsgReady, 'I') }

// ErrorResponse is what an ErrorResponse says.
type ErrorResponse struct {
	Fatal               bool
	State, Text, Detail string
}

func (f ErrorResponse) Error() string { return f.State + ": " + f.Text }

// Append appends the ErrorResponse.
func (f ErrorResponse) Append(buf []byte) []byte {
	severity := "ERROR"
	if f.Fatal {
		severity = "FATAL"
	}
	buf, m := BeginMessage(buf, MsgError)
	for _, p := range [...]struct {
		field byte
		text  string
	}{{'S', severity}, {'V', severity}, {'C', f.State}, {'M', f.Text}, {'D', f.Detail}} {
		if p.text != "" {
			buf = append(append(append(buf, p.field), p.text...), 0)
		}
	}
	return EndMessage(append(buf, 0), m)
}

// stateOf reads the SQLSTATE out of the body of an ErrorResponse; "" where there is none.
func stateOf(body []byte) string {
	f := NewFieldReader(body)
	for {
		field := f.Byte()
		if field == 0 || f.Malformed {
			return ""
		}
		if s := f.Text(); field == 'C' {
			return s
		}
	}
}

// RejectionError is the answer to a request that may be sent again; afterMs is the hint when, 0 for none.
func RejectionError(afterMs float64) ErrorResponse {
	f := ErrorResponse{State: StateTooManyConnections, Text: "refused, nothing was done; trying again is harmless"}
	if afterMs > 0 {
		f.Detail = strconv.Itoa(int(afterMs))
	}
	return f
}

// UnknownOutcomeError is the answer to a request of which nothing can be promised.
func UnknownOutcomeError() ErrorResponse {
	return ErrorResponse{State: StateUnknownOutcome, Text: "no answer from the database; the statement may have run"}
}

// FailureBody is the response to a request that has failed: the error of a host, or where that is nil
// UnknownOutcomeError.
func FailureBody(hostError []byte) []byte {
	if hostError == nil {
		return UnknownOutcomeError().Append(nil)
	}
	return hostError
}
