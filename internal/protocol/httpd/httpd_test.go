package httpd

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"merlinjunction/internal/eventloop"
)

// TestIncompleteRequestsDoNotBlockOthers checks that complete requests get their responses at once while other clients
// that have sent an incomplete request or nothing stay connected. The latter get status 408 in the end, or are closed in
// favor of newer connections.
func TestIncompleteRequestsDoNotBlockOthers(t *testing.T) {
	now := 1000.0
	loop, err := eventloop.New(eventloop.ManualClock(&now))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(loop.Close)
	echoPath := func(r Request) Response { return Response{Status: 200, Body: r.Path} }
	listener, err := Serve(loop, "127.0.0.1:0", echoPath, func(error) {})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(listener.Close)
	done := make(chan error)
	go func() { done <- loop.Run(func() {}) }()
	send := func(text string) net.Conn {
		t.Helper()
		conn, err := net.Dial("tcp4", listener.Addr())
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
		if _, err := conn.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
		return conn
	}
	var incomplete []net.Conn
	for i := range maxConnections * 3 {
		incomplete = append(incomplete, send([]string{"", "PUT /x HT", "PUT /x HTTP/1.1\r\nContent-Length: 9\r\n\r\n{"}[i%3]))
		conn := send(fmt.Sprintf("GET /%d HTTP/1.1\r\n\r\n", i))
		got, err := io.ReadAll(conn)
		_ = conn.Close()
		if err != nil || !strings.HasSuffix(string(got), fmt.Sprintf("\r\n\r\n/%d", i)) {
			t.Fatalf("request %d: got response %q, error %v, want the body /%d", i, got, err, i)
		}
	}
	loop.Post(func() { now += requestTimeoutMs })
	for i, conn := range incomplete {
		got, err := io.ReadAll(conn)
		if i >= len(incomplete)-maxConnections/2 && (err != nil || !strings.Contains(string(got), " 408 ")) {
			t.Errorf("incomplete request %d: got response %q, error %v, want status 408", i, got, err)
		}
		if i < maxConnections && len(got) > 0 {
			t.Errorf("incomplete request %d got response %q, want its connection closed without a response", i, got)
		}
		_ = conn.Close()
	}
	loop.Post(loop.Stop)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}
