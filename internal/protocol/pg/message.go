// Package pg implements version 3 of PostgreSQL's frontend/backend protocol: the server's side towards clients and the
// client's side towards database hosts.
package pg

import (
	"encoding/binary"
)

// Message types from clients, named as in PostgreSQL's documentation. Some letters stand for one message type from
// clients and for another one from hosts.
const (
	MsgBind         = 'B'
	MsgClose        = 'C'
	MsgCopyData     = 'd'
	MsgCopyDone     = 'c'
	MsgCopyFail     = 'f'
	MsgDescribe     = 'D'
	MsgTerminate    = 'X'
	MsgExecute      = 'E'
	MsgFlush        = 'H'
	MsgFunctionCall = 'F'
	MsgParse        = 'P'
	MsgQuery        = 'Q'
	MsgSync         = 'S'
)

// Message types from hosts, named as in PostgreSQL's documentation.
const (
	MsgAuthentication           = 'R'
	MsgBackendKeyData           = 'K'
	MsgBindComplete             = '2'
	MsgCloseComplete            = '3'
	MsgCommandComplete          = 'C'
	MsgDataRow                  = 'D'
	MsgEmptyQueryResponse       = 'I'
	MsgErrorResponse            = 'E'
	MsgNegotiateProtocolVersion = 'v'
	MsgNoData                   = 'n'
	MsgNoticeResponse           = 'N'
	MsgNotificationResponse     = 'A'
	MsgParameterDescription     = 't'
	MsgParameterStatus          = 'S'
	MsgParseComplete            = '1'
	MsgReadyForQuery            = 'Z'
	MsgRowDescription           = 'T'
	MsgPortalSuspended          = 's'
)

// IsExtendedQuery reports whether messages of a type from clients belong to the extended query protocol and are part of a
// pipeline. Sync, which ends the pipeline, is not included.
func IsExtendedQuery(messageType byte) bool {
	switch messageType {
	case MsgParse, MsgBind, MsgDescribe, MsgExecute, MsgClose, MsgFlush:
		return true
	}
	return false
}

// MaxMessage is the largest accepted length field of a message that is buffered whole, in either direction. It has room
// for a value of 64 KiB in hexadecimal text form.
const MaxMessage = 160 << 10

const (
	lengthSize = 4              // the length field counts itself, but not the type byte
	headerSize = 1 + lengthSize // type byte and length field
)

// Transaction statuses in a ReadyForQuery message.
const (
	transactionIdle   = 'I' // outside a transaction block
	transactionOpen   = 'T' // in a transaction block
	transactionFailed = 'E' // in a failed transaction block: statements are rejected until it ends
)

// SplitMessage returns the type, the body and the size, including the header, of the first message in buf. The size is 0
// while the message is incomplete. The error is ErrTooLarge if the length field exceeds maxLength, and ErrMalformed if it
// is smaller than the field's own size.
func SplitMessage(buf []byte, maxLength int) (messageType byte, body []byte, size int, err error) {
	if len(buf) < headerSize {
		return 0, nil, 0, nil
	}
	length := binary.BigEndian.Uint32(buf[1:])
	switch {
	case length < lengthSize:
		return buf[0], nil, 0, ErrMalformed
	case uint64(length) > uint64(maxLength):
		return buf[0], nil, 0, ErrTooLarge
	case len(buf) < int(length)+1:
		return 0, nil, 0, nil
	}
	return buf[0], buf[headerSize : length+1], int(length) + 1, nil
}

// BeginMessage appends a message's header with an unset length field, which starts at lengthOffset. EndMessage sets
// the length. A messageType of 0 stands for a startup message, which has no type byte.
func BeginMessage(buf []byte, messageType byte) (out []byte, lengthOffset int) {
	if messageType != 0 {
		buf = append(buf, messageType)
	}
	return append(buf, 0, 0, 0, 0), len(buf)
}

// EndMessage sets the length field at lengthOffset, as returned by BeginMessage, for a message that ends where buf ends.
func EndMessage(buf []byte, lengthOffset int) []byte {
	binary.BigEndian.PutUint32(buf[lengthOffset:], uint32(len(buf)-lengthOffset))
	return buf
}

// AppendMessage appends a message with the given type and body.
func AppendMessage(buf []byte, messageType byte, body ...byte) []byte {
	buf, lengthOffset := BeginMessage(buf, messageType)
	return EndMessage(append(buf, body...), lengthOffset)
}

// AppendStrings appends a message whose body is a list of zero-terminated strings.
func AppendStrings(buf []byte, messageType byte, texts ...string) []byte {
	buf, lengthOffset := BeginMessage(buf, messageType)
	for _, text := range texts {
		buf = appendString(buf, text)
	}
	return EndMessage(buf, lengthOffset)
}

// appendString appends a string with its terminating zero byte.
func appendString(buf []byte, text string) []byte {
	return append(append(buf, text...), 0)
}

// AppendReadyForQuery appends a ReadyForQuery message with the status of a session outside a transaction block.
func AppendReadyForQuery(buf []byte) []byte {
	return AppendMessage(buf, MsgReadyForQuery, transactionIdle)
}
