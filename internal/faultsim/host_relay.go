package faultsim

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"merlinjunction/internal/stubserver"
)

const (
	relayBufferBytes = 16 << 10
	relayDialTimeout = time.Second
)

// hostRelay is a TCP relay from one gateway to one host that can be cut.
type hostRelay struct {
	listener net.Listener
	target   func() string // the host's address
	mutex    sync.Mutex
	conns    map[net.Conn]bool
	healed   chan struct{} // closed unless the relay is cut
}

func newHostRelay(target func() string) (*hostRelay, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	l := &hostRelay{
		listener: listener,
		target:   target,
		conns:    map[net.Conn]bool{},
		healed:   make(chan struct{}),
	}
	close(l.healed)
	go l.accept()
	return l, nil
}

func (l *hostRelay) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.relay(conn)
	}
}

// address is where the gateway connects to.
func (l *hostRelay) address() string { return l.listener.Addr().String() }

// awaitHealed waits while the relay is cut.
func (l *hostRelay) awaitHealed() {
	l.mutex.Lock()
	healed := l.healed
	l.mutex.Unlock()
	<-healed
}

// setCut cuts the relay, so that its connections become silent, or heals it, which resets them.
func (l *hostRelay) setCut(cut bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if cut == l.isCut() {
		return
	}
	if cut {
		l.healed = make(chan struct{})
		return
	}
	for conn := range l.conns {
		stubserver.Reset(conn)
	}
	close(l.healed)
}

// isCut reports whether the relay is cut. The caller holds the lock.
func (l *hostRelay) isCut() bool {
	select {
	case <-l.healed:
		return false
	default:
		return true
	}
}

func (l *hostRelay) track(conn net.Conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.conns[conn] = true
}

func (l *hostRelay) untrack(conn net.Conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.conns, conn)
}

// relay connects to the host and copies in both directions until one side ends.
func (l *hostRelay) relay(client net.Conn) {
	l.track(client)
	defer l.untrack(client)
	defer stubserver.CloseQuietly(client)
	l.awaitHealed()
	host, err := net.DialTimeout("tcp4", l.target(), relayDialTimeout)
	if err != nil {
		resetOnClose(client)
		return
	}
	l.track(host)
	defer l.untrack(host)
	defer stubserver.CloseQuietly(host)
	done := make(chan struct{})
	go func() {
		l.copyStream(host, client)
		close(done)
	}()
	l.copyStream(client, host)
	stubserver.CloseQuietly(client)
	stubserver.CloseQuietly(host)
	<-done
}

// copyStream copies one direction of a connection while the relay is not cut. A reset of one side is passed on as one.
func (l *hostRelay) copyStream(to, from net.Conn) {
	buffer := make([]byte, relayBufferBytes)
	for {
		count, err := from.Read(buffer)
		if count > 0 {
			l.awaitHealed()
			if _, writeErr := to.Write(buffer[:count]); writeErr != nil {
				break
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				resetOnClose(to)
			}
			break
		}
	}
	_ = to.(*net.TCPConn).CloseWrite() // an error means that it is closed already
}

// resetOnClose makes the close of a TCP connection a reset.
func resetOnClose(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0) // an error means that it is closed already
}

func (l *hostRelay) close() {
	stubserver.CloseQuietly(l.listener)
	l.setCut(false)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for conn := range l.conns {
		stubserver.CloseQuietly(conn)
	}
}
