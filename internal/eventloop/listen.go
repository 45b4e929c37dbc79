package eventloop

import (
	"fmt"

	"golang.org/x/sys/unix"
)

const (
	backlog       = 1024
	acceptsAtOnce = 64
	acceptPauseMs = 20.0 // after a failure to accept, as for want of descriptors
)

// Listener accepts connections.
type Listener struct {
	loop   *Loop
	fd     int
	addr   string
	accept func(fd int)
	full   func(error) // no connection could be accepted; may make room
	paused *Timer
	shared bool // the socket is another process's too
	held   bool // nothing is accepted yet
}

// Listen accepts connections on an address. accept owns each descriptor; full hears of failures.
func (l *Loop) Listen(addr string, accept func(fd int), full func(error)) (*Listener, error) {
	fd, sa, err := socket(addr)
	if err != nil {
		return nil, err
	}
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	ln := &Listener{loop: l, fd: fd, accept: accept, full: full}
	if err = unix.Bind(fd, sa); err == nil {
		err = unix.Listen(fd, backlog)
	}
	if err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	}
	ln.addr = boundTo(fd)
	if err := l.add(fd, ln, unix.EPOLLIN); err != nil {
		unix.Close(fd)
		return nil, err
	}
	return ln, nil
}

// ListenOn accepts connections on a listening socket that was handed down as a descriptor and that other processes may
// hold too, from Release on.
func (l *Loop) ListenOn(fd int, accept func(fd int), full func(error)) (*Listener, error) {
	if on, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN); err != nil || on == 0 {
		return nil, fmt.Errorf("descriptor %d is no listening socket", fd)
	}
	unix.CloseOnExec(fd)
	if err := unix.SetNonblock(fd, true); err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	ln := &Listener{loop: l, fd: fd, addr: boundTo(fd), accept: accept, full: full, shared: true, held: true}
	if err := l.add(fd, ln, 0); err != nil {
		return nil, err
	}
	return ln, nil
}

// StartAccepting lets a listener from ListenOn accept.
func (ln *Listener) StartAccepting() {
	if ln.held && ln.fd >= 0 {
		ln.held = false
		ln.loop.change(ln.fd, unix.EPOLLIN)
	}
}

// Addr is the address listened on; its port is the real one where 0 was asked for.
func (ln *Listener) Addr() string { return ln.addr }

func boundTo(fd int) string {
	sa, err := unix.Getsockname(fd)
	if err != nil {
		return ""
	}
	a, _ := addrPortOf(sa)
	return a.String()
}

func (ln *Listener) ready(uint32) { ln.AcceptPending() }

// AcceptPending accepts what waits, as much of it as is good for one round.
func (ln *Listener) AcceptPending() { ln.sweep(acceptsAtOnce) }

// AcceptAll accepts all that waits. Before Close it keeps connections in the backlog from being reset.
func (ln *Listener) AcceptAll() { ln.sweep(backlog + 1) }

func (ln *Listener) sweep(most int) {
	for range most {
		if ln.fd < 0 {
			return
		}
		fd, _, err := unix.Accept4(ln.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch err {
		case nil:
			ln.accept(fd)
		case unix.EAGAIN:
			return
		case unix.EINTR, unix.ECONNABORTED:
		default: // EMFILE and the like: level-triggered, the listener would spin until one is free
			ln.full(err)
			ln.loop.change(ln.fd, 0)
			ln.paused = ln.loop.After(acceptPauseMs, func() {
				if ln.fd >= 0 {
					ln.loop.change(ln.fd, unix.EPOLLIN)
				}
			})
			return
		}
	}
}

// Close stops listening here. A socket that is shared goes on for the others; what waits in its backlog is theirs.
func (ln *Listener) Close() {
	if ln.fd >= 0 {
		ln.paused.Stop()
		if ln.shared { // epoll would go on telling of a socket that others keep open
			_ = unix.EpollCtl(ln.loop.epoll, unix.EPOLL_CTL_DEL, ln.fd, nil)
		}
		ln.loop.drop(ln.fd)
		ln.fd = -1
	}
}
