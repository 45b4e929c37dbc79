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

func TestParse(t *testing.T) {
	for _, c := range []struct {
		in, want string
		status   int
	}{
		{in: "GET /api/ready?x=1 HTTP/1.1\r\nHost: a\r\n\r\n", want: "GET /api/ready "},
		{in: "PUT /x HTTP/1.1\r\ncontent-length: 3\r\n\r\nabcd", want: "PUT /x abc"},
		{in: "PUT /x HTTP/1.1\r\nContent-Length: 3\r\n\r\nab"},
		{in: "GET / HTTP/1.1\r\nHost"},
		{in: "GET /\r\n\r\n", status: 400},
		{in: "GET / HTTP/2\r\n\r\n", status: 400},
		{in: " / HTTP/1.1\r\n\r\n", status: 400},
		{in: "GET / HTTP/1.1\r\nno colon\r\n\r\n", status: 400},
		{in: "GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", status: 400},
		{in: "GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", status: 400},
		{in: "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", status: 400},
		{in: "PUT / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n", status: 400},
		{in: "PUT / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n", status: 413},
		{in: "GET /" + strings.Repeat("x", maxHead+1), status: 431},
	} {
		r, refusal, ok := Parse([]byte(c.in))
		got, status := "", 0
		if ok {
			got = r.Method + " " + r.Path + " " + string(r.Body)
		}
		if refusal != nil {
			status = refusal.Status
		}
		if got != c.want || status != c.status {
			t.Errorf("%.60q: %q, %d", c.in, got, status)
		}
	}
}

// Callers that send half a call, or nothing, and stay: each call of the others is answered at once, and they are told in
// the end.
func TestHalfCallsHoldUpNobody(t *testing.T) {
	now := 1000.0
	l, err := eventloop.New(eventloop.ManualClock(&now))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	ln, err := Serve(l, "127.0.0.1:0", func(r Request) Response { return Response{Status: 200, Body: r.Path} }, func(error) {})
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	done := make(chan error)
	go func() { done <- l.Run(func() {}) }()
	call := func(text string) net.Conn {
		conn, err := net.Dial("tcp4", ln.Addr())
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
		if _, err := conn.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
		return conn
	}
	var half []net.Conn
	for i := range mostCalls * 3 {
		half = append(half, call([]string{"", "PUT /x HT", "PUT /x HTTP/1.1\r\nContent-Length: 9\r\n\r\n{"}[i%3]))
		conn := call(fmt.Sprintf("GET /%d HTTP/1.1\r\n\r\n", i))
		got, err := io.ReadAll(conn)
		conn.Close()
		if err != nil || !strings.HasSuffix(string(got), fmt.Sprintf("\r\n\r\n/%d", i)) {
			t.Fatalf("call %d: %q, %v", i, got, err)
		}
	}
	l.Notify(func() { now += patienceMs })
	for i, conn := range half {
		got, err := io.ReadAll(conn)
		if i >= len(half)-mostCalls/2 && (err != nil || !strings.Contains(string(got), " 408 ")) {
			t.Errorf("half a call, %d: %q, %v", i, got, err)
		}
		if i < mostCalls && len(got) > 0 {
			t.Errorf("call %d still held a place: %q", i, got)
		}
		conn.Close()
	}
	l.Notify(l.Stop)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}
