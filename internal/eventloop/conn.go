package eventloop

import (
	"errors"
	"fmt"

	"golang.org/x/sys/unix"
)

// Handler receives the callbacks of a Conn. A callback may close the connection.
type Handler interface {
	// Connected is called when an outgoing connection is established.
	Connected()
	// Data is called when bytes were added to Conn.In.
	Data()
	// Flushed is called when the system has accepted all data that was buffered for writing.
	Flushed()
	// Ended is called with io.EOF when the peer has ended its sending direction. It is called with any other error, such
	// as ErrBuffersFull, when the connection has failed.
	Ended(err error)
}

// PeerEndHandler is a Handler that is also notified of the end of the peer's sending direction while earlier input is still
// unread. See Conn.WatchPeerEnd.
type PeerEndHandler interface {
	Handler
	// PeerEnded is called once, before Handler.Ended. The peer may still receive.
	PeerEnded()
}

// Conn is a stream connection with a buffer for each direction. None of its methods blocks.
type Conn struct {
	loop       *Loop
	fd         int
	handler    Handler
	input      []byte // bytes that were read and not yet consumed
	output     []byte // bytes passed to Write that the system has not accepted yet
	inputLimit int    // nothing is read while input has at least this many bytes
	consumed   int    // bytes before input that its array may still have
	connecting bool
	inputEnded bool   // the peer has ended its sending direction
	failed     bool   // Ended was called with an error, or will be in the next round
	closed     bool   // Close was called
	interest   uint32 // epoll events that the descriptor is watched for

	peerEndHandler PeerEndHandler // nil: the end of the peer's sending direction is noticed by reading only
	peerEnded      bool           // PeerEnded was called

	inputUncounted bool // input does not count towards Loop.MaxBufferedBytes
	heldBytes      int  // size of what Hold has counted
	written        int  // bytes passed to Write since the beginning
}

// Adopt returns a connection on an accepted descriptor. It closes the descriptor if it fails. The caller must set the
// handler with SetHandler. For inputLimit see SetInputLimit.
func (l *Loop) Adopt(fd, inputLimit int) (*Conn, error) {
	setNoDelay(fd)
	conn := &Conn{loop: l, fd: fd, inputLimit: inputLimit, interest: unix.EPOLLIN}
	if err := l.register(fd, conn, conn.interest); err != nil {
		closeFD(fd)
		return nil, err
	}
	return conn, nil
}

// Dial starts to connect to an address. The handler's Connected or Ended is called in a later round. For inputLimit see
// SetInputLimit.
func (l *Loop) Dial(addr string, inputLimit int, handler Handler) (*Conn, error) {
	fd, sockaddr, err := newSocket(addr, unix.SOCK_STREAM)
	if err != nil {
		return nil, err
	}
	setNoDelay(fd)
	if err := unix.Connect(fd, sockaddr); err != nil && err != unix.EINPROGRESS {
		closeFD(fd)
		return nil, fmt.Errorf("connect %s: %w", addr, err)
	}
	conn := &Conn{
		loop: l, fd: fd, inputLimit: inputLimit, handler: handler, connecting: true, interest: unix.EPOLLOUT,
	}
	if err := l.register(fd, conn, conn.interest); err != nil {
		closeFD(fd)
		return nil, err
	}
	return conn, nil
}

// SetHandler sets the handler that receives the callbacks.
func (c *Conn) SetHandler(handler Handler) { c.handler = handler }

// IsOpen reports whether the connection can still be written to.
func (c *Conn) IsOpen() bool { return !c.closed && !c.failed }

// Close closes the connection at once. No callback follows.
func (c *Conn) Close() {
	if c.closed {
		return
	}
	c.closed = true
	c.loop.unregisterAndClose(c.fd)
	c.countInput(-len(c.input))
	c.loop.bufferedBytes -= len(c.output)
	c.ReleaseHeld()
	c.input, c.output = nil, nil
}

// CloseWrite ends the sending direction; the peer may still send. Data that is still buffered is not sent.
func (c *Conn) CloseWrite() {
	if c.IsOpen() {
		_ = unix.Shutdown(c.fd, unix.SHUT_WR) // fails only if the connection has ended
	}
}

// ready handles the epoll events of the descriptor.
func (c *Conn) ready(events uint32) {
	if c.failed { // the connection only waits for Close
		c.interest = 0
		c.loop.setInterest(c.fd, 0)
		return
	}
	if c.connecting {
		c.finishConnect()
		return
	}
	if events&unix.EPOLLOUT != 0 && len(c.output) > 0 && !c.flush() {
		return
	}
	hungUp := events&(unix.EPOLLERR|unix.EPOLLHUP) != 0
	if c.peerEndHandler != nil && !c.closed {
		if hungUp {
			c.endInput(unix.ECONNRESET)
			return
		}
		c.notePeerEnd(events)
	}
	if (events&unix.EPOLLIN != 0 || hungUp) && !c.closed {
		c.read(hungUp)
	}
}

// finishConnect handles the result of connecting.
func (c *Conn) finishConnect() {
	code, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err != nil || code != 0 {
		c.failed = true
		c.handler.Ended(fmt.Errorf("connect: %w", errors.Join(err, unix.Errno(code))))
		return
	}
	c.connecting = false
	c.updateInterest()
	c.handler.Connected()
}

// updateInterest sets the epoll events for the current state. It doesn't watch for input while the input limit is reached,
// while the connection is being established, or after the peer has ended its sending direction. It doesn't watch for
// output while nothing is buffered, unless the connection is being established.
func (c *Conn) updateInterest() {
	if c.closed {
		return
	}
	var interest uint32
	if c.connecting || len(c.output) > 0 {
		interest |= unix.EPOLLOUT
	}
	if !c.connecting && !c.inputEnded && len(c.input) < c.inputLimit {
		interest |= unix.EPOLLIN
	}
	if c.peerEndHandler != nil && !c.peerEnded {
		interest |= unix.EPOLLRDHUP
	}
	if interest != c.interest {
		c.interest = interest
		c.loop.setInterest(c.fd, interest)
	}
}
