package pg

import (
	"bytes"
	"testing"
)

// countingSession handles each message at once, which takes costMs of a manual clock.
type countingSession struct {
	stubSession

	clockMs   *float64
	costMs    float64
	handledMs []float64 // when each message was handled
}

func (s *countingSession) HandleMessage(byte, []byte) {
	s.handledMs = append(s.handledMs, *s.clockMs)
	*s.clockMs += s.costMs
}

// runUntil runs rounds of the event loop, each of which takes a millisecond of the manual clock, until a condition holds.
func (h *poolHarness) runUntil(done func() bool, round func()) {
	h.t.Helper()
	rounds := 0
	err := h.Loop.Run(func() {
		round()
		h.now++
		if rounds++; done() || rounds > 10_000 {
			h.Loop.Stop()
		}
		h.Loop.Wake()
	})
	if err != nil || !done() {
		h.t.Fatalf("after %d rounds: done %v, error %v", rounds, done(), err)
	}
}

// flood connects a client that has sent a number of small messages, each of which takes costMs.
func (h *poolHarness) flood(messages int, costMs float64) *countingSession {
	h.t.Helper()
	client := h.accept()
	session := &countingSession{clockMs: &h.now, costMs: costMs}
	client.session = session
	h.send(client, bytes.Repeat(AppendMessage(nil, MsgSync), messages))
	return session
}

// Guards against answers to other clients that came late, because one client sent small messages at full speed and all of
// its input was processed in one round.
func TestManySmallMessagesTakeTurns(t *testing.T) {
	const messages = 1000
	h := newPoolHarness(t, &ClientPool{MaxClients: 100})
	flooding := h.flood(messages, 0)
	other := h.flood(1, 0)
	before := 0
	h.runUntil(func() bool { return len(flooding.handledMs) == messages }, func() {
		if count := len(flooding.handledMs) - before; count > maxTurnMessages {
			t.Errorf("%d messages were handled in one round, want at most %d", count, maxTurnMessages)
		}
		before = len(flooding.handledMs)
	})
	if len(other.handledMs) != 1 || other.handledMs[0] > flooding.handledMs[maxTurnMessages] {
		t.Errorf("the message of another client was handled at %v, want in the first round", other.handledMs)
	}
}

// Guards against the same where each message takes long. Clients of expensive messages must leave half of the time to
// others, whose messages don't wait for theirs.
func TestExpensiveMessagesLeaveTimeToOthers(t *testing.T) {
	const (
		messages = 10
		costMs   = 5.0
	)
	h := newPoolHarness(t, &ClientPool{MaxClients: 100})
	expensive := []*countingSession{h.flood(messages, costMs), h.flood(messages, costMs)}
	handled := func() int { return len(expensive[0].handledMs) + len(expensive[1].handledMs) }
	startMs := 0.0
	h.runUntil(func() bool { return handled() == 2*messages }, func() {
		if startMs == 0 { // the first turn of each is not known to be expensive
			startMs = h.now
		}
	})
	const remaining = 2*messages - 2
	if tookMs := h.now - startMs; tookMs < 2*costMs*(remaining-1) {
		t.Errorf("%d expensive messages of %v ms took %v ms, want a rest after each", remaining, costMs, tookMs)
	}
}

// A client whose messages wait for their turn here is neither overdue nor stalled.
func TestClientInBacklogIsNotClosed(t *testing.T) {
	h := newPoolHarness(t, &ClientPool{MaxClients: 100})
	h.flood(1000, 0)
	var client *Client
	for client = range h.clients {
		client.conn.ReadNow()
	}
	h.now += stalledTimeoutMs + messageTimeoutMs
	client.closeIfStalled(h.now)
	if !h.open(client) || !client.inBacklog || client.evictable(h.now, 0) {
		t.Errorf("open %v, in the backlog %v, evictable %v; want true, true, false",
			h.open(client), client.inBacklog, client.evictable(h.now, 0))
	}
}
