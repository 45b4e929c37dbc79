// Package pg speaks version 3 of PostgreSQL's wire protocol in both directions: as a server towards clients and as a
// client towards database hosts.
package pg

import (
	"encoding/binary"
)

// Types of messages from clients, named as in PostgreSQL's documentation. Some letters are in use in both directions.
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

// Types of messages from hosts, named likewise.
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

// MaxMessage bounds a message in either direction, in bytes. It holds a value of 64 KiB as hexadecimal text.
const MaxMessage = 160 << 10

const (
	lengthSize = 4              // a length counts itself, but not the type byte
	headerSize = 1 + lengthSize // type and length
)

// Transaction statuses in a ReadyForQuery message.
const (
	transactionIdle   = 'I' // outside a transaction block
	transactionOpen   = 'T'
	transactionFailed = 'E' // in a transaction block whose further statements are rejected
)

// SplitMessage splits the first message off buf: its type, its body and its size with the header. The size is 0 while
// the message is incomplete. A length over maxLength is ErrTooLarge, an impossible one ErrMalformed.
func SplitMessage(buf []byte, maxLength int) (kind byte, body []byte, size int, err error) {
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

// BeginMessage appends a message's header, to be completed by EndMessage with the returned mark. A startup message has
// the type 0: it has no type byte.
func BeginMessage(buf []byte, kind byte) (out []byte, mark int) {
	if kind != 0 {
		buf = append(buf, kind)
	}
	return append(buf, 0, 0, 0, 0), len(buf)
}

// EndMessage sets the length of the message that was begun at mark.
func EndMessage(buf []byte, mark int) []byte {
	binary.BigEndian.PutUint32(buf[mark:], uint32(len(buf)-mark))
	return buf
}

// AppendMessage appends a message.
func AppendMessage(buf []byte, kind byte, body ...byte) []byte {
	buf, mark := BeginMessage(buf, kind)
	return EndMessage(append(buf, body...), mark)
}

// AppendStrings appends a message whose body is a list of strings.
func AppendStrings(buf []byte, kind byte, texts ...string) []byte {
	buf, mark := BeginMessage(buf, kind)
	for _, text := range texts {
		buf = appendString(buf, text)
	}
	return EndMessage(buf, mark)
}

// appendString appends a string with its terminating zero byte.
func appendString(buf []byte, text string) []byte {
	return append(append(buf, text...), 0)
}

// AppendReadyForQuery appends a ReadyForQuery message outside a transaction block.
func AppendReadyForQuery(buf []byte) []byte {
	return AppendMessage(buf, MsgReadyForQuery, transactionIdle)
}
