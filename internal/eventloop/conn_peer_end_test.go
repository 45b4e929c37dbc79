package eventloop

import (
	"errors"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// watchingHandler doesn't consume its input until consuming is set, so that the input limit is reached.
type watchingHandler struct {
	conn      *Conn
	consuming bool
	consumed  int
	peerEnded chan struct{} // closed by PeerEnded
	ended     chan error
}

func (w *watchingHandler) Connected() {}
func (w *watchingHandler) Flushed()   {}

func (w *watchingHandler) Data() {
	if w.consuming {
		w.consumed += len(w.conn.In())
		w.conn.Consume(len(w.conn.In()))
	}
}

func (w *watchingHandler) PeerEnded()      { close(w.peerEnded) }
func (w *watchingHandler) Ended(err error) { w.ended <- err }

// startWatching runs a loop that accepts a connection with a small input limit and watches for the end of its peer. It
// returns the handler, and the peer after it has sent more than the limit.
func startWatching(t *testing.T) (handler *watchingHandler, loop *Loop, peer *net.TCPConn) {
	t.Helper()
	const inputLimit = 100
	loop = newLoop(t)
	handler = &watchingHandler{peerEnded: make(chan struct{}), ended: make(chan error, 1)}
	accepted := make(chan struct{})
	listener, err := loop.Listen("127.0.0.1:0", func(fd int) {
		conn, err := loop.Adopt(fd, inputLimit)
		if err != nil {
			t.Error(err)
			return
		}
		handler.conn = conn
		conn.SetHandler(handler)
		conn.WatchPeerEnd(handler)
		close(accepted)
	}, func(err error) { t.Error(err) })
	if err != nil {
		t.Fatal(err)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- loop.Run(func() {}) }()
	t.Cleanup(func() {
		loop.Post(loop.Stop)
		if err := <-stopped; err != nil {
			t.Error(err)
		}
	})
	conn := dialTCP(t, listener.Addr())
	if _, err := conn.Write(make([]byte, 10*inputLimit)); err != nil {
		t.Fatal(err)
	}
	<-accepted
	return handler, loop, conn
}

func wantWithin[T any](t *testing.T, what string, from <-chan T) (got T) {
	t.Helper()
	select {
	case got = <-from:
	case <-time.After(20 * time.Second):
		t.Fatal("not within 20 s: " + what)
	}
	return got
}

// Guards against requests of a client that were sent to hosts after it had reset its connection, because input that the
// system still held was read on.
func TestInputOfAResetConnectionIsDropped(t *testing.T) {
	handler, loop, peer := startWatching(t)
	loop.Post(func() {
		handler.conn.Consume(len(handler.conn.In())) // so that there is room for more
		handler.consuming = true
		if err := errors.Join(peer.SetLinger(0), peer.Close()); err != nil {
			t.Error(err)
		}
	})
	if err := wantWithin(t, "Ended", handler.ended); !errors.Is(err, unix.ECONNRESET) {
		t.Errorf("Ended called with %v, want ECONNRESET", err)
	}
	if handler.consumed > 0 || !handler.conn.PeerGone() {
		t.Errorf("%d bytes were read after the reset, gone %v; want 0 and true", handler.consumed, handler.conn.PeerGone())
	}
}

// The end of the peer's sending direction must be noticed while earlier input is unread. The peer may still receive.
func TestPeerEndIsNoticedBehindUnreadInput(t *testing.T) {
	handler, loop, peer := startWatching(t)
	if err := peer.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	wantWithin(t, "PeerEnded", handler.peerEnded)
	gone := make(chan bool, 1)
	loop.Post(func() { gone <- handler.conn.PeerGone() })
	if wantWithin(t, "the check", gone) {
		t.Error("a peer that may still receive counts as gone")
	}
}
