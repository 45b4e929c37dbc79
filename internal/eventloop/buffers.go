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
