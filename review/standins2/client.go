package main

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"merlinjunction/internal/protocol/pg"
	"merlinjunction/internal/stubserver"
)

// client is one connection of a client.
type client struct {
	conn net.Conn
	// pause is called after each part of a large answer that the client reads.
	pause func(part int)
}

// answer is what a gateway answered to one query.
type answer struct {
	empty bool
	value string
	code  string // SQLSTATE; "" if it was served
}

// outcome returns the answer in a word.
func (a answer) outcome() string {
	switch a.code {
	case "":
		return "served"
	case "53300", "57P03":
		return "refused " + a.code
	}
	return "failed " + a.code
}

// dialClient connects and writes the startup message. receiveBuffer is the size of the client's receive buffer; 0: the
// system's.
func dialClient(address string, receiveBuffer int) (*client, error) {
	dialer := net.Dialer{Timeout: time.Second}
	if receiveBuffer > 0 {
		dialer.Control = func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
			})
		}
	}
	conn, err := dialer.DialContext(context.Background(), "tcp4", address)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn}
	startup := binary.BigEndian.AppendUint32([]byte{0, 0, 0, 0}, pg.Version3)
	for _, text := range []string{"user", "svc", "database", "main", ""} {
		startup = append(append(startup, text...), 0)
	}
	binary.BigEndian.PutUint32(startup, uint32(len(startup)))
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := conn.Write(startup); err != nil {
		c.close()
		return nil, err
	}
	if _, err := c.readAnswer(); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *client) close() { _ = c.conn.Close() }

// send writes queries in one piece.
func (c *client) send(texts ...string) error {
	var out []byte
	for _, text := range texts {
		out = pg.AppendStrings(out, pg.MsgQuery, text)
	}
	_, err := c.conn.Write(out)
	return err
}

// ask sends one query and reads its answer.
func (c *client) ask(text string, patience time.Duration) (answer, error) {
	_ = c.conn.SetDeadline(time.Now().Add(patience))
	if err := c.send(text); err != nil {
		return answer{}, err
	}
	return c.readAnswer()
}

// readAnswer reads messages up to ReadyForQuery.
func (c *client) readAnswer() (a answer, err error) {
	for {
		messageType, body, err := c.readMessage()
		if err != nil {
			return a, err
		}
		switch messageType {
		case pg.MsgReadyForQuery:
			return a, nil
		case pg.MsgEmptyQueryResponse:
			a.empty = true
		case pg.MsgErrorResponse:
			a.code = stubserver.ReadSQLState(body)
		case pg.MsgDataRow:
			fields := pg.NewFieldReader(body)
			if fields.Int16() != 1 {
				return a, errors.New("a row without one column")
			}
			a.value = string(fields.Value())
		}
	}
}

func (c *client) readMessage() (messageType byte, body []byte, err error) {
	var header [5]byte
	if _, err := io.ReadFull(c.conn, header[:]); err != nil {
		return 0, nil, err
	}
	size := int(binary.BigEndian.Uint32(header[1:])) - 4
	if size < 0 || size > 8<<20 {
		return 0, nil, fmt.Errorf("a message of %d bytes", size)
	}
	body = make([]byte, size)
	for read, part := 0, 0; read < size; part++ {
		end := size
		if c.pause != nil {
			end = min(size, read+4<<10)
		}
		n, err := io.ReadFull(c.conn, body[read:end])
		if read += n; err != nil {
			return 0, nil, err
		}
		if c.pause != nil && size > 4<<10 {
			c.pause(part)
		}
	}
	return header[0], body, nil
}

// requestNumber makes the ids of requests.
var requestNumber atomic.Int64

// query returns a statement in the platform's form with a new id. A value makes it a write.
func query(class, key, value string, timeLeftMs int) (id, text string) {
	number := requestNumber.Add(1)
	id = fmt.Sprintf("r%d", number)
	if value == "" {
		text = fmt.Sprintf("SELECT v FROM records WHERE k = '%s' /* id=%s,c=%s,t=ipparina,d=%d,cluster=3 */", key, id, class, timeLeftMs)
		return id, text
	}
	text = fmt.Sprintf("INSERT INTO records (k, v) VALUES ('%s', '\\x%x') RETURNING v /* id=%s,c=%s,t=ipparina,d=%d,k=k%d,cluster=3 */",
		key, value, id, class, timeLeftMs, number)
	return id, text
}
