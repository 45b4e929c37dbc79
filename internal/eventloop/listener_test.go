package eventloop

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// setMaxDescriptors sets the maximum number of open descriptors of this process and returns the previous limits.
func setMaxDescriptors(t *testing.T, count uint64) unix.Rlimit {
	t.Helper()
	var before unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &before); err != nil {
		t.Fatal(err)
	}
	limits := before
	limits.Cur = count
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &limits); err != nil {
		t.Fatal(err)
	}
	return before
}

// A connection can't be accepted because no descriptor is free. The listener must pause, and accept the connection later.
func TestAcceptResumesAfterEMFILE(t *testing.T) {
	loop := newLoop(t)
	accepted, failed := 0, 0
	listener, err := loop.Listen("127.0.0.1:0", func(fd int) {
		accepted++
		closeFD(fd)
		loop.Stop()
	}, func(error) { failed++ })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(listener.Close)
	dialTCP(t, listener.Addr())
	before := setMaxDescriptors(t, 3)
	listener.AcceptPending()
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &before); err != nil {
		t.Fatal(err)
	}
	if failed != 1 || accepted != 0 {
		t.Fatalf("%d failures, %d connections accepted; want 1 and 0", failed, accepted)
	}
	loop.After(20_000, loop.Stop)
	if err := loop.Run(func() {}); err != nil || accepted != 1 {
		t.Errorf("error %v, %d connections accepted, want 1", err, accepted)
	}
}

// Before the listener closes, more clients wait in the backlog than are accepted in one round. All must be accepted:
// connections that are left in the backlog are reset by Close, and the data that the clients have sent is lost.
func TestAcceptAllEmptiesTheBacklog(t *testing.T) {
	loop := newLoop(t)
	accepted := 0
	listener, err := loop.Listen("127.0.0.1:0", func(fd int) {
		accepted++
		closeFD(fd)
	}, func(err error) { t.Error(err) })
	if err != nil {
		t.Fatal(err)
	}
	const clients = 100
	for range clients {
		dialTCP(t, listener.Addr())
	}
	if listener.AcceptPending(); accepted != maxAcceptsPerRound {
		t.Errorf("%d connections accepted in one round, want %d", accepted, maxAcceptsPerRound)
	}
	if listener.AcceptAll(); accepted != clients {
		t.Errorf("%d connections accepted before the close, want %d", accepted, clients)
	}
	listener.Close()
	listener.AcceptAll() // must have no effect on a closed listener
}

// Between AcceptAll and Close no connection may be established. It would be reset by Close, and a request that its client
// has sent by then would be lost.
func TestNoConnectionIsEstablishedAfterAcceptAll(t *testing.T) {
	loop := newLoop(t)
	listener, err := loop.Listen("127.0.0.1:0", closeFD, func(err error) { t.Error(err) })
	if err != nil {
		t.Fatal(err)
	}
	dialTCP(t, listener.Addr())
	listener.AcceptAll()
	conn, err := net.DialTimeout("tcp4", listener.Addr(), 100*time.Millisecond)
	if err == nil {
		_ = conn.Close()
		t.Error("a connection was established after AcceptAll")
	}
	listener.Close()
}

// Clients connect continuously while the listener closes. Each connection that is established must be accepted, and none
// may be reset.
func TestCloseResetsNoConnection(t *testing.T) {
	for range 40 {
		loop := newLoop(t)
		listener, err := loop.Listen("127.0.0.1:0", func(fd int) {
			_, _ = unix.Write(fd, []byte("k"))
			closeFD(fd)
		}, func(err error) { t.Error(err) })
		if err != nil {
			t.Fatal(err)
		}
		const clients = 4
		lost := make(chan int, clients)
		for range clients {
			go func() { lost <- connectUntilRefused(listener.Addr()) }()
		}
		acceptFor(listener, 3*time.Millisecond)
		listener.DropNewConnections()
		acceptFor(listener, 5*time.Millisecond)
		listener.AcceptAll()
		listener.Close()
		for range clients {
			if n := <-lost; n > 0 {
				t.Fatalf("%d connections were established and reset", n)
			}
		}
	}
}

// acceptFor accepts connections for a duration.
func acceptFor(listener *Listener, duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		listener.AcceptPending()
	}
}

// connectUntilRefused connects repeatedly until a connection is refused. It returns the number of connections on which the
// listener sent nothing.
func connectUntilRefused(address string) (lost int) {
	for {
		conn, err := net.DialTimeout("tcp4", address, 20*time.Millisecond)
		if err != nil {
			return lost
		}
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		if _, err := conn.Read(make([]byte, 1)); err != nil {
			lost++
		}
		_ = conn.Close()
	}
}
