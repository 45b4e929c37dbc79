// Package stubserver holds what the stub database hosts and the stub discovery of the tests and of the fault simulator
// have in common: framing of the PostgreSQL wire protocol, a listener that tracks its connections, the statement that a
// connection works on, and the endpoint list. It blocks; the gateway's own side of the protocols is internal/protocol.
package stubserver

import (
	"encoding/binary"
	"fmt"
	"io"

	"merlinjunction/internal/protocol/pg"
)

const (
	textTypeOID    = 25 // PostgreSQL's object ID of the type text
	typeOIDAt      = 13 // offset of the type's last byte in the one-column description below
	columnTailSize = 18 // bytes of a column's description behind its name
)

// StateReadOnly is the SQLSTATE of a write at a replica (read_only_sql_transaction).
const StateReadOnly = "25006"

// ReadMessage reads one message of the PostgreSQL wire protocol with a body of at most maxBody bytes.
func ReadMessage(r io.Reader, maxBody int) (kind byte, body []byte, err error) {
	var head [5]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	n := int(binary.BigEndian.Uint32(head[1:])) - 4
	if n < 0 || n > maxBody {
		return 0, nil, fmt.Errorf("a message of %d bytes", n)
	}
	body = make([]byte, n)
	_, err = io.ReadFull(r, body)
	return head[0], body, err
}

// AcceptStartup reads a client's startup message and returns the beginning of the answer: no password is asked for.
func AcceptStartup(r io.Reader) ([]byte, error) {
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return nil, err
	}
	if _, err := io.CopyN(io.Discard, r, int64(binary.BigEndian.Uint32(size[:]))-4); err != nil {
		return nil, err
	}
	return pg.AppendMessage(nil, pg.MsgAuthentication, 0, 0, 0, 0), nil
}

// AppendColumnDescription appends the description of a row with one column of text.
func AppendColumnDescription(out []byte) []byte {
	column := append([]byte{0, 1, 'v', 0}, make([]byte, columnTailSize)...)
	column[typeOIDAt] = textTypeOID
	return pg.AppendMessage(out, pg.MsgRowDescription, column...)
}

// AppendRow appends a row of one value of at most 255 bytes.
func AppendRow(out []byte, value string) []byte {
	return pg.AppendMessage(out, pg.MsgDataRow, append([]byte{0, 1, 0, 0, 0, byte(len(value))}, value...)...)
}
