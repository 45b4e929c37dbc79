// Package stubserver holds what stand-ins for clients, hosts and discovery speak alike, in the tests and in the laboratory. It
// blocks; the gateway's own side of the protocol is internal/protocol.
package stubserver

import (
	"encoding/binary"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"merlinjunction/internal/protocol/pg"
)

// ReadMessage reads one message of the PostgreSQL wire protocol with a body of at most so many bytes.
func ReadMessage(r io.Reader, most int) (kind byte, body []byte, err error) {
	var head [5]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	n := int(binary.BigEndian.Uint32(head[1:])) - 4
	if n < 0 || n > most {
		return 0, nil, fmt.Errorf("a message of %d bytes", n)
	}
	body = make([]byte, n)
	_, err = io.ReadFull(r, body)
	return head[0], body, err
}

// AcceptStartup reads a client's startup message and returns the answer's beginning: no password is asked for.
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
	column := append([]byte{0, 1, 'v', 0}, make([]byte, 18)...)
	column[13] = 25 // text
	return pg.AppendMessage(out, pg.MsgRowDescription, column...)
}

// AppendRow appends a row of one short value.
func AppendRow(out []byte, value string) []byte {
	return pg.AppendMessage(out, pg.MsgDataRow, append([]byte{0, 1, 0, 0, 0, byte(len(value))}, value...)...)
}

// AwaitChange holds a watch of discovery until there is something newer than the version that the call names, or its time is
// over. state tells whether there is, and is closed when there will be.
func AwaitChange(r *http.Request, state func(since int) (news bool, changed <-chan struct{})) {
	since, err := strconv.Atoi(r.FormValue("since"))
	if err != nil {
		return
	}
	ms, _ := strconv.Atoi(r.FormValue("timeout_ms"))
	if news, changed := state(since); !news {
		select {
		case <-changed:
		case <-time.After(time.Duration(ms) * time.Millisecond):
		case <-r.Context().Done():
		}
	}
}
