package eventloop

import "errors"

// ErrBuffersFull ends a connection that would fill the buffers of all connections beyond Loop.MaxBufferedBytes. The
// bound keeps a few peers that send much and read little from using up the program's memory.
var ErrBuffersFull = errors.New("all buffers together are full")

// BuffersHalfFull returns whether the buffers of all connections together are more than half full.
func (l *Loop) BuffersHalfFull() bool { return !l.hasBufferSpace(l.MaxBufferedBytes / 2) }

// hasBufferSpace returns whether the buffers may take some more bytes.
func (l *Loop) hasBufferSpace(size int) bool {
	return l.MaxBufferedBytes == 0 || l.bufferedBytes+size <= l.MaxBufferedBytes
}
