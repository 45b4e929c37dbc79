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
	// Data is called when Conn.In has grown.
	Data()
	// Flushed is called when the system has taken all that was buffered for writing.
	Flushed()
	// Ended is called with io.EOF when the other side sends no more; with any other error, ErrBuffersFull among them,
	// the connection has failed.
	Ended(err error)
}

// Conn is a stream connection with buffers for both directions; no call on it blocks.
type Conn struct {
	loop       *Loop
	fd         int
	handler    Handler
	input      []byte // read and not consumed
	output     []byte // written and not yet taken by the system
	inputLimit int    // nothing is read while input holds so much
	connecting bool
	inputEnded bool   // the other side sends no more
	failed     bool   // Ended was called with an error, or will be in the next round
	closed     bool   // by Close
	interest   uint32 // the epoll events that it is watched for
}

// Adopt returns a connection on an accepted descriptor, which it closes on an error. SetHandler must follow. For
// inputLimit see SetInputLimit.
func (l *Loop) Adopt(fd, inputLimit int) (*Conn, error) {
	setNoDelay(fd)
	conn := &Conn{loop: l, fd: fd, inputLimit: inputLimit, interest: unix.EPOLLIN}
	if err := l.register(fd, conn, conn.interest); err != nil {
		closeFD(fd)
		return nil, err
	}
	return conn, nil
}

// Dial starts to connect to an address. The handler's Connected or Ended follows in a later round. For inputLimit see
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

// SetHandler sets who receives the callbacks.
func (c *Conn) SetHandler(handler Handler) { c.handler = handler }

// IsOpen returns whether the connection can still be written to.
func (c *Conn) IsOpen() bool { return !c.closed && !c.failed }

// Close closes the connection at once; no callback follows.
func (c *Conn) Close() {
	if c.closed {
		return
	}
	c.closed = true
	c.loop.unregisterAndClose(c.fd)
	c.loop.bufferedBytes -= len(c.input) + len(c.output)
	c.input, c.output = nil, nil
}

// CloseWrite ends the sending direction; the other side may still send. What is buffered is not sent any more.
func (c *Conn) CloseWrite() {
	if c.IsOpen() {
		_ = unix.Shutdown(c.fd, unix.SHUT_WR) // fails only where the connection has ended
	}
}

// ready handles the epoll events of the descriptor.
func (c *Conn) ready(events uint32) {
	if c.failed { // only Close is awaited
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

// updateInterest watches for the events that matter now: not for input while the limit is reached or the other side
// sends no more, not for output while nothing is buffered.
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
	if interest != c.interest {
		c.interest = interest
		c.loop.setInterest(c.fd, interest)
	}
}
