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

const (
	relayReadBufferBytes = 1 << 20
	relayDatagramBytes   = 2048 // longest datagram that is relayed
)

// DatagramRelays pass datagrams between gateways: each gateway advertises the address of its relay. The sender of a
// datagram is recognized by its own address, so Network can treat each directed pair of gateways as a link.
type DatagramRelays struct {
	mutex     sync.Mutex
	network   *Network
	random    *rand.Rand
	endpoints []*relayEndpoint
	bySource  map[netip.AddrPort]*relayEndpoint // by the gateway's own address
	closed    bool
}

// relayEndpoint is the relay of one gateway.
type relayEndpoint struct {
	index     int // of the gateway in the network
	conn      *net.UDPConn
	address   netip.AddrPort // where other gateways send to
	own       netip.AddrPort // where the gateway itself listens
	sentBytes int            // by the gateway
}

func newDatagramRelays(network *Network, seed uint64) *DatagramRelays {
	return &DatagramRelays{
		network:  network,
		random:   rand.New(rand.NewPCG(seed, 2)),
		bySource: map[netip.AddrPort]*relayEndpoint{},
	}
}

// add starts the relay of a gateway that will listen on its own address.
func (r *DatagramRelays) add(index int, own netip.AddrPort) (*relayEndpoint, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	_ = conn.SetReadBuffer(relayReadBufferBytes) // the system's default will do
	endpoint := &relayEndpoint{
		index:   index,
		conn:    conn,
		address: conn.LocalAddr().(*net.UDPAddr).AddrPort(),
		own:     own,
	}
	r.mutex.Lock()
	r.endpoints = append(r.endpoints, endpoint)
	r.bySource[own] = endpoint
	r.mutex.Unlock()
	go r.serve(endpoint)
	return endpoint, nil
}

// serve relays datagrams to a gateway until the relays are closed. Other errors are refusals of a process that has
// ended.
func (r *DatagramRelays) serve(receiver *relayEndpoint) {
	buffer := make([]byte, relayDatagramBytes)
	for {
		size, source, err := receiver.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if r.isClosed() {
				return
			}
			continue
		}
		r.relay(source, receiver, buffer[:size])
	}
}

func (r *DatagramRelays) isClosed() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.closed
}

// relay sends the copies of a datagram that arrive, after their delays. Datagrams of unknown sources are dropped.
func (r *DatagramRelays) relay(source netip.AddrPort, receiver *relayEndpoint, datagram []byte) {
	source = netip.AddrPortFrom(source.Addr().Unmap(), source.Port())
	sender, delivery := r.admit(source, receiver, len(datagram))
	for _, delayMs := range delivery.delaysMs() {
		data := append([]byte(nil), datagram...)
		time.AfterFunc(millisecondsToDuration(delayMs), func() {
			_, _ = sender.conn.WriteToUDPAddrPort(data, receiver.own) // an error is a lost datagram
		})
	}
}

// admit counts a datagram and decides what happens to it.
func (r *DatagramRelays) admit(source netip.AddrPort, receiver *relayEndpoint, size int) (*relayEndpoint, Delivery) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	sender := r.bySource[source]
	if sender == nil {
		return nil, Delivery{}
	}
	sender.sentBytes += size + headerBytes
	return sender, r.network.DrawDelivery(r.random, sender.index, receiver.index)
}

// apply carries out a step that concerns the network.
func (r *DatagramRelays) apply(step *Step) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.network.Apply(step)
}

// sentBytes returns how many bytes each gateway has sent so far.
func (r *DatagramRelays) sentBytes() map[int]int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	sums := map[int]int{}
	for _, endpoint := range r.endpoints {
		sums[endpoint.index] += endpoint.sentBytes
	}
	return sums
}

func (r *DatagramRelays) close() {
	r.mutex.Lock()
	r.closed = true
	r.mutex.Unlock()
	for _, endpoint := range r.endpoints {
		stubserver.CloseQuietly(endpoint.conn)
	}
}
