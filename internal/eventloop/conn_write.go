package eventloop

import "golang.org/x/sys/unix"

// Write sends as much of the data as the system accepts now and buffers the rest. An error is passed to the handler's
// Ended in the next round.
func (c *Conn) Write(data []byte) {
	if !c.IsOpen() || len(data) == 0 {
		return
	}
	c.written += len(data)
	if len(c.output) > 0 || c.connecting {
		c.enqueue(data)
		return
	}
	sent, err := c.trySend(data)
	if err != nil {
		c.failNextRound(err)
		return
	}
	if sent < len(data) {
		c.enqueue(data[sent:])
	}
}

// Pending returns how many written bytes the system has not accepted yet.
func (c *Conn) Pending() int { return len(c.output) }

// Unacknowledged returns how many written bytes the peer's system has not acknowledged, including the bytes that are still
// buffered here. If the system can't report the size of its send queue, only the buffered bytes are counted.
func (c *Conn) Unacknowledged() int {
	queued, err := unix.IoctlGetInt(c.fd, unix.SIOCOUTQ)
	if err != nil {
		queued = 0
	}
	return len(c.output) + queued
}

// Acknowledged returns how many of all written bytes the peer's system has acknowledged. A peer that reads slowly makes this
// grow in steps of up to its receive buffer.
func (c *Conn) Acknowledged() int { return c.written - c.Unacknowledged() }

// SetSendBuffer limits the size of the system's send buffer, in bytes, so that Pending soon grows if the peer reads slowly.
func (c *Conn) SetSendBuffer(size int) {
	_ = unix.SetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_SNDBUF, size)
}

// enqueue buffers data that the system does not accept yet.
func (c *Conn) enqueue(data []byte) {
	if !c.loop.hasBufferSpace(len(data)) {
		c.failNextRound(ErrBuffersFull)
		return
	}
	c.loop.bufferedBytes += len(data)
	c.output = append(c.output, data...)
	c.updateInterest()
}

// trySend sends as much data as the system accepts now and returns the number of bytes sent.
func (c *Conn) trySend(data []byte) (int, error) {
	sent := 0
	for sent < len(data) {
		size, err := unix.SendmsgN(c.fd, data[sent:], nil, nil, unix.MSG_NOSIGNAL)
		switch err {
		case nil:
			sent += size
		case unix.EINTR:
		case unix.EAGAIN:
			return sent, nil
		default:
			return sent, err
		}
	}
	return sent, nil
}

// flush sends as much of the buffered data as the system accepts now. It returns false if sending failed or the handler
// closed the connection.
func (c *Conn) flush() bool {
	sent, err := c.trySend(c.output)
	if err != nil {
		c.failed = true
		c.handler.Ended(err)
		return false
	}
	c.output = c.output[sent:]
	c.loop.bufferedBytes -= sent
	if len(c.output) == 0 {
		c.output = nil
		c.updateInterest()
		c.handler.Flushed()
	}
	return !c.closed
}

// failNextRound passes an error to the handler in the next round, as the handler may not expect a callback during its own
// call of Write.
func (c *Conn) failNextRound(err error) {
	c.failed = true
	c.loop.NextRound(func() {
		if !c.closed {
			c.handler.Ended(err)
		}
	})
}
