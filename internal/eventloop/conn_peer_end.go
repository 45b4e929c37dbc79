package eventloop

import "golang.org/x/sys/unix"

// WatchPeerEnd makes the connection notify its handler as soon as the peer has ended its sending direction, also while the
// input limit is reached. When the peer has reset the connection, the handler's Ended is called at once and input that was
// not read is dropped, as the peer can't receive an answer to it. It must be called before anything is read.
func (c *Conn) WatchPeerEnd(handler PeerEndHandler) {
	c.peerEndHandler = handler
	c.updateInterest()
}

// notePeerEnd notifies the handler if the events report the end of the peer's sending direction for the first time.
func (c *Conn) notePeerEnd(events uint32) {
	if events&unix.EPOLLRDHUP == 0 || c.peerEnded {
		return
	}
	c.peerEnded = true
	c.updateInterest()
	c.peerEndHandler.PeerEnded()
}

// PeerGone reports whether the peer has reset the connection. It asks the system, so it may be true before Ended is called.
func (c *Conn) PeerGone() bool {
	if !c.IsOpen() {
		return true
	}
	descriptors := []unix.PollFd{{Fd: int32(c.fd)}} // errors and resets are always reported
	count, err := unix.Poll(descriptors, 0)
	return err == nil && count > 0 && descriptors[0].Revents&(unix.POLLERR|unix.POLLHUP) != 0
}
