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

// address is where the gateway connects to.
func (r *hostRelay) address() string { return r.listener.Addr().String() }

// awaitHealed waits while the relay is cut.
func (r *hostRelay) awaitHealed() {
	r.mutex.Lock()
	healed := r.healed
	r.mutex.Unlock()
	<-healed
}

// setCut cuts the relay, so that its connections become silent, or heals it, which resets them.
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

// relay connects to the host and copies in both directions until one side ends.
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

// copyStream copies one direction of a connection while the relay is not cut. A reset of one side is passed on as one.
func (r *hostRelay) copyStream(to, from net.Conn) {
	buffer := make([]byte, relayBufferBytes)
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
	_ = to.(*net.TCPConn).CloseWrite() // an error means that it is closed already
}

// resetOnClose makes the close of a TCP connection a reset.
func resetOnClose(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0) // an error means that it is closed already
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
