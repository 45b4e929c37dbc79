package pg

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"merlinjunction/internal/eventloop"
	"merlinjunction/internal/proxy"
	"merlinjunction/routing"
)

// recordingHandler passes the callbacks of a hostConn to the test.
type recordingHandler struct {
	established chan struct{}
	responses   chan proxy.Response
	closed      chan error
}

func (h *recordingHandler) Established()                      { close(h.established) }
func (h *recordingHandler) RequestWritten()                   {}
func (h *recordingHandler) BeginStream(func()) bool           { return false }
func (h *recordingHandler) StreamPart([]byte) int             { return 0 }
func (h *recordingHandler) ResponseReceived(r proxy.Response) { h.responses <- r }
func (h *recordingHandler) ConnectionClosed(err error)        { h.closed <- err }

// Guards against a former primary that was taken for the primary again: the role in an answer must count from when it
// arrived, also if the answer is complete much later.
func TestRoleCountsFromItsArrival(t *testing.T) {
	const roleAtMs, completeAtMs = 5000, 9000
	var nowMs atomic.Int64
	nowMs.Store(roleAtMs)
	loop, err := eventloop.New(eventloop.VirtualClock(func() float64 { return float64(nowMs.Load()) }))
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	handler := &recordingHandler{make(chan struct{}), make(chan proxy.Response, 1), make(chan error, 1)}
	upstream, err := NewHostDialer(loop).Dial(listener.Addr().String(), handler)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- loop.Run(func() {}) }()

	host, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = host.Close() }()
	greeting := AppendMessage(nil, MsgAuthentication, 0, 0, 0, authenticationOK)
	writeAll(t, host, AppendReadyForQuery(greeting))
	<-handler.established
	loop.Post(func() { upstream.Send(EmptyQuery{}, 1000) })
	writeAll(t, host, AppendStrings(nil, MsgParameterStatus, "node_role", "leader"))
	time.Sleep(100 * time.Millisecond) // until the loop has read it
	nowMs.Store(completeAtMs)
	writeAll(t, host, AppendReadyForQuery(AppendMessage(nil, MsgEmptyQueryResponse)))
	select {
	case response := <-handler.responses:
		if response.Role != routing.RolePrimary || response.RoleAtMs != roleAtMs {
			t.Errorf("role %v that arrived at %v ms, want %v and %v", response.Role, response.RoleAtMs, routing.RolePrimary, roleAtMs)
		}
	case err := <-handler.closed:
		t.Error(err)
	}
	loop.Post(loop.Stop)
	if err := <-ended; err != nil {
		t.Error(err)
	}
	loop.Close()
}

func writeAll(t *testing.T, conn net.Conn, data []byte) {
	t.Helper()
	if _, err := conn.Write(data); err != nil {
		t.Fatal(err)
	}
}
