// Package stubserver holds the code that the stub database hosts and the stub discovery services of the tests and of the
// fault simulator share: messages of the PostgreSQL wire protocol, a listener that tracks its connections, the statement
// that a connection executes, and the endpoint list. Its functions block. The gateway's implementation of the protocols is
// in internal/protocol.
package stubserver

import (
	"encoding/binary"
	"fmt"
	"io"

	"merlinjunction/internal/protocol/pg"
)

// The layout of the column description that AppendColumnDescription appends.
const (
	textTypeOID    = 25 // PostgreSQL's object ID of the type text
	typeOIDAt      = 13 // offset of the type's last byte in the whole description
	columnTailSize = 18 // number of bytes after the column's name
)

// The sizes of the header fields of a message, in bytes.
const (
	lengthSize        = 4 // the length field counts itself, but not the type byte
	messageHeaderSize = 1 + lengthSize
)

// StateReadOnly is the SQLSTATE with which a replica rejects a write (read_only_sql_transaction).
const StateReadOnly = "25006"

// ReadMessage reads one message of the PostgreSQL wire protocol. It returns an error if reading fails, the length field
// is invalid or the body is longer than maxBody bytes.
func ReadMessage(r io.Reader, maxBody int) (messageType byte, body []byte, err error) {
	var header [messageHeaderSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, nil, err
	}
	size := int(binary.BigEndian.Uint32(header[1:])) - lengthSize
	if size < 0 || size > maxBody {
		return 0, nil, fmt.Errorf("message body of %d bytes is outside the range 0 to %d", size, maxBody)
	}
	body = make([]byte, size)
	_, err = io.ReadFull(r, body)
	return header[0], body, err
}

// ReadSQLState returns the SQLSTATE in the body of an ErrorResponse, or "" if the body has none.
func ReadSQLState(body []byte) (sqlstate string) {
	const sqlStateField = 'C'
	fields := pg.NewFieldReader(body)
	for field := fields.Byte(); field != 0 && !fields.Malformed; field = fields.Byte() {
		if text := fields.Text(); field == sqlStateField {
			sqlstate = text
		}
	}
	return sqlstate
}

// AcceptStartup reads a client's startup message and returns the first message of the answer, which accepts the client
// without a password.
func AcceptStartup(r io.Reader) ([]byte, error) {
	var length [lengthSize]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, err
	}
	if _, err := io.CopyN(io.Discard, r, int64(binary.BigEndian.Uint32(length[:]))-lengthSize); err != nil {
		return nil, err
	}
	return pg.AppendMessage(nil, pg.MsgAuthentication, 0, 0, 0, 0), nil
}

// AppendColumnDescription appends the RowDescription of a row with one column of type text.
func AppendColumnDescription(out []byte) []byte {
	column := append([]byte{0, 1, 'v', 0}, make([]byte, columnTailSize)...)
	column[typeOIDAt] = textTypeOID
	return pg.AppendMessage(out, pg.MsgRowDescription, column...)
}

// AppendRow appends the DataRow of a row with one value of at most 255 bytes.
func AppendRow(out []byte, value string) []byte {
	return pg.AppendMessage(out, pg.MsgDataRow, append([]byte{0, 1, 0, 0, 0, byte(len(value))}, value...)...)
}
