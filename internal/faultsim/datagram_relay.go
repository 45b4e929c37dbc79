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
	socketReadBufferBytes   = 1 << 20
	maxRelayedDatagramBytes = 2048 // longer datagrams are truncated
)

// DatagramRelays relays datagrams between gateways. Each gateway advertises the address of its relay in place of its own.
// A relay identifies the sender of a datagram by the source address, so Network can treat each ordered pair of gateways as
// a link.
type DatagramRelays struct {
	mutex    sync.Mutex
	network  *Network
	random   *rand.Rand
	relays   []*datagramRelay
	bySource map[netip.AddrPort]*datagramRelay // by the sending gateway's own address
	closed   bool
}

// datagramRelay receives and relays the datagrams that are sent to one gateway.
type datagramRelay struct {
	index          int // index of the gateway in the network
	conn           *net.UDPConn
	address        netip.AddrPort // address that the gateway advertises, and to which other gateways send
	gatewayAddress netip.AddrPort // address on which the gateway itself listens
	sentBytes      int            // bytes that the gateway has sent, with headers
}

func newDatagramRelays(network *Network, seed uint64) *DatagramRelays {
	return &DatagramRelays{
		network:  network,
		random:   rand.New(rand.NewPCG(seed, 2)),
		bySource: map[netip.AddrPort]*datagramRelay{},
	}
}

// add starts the relay of a gateway that will listen on gatewayAddress.
func (r *DatagramRelays) add(index int, gatewayAddress netip.AddrPort) (*datagramRelay, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fmt.Errorf("cannot listen for the datagram relay of gateway g%d: %w", index, err)
	}
	_ = conn.SetReadBuffer(socketReadBufferBytes) // after an error the system's default size is sufficient
	relay := &datagramRelay{
		index:          index,
		conn:           conn,
		address:        conn.LocalAddr().(*net.UDPAddr).AddrPort(),
		gatewayAddress: gatewayAddress,
	}
	r.mutex.Lock()
	r.relays = append(r.relays, relay)
	r.bySource[gatewayAddress] = relay
	r.mutex.Unlock()
	go r.serve(relay)
	return relay, nil
}

// serve relays datagrams to a gateway until the relays are closed. It ignores other read errors: they report that the port
// of a gateway whose process has exited refused a datagram.
func (r *DatagramRelays) serve(receiver *datagramRelay) {
	buffer := make([]byte, maxRelayedDatagramBytes)
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

// relay sends the copies of a datagram that Network delivers, each after its delay. It drops datagrams from unknown sources.
func (r *DatagramRelays) relay(source netip.AddrPort, receiver *datagramRelay, datagram []byte) {
	source = netip.AddrPortFrom(source.Addr().Unmap(), source.Port())
	sender, delivery := r.decideDelivery(source, receiver, len(datagram))
	for _, delayMs := range delivery.delaysMs() {
		data := append([]byte(nil), datagram...)
		time.AfterFunc(millisecondsToDuration(delayMs), func() {
			_, _ = sender.conn.WriteToUDPAddrPort(data, receiver.gatewayAddress) // on an error the datagram is lost
		})
	}
}

// decideDelivery counts the bytes of a datagram, and returns the relay of its sender and the datagram's delivery.
func (r *DatagramRelays) decideDelivery(
	source netip.AddrPort, receiver *datagramRelay, size int,
) (*datagramRelay, Delivery) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	sender := r.bySource[source]
	if sender == nil {
		return nil, Delivery{}
	}
	sender.sentBytes += size + headerBytes
	return sender, r.network.DrawDelivery(r.random, sender.index, receiver.index)
}

// apply carries out a step on the network.
func (r *DatagramRelays) apply(step *Step) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.network.Apply(step)
}

// sentBytes returns how many bytes each gateway has sent so far.
func (r *DatagramRelays) sentBytes() map[int]int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	bytesByGateway := map[int]int{}
	for _, relay := range r.relays {
		bytesByGateway[relay.index] += relay.sentBytes
	}
	return bytesByGateway
}

func (r *DatagramRelays) close() {
	r.mutex.Lock()
	r.closed = true
	r.mutex.Unlock()
	for _, relay := range r.relays {
		stubserver.CloseQuietly(relay.conn)
	}
}
