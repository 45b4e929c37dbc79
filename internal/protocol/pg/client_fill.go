package pg

import "encoding/binary"

// When the host of a streamed answer fails, the client has a part of a row. The rest of the row is then filled with zeros,
// so that an ErrorResponse can follow it. The client discards the row because of the error, and its other requests on the
// connection are answered.

// fillChunkBytes is the size of the parts in which a row is filled.
const fillChunkBytes = 16 << 10

var fillZeros [fillChunkBytes]byte

// forwardedRow follows the messages of a streamed answer as far as the client has them.
type forwardedRow struct {
	header     [rowHeaderSize]byte // first bytes of the current message
	headerRead int                 // number of bytes of header that were forwarded; 0 between two messages
	bytesLeft  int                 // bytes of the current message after header
	validator  rowValidator        // of the current message if it is a row
}

// add follows the next part that is forwarded.
func (f *forwardedRow) add(part []byte) {
	for len(part) > 0 {
		if f.bytesLeft == 0 {
			f.header[f.headerRead] = part[0]
			f.headerRead++
			part = part[1:]
			f.beginBody()
			continue
		}
		body := part[:min(len(part), f.bytesLeft)]
		f.validator.add(body)
		f.bytesLeft -= len(body)
		part = part[len(body):]
		if f.bytesLeft == 0 {
			f.headerRead = 0
		}
	}
}

// beginBody sets the state for the rest of a message once enough of its header was forwarded. The column count of a row
// belongs to the header.
func (f *forwardedRow) beginBody() {
	isRow := f.header[0] == MsgDataRow
	if f.headerRead < headerSize || isRow && f.headerRead < rowHeaderSize {
		return
	}
	f.bytesLeft = int(binary.BigEndian.Uint32(f.header[1:])) + 1 - f.headerRead
	f.validator = rowValidator{columnsLeft: -1}
	if isRow {
		f.validator.columnsLeft = int(binary.BigEndian.Uint16(f.header[headerSize:]))
	}
	if f.bytesLeft <= 0 {
		f.headerRead = 0
	}
}

// complete reports whether the client has only whole messages.
func (f *forwardedRow) complete() bool { return f.headerRead == 0 }

// nextFill returns bytes that continue the current row. Values that have begun are continued with zeros; further ones are
// empty, except for the last one, which takes the rest of the row. It returns nil if the row can't be continued, because
// the client has only a part of a header or of a length field, or the row is malformed.
func (f *forwardedRow) nextFill() []byte {
	row := &f.validator
	switch {
	case f.bytesLeft == 0 || row.columnsLeft < 0 || row.lengthRead > 0:
		return nil
	case row.skip > 0:
		return fillZeros[:min(row.skip, f.bytesLeft, fillChunkBytes)]
	case row.columnsLeft == 0:
		return nil
	}
	length := 0
	if row.columnsLeft == 1 {
		length = f.bytesLeft - lengthSize
	}
	if length < 0 {
		return nil
	}
	return binary.BigEndian.AppendUint32(nil, uint32(length))
}

// FillResult is the result of Client.FillRow.
type FillResult int

// Results of Client.FillRow.
const (
	FillComplete   FillResult = iota // the client has only whole messages
	FillIncomplete                   // the client's window is full; Flushed is called later
	FillImpossible                   // the row can't be completed
)

// FillRow sends the rest of a streamed row whose host has failed, as far as the client's window allows. A client that
// doesn't read it is disconnected.
func (c *Client) FillRow() FillResult {
	if !c.filling {
		c.filling = true
		c.lastActiveMs = c.pool.Loop.Clock.Now()
		c.watchFill()
	}
	for !c.forwarded.complete() {
		part := c.forwarded.nextFill()
		if part == nil {
			return FillImpossible
		}
		if c.SendPart(part) < len(part) {
			return FillIncomplete
		}
	}
	c.filling = false
	return FillComplete
}

// watchFill closes the connection if the client stops reading while a row is filled.
func (c *Client) watchFill() {
	if !c.filling || !c.conn.IsOpen() {
		return
	}
	now := c.pool.Loop.Clock.Now()
	c.updateActivity(now)
	if now >= c.lastActiveMs+c.pool.readerTimeoutMs() {
		c.close()
		return
	}
	c.pool.Loop.After(sweepIntervalMs, c.watchFill)
}
