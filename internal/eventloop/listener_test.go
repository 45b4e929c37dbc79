package eventloop

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// setMaxDescriptors sets how many descriptors this process may have, and returns the limits before.
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

// A connection can't be accepted for want of descriptors: the listener pauses, then accepts it.
func TestAcceptGoesOnAfterEMFILE(t *testing.T) {
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
		t.Fatalf("%d failures, %d accepted", failed, accepted)
	}
	loop.After(20_000, loop.Stop)
	if err := loop.Run(func() {}); err != nil || accepted != 1 {
		t.Errorf("%v, %d accepted", err, accepted)
	}
}

// More clients wait in the backlog than are accepted in a round when the listener is to close. Those that are not
// accepted before would be reset, with whatever they have sent.
func TestAcceptAllLeavesNobodyInTheBacklog(t *testing.T) {
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
		t.Errorf("%d accepted in one round", accepted)
	}
	if listener.AcceptAll(); accepted != clients {
		t.Errorf("%d of %d accepted before the end", accepted, clients)
	}
	listener.Close()
	listener.AcceptAll() // of a listener that is closed: nothing
}

// Between the last accept and the close no connection is established any more: it would be reset, with a request that its
// client may have sent by then.
func TestNothingIsEstablishedAfterAcceptAll(t *testing.T) {
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
		t.Error("a connection was established that the listener does not accept")
	}
	listener.Close()
}

// Clients connect without a pause while the listener closes: whoever is connected is accepted.
func TestNoConnectionIsResetByTheClose(t *testing.T) {
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

// acceptFor accepts connections for some time.
func acceptFor(listener *Listener, duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		listener.AcceptPending()
	}
}

// connectUntilRefused connects again and again, and counts the connections on which nothing came from the listener.
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
