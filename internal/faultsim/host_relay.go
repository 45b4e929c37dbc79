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
	copyBufferBytes  = 16 << 10
	relayDialTimeout = time.Second
)

// hostRelay relays TCP connections from one gateway to one host. It can be cut, which silently stops all data, and healed.
type hostRelay struct {
	listener net.Listener
	target   func() string // returns the host's address
	mutex    sync.Mutex
	conns    map[net.Conn]bool
	healed   chan struct{} // closed while the relay is not cut
}

func newHostRelay(target func() string) (*hostRelay, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("cannot listen for a relay to a host: %w", err)
	}
	r := &hostRelay{
		listener: listener,
		target:   target,
		conns:    map[net.Conn]bool{},
		healed:   make(chan struct{}),
	}
	close(r.healed)
	go r.accept()
	return r, nil
}

func (r *hostRelay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.relay(conn)
	}
}

// address returns the address that the gateway connects to.
func (r *hostRelay) address() string { return r.listener.Addr().String() }

// awaitHealed waits while the relay is cut.
func (r *hostRelay) awaitHealed() {
	r.mutex.Lock()
	healed := r.healed
	r.mutex.Unlock()
	<-healed
}

// setCut cuts or heals the relay. A cut leaves the connections open but stops their data. Healing resets them.
func (r *hostRelay) setCut(cut bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if cut == r.isCut() {
		return
	}
	if cut {
		r.healed = make(chan struct{})
		return
	}
	for conn := range r.conns {
		stubserver.Reset(conn)
	}
	close(r.healed)
}

// isCut reports whether the relay is cut. The caller holds the lock.
func (r *hostRelay) isCut() bool {
	select {
	case <-r.healed:
		return false
	default:
		return true
	}
}

func (r *hostRelay) track(conn net.Conn) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.conns[conn] = true
}

func (r *hostRelay) untrack(conn net.Conn) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.conns, conn)
}

// relay connects to the host and copies data in both directions until the connection ends on either side.
func (r *hostRelay) relay(client net.Conn) {
	r.track(client)
	defer r.untrack(client)
	defer stubserver.CloseQuietly(client)
	r.awaitHealed()
	host, err := net.DialTimeout("tcp4", r.target(), relayDialTimeout)
	if err != nil {
		resetOnClose(client)
		return
	}
	r.track(host)
	defer r.untrack(host)
	defer stubserver.CloseQuietly(host)
	done := make(chan struct{})
	go func() {
		r.copyStream(host, client)
		close(done)
	}()
	r.copyStream(client, host)
	stubserver.CloseQuietly(client)
	stubserver.CloseQuietly(host)
	<-done
}

// copyStream copies one direction of a connection, and waits while the relay is cut. If reading fails with an error other
// than the end of the stream, such as a reset, the other side is reset too.
func (r *hostRelay) copyStream(to, from net.Conn) {
	buffer := make([]byte, copyBufferBytes)
	for {
		count, err := from.Read(buffer)
		if count > 0 {
			r.awaitHealed()
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
	_ = to.(*net.TCPConn).CloseWrite() // an error means that the connection is already closed
}

// resetOnClose makes a later close of a TCP connection send a reset.
func resetOnClose(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0) // an error means that the connection is already closed
}

func (r *hostRelay) close() {
	stubserver.CloseQuietly(r.listener)
	r.setCut(false)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for conn := range r.conns {
		stubserver.CloseQuietly(conn)
	}
}
