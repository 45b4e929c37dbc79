package pg

import (
	"errors"
	"io"
	"strconv"

	"merlinjunction/internal/eventloop"
	"merlinjunction/internal/proxy"
	"merlinjunction/routing"
)

var (
	_ proxy.UpstreamConn = (*hostConn)(nil)
	_ eventloop.Handler  = (*hostConn)(nil)
)

// hostConn is a connection to a database host. It has one command in flight at a time.
type hostConn struct {
	dialer      *HostDialer
	handler     proxy.UpstreamHandler
	conn        *eventloop.Conn
	established bool         // the host has accepted the connection
	role        routing.Role // last role that the host reported; only with HostDialer.RoleOnChange
	hostClosed  bool         // the host has ended its sending direction; earlier input is still processed

	command  Command // nil when none is in flight
	written  bool    // the last byte of the command has been sent, so the command may run
	response proxy.Response
	sqlState string // SQLSTATE of the answer's first error; "" if there is none

	stream rowStream
}

// Send writes a command. The previous one must have been answered.
func (c *hostConn) Send(command any, timeLeftMs float64) {
	c.command = command.(Command)
	c.written = false
	c.response = proxy.Response{}
	c.sqlState = ""
	c.stream.active = false
	c.conn.Write(c.command.AppendTo(nil, timeLeftMs))
	c.notifyWritten()
}

// CheckIdle reads the input that has arrived. Messages that the protocol allows at any time are processed. Any other input
// ends the connection, including an incomplete message.
func (c *hostConn) CheckIdle() {
	c.conn.ReadNow()
	if c.conn.IsOpen() && len(c.conn.In()) > 0 {
		c.Ended(errUnsolicitedMessage)
	}
}

// notifyWritten notifies the handler once the last byte of the command has been sent.
func (c *hostConn) notifyWritten() {
	if c.command != nil && !c.written && c.conn.Pending() == 0 && c.conn.IsOpen() {
		c.written = true
		if command, ok := c.command.(LargeCommand); ok {
			c.command = command.Sent()
		}
		c.handler.RequestWritten()
	}
}

// Close closes the connection without notifying the handler.
func (c *hostConn) Close() { c.conn.Close() }

// Connected does nothing: the connection is established once the host has answered the startup message.
func (c *hostConn) Connected() {}

// Flushed is called when all output has been sent.
func (c *hostConn) Flushed() { c.notifyWritten() }

// Ended is called with io.EOF when the host has ended its sending direction, and with any other error when the connection
// has failed. After io.EOF the part of a streamed row that the host has sent is still forwarded.
func (c *hostConn) Ended(err error) {
	if errors.Is(err, io.EOF) && c.stream.active && len(c.conn.In()) > 0 && !c.hostClosed {
		c.hostClosed = true
		return
	}
	c.conn.Close()
	if err == nil || errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	c.handler.ConnectionClosed(err)
}

// Data is called when input from the host has arrived, and when the client can receive more of a streamed row.
func (c *hostConn) Data() {
	c.processInput()
	if c.hostClosed && c.conn.IsOpen() && len(c.conn.In()) == 0 {
		c.Ended(io.ErrUnexpectedEOF)
	}
}

// processInput processes messages and parts of streamed rows until processNext has to wait. An error ends the connection.
func (c *hostConn) processInput() {
	for c.conn.IsOpen() && (len(c.conn.In()) > 0 || len(c.stream.buffered) > 0) {
		progress, err := c.processNext()
		if err != nil {
			c.Ended(err)
			return
		}
		if !progress {
			return
		}
	}
}

// processNext processes the next message or part of a streamed row. It returns false when it has to wait for more
// input, or for the client to read more of a streamed row.
func (c *hostConn) processNext() (progress bool, err error) {
	if c.stream.pending() {
		return c.forwardStream()
	}
	streamed, err := c.beginStream()
	if err != nil {
		return false, err
	}
	if streamed {
		headerComplete := c.stream.rowBytesLeft > 0
		return headerComplete, nil
	}
	return c.processMessage()
}

// processMessage processes the next message if it is complete.
func (c *hostConn) processMessage() (progress bool, err error) {
	maxLength := maxHostMessageLength(c.conn.In()[0])
	if maxLength == 0 {
		return false, errInvalidAnswer
	}
	messageType, body, size, err := SplitMessage(c.conn.In(), maxLength)
	if err != nil {
		return false, err
	}
	if size == 0 {
		return false, nil
	}
	readyForQuery, err := c.handleMessage(messageType, body, c.conn.In()[:size])
	if err != nil {
		return false, err
	}
	c.conn.Consume(size)
	if !readyForQuery {
		return true, nil
	}
	if !c.established {
		return true, c.finishStartup()
	}
	return true, c.finishResponse()
}

// handleMessage handles one message. raw is the whole message with its header. It returns true for ReadyForQuery.
func (c *hostConn) handleMessage(messageType byte, body, raw []byte) (readyForQuery bool, err error) {
	if !isWellFormed(messageType, body) {
		return false, errInvalidAnswer
	}
	switch messageType {
	case MsgReadyForQuery:
		if c.established && c.command == nil {
			return false, errUnsolicitedMessage
		}
		return true, nil
	case MsgParameterStatus:
		c.handleParameterStatus(body)
		return false, nil
	case MsgNoticeResponse, MsgNotificationResponse:
		return false, nil
	case MsgErrorResponse:
		return false, c.handleError(body, raw)
	}
	return false, c.handleResult(messageType, body, raw)
}

// handleParameterStatus reads the host's role or position from a parameter. A position that can't be parsed is ignored.
// So is an unknown role, except that with HostDialer.RoleOnChange it replaces the last reported one.
func (c *hostConn) handleParameterStatus(body []byte) {
	fields := NewFieldReader(body)
	name, value := fields.Text(), fields.Text()
	switch name {
	case c.dialer.RoleParameter:
		role := c.dialer.roleOf(value)
		if role != routing.RoleUnknown {
			c.response.Role, c.response.RoleAtMs = role, c.reportedAtMs()
		}
		if c.dialer.RoleOnChange {
			c.role = role
		}
	case c.dialer.PositionParameter:
		if positionMs, err := strconv.ParseFloat(value, 64); err == nil {
			c.response.PositionMs = positionMs
		}
	}
}

// reportedAtMs returns the time from which a report in the answer counts. Behind a streamed row it is when the row began:
// the row is read no faster than the client reads it, so the host may have written the report long ago.
func (c *hostConn) reportedAtMs() float64 {
	if c.stream.active {
		return c.stream.beganAtMs
	}
	return c.dialer.Loop.Clock.Now()
}

// handleError handles an ErrorResponse. The first one for a command becomes part of its answer; later ones are ignored.
// An ErrorResponse without a command means that the host rejects or closes the connection.
func (c *hostConn) handleError(body, raw []byte) error {
	sqlState := sqlStateOf(body)
	if c.command == nil {
		return &ConnectionRejectedError{SQLState: sqlState}
	}
	if c.sqlState == "" {
		c.sqlState = sqlState
		return c.appendToBody(raw)
	}
	return nil
}

// appendToBody appends a message to the answer. The answer counts towards the limit of all buffers until it is complete.
func (c *hostConn) appendToBody(raw []byte) error {
	if !c.conn.Hold(len(raw)) {
		return eventloop.ErrBuffersFull
	}
	c.response.Body = append(c.response.Body, raw...)
	return nil
}

// handleResult handles a message that is part of the startup or of a command's result.
func (c *hostConn) handleResult(messageType byte, body, raw []byte) error {
	switch {
	case !c.established:
		if messageType == MsgAuthentication && NewFieldReader(body).Int32() != authenticationOK {
			return errAuthenticationRequested
		}
	case c.command == nil:
		return errUnsolicitedMessage
	case c.command.Forwards(messageType):
		if len(c.response.Body)+len(raw) > maxAnswerBytes {
			return ErrTooLarge
		}
		return c.appendToBody(raw)
	case messageType != MsgParseComplete && messageType != MsgBindComplete:
		return errInvalidAnswer
	}
	return nil
}

// finishStartup handles the ReadyForQuery that ends the startup. More input after it is an error.
func (c *hostConn) finishStartup() error {
	c.response = proxy.Response{}
	if len(c.conn.In()) > 0 {
		return errInvalidAnswer
	}
	c.established = true
	c.handler.Established()
	return nil
}

// finishResponse passes a complete answer to the handler. If there is more input after it, the connection accepts no
// further commands, because that input could be mistaken for the next command's answer.
func (c *hostConn) finishResponse() error {
	if !c.responseComplete() {
		return errInvalidAnswer
	}
	response := c.response
	response.ConnectionEnds = len(c.conn.In()) > 0 || c.hostClosed
	response.Outcome = outcomeOf(c.sqlState)
	response.StatementError = isStatementError(c.sqlState)
	if response.Role == routing.RoleUnknown {
		response.Role, response.RoleAtMs = c.role, c.reportedAtMs()
	}
	c.command, c.response = nil, proxy.Response{}
	c.conn.ReleaseHeld()
	c.handler.ResponseReceived(response)
	return nil
}

// responseComplete reports whether the answer is an error or a complete result. An error after a streamed row is not a
// complete answer, because the client has already received a part of the result.
func (c *hostConn) responseComplete() bool {
	failed := c.sqlState != ""
	if c.stream.active {
		return !failed && c.command.(StreamingCommand).IsStreamComplete(c.response.Body)
	}
	return failed || c.command.IsComplete(c.response.Body)
}
