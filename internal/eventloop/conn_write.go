package eventloop

import "golang.org/x/sys/unix"

// Write sends as much of the data as the system takes at once, and buffers the rest. An error reaches the handler's
// Ended in the next round.
func (c *Conn) Write(data []byte) {
	if !c.IsOpen() || len(data) == 0 {
		return
	}
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

// Pending returns how many bytes the system has not taken yet.
func (c *Conn) Pending() int { return len(c.output) }

// Unacknowledged returns how many bytes the other side's system has not taken yet, as far as this system knows.
func (c *Conn) Unacknowledged() int {
	queued, err := unix.IoctlGetInt(c.fd, unix.SIOCOUTQ)
	if err != nil {
		queued = 0
	}
	return len(c.output) + queued
}

// SetSendBuffer bounds what the system buffers for writing, in bytes, so that Pending soon shows a slow receiver.
func (c *Conn) SetSendBuffer(size int) {
	_ = unix.SetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_SNDBUF, size)
}

// enqueue buffers data that the system does not take yet.
func (c *Conn) enqueue(data []byte) {
	if !c.loop.hasBufferSpace(len(data)) {
		c.failNextRound(ErrBuffersFull)
		return
	}
	c.loop.bufferedBytes += len(data)
	c.output = append(c.output, data...)
	c.updateInterest()
}

// trySend sends what the system takes now, and returns how many bytes that were.
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

// flush sends what is buffered, as far as the system takes it, and returns whether the connection is still open.
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

// failNextRound passes an error to the handler in the next round, as it may not expect a callback inside its own call.
func (c *Conn) failNextRound(err error) {
	c.failed = true
	c.loop.NextRound(func() {
		if !c.closed {
			c.handler.Ended(err)
		}
	})
}
