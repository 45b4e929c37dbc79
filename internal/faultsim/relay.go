package faultsim

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Relays stand between gateways: each gateway has a front address, which is the one that the others are told. A datagram
// to it is known by its sender's address, so every directed pair has a link of its own, with the faults that Network gives
// it.
type Relays struct {
	mu     sync.Mutex
	net    *Network
	rng    *rand.Rand
	fronts []*front
	from   map[netip.AddrPort]*front // by the address that a process sends from
	closed bool
}

// front is one process's address on the stand-in network.
type front struct {
	index int // of the gateway in the network
	conn  *net.UDPConn
	addr  netip.AddrPort // what the others send to
	own   netip.AddrPort // where the process itself listens
	bytes int
}

func newRelays(network *Network, seed uint64) *Relays {
	return &Relays{net: network, rng: rand.New(rand.NewPCG(seed, 2)), from: map[netip.AddrPort]*front{}}
}

// add makes the front of a process that will listen on own.
func (r *Relays) add(index int, own netip.AddrPort) (*front, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	_ = conn.SetReadBuffer(1 << 20)
	f := &front{index: index, conn: conn, addr: conn.LocalAddr().(*net.UDPAddr).AddrPort(), own: own}
	r.mu.Lock()
	r.fronts = append(r.fronts, f)
	r.from[own] = f
	r.mu.Unlock()
	go r.serve(f)
	return f, nil
}

func (r *Relays) serve(to *front) {
	buf := make([]byte, 2048)
	for {
		n, src, err := to.conn.ReadFromUDPAddrPort(buf)
		r.mu.Lock()
		if err != nil {
			closed := r.closed
			r.mu.Unlock()
			if closed {
				return
			}
			continue // a process that has gone: refused
		}
		src = netip.AddrPortFrom(src.Addr().Unmap(), src.Port())
		from := r.from[src]
		if from == nil {
			r.mu.Unlock()
			continue
		}
		from.bytes += n + headers
		first, second := r.net.Send(r.rng, from.index, to.index)
		r.mu.Unlock()
		for _, delay := range []float64{first, second} {
			if delay < 0 {
				continue
			}
			data := append([]byte(nil), buf[:n]...)
			time.AfterFunc(time.Duration(delay*1e6), func() { _, _ = from.conn.WriteToUDPAddrPort(data, to.own) })
		}
	}
}

// apply carries out a step that concerns the network.
func (r *Relays) apply(s *Step) {
	r.mu.Lock()
	r.net.Apply(s)
	r.mu.Unlock()
}

// sent is how many bytes each gateway has sent so far.
func (r *Relays) sent() map[int]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := map[int]int{}
	for _, f := range r.fronts {
		sum[f.index] += f.bytes
	}
	return sum
}

func (r *Relays) close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	for _, f := range r.fronts {
		f.conn.Close()
	}
}

// link is a TCP relay from one gateway to one host.
type link struct {
	listener net.Listener
	to       func() string
	mu       sync.Mutex
	conns    map[net.Conn]bool
	cut      chan struct{} // closed while all is well; open: nothing passes
}

func newLink(to func() string) (*link, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	l := &link{listener: ln, to: to, conns: map[net.Conn]bool{}, cut: make(chan struct{})}
	close(l.cut)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go l.carry(c)
		}
	}()
	return l, nil
}

func (l *link) addr() string { return l.listener.Addr().String() }

// passes waits until bytes may pass.
func (l *link) passes() {
	l.mu.Lock()
	c := l.cut
	l.mu.Unlock()
	<-c
}

// setCut cuts the link, silently, or heals it. Healed, connections that were cut are reset.
func (l *link) setCut(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.cut: // all is well
		if on {
			l.cut = make(chan struct{})
		}
	default:
		if !on {
			for c := range l.conns {
				_ = c.(*net.TCPConn).SetLinger(0)
				c.Close()
			}
			close(l.cut)
		}
	}
}

func (l *link) keep(c net.Conn, on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if on {
		l.conns[c] = true
	} else {
		delete(l.conns, c)
	}
}

func (l *link) carry(in net.Conn) {
	l.keep(in, true)
	defer l.keep(in, false)
	defer in.Close()
	l.passes()
	out, err := net.DialTimeout("tcp4", l.to(), time.Second)
	if err != nil {
		_ = in.(*net.TCPConn).SetLinger(0)
		return
	}
	l.keep(out, true)
	defer l.keep(out, false)
	defer out.Close()
	done := make(chan struct{}, 2)
	pump := func(to, from net.Conn) {
		buf := make([]byte, 16<<10)
		for {
			n, err := from.Read(buf)
			if n > 0 {
				l.passes()
				if _, werr := to.Write(buf[:n]); werr != nil {
					break
				}
			}
			if err != nil {
				if err != io.EOF {
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
	in.Close()
	out.Close()
	<-done
}

func (l *link) close() {
	l.listener.Close()
	l.setCut(false)
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.Close()
	}
}
