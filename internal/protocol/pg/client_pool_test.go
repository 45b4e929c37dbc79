package pg

import (
	"maps"
	"testing"

	"golang.org/x/sys/unix"

	"merlinjunction/internal/eventloop"
)

// stubSession accepts every message and answers none.
type stubSession struct{ busy bool }

func (s *stubSession) Busy() bool                 { return s.busy }
func (s *stubSession) Accepts(byte) bool          { return !s.busy }
func (s *stubSession) HandleMessage(byte, []byte) { s.busy = true }
func (s *stubSession) InPipeline() bool           { return false }
func (s *stubSession) ClientGone()                {}

// poolHarness is a ClientPool with a clock that the test moves.
type poolHarness struct {
	*ClientPool
	t        *testing.T
	now      float64
	peerEnds map[*Client]int // descriptors of the clients' ends
}

func newPoolHarness(t *testing.T, pool *ClientPool) *poolHarness {
	t.Helper()
	h := &poolHarness{ClientPool: pool, t: t, now: 1000, peerEnds: map[*Client]int{}}
	loop, err := eventloop.New(eventloop.ManualClock(&h.now))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { loop.Close() })
	pool.Loop = loop
	return h
}

// accept connects a client, one millisecond after the last event.
func (h *poolHarness) accept() *Client {
	h.t.Helper()
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() {
		if err := unix.Close(fds[1]); err != nil {
			h.t.Error(err)
		}
	})
	h.now++
	before := maps.Clone(h.clients)
	h.Accept(fds[0])
	for client := range h.clients {
		if _, ok := before[client]; !ok {
			h.peerEnds[client] = fds[1]
			return client
		}
	}
	return nil
}

// send writes from a client's end.
func (h *poolHarness) send(client *Client, data []byte) {
	h.t.Helper()
	if _, err := unix.Write(h.peerEnds[client], data); err != nil {
		h.t.Fatal(err)
	}
}

func (h *poolHarness) open(client *Client) bool {
	_, ok := h.clients[client]
	return ok && !client.closing
}

// startSession puts a client past its first message.
func startSession(client *Client) {
	client.session = &stubSession{}
	client.messageDueSinceMs = 0
}

// Clients that have sent one request and stay must not occupy all slots: otherwise each new client is evicted
// for the next one before its first request has been received.
func TestEvictionOrder(t *testing.T) {
	h := newPoolHarness(t, &ClientPool{MaxClients: 2})
	idle, first := h.accept(), h.accept()
	startSession(idle)
	idle.lastActiveMs = h.now - 100
	if second := h.accept(); h.open(idle) || !h.open(first) || !h.open(second) {
		t.Error("the idle connection was not evicted")
	}
	if third := h.accept(); h.open(third) || !h.open(first) {
		t.Error("a connection that was just accepted was evicted")
	}
	h.now += messageTimeoutMs
	if fourth := h.accept(); h.open(first) || !h.open(fourth) {
		t.Error("a connection without a first message was not evicted")
	}
	h.MaxClients = 100 // idle connections are evicted well below it: the clients' side is limited too
	for range earlyEvictionPercent {
		startSession(h.accept())
	}
	h.now += earlyEvictionMinIdleMs
	if n := len(h.clients) - h.closingCount; h.accept() == nil || len(h.clients)-h.closingCount > n {
		t.Errorf("%d connections, and no idle one was evicted", n)
	}
	h.MaxClients = 2
	for client := range h.clients {
		if len(h.clients) > 2 {
			client.close()
		}
	}
	for client := range h.clients { // both are idle; one has then sent a part of a message
		startSession(client)
		first = client
	}
	first.messageDueSinceMs = h.now
	h.now += messageTimeoutMs
	for client := range h.clients {
		h.send(client, AppendStrings(nil, MsgQuery, ""))
	}
	if h.accept(); !h.open(first) {
		t.Error("a connection whose message was just received was evicted")
	}
	for client := range h.clients {
		client.session = &stubSession{}
	}
	first.messageDueSinceMs = h.now
	h.now += messageTimeoutMs
	if fifth := h.accept(); h.open(first) || !h.open(fifth) {
		t.Error("a connection with an incomplete message was not evicted")
	}
}

// An idle connection whose time is up must not be closed when the first part of a query has just been received: a
// request that was read in part would be lost.
func TestIdleConnectionWithNewInputStaysOpen(t *testing.T) {
	h := newPoolHarness(t, &ClientPool{MaxClients: 10, IdleTimeoutMs: 2000})
	client := h.accept()
	startSession(client)
	h.now += h.IdleTimeoutMs
	query := AppendStrings(nil, MsgQuery, "a long query")
	h.send(client, query[:9])
	h.sweep()
	if len(h.clients) != 1 {
		t.Fatal("a connection was closed on the first part of a query")
	}
	h.send(client, query[9:])
	if client.conn.ReadNow(); !client.session.Busy() {
		t.Error("the rest of the query is not taken")
	}
}

// A connection that may not be closed, since it is busy or has just sent something, keeps no other one from being evicted.
func TestEvictionPassesOverConnectionsThatMustStay(t *testing.T) {
	query := AppendStrings(nil, MsgQuery, "a query")
	for name, prepare := range map[string]func(*poolHarness, *Client){
		"busy, with its next message waiting": func(h *poolHarness, client *Client) {
			h.send(client, append(query, query...))
			client.readMore()
		},
		"has just sent a message": func(h *poolHarness, client *Client) { h.send(client, query) },
	} {
		t.Run(name, func(t *testing.T) {
			h := newPoolHarness(t, &ClientPool{MaxClients: 2})
			staying, idle := h.accept(), h.accept()
			startSession(staying)
			startSession(idle)
			prepare(h, staying)
			h.now += messageTimeoutMs
			if newest := h.accept(); h.open(idle) || !h.open(staying) || !h.open(newest) {
				t.Errorf("idle one open %v, the one that must stay %v, the new one %v",
					h.open(idle), h.open(staying), h.open(newest))
			}
		})
	}
}

// A drain that finds the end of input behind half a message closes the connection: the rest can't come any more.
func TestDrainClosesHalfMessageAtEndOfInput(t *testing.T) {
	h := newPoolHarness(t, &ClientPool{MaxClients: 2})
	client := h.accept()
	startSession(client)
	client.sentMessage = true
	h.send(client, AppendStrings(nil, MsgQuery, "a query")[:9])
	if err := unix.Shutdown(h.peerEnds[client], unix.SHUT_WR); err != nil {
		t.Fatal(err)
	}
	client.readMore() // reads the half message, and not yet the end
	h.Drain()
	if h.open(client) {
		t.Error("the connection stays open")
	}
}
