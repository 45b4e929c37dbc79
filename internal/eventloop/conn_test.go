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

// echoHandler sends back the data that arrives. It stops the loop when the connection has ended.
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

// dialTCP connects to an address. The connection is closed at the end of the test.
func dialTCP(t *testing.T, addr string) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeConn(conn) })
	return conn.(*net.TCPConn)
}

// closeConn closes the test's side of a connection. The error is ignored, as the test may have closed it already.
func closeConn(conn net.Conn) { _ = conn.Close() }

// startEchoServer runs a loop with an echo server. It returns the loop, the handler of the server, a connection to the
// server, and a channel that gets the result of Run.
func startEchoServer(t *testing.T) (*Loop, *echoHandler, *net.TCPConn, chan error) {
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

// The peer does not read for some time, so that the loop's writes are partial. All data must be sent in the end, and the
// buffers must be empty.
func TestEchoThroughPartialWrites(t *testing.T) {
	loop, echo, conn, done := startEchoServer(t)
	sent := bytes.Repeat([]byte("0123456789abcdef"), 1<<17) // 2 MiB, more than the system's buffers hold
	go func() {
		_, _ = conn.Write(sent) // an error is detected by the data that is read back
		_ = conn.CloseWrite()
	}()
	time.Sleep(50 * time.Millisecond) // without reading, so that the loop's writes are partial
	got := make([]byte, len(sent))
	if _, err := io.ReadFull(conn, got); err != nil || !bytes.Equal(got, sent) {
		t.Fatalf("error %v, data equal %v; want nil and true", err, bytes.Equal(got, sent))
	}
	closeConn(conn)
	if err := <-done; err != nil || loop.bufferedBytes != 0 {
		t.Errorf("error %v, %d bytes are still buffered; want nil and 0", err, loop.bufferedBytes)
	}
	if len(echo.ends) == 0 || !slices.Equal(echo.ends[:1], []error{io.EOF}) {
		t.Errorf("Ended called with %v, want io.EOF first", echo.ends)
	}
}

func TestResetAndFullBuffersEndAConnection(t *testing.T) {
	t.Run("reset", func(t *testing.T) {
		_, echo, conn, done := startEchoServer(t)
		if err := conn.SetLinger(0); err != nil {
			t.Fatal(err)
		}
		closeConn(conn)
		if err := <-done; err != nil || !slices.Equal(echo.ends, []error{unix.ECONNRESET}) {
			t.Errorf("error %v, Ended called with %v; want nil and one ECONNRESET", err, echo.ends)
		}
	})
	t.Run("full buffers", func(t *testing.T) {
		loop, echo, conn, done := startEchoServer(t)
		loop.Post(func() { loop.MaxBufferedBytes = 100 })
		if _, err := conn.Write(make([]byte, 101)); err != nil {
			t.Fatal(err)
		}
		if err := <-done; err != nil || !slices.Equal(echo.ends, []error{ErrBuffersFull}) || loop.bufferedBytes != 0 {
			t.Errorf("error %v, Ended called with %v, %d bytes are still buffered; want nil, one ErrBuffersFull and 0",
				err, echo.ends, loop.bufferedBytes)
		}
	})
}
