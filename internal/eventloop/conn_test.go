package eventloop

import (
	"bytes"
	"errors"
	"io"
	"net"
	"slices"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// echoHandler sends back what arrives; it stops the loop when the other side has ended.
type echoHandler struct {
	conn *Conn
	ends []error
}

func (e *echoHandler) Connected() {}
func (e *echoHandler) Flushed()   {}

func (e *echoHandler) Data() {
	e.conn.Write(e.conn.In())
	e.conn.Consume(len(e.conn.In()))
}

func (e *echoHandler) Ended(err error) {
	e.ends = append(e.ends, err)
	if errors.Is(err, io.EOF) && e.conn.Pending() > 0 {
		return
	}
	e.conn.Close()
	e.conn.loop.Stop()
}

func newLoop(t *testing.T) *Loop {
	t.Helper()
	loop, err := New(SystemClock())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(loop.Close)
	return loop
}

// dialTCP connects to an address for the time of the test.
func dialTCP(t *testing.T, addr string) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeConn(conn) })
	return conn.(*net.TCPConn)
}

// closeConn closes a test's own side. The error is dropped: the test may have closed it already.
func closeConn(conn net.Conn) { _ = conn.Close() }

// newEcho runs a loop with an echo server and returns it with a connection to it and the result of Run.
func newEcho(t *testing.T) (*Loop, *echoHandler, *net.TCPConn, chan error) {
	t.Helper()
	loop := newLoop(t)
	echo := &echoHandler{}
	listener, err := loop.Listen("127.0.0.1:0", func(fd int) {
		conn, err := loop.Adopt(fd, 1<<10)
		if err != nil {
			t.Error(err)
			return
		}
		echo.conn = conn
		conn.SetHandler(echo)
	}, func(err error) { t.Error(err) })
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- loop.Run(func() {}) }()
	conn := dialTCP(t, listener.Addr())
	if err := conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return loop, echo, conn, done
}

func TestEchoThroughPartialWrites(t *testing.T) {
	loop, echo, conn, done := newEcho(t)
	sent := bytes.Repeat([]byte("0123456789abcdef"), 1<<17) // 2 MiB: more than the system's buffers take
	go func() {
		_, _ = conn.Write(sent) // an error shows in what comes back
		_ = conn.CloseWrite()
	}()
	time.Sleep(50 * time.Millisecond) // nothing is read meanwhile: the loop's writes are partial
	got := make([]byte, len(sent))
	if _, err := io.ReadFull(conn, got); err != nil || !bytes.Equal(got, sent) {
		t.Fatalf("%v, equal %v", err, bytes.Equal(got, sent))
	}
	closeConn(conn)
	if err := <-done; err != nil || loop.bufferedBytes != 0 {
		t.Errorf("%v, %d bytes are buffered", err, loop.bufferedBytes)
	}
	if len(echo.ends) == 0 || !slices.Equal(echo.ends[:1], []error{io.EOF}) {
		t.Errorf("ends %v", echo.ends)
	}
}

func TestResetAndFullBuffersEndAConnection(t *testing.T) {
	t.Run("reset", func(t *testing.T) {
		_, echo, conn, done := newEcho(t)
		if err := conn.SetLinger(0); err != nil {
			t.Fatal(err)
		}
		closeConn(conn)
		if err := <-done; err != nil || !slices.Equal(echo.ends, []error{unix.ECONNRESET}) {
			t.Errorf("%v, ends %v", err, echo.ends)
		}
	})
	t.Run("full buffers", func(t *testing.T) {
		loop, echo, conn, done := newEcho(t)
		loop.Post(func() { loop.MaxBufferedBytes = 100 })
		if _, err := conn.Write(make([]byte, 101)); err != nil {
			t.Fatal(err)
		}
		if err := <-done; err != nil || !slices.Equal(echo.ends, []error{ErrBuffersFull}) || loop.bufferedBytes != 0 {
			t.Errorf("%v, ends %v, %d bytes are buffered", err, echo.ends, loop.bufferedBytes)
		}
	})
}
