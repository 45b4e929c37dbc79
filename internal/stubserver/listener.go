package stubserver

import (
	"net"
	"sync"
)

// Listener accepts connections on a TCP address, serves each in a goroutine of its own and can end them all. After
// Close it can be opened again at the same address, like a host that restarts.
type Listener struct {
	serve func(net.Conn)

	mutex    sync.Mutex
	address  string
	listener net.Listener // nil while closed
	conns    map[net.Conn]bool
}

// NewListener returns a closed Listener. serve is called for each connection and ends it by returning.
func NewListener(serve func(net.Conn)) *Listener {
	return &Listener{serve: serve, address: "127.0.0.1:0", conns: map[net.Conn]bool{}}
}

// Open begins to accept connections: on a free port the first time, later on the same port. It fails if another process
// uses that port.
func (l *Listener) Open() error {
	listener, err := net.Listen("tcp4", l.Address())
	if err != nil {
		return err
	}
	l.mutex.Lock()
	l.listener, l.address = listener, listener.Addr().String()
	l.mutex.Unlock()
	go l.accept(listener)
	return nil
}

func (l *Listener) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		l.mutex.Lock()
		l.conns[conn] = true
		l.mutex.Unlock()
		go l.serveConn(conn)
	}
}

// serveConn serves a connection and closes it.
func (l *Listener) serveConn(conn net.Conn) {
	l.serve(conn)
	CloseQuietly(conn)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.conns, conn)
}

// Address is the address that it listens on, or listened on last.
func (l *Listener) Address() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.address
}

// Close stops accepting connections; open ones stay open. On a closed Listener it does nothing.
func (l *Listener) Close() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.listener != nil {
		CloseQuietly(l.listener)
		l.listener = nil
	}
}

// CloseConns closes all connections, as a host does with idle ones.
func (l *Listener) CloseConns() {
	l.eachConn(CloseQuietly[net.Conn])
}

// ResetConns resets all connections, as the end of a process may.
func (l *Listener) ResetConns() {
	l.eachConn(Reset)
}

func (l *Listener) eachConn(end func(net.Conn)) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for conn := range l.conns {
		end(conn)
	}
	clear(l.conns)
}

// Reset ends a TCP connection with a reset in place of an orderly close.
func Reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // an error means that the connection is gone already
	}
	CloseQuietly(conn)
}

// CloseQuietly closes what a test or an experiment no longer needs. The error is dropped: nothing depends on it, and
// the other side notices the end either way.
func CloseQuietly[T interface{ Close() error }](closer T) {
	_ = closer.Close()
}
