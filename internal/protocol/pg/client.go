package pg

import (
	"errors"
	"fmt"
	"io"

	"merlinjunction/internal/eventloop"
)

const (
	// lingerTimeoutMs is how long a closing connection waits for its client to read the last message.
	lingerTimeoutMs = 500.0
	// maxPendingBytes bounds the unsent output of a client: above it no further messages are processed.
	maxPendingBytes = 512 << 10
	// maxInputBytes bounds the unprocessed input of a client.
	maxInputBytes = MaxMessage + headerSize
)

var _ eventloop.Handler = (*Client)(nil)

// Client is a connection from a client: its startup, its messages one by one, its end.
type Client struct {
	// User and Database are those of the startup message.
	User, Database string

	cancelKey uint64 // with which another connection may cancel the statement in flight
	pool      *ClientPool
	conn      *eventloop.Conn
	session   Session // nil until the startup message is complete

	closing       bool             // the last message is sent; further input is discarded
	lingerTimer   *eventloop.Timer // while it is closing
	halfClosed    bool             // the client sends no more, but may still read
	livenessTimer *eventloop.Timer // until the next liveness check

	processing   bool    // its messages are being processed by a caller further up
	sentMessage  bool    // it has sent a message after the startup
	lastActiveMs float64 // when a message was last received, or some output acknowledged
	// messageDueSinceMs is since when a message is due: its first one, the rest of an incomplete one, or a complete one
	// that Session.Accepts delays, e.g. until the answer to an earlier one. 0 when none is due.
	messageDueSinceMs float64
	unacknowledged    int // bytes of output that it had not acknowledged at the last sweep

	sendBufferLimited bool // the operating system's send buffer is limited, for streaming
	partialMessage    bool // the output ends within a message, whose rest will follow
}

// busy reports whether an answer is outstanding.
func (c *Client) busy() bool { return c.session != nil && c.session.Busy() }

// Send writes complete messages to the client.
func (c *Client) Send(messages []byte) {
	if !c.closing {
		c.partialMessage = false
		c.conn.Write(messages)
	}
}

// Fatal sends a fatal error response and closes the connection.
func (c *Client) Fatal(sqlstate, text string) {
	c.FatalError(ErrorResponse{SQLState: sqlstate, Message: text})
}

// FatalError is Fatal with an error response, which becomes fatal.
func (c *Client) FatalError(response ErrorResponse) {
	response.Fatal = true
	c.Send(response.AppendTo(nil))
	c.closeGracefully()
}

// FatalUnknownMessage closes the connection because of a message type that the protocol doesn't have.
func (c *Client) FatalUnknownMessage(kind byte) {
	c.Fatal(StateProtocol, fmt.Sprintf("unknown message type %q", kind))
}

// Abort closes the connection in the middle of an answer that will never be complete.
func (c *Client) Abort() { c.close() }

// closeGracefully closes the connection once the client has had time to read the output. To close it at once with
// unread input would reset the connection, which can discard output.
func (c *Client) closeGracefully() {
	if c.closing {
		return
	}
	c.closing = true
	c.pool.closingCount++
	if c.pool.closingCount > maxLingering { // their descriptors are needed
		c.close()
		return
	}
	c.lingerTimer = c.pool.Loop.After(lingerTimeoutMs, c.close)
	c.Flushed()
}

// close closes the connection at once and removes it from the pool.
func (c *Client) close() {
	if _, open := c.pool.clients[c]; !open {
		return
	}
	delete(c.pool.clients, c)
	if c.closing {
		c.pool.closingCount--
	}
	c.lingerTimer.Stop()
	c.livenessTimer.Stop()
	c.conn.Close()
	if c.session != nil {
		c.session.ClientGone()
	}
}

// Connected does nothing: the connection was accepted.
func (c *Client) Connected() {}

// Flushed is called when all output has been sent. It continues what unsent output has delayed.
func (c *Client) Flushed() {
	switch {
	case c.conn.Pending() > 0:
	case c.closing && c.halfClosed:
		c.close()
	case c.closing:
		c.conn.CloseWrite()
	default:
		if flusher, ok := c.session.(Flusher); ok {
			flusher.Flushed()
		}
		c.processInput()
	}
}

// Ended is called when the connection has broken, or the client sends no more. In the latter case it still gets its
// answers.
func (c *Client) Ended(err error) {
	c.halfClosed = true
	if !errors.Is(err, io.EOF) || c.closing {
		c.close()
		return
	}
	c.processInput()
	c.startLivenessChecks()
}

// Data is called when the client has sent something.
func (c *Client) Data() {
	if c.closing {
		c.conn.Consume(len(c.conn.In()))
		return
	}
	c.processInput()
	c.startLivenessChecks()
}

// Resume processes the next messages after an answer.
func (c *Client) Resume() {
	c.lastActiveMs = c.pool.Loop.Clock.Now()
	c.processInput()
}

// processInput hands messages to the session as long as it accepts them, and closes a connection that is to end.
func (c *Client) processInput() {
	if c.processing || c.closing {
		return
	}
	c.processing = true
	defer func() { c.processing = false }()
	for {
		for c.processMessage() {
		}
		if len(c.conn.In()) > 0 && c.messageDueSinceMs == 0 {
			c.messageDueSinceMs = c.pool.Loop.Clock.Now()
		}
		if c.closing || !c.conn.IsOpen() || c.busy() || c.conn.Pending() > 0 {
			return
		}
		if c.halfClosed { // an incomplete message can't be completed any more
			c.closeGracefully()
			return
		}
		if !c.pool.draining || !c.closeIfDrained() {
			return
		}
	}
}

// readMore reads what has arrived by now, and reports whether the unprocessed input has grown.
func (c *Client) readMore() bool {
	inputBefore := len(c.conn.In())
	c.conn.ReadNow()
	return len(c.conn.In()) > inputBefore
}

// processMessage processes one message. It returns false when there is none, or the session doesn't accept it now.
func (c *Client) processMessage() bool {
	if c.closing || !c.conn.IsOpen() || c.conn.Pending() > maxPendingBytes {
		return false
	}
	if c.session == nil {
		return c.processStartup()
	}
	input := c.conn.In()
	if len(input) == 0 || !c.session.Accepts(input[0]) {
		return false
	}
	kind, body, size, err := SplitMessage(input, MaxMessage)
	switch {
	case err != nil:
		c.handleInvalidMessage(err)
		return false
	case size == 0:
		return false
	case kind == MsgTerminate:
		c.close()
		return false
	}
	c.lastActiveMs = c.pool.Loop.Clock.Now()
	c.messageDueSinceMs = 0
	c.sentMessage = true
	c.session.HandleMessage(kind, body)
	if c.conn.IsOpen() {
		c.conn.Consume(size)
	}
	return true
}

// handleInvalidMessage closes the connection, once outstanding answers are sent.
func (c *Client) handleInvalidMessage(err error) {
	switch {
	case c.session.Busy():
	case errors.Is(err, ErrTooLarge):
		c.Fatal(StateTooLarge, "the message is too large")
	default:
		c.Fatal(StateProtocol, err.Error())
	}
}
