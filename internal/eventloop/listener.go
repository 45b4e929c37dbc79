package eventloop

import (
	"fmt"

	"golang.org/x/sys/unix"
)

const (
	// listenBacklog is the maximum number of established connections that wait to be accepted.
	listenBacklog = 1024
	// maxAcceptsPerRound limits the number of connections that one listener accepts in a round.
	maxAcceptsPerRound = 64
	// acceptPauseMs is the time for which accepting pauses after a failure, such as a lack of descriptors.
	acceptPauseMs = 20.0
)

// Listener is a listening TCP socket that passes accepted connections to a callback.
type Listener struct {
	loop         *Loop
	fd           int // -1: closed
	addr         string
	accept       func(fd int)
	acceptFailed func(error)
	resumeTimer  *Timer // ends a pause after a failure
	shared       bool   // other processes may have the socket open too
	accepting    bool   // false until StartAccepting is called
}

// Listen accepts connections on an address. accept gets the descriptor of each connection and must close it or pass it on.
// acceptFailed is called when accepting a connection failed; it may free descriptors. A returned error contains the
// address.
func (l *Loop) Listen(addr string, accept func(fd int), acceptFailed func(error)) (*Listener, error) {
	fd, sockaddr, err := newSocket(addr, unix.SOCK_STREAM)
	if err != nil {
		return nil, err
	}
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1) // if this fails, Bind may fail and returns an error
	if err = unix.Bind(fd, sockaddr); err == nil {
		err = unix.Listen(fd, listenBacklog)
	}
	if err != nil {
		closeFD(fd)
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	}
	ln := &Listener{
		loop: l, fd: fd, addr: localAddr(fd), accept: accept, acceptFailed: acceptFailed, accepting: true,
	}
	if err := l.register(fd, ln, unix.EPOLLIN); err != nil {
		closeFD(fd)
		return nil, err
	}
	return ln, nil
}

// ListenFD takes over a listening socket that was inherited as a descriptor and that other processes may have open too. It
// accepts no connections until StartAccepting is called. accept and acceptFailed are as for Listen. ListenFD fails if the
// descriptor is not a listening socket. After an error the descriptor stays open.
func (l *Loop) ListenFD(fd int, accept func(fd int), acceptFailed func(error)) (*Listener, error) {
	if listening, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN); err != nil || listening == 0 {
		return nil, fmt.Errorf("descriptor %d is not a listening socket", fd)
	}
	unix.CloseOnExec(fd)
	if err := unix.SetNonblock(fd, true); err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	ln := &Listener{
		loop: l, fd: fd, addr: localAddr(fd), accept: accept, acceptFailed: acceptFailed, shared: true,
	}
	if err := l.register(fd, ln, 0); err != nil {
		return nil, err
	}
	return ln, nil
}

// StartAccepting makes a listener from ListenFD accept connections.
func (ln *Listener) StartAccepting() {
	if !ln.accepting && ln.fd >= 0 {
		ln.accepting = true
		ln.loop.setInterest(ln.fd, unix.EPOLLIN)
	}
}

// Addr returns the address that the socket is bound to. If port 0 was requested, it contains the port that the system chose.
func (ln *Listener) Addr() string { return ln.addr }

// ready handles the epoll events of the socket, which report waiting connections.
func (ln *Listener) ready(uint32) { ln.AcceptPending() }

// AcceptPending accepts waiting connections, at most maxAcceptsPerRound.
func (ln *Listener) AcceptPending() { ln.acceptUpTo(maxAcceptsPerRound) }

// DropNewConnections makes the system drop the packets that open connections, unless other processes may have the socket
// open too. Connections whose handshake has begun are still established and accepted.
func (ln *Listener) DropNewConnections() {
	if ln.fd >= 0 && !ln.shared {
		attachSYNFilter(ln.fd)
	}
}

// AcceptAll calls DropNewConnections and accepts all waiting connections. It is called before Close, which would reset the
// connections in the backlog. The caller must have called DropNewConnections before, early enough for the handshakes that
// had begun by then to complete.
func (ln *Listener) AcceptAll() {
	ln.DropNewConnections()
	ln.acceptUpTo(listenBacklog + 1)
}

// acceptUpTo accepts waiting connections, at most as many as the limit. After a failure it calls acceptFailed and pauses.
func (ln *Listener) acceptUpTo(limit int) {
	for range limit {
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
		default:
			ln.acceptFailed(err)
			ln.pause()
			return
		}
	}
}

// pause stops accepting for acceptPauseMs. The connection that could not be accepted keeps the socket ready, so without a
// pause the loop would spin until a descriptor is free.
func (ln *Listener) pause() {
	ln.loop.setInterest(ln.fd, 0)
	ln.resumeTimer = ln.loop.After(acceptPauseMs, func() {
		if ln.fd >= 0 {
			ln.loop.setInterest(ln.fd, unix.EPOLLIN)
		}
	})
}

// Close closes the socket in this process. Other processes that have the socket open keep listening, and accept the
// connections in its backlog.
func (ln *Listener) Close() {
	if ln.fd < 0 {
		return
	}
	ln.resumeTimer.Stop()
	if ln.shared { // closing the descriptor doesn't remove it from epoll while another process has the socket open
		_ = unix.EpollCtl(ln.loop.epollFD, unix.EPOLL_CTL_DEL, ln.fd, nil)
	}
	ln.loop.unregisterAndClose(ln.fd)
	ln.fd = -1
}
