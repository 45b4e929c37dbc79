package eventloop

import (
	"errors"
	"fmt"
	"io"
	"net/netip"

	"golang.org/x/sys/unix"
)

// ErrNoRoom ends a connection that would fill the buffers of all connections beyond Loop.Most: a few clients or
// hosts that send much and read little must not end the whole program for want of memory.
var ErrBuffersFull = errors.New("all buffers together are full")

// An Handler is told what happens on its connection. A call may close the connection.
type Handler interface {
	Connected()      // an outgoing connection is up
	Data()           // In has grown
	Flushed()        // all that was written has been handed to the system
	Ended(err error) // io.EOF: the other side sends no more; else the connection is broken
}

// Conn is a connection with buffers on both sides; no call on it blocks.
type Conn struct {
	loop       *Loop
	fd         int
	owner      Handler
	in, out    []byte
	limit      int // reading pauses while In holds this much
	connecting bool
	eof        bool
	broken     bool
	closed     bool
	interest   uint32
}

// Adopt takes over an accepted descriptor. SetOwner must follow.
func (l *Loop) Adopt(fd, limit int) (*Conn, error) {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	c := &Conn{loop: l, fd: fd, limit: limit, interest: unix.EPOLLIN}
	if err := l.add(fd, c, c.interest); err != nil {
		unix.Close(fd)
		return nil, err
	}
	return c, nil
}

// Dial starts a connection; its owner hears Connected or Ended.
func (l *Loop) Dial(addr string, limit int, owner Handler) (*Conn, error) {
	fd, sa, err := socket(addr)
	if err != nil {
		return nil, err
	}
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	if err := unix.Connect(fd, sa); err != nil && err != unix.EINPROGRESS {
		unix.Close(fd)
		return nil, fmt.Errorf("connect %s: %w", addr, err)
	}
	c := &Conn{loop: l, fd: fd, limit: limit, owner: owner, connecting: true, interest: unix.EPOLLOUT}
	if err := l.add(fd, c, c.interest); err != nil {
		unix.Close(fd)
		return nil, err
	}
	return c, nil
}

// socket makes a stream socket of the family of an address.
func socket(addr string) (fd int, sa unix.Sockaddr, err error) {
	return socketOf(addr, unix.SOCK_STREAM)
}

func socketOf(addr string, kind int) (fd int, sa unix.Sockaddr, err error) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return 0, nil, fmt.Errorf("address %q: %w", addr, err)
	}
	family := unix.AF_INET
	if !ap.Addr().Is4() {
		family = unix.AF_INET6
	}
	fd, err = unix.Socket(family, kind|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, nil, fmt.Errorf("socket: %w", err)
	}
	return fd, sockaddrOf(ap), nil
}

// SetHandler names who is told of the connection's events.
func (c *Conn) SetHandler(o Handler) { c.owner = o }

// In is what has been read and not consumed; it is valid until the next round.
func (c *Conn) In() []byte { return c.in }

// Consume drops the first n bytes of In.
func (c *Conn) Consume(n int) {
	c.in = c.in[n:]
	c.loop.held -= n
	if len(c.in) == 0 {
		c.in = nil
	}
	c.update()
}

// SetLimit changes how much is read ahead of what is consumed.
func (c *Conn) SetLimit(n int) {
	c.limit = n
	c.update()
}

// Pending is how much of what was written the system has not taken yet.
func (c *Conn) Pending() int { return len(c.out) }

// Unacknowledged is how much of what was written the other side's system has not taken yet, as far as that can be told.
func (c *Conn) Unacknowledged() int {
	n, err := unix.IoctlGetInt(c.fd, unix.SIOCOUTQ)
	if err != nil {
		n = 0
	}
	return len(c.out) + n
}

// SetSendBuffer bounds what the system holds of what was written, so that Pending shows soon what the other side takes.
func (c *Conn) SetSendBuffer(n int) { _ = unix.SetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_SNDBUF, n) }

// IsOpen tells whether the connection can still be written to.
func (c *Conn) IsOpen() bool { return !c.closed && !c.broken }

// Write sends p, at once as far as the system takes it. The owner hears of errors in the next round.
func (c *Conn) Write(p []byte) {
	if !c.IsOpen() || len(p) == 0 {
		return
	}
	if len(c.out) > 0 || c.connecting {
		c.hold(p)
		return
	}
	n, err := c.push(p)
	if err != nil {
		c.fail(err)
		return
	}
	if n < len(p) {
		c.hold(p[n:])
	}
}

// hold keeps what the system does not take yet.
func (c *Conn) hold(p []byte) {
	if !c.loop.room(len(p)) {
		c.fail(ErrBuffersFull)
		return
	}
	c.loop.held += len(p)
	c.out = append(c.out, p...)
	c.update()
}

// BuffersHalfFull tells whether the buffers of all connections together are more than half full.
func (l *Loop) BuffersHalfFull() bool { return !l.room(l.MaxBufferedBytes / 2) }

func (l *Loop) room(n int) bool { return l.MaxBufferedBytes == 0 || l.held+n <= l.MaxBufferedBytes }

// push writes what the system takes now.
func (c *Conn) push(p []byte) (int, error) {
	done := 0
	for done < len(p) {
		n, err := unix.SendmsgN(c.fd, p[done:], nil, nil, unix.MSG_NOSIGNAL)
		switch err {
		case nil:
			done += n
		case unix.EINTR:
		case unix.EAGAIN:
			return done, nil
		default:
			return done, err
		}
	}
	return done, nil
}

// fail tells the owner of an error in the next round, never inside a call of its own.
func (c *Conn) fail(err error) {
	c.broken = true
	c.loop.NextRound(func() {
		if !c.closed {
			c.owner.Ended(err)
		}
	})
}

// Close ends the connection at once; the owner hears no more of it.
func (c *Conn) Close() {
	if !c.closed {
		c.closed = true
		c.loop.drop(c.fd)
		c.loop.held -= len(c.in) + len(c.out)
		c.in, c.out = nil, nil
	}
}

// CloseWrite ends the sending side only.
func (c *Conn) CloseWrite() {
	if c.IsOpen() {
		_ = unix.Shutdown(c.fd, unix.SHUT_WR)
	}
}

// update asks epoll for what matters now: no reading while In is full or has ended, no writing without need.
func (c *Conn) update() {
	if c.closed {
		return
	}
	var want uint32
	if c.connecting || len(c.out) > 0 {
		want |= unix.EPOLLOUT
	}
	if !c.connecting && !c.eof && len(c.in) < c.limit {
		want |= unix.EPOLLIN
	}
	if want != c.interest {
		c.interest = want
		c.loop.change(c.fd, want)
	}
}

func (c *Conn) ready(events uint32) {
	if c.broken { // its end is told already
		c.interest = 0
		c.loop.change(c.fd, 0)
		return
	}
	if c.connecting {
		c.connected()
		return
	}
	if events&unix.EPOLLOUT != 0 && len(c.out) > 0 && !c.flush() {
		return
	}
	if events&(unix.EPOLLIN|unix.EPOLLERR|unix.EPOLLHUP) != 0 && !c.closed {
		c.read(events&(unix.EPOLLERR|unix.EPOLLHUP) != 0)
	}
}

// ReadNow reads what has come in by now, without waiting for the next round.
func (c *Conn) ReadNow() {
	if c.IsOpen() && !c.connecting {
		c.read(false)
	}
}

func (c *Conn) connected() {
	if code, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR); err != nil || code != 0 {
		c.broken = true
		c.owner.Ended(fmt.Errorf("connect: %w", errors.Join(err, unix.Errno(code))))
		return
	}
	c.connecting = false
	c.update()
	c.owner.Connected()
}

// flush tells whether the connection is still there.
func (c *Conn) flush() bool {
	n, err := c.push(c.out)
	if err != nil {
		c.broken = true
		c.owner.Ended(err)
		return false
	}
	c.out = c.out[n:]
	c.loop.held -= n
	if len(c.out) == 0 {
		c.out = nil
		c.update()
		c.owner.Flushed()
	}
	return !c.closed
}

func (c *Conn) read(hung bool) {
	got := false
	var end error
	for range readsAtOnce {
		if len(c.in) >= c.limit || c.eof {
			break
		}
		room := c.loop.scratch[:min(len(c.loop.scratch), c.limit-len(c.in))] // no more than asked for: many may wait
		n, err := unix.Read(c.fd, room)
		if err == unix.EINTR {
			continue
		}
		if err == unix.EAGAIN {
			break
		}
		if err != nil {
			end = err
			break
		}
		if n == 0 {
			c.eof, end = true, io.EOF
			break
		}
		if !c.loop.room(n) {
			end = ErrBuffersFull
			break
		}
		c.loop.held += n
		c.in = append(c.in, c.loop.scratch[:n]...)
		got = true
		if n < len(room) {
			break
		}
	}
	c.update()
	if got {
		c.owner.Data()
	}
	if end == nil && hung && !got && !c.closed { // reset while nothing is read, or both directions have ended
		end = unix.ECONNRESET
	}
	if end != nil && !c.closed {
		c.broken = c.broken || end != io.EOF
		if c.broken {
			c.loop.change(c.fd, 0)
		}
		c.owner.Ended(end)
	}
}
