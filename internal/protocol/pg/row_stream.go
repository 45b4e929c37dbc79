package pg

import "encoding/binary"

const (
	// minStreamedRowBytes is the length field above which a row is streamed. It has room for a value of 64 KiB and the
	// fields before it.
	minStreamedRowBytes = 64<<10 + 64
	// maxStreamedRowBytes is the length field above which a row is rejected.
	maxStreamedRowBytes = 4<<20 + 64
	// streamReadAheadBytes bounds the part of a streamed row that is read from the host but not yet forwarded.
	streamReadAheadBytes = 32 << 10
)

// rowStream is the state of a large row that is forwarded to the client while it arrives. Streaming bounds the memory
// for large values and the time to the first byte.
type rowStream struct {
	active       bool    // a row of the current answer is being streamed or has been
	beganAtMs    float64 // when the first of these rows began
	buffered     []byte  // messages of the answer that precede the row and are still to be forwarded
	rowBytesLeft int     // bytes of the row that are still to be forwarded, with its header
	validator    rowValidator
}

// pending reports whether preceding messages or parts of the row are still to be forwarded.
func (s *rowStream) pending() bool { return len(s.buffered)+s.rowBytesLeft > 0 }

// beginStream reports whether the input begins with a row that is to be streamed. It starts the stream once the row's
// header and column count have arrived; until then rowBytesLeft is 0.
func (c *hostConn) beginStream() (bool, error) {
	input := c.conn.In()
	if input[0] != MsgDataRow || len(input) < headerSize || c.command == nil || c.sqlState != "" {
		return false, nil
	}
	length := int(binary.BigEndian.Uint32(input[1:]))
	command, canStream := c.command.(StreamingCommand)
	if length <= minStreamedRowBytes || length > maxStreamedRowBytes || !canStream {
		return false, nil
	}
	if len(input) < rowHeaderSize {
		return true, nil
	}
	columns := NewFieldReader(input[headerSize:rowHeaderSize]).Int16()
	if !command.CanStream(c.response.Body, columns) {
		return false, errInvalidAnswer
	}
	beganAtMs := c.stream.beganAtMs
	if !c.stream.active {
		if !c.handler.BeginStream(c.Data) {
			return false, nil
		}
		beganAtMs = c.dialer.Loop.Clock.Now()
	}
	c.stream = rowStream{
		active:       true,
		beganAtMs:    beganAtMs,
		buffered:     c.response.Body,
		rowBytesLeft: length + 1, // the length field doesn't count the type byte
		validator:    rowValidator{columnsLeft: columns, skip: rowHeaderSize},
	}
	c.response.Body = nil
	c.conn.SetInputLimit(streamReadAheadBytes)
	return true, nil
}

// forwardStream forwards as much of the stream as the client's window has space for. It returns false if the window is
// full or the connection has been closed.
func (c *hostConn) forwardStream() (progress bool, err error) {
	stream := &c.stream
	if len(stream.buffered) > 0 {
		stream.buffered = stream.buffered[c.handler.StreamPart(stream.buffered):]
		return len(stream.buffered) == 0, nil
	}
	part := c.conn.In()
	part = part[:min(len(part), stream.rowBytesLeft)]
	forwarded := c.handler.StreamPart(part)
	if !c.conn.IsOpen() { // closed by the handler, because the client has disconnected
		return false, nil
	}
	stream.validator.add(part[:forwarded])
	stream.rowBytesLeft -= forwarded
	if stream.rowBytesLeft == 0 {
		c.conn.SetInputLimit(maxAnswerBytes)
	}
	c.conn.Consume(forwarded)
	if stream.rowBytesLeft == 0 && !stream.validator.complete() {
		return false, errInvalidAnswer
	}
	return forwarded == len(part), nil
}
