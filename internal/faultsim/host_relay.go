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

// hostRelay is a TCP relay from one gateway to one host.
type hostRelay struct {
	listener net.Listener
	target   func() string
	mutex    sync.Mutex
	conns    map[net.Conn]bool
	open     chan struct{} // closed while all is well; open: nothing passes
}

func newHostRelay(to func() string) (*hostRelay, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	l := &hostRelay{listener: ln, target: to, conns: map[net.Conn]bool{}, open: make(chan struct{})}
	close(l.open)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go l.relay(c)
		}
	}()
	return l, nil
}

func (l *hostRelay) addr() string { return l.listener.Addr().String() }

// awaitOpen waits until bytes may pass.
func (l *hostRelay) awaitOpen() {
	l.mutex.Lock()
	c := l.open
	l.mutex.Unlock()
	<-c
}

// setCut cuts the relay, silently, or heals it. Healed, connections that were cut are reset.
func (l *hostRelay) setCut(on bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	select {
	case <-l.open: // all is well
		if on {
			l.open = make(chan struct{})
		}
	default:
		if !on {
			for c := range l.conns {
				_ = c.(*net.TCPConn).SetLinger(0)
				stubserver.CloseQuietly(c)
			}
			close(l.open)
		}
	}
}

func (l *hostRelay) track(c net.Conn, on bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if on {
		l.conns[c] = true
	} else {
		delete(l.conns, c)
	}
}

func (l *hostRelay) relay(in net.Conn) {
	l.track(in, true)
	defer l.track(in, false)
	defer stubserver.CloseQuietly(in)
	l.awaitOpen()
	out, err := net.DialTimeout("tcp4", l.target(), time.Second)
	if err != nil {
		_ = in.(*net.TCPConn).SetLinger(0)
		return
	}
	l.track(out, true)
	defer l.track(out, false)
	defer stubserver.CloseQuietly(out)
	done := make(chan struct{}, 2)
	pump := func(to, from net.Conn) {
		buf := make([]byte, 16<<10)
		for {
			n, err := from.Read(buf)
			if n > 0 {
				l.awaitOpen()
				if _, werr := to.Write(buf[:n]); werr != nil {
					break
				}
			}
			if err != nil {
				if !errors.Is(err, io.EOF) {
					_ = to.(*net.TCPConn).SetLinger(0)
				}
				break
			}
		}
		_ = to.(*net.TCPConn).CloseWrite()
		done <- struct{}{}
	}
	go pump(out, in)
	pump(in, out)
	stubserver.CloseQuietly(in)
	stubserver.CloseQuietly(out)
	<-done
}

func (l *hostRelay) close() {
	stubserver.CloseQuietly(l.listener)
	l.setCut(false)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for c := range l.conns {
		stubserver.CloseQuietly(c)
	}
}
