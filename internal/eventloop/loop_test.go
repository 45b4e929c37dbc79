package eventloop

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// echo sends back what comes; it stops the loop when the other side has ended.
type echo struct {
	conn *Conn
	ends []error
}

func (e *echo) Connected() {}
func (e *echo) Flushed()   {}
func (e *echo) Data() {
	e.conn.Write(e.conn.In())
	e.conn.Consume(len(e.conn.In()))
}
func (e *echo) Ended(err error) {
	e.ends = append(e.ends, err)
	if err == io.EOF && e.conn.Pending() > 0 {
		return
	}
	e.conn.Close()
	e.conn.loop.Stop()
}

func newEcho(t *testing.T) (*Loop, *echo, net.Conn, chan error) {
	t.Helper()
	l, err := New(SystemClock())
	if err != nil {
		t.Fatal(err)
	}
	e := &echo{}
	ln, err := l.Listen("127.0.0.1:0", func(fd int) {
		c, err := l.Adopt(fd, 1<<10)
		if err != nil {
			t.Error(err)
			return
		}
		e.conn = c
		c.SetHandler(e)
	}, func(err error) { t.Error(err) })
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- l.Run(func() {}) }()
	conn, err := net.Dial("tcp4", ln.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		conn.Close()
		l.Close()
	})
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	return l, e, conn, done
}

func TestEchoThroughPartialWrites(t *testing.T) {
	l, e, conn, done := newEcho(t)
	sent := bytes.Repeat([]byte("0123456789abcdef"), 1<<17) // 2 MiB: more than the system's buffers take
	go func() {
		_, _ = conn.Write(sent)
		_ = conn.(*net.TCPConn).CloseWrite()
	}()
	time.Sleep(50 * time.Millisecond) // nothing is read meanwhile: the loop's writes are partial
	got := make([]byte, len(sent))
	if _, err := io.ReadFull(conn, got); err != nil || !bytes.Equal(got, sent) {
		t.Fatalf("%v, equal %v", err, bytes.Equal(got, sent))
	}
	conn.Close()
	if err := <-done; err != nil || l.held != 0 || len(e.ends) == 0 || e.ends[0] != io.EOF {
		t.Errorf("%v, %d bytes held, ends %v", err, l.held, e.ends)
	}
}

func TestResetAndFullBuffersEndAConnection(t *testing.T) {
	l, e, conn, done := newEcho(t)
	_ = conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
	if <-done; len(e.ends) != 1 || e.ends[0] != unix.ECONNRESET {
		t.Errorf("reset: %v", e.ends)
	}
	l, e, conn, done = newEcho(t)
	l.Notify(func() { l.MaxBufferedBytes = 100 })
	_, _ = conn.Write(make([]byte, 101))
	if <-done; len(e.ends) != 1 || e.ends[0] != ErrBuffersFull || l.held != 0 {
		t.Errorf("full: %v, %d held", e.ends, l.held)
	}
}

func TestTimersFireInOrderOnAManualClock(t *testing.T) {
	now := 100.0
	timers := &Timers{Clock: ManualClock(&now)}
	var got []byte
	add := func(ms float64, name byte) *Timer { return timers.After(ms, func() { got = append(got, name) }) }
	add(5, 'b')
	add(5, 'c')
	gone := add(4, 'x')
	add(1, 'a')
	gone.Stop()
	gone.Stop()
	var none *Timer
	none.Stop()
	timers.Fire()
	now = 104
	timers.Fire()
	if at, ok := timers.Next(); string(got) != "a" || at != 105 || !ok {
		t.Fatalf("got %s, next at %v", got, at)
	}
	now = 105
	if n := timers.Fire(); n != 2 || string(got) != "abc" {
		t.Errorf("got %s", got)
	}
}

// For want of descriptors a connection can't be accepted: the listener pauses, then takes it.
func TestAcceptGoesOnAfterEMFILE(t *testing.T) {
	l, err := New(SystemClock())
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	accepted, failed := 0, 0
	ln, err := l.Listen("127.0.0.1:0", func(fd int) {
		accepted++
		unix.Close(fd)
		l.Stop()
	}, func(error) { failed++ })
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	conn, err := net.Dial("tcp4", ln.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	var old unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &old); err != nil {
		t.Fatal(err)
	}
	few := old
	few.Cur = 3
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &few); err != nil {
		t.Fatal(err)
	}
	ln.AcceptPending()
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &old); err != nil {
		t.Fatal(err)
	}
	if failed != 1 || accepted != 0 {
		t.Fatalf("%d failures, %d accepted", failed, accepted)
	}
	l.After(20_000, l.Stop)
	if err := l.Run(func() {}); err != nil || accepted != 1 {
		t.Errorf("%v, %d accepted", err, accepted)
	}
}

// A hundred clients wait in the backlog when the listener is to close: the rest of them was reset after the first 64, with
// whatever they had sent already.
func TestSweepAllLeavesNobodyInTheBacklog(t *testing.T) {
	l, err := New(SystemClock())
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	accepted := 0
	ln, err := l.Listen("127.0.0.1:0", func(fd int) {
		accepted++
		unix.Close(fd)
	}, func(err error) { t.Error(err) })
	if err != nil {
		t.Fatal(err)
	}
	const clients = 100
	for range clients {
		conn, err := net.Dial("tcp4", ln.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	if ln.AcceptPending(); accepted != acceptsAtOnce {
		t.Errorf("%d accepted in one round", accepted)
	}
	if ln.AcceptAll(); accepted != clients {
		t.Errorf("%d of %d accepted before the end", accepted, clients)
	}
	ln.Close()
	ln.AcceptAll() // of a listener that is closed: nothing
}
