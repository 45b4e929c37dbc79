package pg

import (
	"maps"
	"testing"

	"golang.org/x/sys/unix"

	"merlinjunction/internal/eventloop"
)

// stubSession accepts one message and never answers it.
type stubSession struct{ busy bool }

func (s *stubSession) Busy() bool                 { return s.busy }
func (s *stubSession) Accepts(byte) bool          { return !s.busy }
func (s *stubSession) HandleMessage(byte, []byte) { s.busy = true }
func (s *stubSession) InPipeline() bool           { return false }
func (s *stubSession) ClientGone()                {}

// poolHarness is a ClientPool with a clock that the test sets.
type poolHarness struct {
	*ClientPool
	t        *testing.T
	now      float64
	peerEnds map[*Client]int // the client's end of each connection, as a file descriptor
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

// accept advances the clock by one millisecond and connects a client. It returns nil if the pool gained no client.
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

// send writes data at a client's end of its connection.
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

// startSession gives a client a session, as if it had completed its startup and no message were due.
func startSession(client *Client) {
	client.session = &stubSession{}
	client.messageDueSinceMs = 0
}

// TestEvictionOrder guards against clients that send one request and then stay connected in all slots. If their idle
// connections were not evicted first, each new client would be evicted in favor of the next one before its first request
// had been received.
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
	h.MaxClients = 100 // idle connections are evicted well below it, because sockets on the clients' side are limited too
	for range earlyEvictionPercent {
		startSession(h.accept())
	}
	h.now += earlyEvictionMinIdleMs
	if n := len(h.clients) - h.closingCount; h.accept() == nil || len(h.clients)-h.closingCount > n {
		t.Errorf("no idle connection was evicted, with %d connections open", n)
	}
	h.MaxClients = 2
	var kept []*Client // two connections that are not closing; both are idle, and one of them then has an incomplete message
	for client := range h.clients {
		if h.open(client) && len(kept) < h.MaxClients {
			kept = append(kept, client)
			continue
		}
		client.close()
	}
	if len(kept) != h.MaxClients {
		t.Fatalf("%d connections are open, want at least %d", len(kept), h.MaxClients)
	}
	for _, client := range kept {
		startSession(client)
	}
	first = kept[0]
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

// TestIdleConnectionWithNewInputStaysOpen guards against the loss of a request: a connection that has reached its idle
// timeout must not be closed if the first part of a query has just been received.
func TestIdleConnectionWithNewInputStaysOpen(t *testing.T) {
	h := newPoolHarness(t, &ClientPool{MaxClients: 10, IdleTimeoutMs: 2000})
	client := h.accept()
	startSession(client)
	h.now += h.IdleTimeoutMs
	query := AppendStrings(nil, MsgQuery, "a long query")
	h.send(client, query[:9])
	h.sweep()
	if len(h.clients) != 1 {
		t.Fatal("the connection was closed although the first part of a query had been received")
	}
	h.send(client, query[9:])
	if client.conn.ReadNow(); !client.session.Busy() {
		t.Error("the session is not busy after the rest of the query was sent")
	}
}

// TestEvictionPassesOverConnectionsThatMustStay checks that another connection is evicted if the first candidate must stay
// open, because it is busy or has just sent something.
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
				t.Errorf("open: idle connection %v, connection that must stay open %v, new connection %v; want false, true, true",
					h.open(idle), h.open(staying), h.open(newest))
			}
		})
	}
}

// TestDrainClosesHalfMessageAtEndOfInput checks that a drain closes a connection whose input ends within a message. The
// rest of the message can't arrive any more.
func TestDrainClosesHalfMessageAtEndOfInput(t *testing.T) {
	h := newPoolHarness(t, &ClientPool{MaxClients: 2})
	client := h.accept()
	startSession(client)
	client.sentMessage = true
	h.send(client, AppendStrings(nil, MsgQuery, "a query")[:9])
	if err := unix.Shutdown(h.peerEnds[client], unix.SHUT_WR); err != nil {
		t.Fatal(err)
	}
	client.readMore() // reads the incomplete message, but not yet the end of input
	h.Drain()
	if h.open(client) {
		t.Error("the drain left the connection open")
	}
}
