package eventloop

import "errors"

// ErrBuffersFull is the error that ends a connection whose data would exceed Loop.MaxBufferedBytes, the limit of the
// buffers of all connections together. The limit keeps a few peers that send much and read little from exhausting the
// program's memory.
var ErrBuffersFull = errors.New("the buffers of all connections together are full")

// BuffersHalfFull reports whether the buffers of all connections together are more than half full.
func (l *Loop) BuffersHalfFull() bool { return !l.hasBufferSpace(l.MaxBufferedBytes / 2) }

// hasBufferSpace reports whether size more bytes may be buffered.
func (l *Loop) hasBufferSpace(size int) bool {
	return l.MaxBufferedBytes == 0 || l.bufferedBytes+size <= l.MaxBufferedBytes
}

// Hold counts data of the connection that its user keeps outside of the connection's buffers. It counts nothing and returns
// false if that would exceed Loop.MaxBufferedBytes.
func (c *Conn) Hold(size int) bool {
	if c.closed || !c.loop.hasBufferSpace(size) {
		return false
	}
	c.loop.bufferedBytes += size
	c.heldBytes += size
	return true
}

// ReleaseHeld subtracts all that Hold has counted. Close does the same.
func (c *Conn) ReleaseHeld() {
	c.loop.bufferedBytes -= c.heldBytes
	c.heldBytes = 0
}
