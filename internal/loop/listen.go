package loop

import (
	"fmt"
	"net/netip"

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

// Addr is the address listened on; its port is the real one where 0 was asked for.
func (ln *Listener) Addr() string { return ln.addr }

func boundTo(fd int) string {
	sa, err := unix.Getsockname(fd)
	if err != nil {
		return ""
	}
	switch sa := sa.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(sa.Addr), uint16(sa.Port)).String()
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(sa.Addr), uint16(sa.Port)).String()
	}
	return ""
}

func (ln *Listener) ready(uint32) { ln.Sweep() }

// Sweep accepts what waits. Before Close it keeps connections in the backlog from being reset.
func (ln *Listener) Sweep() {
	for range acceptsAtOnce {
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

// Close stops listening.
func (ln *Listener) Close() {
	if ln.fd >= 0 {
		ln.paused.Stop()
		ln.loop.drop(ln.fd)
		ln.fd = -1
	}
}
