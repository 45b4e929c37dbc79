package pg

import (
	"encoding/binary"
	"errors"
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

	// With resumed set, rows are streamed. Their parts are accepted once resumed is true and resume is called.
	resumed *atomic.Bool
	resume  func()
}

func (h *recordingHandler) Established()    { close(h.established) }
func (h *recordingHandler) RequestWritten() {}
func (h *recordingHandler) BeginStream(resume func()) bool {
	h.resume = resume
	return h.resumed != nil
}

func (h *recordingHandler) StreamPart(part []byte) int {
	if !h.resumed.Load() {
		return 0
	}
	return len(part)
}
func (h *recordingHandler) ResponseReceived(r proxy.Response) { h.responses <- r }
func (h *recordingHandler) ConnectionClosed(err error)        { h.closed <- err }

// hostConnTest is a hostConn on a running event loop, with the host's end of the connection.
type hostConnTest struct {
	loop     *eventloop.Loop
	upstream proxy.UpstreamConn
	handler  *recordingHandler
	host     net.Conn
}

// newHostConnTest establishes a connection to a host. The loop has the time nowMs.
func newHostConnTest(t *testing.T, nowMs func() float64, maxBufferedBytes int) *hostConnTest {
	t.Helper()
	loop, err := eventloop.New(eventloop.VirtualClock(nowMs))
	if err != nil {
		t.Fatal(err)
	}
	loop.MaxBufferedBytes = maxBufferedBytes
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	handler := &recordingHandler{
		established: make(chan struct{}), responses: make(chan proxy.Response, 1), closed: make(chan error, 1),
	}
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
	t.Cleanup(func() {
		loop.Post(loop.Stop)
		if err := <-ended; err != nil {
			t.Error(err)
		}
		loop.Close()
		_ = host.Close()
	})
	greeting := AppendMessage(nil, MsgAuthentication, 0, 0, 0, authenticationOK)
	writeAll(t, host, AppendReadyForQuery(greeting))
	<-handler.established
	return &hostConnTest{loop, upstream, handler, host}
}

func writeAll(t *testing.T, conn net.Conn, data []byte) {
	t.Helper()
	if _, err := conn.Write(data); err != nil {
		t.Fatal(err)
	}
}

// Guards against a former primary that was taken for the primary again: the role in an answer must count from when it
// arrived, also if the answer is complete much later.
func TestRoleCountsFromItsArrival(t *testing.T) {
	const roleAtMs, completeAtMs = 5000, 9000
	var nowMs atomic.Int64
	nowMs.Store(roleAtMs)
	test := newHostConnTest(t, func() float64 { return float64(nowMs.Load()) }, 0)
	test.loop.Post(func() { test.upstream.Send(EmptyQuery{}, 1000) })
	writeAll(t, test.host, AppendStrings(nil, MsgParameterStatus, "node_role", "leader"))
	time.Sleep(100 * time.Millisecond) // until the loop has read it
	nowMs.Store(completeAtMs)
	writeAll(t, test.host, AppendReadyForQuery(AppendMessage(nil, MsgEmptyQueryResponse)))
	select {
	case response := <-test.handler.responses:
		if response.Role != routing.RolePrimary || response.RoleAtMs != roleAtMs {
			t.Errorf("role %v that arrived at %v ms, want %v and %v", response.Role, response.RoleAtMs, routing.RolePrimary, roleAtMs)
		}
	case err := <-test.handler.closed:
		t.Error(err)
	}
}

// Guards against a gateway that is killed for memory: what a host has sent of an answer must count towards the limit of all
// buffers, also after it has left the input.
func TestIncompleteAnswerCountsTowardsTheBufferLimit(t *testing.T) {
	const limit, rowBytes = 100 << 10, 60 << 10
	test := newHostConnTest(t, func() float64 { return 1000 }, limit)
	test.loop.Post(func() { test.upstream.Send(LoadReportQuery{}, 1000) })
	value := binary.BigEndian.AppendUint32([]byte{0, 1}, rowBytes)
	row := AppendMessage(nil, MsgDataRow, append(value, make([]byte, rowBytes)...)...)
	writeAll(t, test.host, row)
	time.Sleep(100 * time.Millisecond) // until the loop has read it and moved it to the answer
	writeAll(t, test.host, row)
	select {
	case err := <-test.handler.closed:
		if !errors.Is(err, eventloop.ErrBuffersFull) {
			t.Errorf("the connection ended with %v, want %v", err, eventloop.ErrBuffersFull)
		}
	case <-time.After(5 * time.Second):
		t.Errorf("an answer of %d bytes is held, want at most %d", 2*rowBytes, limit)
	}
}

// streamingQuery is a command whose answer is one row, which may be streamed.
type streamingQuery struct{ EmptyQuery }

func (streamingQuery) Forwards(messageType byte) bool { return IsQueryResult(messageType) }
func (streamingQuery) CanStream([]byte, int) bool     { return true }
func (streamingQuery) IsStreamComplete([]byte) bool   { return true }

// Guards against a former primary that was taken for the primary again: a client read a large value slowly, and the role
// behind the value, which the host had written long before, counted from when the gateway read it.
func TestRoleBehindAStreamedRowCountsFromItsBeginning(t *testing.T) {
	const beganAtMs, completeAtMs, rowBytes = 5000, 9000, 100 << 10
	var nowMs atomic.Int64
	nowMs.Store(beganAtMs)
	test := newHostConnTest(t, func() float64 { return float64(nowMs.Load()) }, 0)
	test.loop.Post(func() {
		test.handler.resumed = &atomic.Bool{}
		test.upstream.Send(streamingQuery{}, 1000)
	})
	value := binary.BigEndian.AppendUint32([]byte{0, 1}, rowBytes)
	answer := AppendMessage(nil, MsgDataRow, append(value, make([]byte, rowBytes)...)...)
	answer = AppendStrings(answer, MsgCommandComplete, "SELECT 1")
	answer = AppendStrings(answer, MsgParameterStatus, "node_role", "leader")
	writeAll(t, test.host, AppendReadyForQuery(answer))
	time.Sleep(100 * time.Millisecond) // until the loop has read what it may
	nowMs.Store(completeAtMs)
	test.loop.Post(func() {
		test.handler.resumed.Store(true)
		test.handler.resume()
	})
	select {
	case response := <-test.handler.responses:
		if response.Role != routing.RolePrimary || response.RoleAtMs != beganAtMs {
			t.Errorf("role %v counts from %v ms, want %v and %v", response.Role, response.RoleAtMs, routing.RolePrimary, beganAtMs)
		}
	case err := <-test.handler.closed:
		t.Error(err)
	case <-time.After(5 * time.Second):
		t.Error("no answer within 5 s")
	}
}
