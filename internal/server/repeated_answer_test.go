package server

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"testing"
	"time"

	"merlinjunction/internal/protocol/pg"
	"merlinjunction/internal/stubserver"
	"merlinjunction/internal/testkit"
)

const maxRepeatedQuery = 4 << 10 // bytes

var quotedKey = regexp.MustCompile(`k = '([^']+)'`)

// repeatingHost is a database host that answers a read with its key. It sends the answer to the read of "first" again, whole
// or in part, when the test asks for it.
type repeatingHost struct {
	listener *stubserver.Listener
	size     int           // number of bytes of the copy; 0: all
	repeat   chan struct{} // closed by the test
	repeated chan struct{} // closed by the host
}

func newRepeatingHost(t *testing.T, size int) *repeatingHost {
	t.Helper()
	host := &repeatingHost{size: size, repeat: make(chan struct{}), repeated: make(chan struct{})}
	host.listener = stubserver.NewListener(host.serve)
	if err := host.listener.Open(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		host.listener.Close()
		host.listener.CloseConns()
	})
	return host
}

func (h *repeatingHost) serve(conn net.Conn) {
	greeting, err := stubserver.AcceptStartup(conn)
	if err != nil {
		return
	}
	_, _ = conn.Write(pg.AppendReadyForQuery(greeting)) // the next read shows an error
	for {
		_, body, err := stubserver.ReadMessage(conn, maxRepeatedQuery)
		if err != nil {
			return
		}
		key := quotedKey.FindStringSubmatch(string(body))[1]
		answer := stubserver.AppendRow(stubserver.AppendColumnDescription(nil), key)
		answer = pg.AppendReadyForQuery(pg.AppendStrings(answer, pg.MsgCommandComplete, "SELECT 1"))
		_, _ = conn.Write(answer)
		if key == "first" {
			<-h.repeat
			if h.size > 0 {
				answer = answer[:h.size]
			}
			_, _ = conn.Write(answer)
			close(h.repeated)
		}
	}
}

// serveList serves an endpoint list with the host.
func (h *repeatingHost) serveList(t *testing.T) string {
	t.Helper()
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		stubserver.AwaitChange(r, func(since int) (bool, <-chan struct{}) { return since < 1, nil })
		stubserver.WriteList(w, 1, []stubserver.Endpoint{{ID: "a", Address: h.listener.Address(), Phase: "active"}})
	}))
	t.Cleanup(discovery.Close)
	return discovery.Listener.Addr().String()
}

// Guards against clients that were served the value made for another client's command. A host sends an answer twice, and a
// round of the event loop takes longer than the settle period, so that the next command is due before the copy is read.
func TestRepeatedAnswerIsServedToNoOtherCommand(t *testing.T) {
	const (
		whole         = 0
		partialHeader = 3
	)
	t.Run("whole", func(t *testing.T) { testRepeatedAnswer(t, whole) })
	t.Run("a part", func(t *testing.T) { testRepeatedAnswer(t, partialHeader) })
}

func testRepeatedAnswer(t *testing.T, size int) {
	t.Helper()
	host := newRepeatingHost(t, size)
	config, err := loadPlatformText(t, platformText(t, host.serveList(t)))
	gateway := virtualGatewayOf(t, config, err)
	gateway.start()
	address, _, _ := gateway.Addrs()
	waitUntil(t, "the gateway is ready", func() bool {
		ready := make(chan bool, 1)
		gateway.loop.Post(func() { ready <- gateway.ready() })
		return <-ready
	})
	wantRow(t, address, "first")

	second := dialAndSend(t, address, "second") // waits for the end of the settle period
	waitUntil(t, "the second read is in flight", func() bool { return gateway.RequestsInFlight() == 1 })
	gateway.loop.Post(func() { // a long round: the copy arrives, and the timers fire before the loop reads it
		close(host.repeat)
		<-host.repeated
		time.Sleep(20 * time.Millisecond) // until the copy is in the gateway's socket
		gateway.clockUs.Add(5000)
		gateway.loop.Fire()
	})
	wantAnswer(t, second, "second")
	gateway.Stop()
	gateway.advance(4000)
	if err := gateway.Wait(); err != nil {
		t.Error(err)
	}
}

// dialAndSend sends a read of a key on a new connection.
func dialAndSend(t *testing.T, address, key string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeConn(conn) })
	out, err := testkit.EncodeMessage(nil, "startup")
	if err != nil {
		t.Fatal(err)
	}
	out = pg.AppendStrings(out, pg.MsgQuery,
		fmt.Sprintf("SELECT v FROM records WHERE k = '%s' /* id=%s,c=long,t=x,d=9000,cluster=0 */", key, key))
	if _, err := conn.Write(out); err != nil {
		t.Fatal(err)
	}
	return conn
}

// wantRow reads a key on a new connection and fails the test unless the answer is the key.
func wantRow(t *testing.T, address, key string) {
	t.Helper()
	wantAnswer(t, dialAndSend(t, address, key), key)
}

// wantAnswer fails the test unless the next row on a connection is the key.
func wantAnswer(t *testing.T, conn net.Conn, key string) {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	for {
		messageType, body, err := stubserver.ReadMessage(conn, maxRepeatedQuery)
		switch {
		case err != nil:
			t.Fatalf("no answer to the read of %q: %v", key, err)
		case messageType == pg.MsgErrorResponse:
			t.Fatalf("the read of %q failed: %q", key, body)
		case messageType == pg.MsgDataRow:
			const valueOffset = 6 // after the number of columns and the length of the value
			if got := string(body[valueOffset:]); got != key {
				t.Fatalf("the read of %q was served the value %q", key, got)
			}
			return
		}
	}
}
