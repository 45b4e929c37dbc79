package pg

import (
	"strings"
	"testing"
)

const (
	largeQueryBytes  = 100 << 10
	inputMemoryBytes = 350 << 10 // for three large queries
)

// sendPart writes a part of a query at the client's end and makes the gateway read what the client's limit allows.
func (h *poolHarness) sendPart(client *Client, part []byte) {
	h.t.Helper()
	h.send(client, part)
	client.conn.ReadNow()
}

// buffered returns the size of all inputs together.
func (h *poolHarness) buffered() int {
	total := 0
	for client := range h.clients {
		total += len(client.conn.In())
	}
	return total
}

// Guards against a client whose whole message was read and then dropped, because clients with incomplete messages held the
// memory for all input. The input must stay within its limit, the client must get memory once those clients are overdue, and
// all memory must be released in the end.
func TestStalledClientsLeaveInputMemoryToOthers(t *testing.T) {
	const stalledClients = 6
	h := newPoolHarness(t, &ClientPool{MaxClients: 100})
	h.InputMemory.LimitBytes = inputMemoryBytes
	query := AppendStrings(nil, MsgQuery, strings.Repeat("q", largeQueryBytes))
	var stalled []*Client
	for range stalledClients {
		client := h.accept()
		startSession(client)
		h.sendPart(client, query[:largeQueryBytes/2])
		stalled = append(stalled, client)
	}
	usual := h.accept()
	startSession(usual)
	h.sendPart(usual, query)
	maximum := inputMemoryBytes + len(h.clients)*smallInputBytes
	if got := h.buffered(); got > maximum || h.InputMemory.ReservedBytes() > inputMemoryBytes {
		t.Errorf("inputs of %d bytes, %d reserved, want at most %d and %d", got, h.InputMemory.ReservedBytes(), maximum, inputMemoryBytes)
	}
	if usual.session.Busy() {
		t.Fatal("the query was read although there was no memory for it")
	}
	for range 20 {
		h.now += inputReliefIntervalMs
		h.Loop.Fire()
		for client := range h.clients {
			client.conn.ReadNow() // as the event loop does
		}
	}
	if !usual.session.Busy() || !h.open(usual) {
		t.Error("the whole query was not handled after the stalled clients had been overdue")
	}
	for i, client := range stalled[:3] {
		if h.open(client) {
			t.Errorf("stalled client %d still holds memory that another one waited for", i)
		}
	}
	for client := range h.clients {
		client.close()
	}
	if got := h.InputMemory.ReservedBytes(); got != 0 || len(h.inputQueue) != 0 {
		t.Errorf("%d bytes are reserved and %d clients wait, want 0 and 0", got, len(h.inputQueue))
	}
}

// A client whose input is full has the rest of its messages read when the session accepts them, and then gives back what it
// has reserved.
func TestInputReservationEndsWithTheMessage(t *testing.T) {
	h := newPoolHarness(t, &ClientPool{MaxClients: 100})
	h.InputMemory.LimitBytes = inputMemoryBytes
	client := h.accept()
	startSession(client)
	query := AppendStrings(nil, MsgQuery, strings.Repeat("q", largeQueryBytes))
	h.sendPart(client, append(query, query...))
	if !client.session.Busy() || client.reservedInput == 0 {
		t.Fatalf("busy %v, %d bytes reserved; want the first query in hand and the second one read",
			client.session.Busy(), client.reservedInput)
	}
	client.session.(*stubSession).busy = false
	client.Resume()
	client.conn.ReadNow()
	if !client.session.Busy() || client.reservedInput != 0 || len(client.conn.In()) != 0 {
		t.Errorf("busy %v, %d bytes reserved, %d in the input; want true, 0 and 0",
			client.session.Busy(), client.reservedInput, len(client.conn.In()))
	}
}
