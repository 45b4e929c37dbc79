package eventloop

import (
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

const (
	packetsAtOnce = 64 // of one socket in a round
	packetRoom    = 2048
	packetBuffer  = 1 << 20 // of the system's, each way
)

// Packet is a UDP socket that never blocks.
type Packet struct {
	loop    *Loop
	fd      int
	addr    netip.AddrPort
	receive func(from netip.AddrPort, data []byte)
}

// ListenPacket receives datagrams on an address. receive is called for each in the round in which it is read; data is
// valid during the call. The error names the address.
func (l *Loop) ListenPacket(addr string, receive func(from netip.AddrPort, data []byte)) (*Packet, error) {
	fd, sa, err := socketOf(addr, unix.SOCK_DGRAM)
	if err != nil {
		return nil, err
	}
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, packetBuffer) // as much as the system allows
	if err := unix.Bind(fd, sa); err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	}
	p := &Packet{loop: l, fd: fd, receive: receive}
	if p.addr, err = netip.ParseAddrPort(boundTo(fd)); err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	}
	if err := l.add(fd, p, unix.EPOLLIN); err != nil {
		unix.Close(fd)
		return nil, err
	}
	return p, nil
}

// Addr is the address received on; its port is the real one where 0 was asked for.
func (p *Packet) Addr() netip.AddrPort { return p.addr }

func (p *Packet) ready(uint32) {
	for range packetsAtOnce {
		if p.fd < 0 {
			return
		}
		n, sa, err := unix.Recvfrom(p.fd, p.loop.scratch[:packetRoom], 0)
		if err == unix.EINTR || err == unix.ECONNREFUSED { // somebody has gone whom something was sent to
			continue
		}
		if err != nil {
			return
		}
		if from, ok := addrPortOf(sa); ok {
			p.receive(from, p.loop.scratch[:n])
		}
	}
}

// SendTo sends a datagram, or drops it: where the system has no room for it now, or nobody can be reached.
func (p *Packet) SendTo(to netip.AddrPort, data []byte) bool {
	if p.fd < 0 {
		return false
	}
	return unix.Sendto(p.fd, data, unix.MSG_DONTWAIT, sockaddrOf(to)) == nil
}

// Close gives the socket back.
func (p *Packet) Close() {
	if p.fd >= 0 {
		p.loop.drop(p.fd)
		p.fd = -1
	}
}

func addrPortOf(sa unix.Sockaddr) (netip.AddrPort, bool) {
	switch sa := sa.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(sa.Addr), uint16(sa.Port)), true
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(sa.Addr), uint16(sa.Port)), true
	}
	return netip.AddrPort{}, false
}

func sockaddrOf(a netip.AddrPort) unix.Sockaddr {
	if a.Addr().Is4() {
		return &unix.SockaddrInet4{Port: int(a.Port()), Addr: a.Addr().As4()}
	}
	return &unix.SockaddrInet6{Port: int(a.Port()), Addr: a.Addr().As16()}
}
