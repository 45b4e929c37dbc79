package faultsim

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"merlinjunction/internal/stubserver"
)

// Relays stand between gateways: each gateway has a front address, which is the one that the others are told. A datagram
// to it is known by its sender's address, so every directed pair has a link of its own, with the faults that Network gives
// it.
type Relays struct {
	mutex     sync.Mutex
	network   *Network
	rng       *rand.Rand
	endpoints []*relayEndpoint
	bySource  map[netip.AddrPort]*relayEndpoint // by the address that a process sends from
	closed    bool
}

// relayEndpoint is one process's address on the simulated network.
type relayEndpoint struct {
	index int // of the gateway in the network
	conn  *net.UDPConn
	addr  netip.AddrPort // what the others send to
	own   netip.AddrPort // where the process itself listens
	bytes int
}

func newRelays(network *Network, seed uint64) *Relays {
	return &Relays{network: network, rng: rand.New(rand.NewPCG(seed, 2)), bySource: map[netip.AddrPort]*relayEndpoint{}}
}

// add makes the front of a process that will listen on own.
func (r *Relays) add(index int, own netip.AddrPort) (*relayEndpoint, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	_ = conn.SetReadBuffer(1 << 20)
	f := &relayEndpoint{index: index, conn: conn, addr: conn.LocalAddr().(*net.UDPAddr).AddrPort(), own: own}
	r.mutex.Lock()
	r.endpoints = append(r.endpoints, f)
	r.bySource[own] = f
	r.mutex.Unlock()
	go r.serve(f)
	return f, nil
}

func (r *Relays) serve(to *relayEndpoint) {
	buf := make([]byte, 2048)
	for {
		n, src, err := to.conn.ReadFromUDPAddrPort(buf)
		r.mutex.Lock()
		if err != nil {
			closed := r.closed
			r.mutex.Unlock()
			if closed {
				return
			}
			continue // a process that has gone: refused
		}
		src = netip.AddrPortFrom(src.Addr().Unmap(), src.Port())
		from := r.bySource[src]
		if from == nil {
			r.mutex.Unlock()
			continue
		}
		from.bytes += n + headerBytes
		first, second := r.network.Send(r.rng, from.index, to.index)
		r.mutex.Unlock()
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
	r.mutex.Lock()
	r.network.Apply(s)
	r.mutex.Unlock()
}

// sent is how many bytes each gateway has sent so far.
func (r *Relays) sent() map[int]int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	sum := map[int]int{}
	for _, f := range r.endpoints {
		sum[f.index] += f.bytes
	}
	return sum
}

func (r *Relays) close() {
	r.mutex.Lock()
	r.closed = true
	r.mutex.Unlock()
	for _, f := range r.endpoints {
		stubserver.CloseQuietly(f.conn)
	}
}
