package eventloop

import (
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

const (
	// maxPacketsPerRound bounds the datagrams that one socket receives in a round, so that none starves the others.
	maxPacketsPerRound = 64
	// maxPacketBytes is the size that a longer datagram is cut to.
	maxPacketBytes = 2048
	// receiveBufferBytes is the size asked of the system's receive buffer.
	receiveBufferBytes = 1 << 20
)

// PacketConn is a UDP socket that never blocks.
type PacketConn struct {
	loop    *Loop
	fd      int // -1: closed
	addr    netip.AddrPort
	receive func(from netip.AddrPort, data []byte)
}

// ListenPacket receives datagrams on an address. receive is called for each in the round in which it is read; its data
// is valid during the call. The error names the address.
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

// Addr returns the address received on; its port is the real one where 0 was asked for.
func (p *PacketConn) Addr() netip.AddrPort { return p.addr }

// ready handles the epoll events of the socket: it passes on the datagrams that have arrived, at most
// maxPacketsPerRound. An error ends the round's receiving; the next event tries again.
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

// SendTo sends a datagram. It returns false where the datagram was dropped, as the system has no space for it now or no
// route to the receiver.
func (p *PacketConn) SendTo(to netip.AddrPort, data []byte) bool {
	if p.fd < 0 {
		return false
	}
	return unix.Sendto(p.fd, data, unix.MSG_DONTWAIT, toSockaddr(to)) == nil
}

// Close closes the socket; no further datagram is received.
func (p *PacketConn) Close() {
	if p.fd >= 0 {
		p.loop.unregisterAndClose(p.fd)
		p.fd = -1
	}
}
