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
	// maxPendingBytes bounds the unsent output of a client. Above it, no further messages of the client are processed.
	maxPendingBytes = 512 << 10
)

var _ eventloop.PeerEndHandler = (*Client)(nil)

// Client is a connection from a client. It answers the startup message, passes the further messages to the session one
// by one, and closes the connection.
type Client struct {
	// User and Database are parameters of the startup message. They are set only while ClientPool.NewSession runs, since
	// they can be thousands of bytes long.
	User, Database string

	cancelKey uint64 // process ID and secret key with which a CancelRequest cancels the statement in flight
	pool      *ClientPool
	conn      *eventloop.Conn
	session   Session // nil until the startup message is complete

	closing       bool             // the last message has been written; further input is discarded
	lingerTimer   *eventloop.Timer // limits how long a closing connection waits for its client
	peerEnded     bool             // the client has ended its sending direction; earlier input may be unread
	halfClosed    bool             // the same, and all input has been read; the client may still read
	livenessTimer *eventloop.Timer // until the next liveness check

	processing   bool    // processInput is running; a nested call does nothing
	inBacklog    bool    // the client is in ClientPool.backlog
	expensive    bool    // the messages of the client's last turn took maxTurnMs or longer
	acceptedMs   float64 // time at which the connection was accepted
	sentMessage  bool    // the client has sent a message after the startup message
	lastActiveMs float64 // time of the last message, answer or acknowledgment of output
	// messageDueSinceMs is the time since which a message is due: the client's first message, the rest of an incomplete
	// one, or a complete one that Session.Accepts delays, e.g. until an earlier one is answered. 0 if none is due.
	messageDueSinceMs float64
	unacknowledged    int // bytes of output that the client had not acknowledged at the last sweep
	acknowledged      int // bytes of output that the client had acknowledged at the last call of ReadingState

	reservedInput   int     // bytes of ClientPool.InputMemory that are reserved for the client's input
	inputReservedMs float64 // time of the last change of reservedInput
	lastInputMs     float64 // time at which input was last read
	awaitsInput     bool    // the client is in ClientPool.inputQueue

	readingEnded   bool    // nothing more is read; see ClientPool.DrainBusy
	readingEndedMs float64 // time at which readingEnded was set

	sendBufferLimited bool // the operating system's send buffer is limited, for streaming
	partialMessage    bool // the output ends within a streamed message, whose rest will follow
	forwarded         forwardedRow
	filling           bool // the rest of a row is being sent by FillRow
}

// HasInput reports whether the client has sent messages that were not processed yet.
func (c *Client) HasInput() bool { return len(c.conn.In()) > 0 }

// HasInputAfterSync reports whether the client has sent more after the Sync that ends the current pipeline.
func (c *Client) HasInputAfterSync() bool {
	end := syncEnd(c.conn.In())
	return end > 0 && len(c.conn.In()) > end
}

// syncEnd returns the size of the messages up to and including the first Sync, or 0 if there is no whole Sync.
func syncEnd(input []byte) int {
	end := 0
	for {
		messageType, _, size, err := SplitMessage(input[end:], MaxMessage)
		if err != nil || size == 0 {
			return 0
		}
		end += size
		if messageType == MsgSync {
			return end
		}
	}
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

// FatalError sends an error response with severity FATAL and closes the connection.
func (c *Client) FatalError(response ErrorResponse) {
	response.Fatal = true
	c.Send(response.AppendTo(nil))
	c.closeGracefully()
}

// FatalUnknownMessage sends a fatal error response about a message type that the protocol doesn't define, and closes the
// connection.
func (c *Client) FatalUnknownMessage(messageType byte) {
	c.Fatal(StateProtocol, fmt.Sprintf("unknown message type %q", messageType))
}

// Abort closes the connection at once, in the middle of an answer that can't be completed.
func (c *Client) Abort() { c.close() }

// closeGracefully closes the connection once the client has had time to read the output. Closing it at once, with unread
// input, would reset the connection, and a reset can discard output.
func (c *Client) closeGracefully() {
	if c.closing {
		return
	}
	c.closing = true
	c.dropInputReservation()
	c.pool.closingCount++
	if c.pool.closingCount > maxLingering { // new connections need the file descriptors
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
	c.dropInputReservation()
	if c.session != nil {
		c.session.ClientGone()
	}
}

// Connected does nothing, because an accepted connection is established from the start.
func (c *Client) Connected() {}

// Flushed is called when all output has been sent. It continues whatever was waiting for that: the close of the
// connection, or the session and the processing of input.
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

// Ended is called with io.EOF when the client has ended its sending direction, and with any other error when the
// connection has failed. After io.EOF the client still gets its outstanding answers.
func (c *Client) Ended(err error) {
	c.halfClosed = true
	if !errors.Is(err, io.EOF) || c.closing {
		c.close()
		return
	}
	c.processInput()
	c.startLivenessChecks()
}

// Data is called when input from the client has arrived.
func (c *Client) Data() {
	c.lastInputMs = c.pool.Loop.Clock.Now()
	if c.closing {
		c.conn.Consume(len(c.conn.In()))
		return
	}
	if c.peerEnded {
		c.probeLiveness()
	}
	c.processInput()
	c.startLivenessChecks()
}

// Resume processes the client's next messages. The session calls it after an answer.
func (c *Client) Resume() {
	c.lastActiveMs = c.pool.Loop.Clock.Now()
	c.processInput()
}

// processInput passes messages to the session as long as it accepts them and the client's turn lasts. Once nothing is
// outstanding, it closes the connection if the client has half-closed it or the pool is draining.
func (c *Client) processInput() {
	switch {
	case c.processing || c.closing || c.inBacklog:
	case c.expensive && len(c.conn.In()) > 0:
		c.enterBacklog()
	default:
		c.takeTurn()
	}
}

// takeTurn does the work of processInput.
func (c *Client) takeTurn() {
	c.processing = true
	current := c.beginTurn()
	defer func() {
		c.processing = false
		c.endTurn(current)
	}()
	for {
		if !c.processMessages(current) {
			c.enterBacklog()
			return
		}
		if c.closing || !c.conn.IsOpen() {
			return
		}
		c.releaseInput()
		if len(c.conn.In()) > 0 && c.messageDueSinceMs == 0 {
			c.messageDueSinceMs = c.pool.Loop.Clock.Now()
		}
		if c.busy() || c.conn.Pending() > 0 {
			return
		}
		if c.readingEnded {
			c.closeAfterReading()
			return
		}
		if c.halfClosed { // the rest of an incomplete message can't arrive any more
			c.closeGracefully()
			return
		}
		if !c.pool.draining || !c.closeIfDrained() {
			return
		}
	}
}

// readMore reads the input that has arrived by now and reports whether the unprocessed input has grown.
func (c *Client) readMore() bool {
	inputBefore := len(c.conn.In())
	c.conn.ReadNow()
	return len(c.conn.In()) > inputBefore
}

// processMessage processes one message. It returns false if there is no complete message, the session doesn't accept it
// now, too much output is unsent, or the connection is being closed.
func (c *Client) processMessage() bool {
	if c.closing || !c.conn.IsOpen() || c.conn.Pending() > c.pool.maxPending() {
		return false
	}
	if c.session == nil {
		return c.processStartup()
	}
	c.endReadingIfDue()
	input := c.conn.In()
	if len(input) == 0 || !c.session.Accepts(input[0]) || c.lacksSync() {
		return false
	}
	messageType, body, size, err := SplitMessage(input, MaxMessage)
	switch {
	case err != nil:
		c.handleInvalidMessage(err)
		return false
	case size == 0:
		return false
	case messageType == MsgTerminate:
		c.close()
		return false
	}
	c.lastActiveMs = c.pool.Loop.Clock.Now()
	c.messageDueSinceMs = 0
	c.sentMessage = true
	c.session.HandleMessage(messageType, body)
	if c.conn.IsOpen() {
		c.conn.Consume(size)
	}
	return true
}

// handleInvalidMessage closes the connection because of an invalid message. While the session is busy it does nothing;
// the message is parsed again once the outstanding answers have been sent.
func (c *Client) handleInvalidMessage(err error) {
	switch {
	case c.session.Busy():
	case errors.Is(err, ErrTooLarge):
		c.Fatal(StateTooLarge, "the message is too large")
	default:
		c.Fatal(StateProtocol, err.Error())
	}
}
