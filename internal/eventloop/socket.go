package eventloop

import (
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

// newSocket creates a non-blocking socket of a kind (unix.SOCK_STREAM or unix.SOCK_DGRAM) for the family of an address. addr
// is an IP address and a port; newSocket returns it in the system's form as well.
func newSocket(addr string, kind int) (fd int, sockaddr unix.Sockaddr, err error) {
	addrPort, err := netip.ParseAddrPort(addr)
	if err != nil {
		return 0, nil, fmt.Errorf("address %q: %w", addr, err)
	}
	family := unix.AF_INET
	if !addrPort.Addr().Is4() {
		family = unix.AF_INET6
	}
	fd, err = unix.Socket(family, kind|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, nil, fmt.Errorf("socket: %w", err)
	}
	return fd, toSockaddr(addrPort), nil
}

// closeFD closes a descriptor. The error is ignored, as Linux closes the descriptor in any case and there is no written
// data that a failed close could lose.
func closeFD(fd int) { _ = unix.Close(fd) }

// setNoDelay makes the system send written data at once. A failure is ignored, as it only delays the data.
func setNoDelay(fd int) { _ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) }

// localAddr returns the address that a socket is bound to, or "" if the system can't report it.
func localAddr(fd int) string {
	sockaddr, err := unix.Getsockname(fd)
	if err != nil {
		return ""
	}
	addr, _ := fromSockaddr(sockaddr)
	return addr.String()
}

// fromSockaddr returns the IP address and port of a socket address. It returns false if the address is of another family.
func fromSockaddr(sockaddr unix.Sockaddr) (netip.AddrPort, bool) {
	switch sockaddr := sockaddr.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(sockaddr.Addr), uint16(sockaddr.Port)), true
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(sockaddr.Addr), uint16(sockaddr.Port)), true
	}
	return netip.AddrPort{}, false
}

// toSockaddr returns the system's form of an IP address and port.
func toSockaddr(addr netip.AddrPort) unix.Sockaddr {
	if addr.Addr().Is4() {
		return &unix.SockaddrInet4{Port: int(addr.Port()), Addr: addr.Addr().As4()}
	}
	return &unix.SockaddrInet6{Port: int(addr.Port()), Addr: addr.Addr().As16()}
}
