package standin

import (
	"net"
	"time"

	"merlinjunction/internal/protocol/pg"
	"merlinjunction/internal/stubserver"
)

const maxMessageBody = 8 << 20

// Client is a connection of a client to the gateway.
type Client struct {
	conn net.Conn
}

// Answer is what the gateway sent up to ReadyForQuery.
type Answer struct {
	SQLState string // of the error; "": no error
	Value    []byte // of the row; nil: no row
	Complete bool   // CommandComplete has come
	Empty    bool   // EmptyQueryResponse has come
	Begun    bool   // a message of a result or an error has come
}

// Outcome names the kind of an answer in the words of the protocol page.
func (a *Answer) Outcome() string {
	switch {
	case a.SQLState == pg.StateTooManyConnections || a.SQLState == pg.StateCannotConnectNow:
		return "refused"
	case a.SQLState != "" || !a.Complete || a.Value == nil:
		return "failed"
	}
	return "served"
}

// Connect connects to the gateway and reads the answer to the startup message.
func Connect(address string) (*Client, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	client := &Client{conn: conn}
	body := append([]byte{0, 3, 0, 0}, "user\x00svc\x00database\x00main\x00\x00"...)
	if err := client.Send(pg.AppendMessage(nil, 0, body...)); err != nil {
		return nil, err
	}
	_, err = client.Receive(time.Now().Add(5 * time.Second))
	return client, err
}

// Send writes bytes.
func (c *Client) Send(data []byte) error {
	_, err := c.conn.Write(data)
	return err
}

// Receive reads one answer. A fatal error that ends the connection is an answer too.
func (c *Client) Receive(deadline time.Time) (Answer, error) {
	var answer Answer
	if err := c.conn.SetReadDeadline(deadline); err != nil {
		return answer, err
	}
	for {
		messageType, body, err := stubserver.ReadMessage(c.conn, maxMessageBody)
		if err != nil {
			if answer.SQLState != "" {
				return answer, nil
			}
			return answer, err
		}
		answer.Begun = answer.Begun || messageType != pg.MsgParameterStatus && messageType != pg.MsgNoticeResponse
		switch messageType {
		case pg.MsgReadyForQuery:
			return answer, nil
		case pg.MsgDataRow:
			fields := pg.NewFieldReader(body)
			fields.Int16()
			answer.Value = fields.Value()
		case pg.MsgCommandComplete:
			answer.Complete = true
		case pg.MsgEmptyQueryResponse:
			answer.Empty = true
		case pg.MsgErrorResponse:
			answer.SQLState = stubserver.ReadSQLState(body)
		}
	}
}

// Close closes the connection.
func (c *Client) Close() { stubserver.CloseQuietly(c.conn) }

// Ask sends one statement on a new connection and returns its answer. sent reports whether the whole statement was written.
func Ask(address, text string, deadline time.Time) (answer Answer, sent bool, err error) {
	client, err := Connect(address)
	if err != nil {
		return answer, false, err
	}
	defer client.Close()
	if err := client.Send(pg.AppendStrings(nil, pg.MsgQuery, text)); err != nil {
		return answer, false, err
	}
	answer, err = client.Receive(deadline)
	return answer, true, err
}
