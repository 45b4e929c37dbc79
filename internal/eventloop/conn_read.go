package eventloop

import (
	"errors"
	"io"
	"slices"

	"golang.org/x/sys/unix"
)

const (
	// maxReadsPerRound limits the reads of one connection in a round, so that it doesn't starve the others.
	maxReadsPerRound = 4
	// minCompactionBytes is the number of consumed bytes from which the rest of an input is copied to free them.
	minCompactionBytes = 16 << 10
)

// In returns the bytes that were read and not yet consumed. They are valid until the next round.
func (c *Conn) In() []byte { return c.input }

// Consume drops the first bytes of In.
func (c *Conn) Consume(size int) {
	c.input = c.input[size:]
	c.consumed += size
	c.countInput(-size)
	switch {
	case len(c.input) == 0:
		c.input, c.consumed = nil, 0
	case c.consumed >= max(minCompactionBytes, len(c.input)): // the array still has the consumed bytes
		c.input, c.consumed = slices.Clone(c.input), 0
	}
	c.updateInterest()
}

// SetInputLimit sets the input limit. Nothing is read while In has at least this many bytes.
func (c *Conn) SetInputLimit(inputLimit int) {
	c.inputLimit = inputLimit
	c.updateInterest()
}

// GrowInput allocates memory so that In can have a number of bytes without a further allocation.
func (c *Conn) GrowInput(size int) {
	if size > cap(c.input) {
		c.input, c.consumed = slices.Grow(c.input, size-len(c.input)), 0
	}
}

// InputFull reports whether the input limit is reached.
func (c *Conn) InputFull() bool { return len(c.input) >= c.inputLimit }

// LeaveInputUncounted makes the input of the connection not count towards Loop.MaxBufferedBytes. The caller limits it by
// SetInputLimit. It must be called before anything is read.
func (c *Conn) LeaveInputUncounted() { c.inputUncounted = true }

// countInput adds a number of bytes to the size of all connections' buffers if the input of this connection counts.
func (c *Conn) countInput(size int) {
	if !c.inputUncounted {
		c.loop.bufferedBytes += size
	}
}

// ReadNow reads the data that has arrived, without waiting for the next round.
func (c *Conn) ReadNow() {
	if c.IsOpen() && !c.connecting {
		c.read(false)
	}
}

// read reads the data that has arrived and calls the handler. hungUp is set if epoll reported an error or the end of both
// directions.
func (c *Conn) read(hungUp bool) {
	received, end := c.fillInput()
	c.updateInterest()
	if received {
		c.handler.Data()
	}
	if end == nil && hungUp && !received && !c.closed {
		end = unix.ECONNRESET // reset while the input limit is reached, or both directions have ended
	}
	if end != nil && !c.closed {
		c.endInput(end)
	}
}

// fillInput reads into the input buffer. received is set if any bytes were read. end is the reason why no more bytes will
// be read: io.EOF, a system error or ErrBuffersFull. It is nil if more bytes may follow.
func (c *Conn) fillInput() (received bool, end error) {
	for range maxReadsPerRound {
		if len(c.input) >= c.inputLimit || c.inputEnded {
			return received, nil
		}
		space := c.loop.scratch[:min(len(c.loop.scratch), c.inputLimit-len(c.input))]
		size, err := unix.Read(c.fd, space)
		switch {
		case err == unix.EINTR:
			continue
		case err == unix.EAGAIN:
			return received, nil
		case err != nil:
			return received, err
		case size == 0:
			c.inputEnded = true
			return received, io.EOF
		case !c.inputUncounted && !c.loop.hasBufferSpace(size):
			return received, ErrBuffersFull
		}
		c.countInput(size)
		c.input = append(c.input, space[:size]...)
		received = true
		if size < len(space) {
			return received, nil
		}
	}
	return received, nil
}

// endInput calls the handler with the end of the input. After io.EOF the connection can still be written to.
func (c *Conn) endInput(end error) {
	c.failed = c.failed || !errors.Is(end, io.EOF)
	if c.failed {
		c.loop.setInterest(c.fd, 0)
	}
	c.handler.Ended(end)
}
