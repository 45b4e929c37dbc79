package eventloop

import (
	"fmt"

	"golang.org/x/sys/unix"
)

const (
	// listenBacklog is how many connections the system keeps until they are accepted.
	listenBacklog = 1024
	// maxAcceptsPerRound bounds the connections that one listener accepts in a round.
	maxAcceptsPerRound = 64
	// acceptPauseMs is how long nothing is accepted after a failure, such as a lack of descriptors.
	acceptPauseMs = 20.0
)

// Listener accepts connections.
type Listener struct {
	loop         *Loop
	fd           int // -1: closed
	addr         string
	accept       func(fd int)
	acceptFailed func(error)
	resumeTimer  *Timer // ends a pause after a failure
	shared       bool   // other processes may have the socket too
	accepting    bool   // false: StartAccepting is awaited
}

// Listen accepts connections on an address. accept gets each connection's descriptor and has to close it or pass it on.
// acceptFailed is called when no connection could be accepted; it may free descriptors. The error names the address.
func (l *Loop) Listen(addr string, accept func(fd int), acceptFailed func(error)) (*Listener, error) {
	fd, sockaddr, err := newSocket(addr, unix.SOCK_STREAM)
	if err != nil {
		return nil, err
	}
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1) // without it Bind may fail, and says so
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

// ListenFD takes over a listening socket that was inherited as a descriptor and that other processes may have too. It
// accepts connections from StartAccepting on. accept and acceptFailed are as for Listen. It fails where the descriptor
// is no listening socket; the descriptor stays open then.
func (l *Loop) ListenFD(fd int, accept func(fd int), acceptFailed func(error)) (*Listener, error) {
	if listening, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN); err != nil || listening == 0 {
		return nil, fmt.Errorf("descriptor %d is no listening socket", fd)
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

// StartAccepting lets a listener from ListenFD accept connections.
func (ln *Listener) StartAccepting() {
	if !ln.accepting && ln.fd >= 0 {
		ln.accepting = true
		ln.loop.setInterest(ln.fd, unix.EPOLLIN)
	}
}

// Addr returns the address listened on; its port is the real one where 0 was asked for.
func (ln *Listener) Addr() string { return ln.addr }

// ready handles the epoll events of the socket: connections wait.
func (ln *Listener) ready(uint32) { ln.AcceptPending() }

// AcceptPending accepts the connections that wait, as many as are allowed in one round.
func (ln *Listener) AcceptPending() { ln.acceptUpTo(maxAcceptsPerRound) }

// DropNewConnections has the system drop the packets that open connections, unless other processes have the socket too.
// Those whose handshake has begun are still established and accepted.
func (ln *Listener) DropNewConnections() {
	if ln.fd >= 0 && !ln.shared {
		dropNewConnections(ln.fd)
	}
}

// AcceptAll accepts all connections that wait. Called before Close, it keeps those in the backlog from being reset. No
// other handshake begins after it, as after DropNewConnections, which is to be called so long before that those begun have ended.
func (ln *Listener) AcceptAll() {
	ln.DropNewConnections()
	ln.acceptUpTo(listenBacklog + 1)
}

// acceptUpTo accepts connections until none waits, or as many as the limit. After a failure it calls acceptFailed and
// pauses.
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

// pause stops accepting for acceptPauseMs. The connection that could not be accepted stays ready, so without a pause
// the loop would spin until a descriptor is free.
func (ln *Listener) pause() {
	ln.loop.setInterest(ln.fd, 0)
	ln.resumeTimer = ln.loop.After(acceptPauseMs, func() {
		if ln.fd >= 0 {
			ln.loop.setInterest(ln.fd, unix.EPOLLIN)
		}
	})
}

// Close stops listening here. Other processes that have the socket go on, and accept what is in its backlog.
func (ln *Listener) Close() {
	if ln.fd < 0 {
		return
	}
	ln.resumeTimer.Stop()
	if ln.shared { // closing doesn't end epoll's events while another process has the socket open
		_ = unix.EpollCtl(ln.loop.epollFD, unix.EPOLL_CTL_DEL, ln.fd, nil)
	}
	ln.loop.unregisterAndClose(ln.fd)
	ln.fd = -1
}
