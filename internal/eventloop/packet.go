package eventloop

import (
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

const (
	// maxPacketsPerRound limits the datagrams that one socket receives in a round, so that it doesn't starve the other
	// descriptors.
	maxPacketsPerRound = 64
	// maxPacketBytes is the maximum size of a received datagram. A longer datagram is truncated.
	maxPacketBytes = 2048
	// receiveBufferBytes is the size that is requested for the system's receive buffer.
	receiveBufferBytes = 1 << 20
)

// PacketConn is a UDP socket that never blocks.
type PacketConn struct {
	loop    *Loop
	fd      int // -1: closed
	addr    netip.AddrPort
	receive func(from netip.AddrPort, data []byte)
}

// ListenPacket receives datagrams on an address. receive is called for each datagram in the round in which it is read. data
// is valid only during the call. A returned error contains the address.
func (l *Loop) ListenPacket(addr string, receive func(from netip.AddrPort, data []byte)) (*PacketConn, error) {
	fd, sockaddr, err := newSocket(addr, unix.SOCK_DGRAM)
	if err != nil {
		return nil, err
	}
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes) // the system may allow less
	if err := unix.Bind(fd, sockaddr); err != nil {
		closeFD(fd)
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	}
	p := &PacketConn{loop: l, fd: fd, receive: receive}
	if p.addr, err = netip.ParseAddrPort(localAddr(fd)); err != nil {
		closeFD(fd)
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	}
	if err := l.register(fd, p, unix.EPOLLIN); err != nil {
		closeFD(fd)
		return nil, err
	}
	return p, nil
}

// Addr returns the address that the socket is bound to. If port 0 was requested, it contains the port that the system chose.
func (p *PacketConn) Addr() netip.AddrPort { return p.addr }

// ready handles the epoll events of the socket. It passes the datagrams that have arrived to receive, at most
// maxPacketsPerRound. After an error it stops receiving until the next event.
func (p *PacketConn) ready(uint32) {
	for range maxPacketsPerRound {
		if p.fd < 0 {
			return
		}
		size, sockaddr, err := unix.Recvfrom(p.fd, p.loop.scratch[:maxPacketBytes], 0)
		if err == unix.EINTR || err == unix.ECONNREFUSED { // ECONNREFUSED: the receiver of an earlier datagram is gone
			continue
		}
		if err != nil {
			return
		}
		if from, ok := fromSockaddr(sockaddr); ok {
			p.receive(from, p.loop.scratch[:size])
		}
	}
}

// SendTo sends a datagram. It returns false if the datagram was dropped, for example because the system's send buffer is
// full or there is no route to the receiver.
func (p *PacketConn) SendTo(to netip.AddrPort, data []byte) bool {
	if p.fd < 0 {
		return false
	}
	return unix.Sendto(p.fd, data, unix.MSG_DONTWAIT, toSockaddr(to)) == nil
}

// Close closes the socket. No further datagram is passed to receive.
func (p *PacketConn) Close() {
	if p.fd >= 0 {
		p.loop.unregisterAndClose(p.fd)
		p.fd = -1
	}
}
