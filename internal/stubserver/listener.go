package stubserver

import (
	"net"
	"sync"
)

// Listener accepts connections on a TCP address, serves each in a goroutine of its own, and can close or reset all of them.
// After Close it can be opened again at the same address, like a host that restarts.
type Listener struct {
	serve func(net.Conn)

	mutex    sync.Mutex
	address  string
	listener net.Listener // nil while closed
	conns    map[net.Conn]bool
}

// NewListener returns a closed Listener. It calls serve for each connection, and closes the connection when serve returns.
func NewListener(serve func(net.Conn)) *Listener {
	return &Listener{serve: serve, address: "127.0.0.1:0", conns: map[net.Conn]bool{}}
}

// Open starts to accept connections, the first time on a free port and later on the same port. It fails if that port is in
// use.
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

// serveConn calls serve for a connection and then closes it.
func (l *Listener) serveConn(conn net.Conn) {
	l.serve(conn)
	CloseQuietly(conn)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.conns, conn)
}

// Address returns the address that the Listener listens on or, while it is closed, the one that it listened on last.
func (l *Listener) Address() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.address
}

// Close stops accepting connections. Connections that are open stay open. On a closed Listener it has no effect.
func (l *Listener) Close() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.listener != nil {
		CloseQuietly(l.listener)
		l.listener = nil
	}
}

// CloseConns closes all connections in an orderly way, as a host closes idle ones.
func (l *Listener) CloseConns() {
	l.eachConn(CloseQuietly[net.Conn])
}

// ResetConns closes all connections with a TCP reset, as may happen when a host's process ends.
func (l *Listener) ResetConns() {
	l.eachConn(Reset)
}

// eachConn calls end for each open connection and removes it from conns.
func (l *Listener) eachConn(end func(net.Conn)) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for conn := range l.conns {
		end(conn)
	}
	clear(l.conns)
}

// Reset closes a TCP connection with a reset (RST) in place of an orderly close.
func Reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // an error means that the connection is already closed
	}
	CloseQuietly(conn)
}

// CloseQuietly closes a resource that a test or an experiment no longer needs. It ignores the error, because nothing depends
// on it and the peer notices the close in either case.
func CloseQuietly[T interface{ Close() error }](closer T) {
	_ = closer.Close()
}
