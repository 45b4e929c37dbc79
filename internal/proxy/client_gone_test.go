package proxy

import (
	"errors"
	"fmt"
	"testing"

	"merlinjunction/routing"
)

// A client leaves while its request waits for a connection: the request is not sent when the connection is
// established, and the connection serves the next request.
func TestWhatWaitsForAConnectionIsNotSentOnceItsClientHasLeft(t *testing.T) {
	for _, class := range []int{readClass, writeClass} {
		t.Run(fmt.Sprintf("class %d", class), func(t *testing.T) {
			b := newBench(t, "a")
			b.submit(class, 900)
			b.ClientGone(1)
			b.advance(1)
			conn := b.conns[0]
			conn.handler.Established()
			b.advance(400)
			if len(conn.sent) != 0 || conn.closed {
				t.Errorf("%d sent for a client that had left, closed %v", len(conn.sent), conn.closed)
			}
			b.submit(class, 900)
			conn.handler.ResponseReceived(primarySuccess("x"))
			b.advance(1)
			if len(b.answers) != 1 || len(b.conns) != 1 || len(b.requests) != 0 {
				t.Errorf("answers %q on %d connections, %d requests are kept", b.answers, len(b.conns), len(b.requests))
			}
		})
	}
}

// A client leaves when its request is written: the attempt stays open, and its response goes nowhere.
func TestWhatIsWrittenStaysOpenOnceItsClientHasLeft(t *testing.T) {
	for _, class := range []int{readClass, writeClass} {
		t.Run(fmt.Sprintf("class %d", class), func(t *testing.T) {
			b := newBench(t, "a")
			b.submit(class, 900)
			conn := b.conns[0]
			conn.handler.Established()
			b.ClientGone(1)
			b.advance(1)
			if len(conn.sent) != 1 || conn.closed {
				t.Errorf("the attempt does not stay open: %d sent, closed %v", len(conn.sent), conn.closed)
			}
			conn.handler.ResponseReceived(primarySuccess("x"))
			b.advance(1)
			if len(b.answers) != 0 || len(b.requests) != 0 {
				t.Errorf("answers %q, %d requests are kept", b.answers, len(b.requests))
			}
		})
	}
}

// A command that is only partly written can't run any more once its connection is closed; a completely written one may.
func TestWhatIsPartlyWrittenEndsWithItsClient(t *testing.T) {
	b := newBench(t, "a")
	b.submit(writeClass, 900)
	b.conns[0].writeBlocked = true
	b.conns[0].handler.Established()
	b.ClientGone(1)
	b.advance(1)
	if !b.conns[0].closed || b.writtenAttempts != 0 || len(b.requests) != 0 {
		t.Errorf("closed %v, %d dispatches, %d requests are kept", b.conns[0].closed, b.writtenAttempts, len(b.requests))
	}
	b.conns[0].handler.RequestWritten() // the system took the last byte after all: no effect
	b.conns[0].handler.ConnectionClosed(errors.New("closed"))
	b.advance(500)
	if len(b.answers) != 0 || len(b.conns) != 1 {
		t.Errorf("answers %q, %d connections", b.answers, len(b.conns))
	}
}

// Several requests wait for one connection, and the client of the first leaves: the next request gets it.
func TestTheNextInLineGetsTheConnection(t *testing.T) {
	b := newBench(t, "a")
	b.submit(readClass, 900)
	b.submit(readClass, 900)
	first := b.conns[0]
	b.ClientGone(1)
	b.advance(1)
	first.handler.Established()
	if len(first.sent) != 1 {
		t.Fatalf("%d sent", len(first.sent))
	}
	first.handler.ResponseReceived(success("x"))
	b.advance(1)
	if len(b.answers) != 1 || b.OpenRequests() != 0 {
		t.Errorf("answers %q, %d open", b.answers, b.OpenRequests())
	}
}

// The connection of a written request breaks. If its client has left before, there is no retry; if the client leaves
// after it, the retry is not sent.
func TestNothingIsSentAnewForAClientThatHasLeft(t *testing.T) {
	for _, gone := range []bool{true, false} {
		t.Run(fmt.Sprintf("client gone before the retry %v", gone), func(t *testing.T) {
			b := newBench(t, "a", "b")
			b.submit(readClass, 900)
			b.conns[0].handler.Established()
			if gone {
				b.ClientGone(1)
			}
			b.conns[0].handler.ConnectionClosed(errors.New("reset"))
			b.advance(50)
			if retried := len(b.conns) > 1; retried == gone {
				t.Errorf("retried %v", retried)
			}
			if !gone {
				b.ClientGone(1)
				b.advance(1)
				b.conns[1].handler.Established()
				if len(b.conns[1].sent) != 0 {
					t.Error("the retry was sent after the client had left")
				}
			}
			b.advance(500)
			if len(b.answers) != 0 || len(b.requests) != 0 {
				t.Errorf("answers %q, %d requests are kept", b.answers, len(b.requests))
			}
		})
	}
}

// departingClient leaves with another request of its own in flight while one is rejected: as when its connection ends
// because of a malformed message behind the two.
type departingClient struct {
	*bench
	otherRequest uint64
}

func (d *departingClient) Reject(retryAfterMs float64) {
	d.bench.Reject(retryAfterMs)
	d.ClientGone(d.otherRequest)
}

// submitToGroup submits a read that has 600 ms.
func (b *bench) submitToGroup(t *testing.T, group int, responder Responder) {
	t.Helper()
	request := Request{Tenant: -1, Group: group, TimeLeftMs: 600, Command: "command", Responder: responder}
	if _, ok := b.Submit(request); !ok {
		t.Fatal("not accepted")
	}
}

// An attempt is decided in the Step in which its client leaves: it is not sent, and the router gets its result, as it
// would count the attempt against the host's concurrency limit for good.
func TestAClientThatLeavesWhileItsAttemptIsDecided(t *testing.T) {
	b := newBench(t)
	host := Host{Address: "a", Endpoint: routing.Endpoint{ID: "a", Group: 1, State: routing.StateReady}}
	b.UpdateHosts(true, []Host{host})
	b.Step()
	b.submitToGroup(t, 0, &departingClient{b, 2}) // a group without hosts
	b.Step()
	b.nowMs += 320 // more than half of the request's time: it is rejected in the next Step
	b.submitToGroup(t, 1, b)
	b.Step()
	b.wantAnswers(t, "1320 rejected 0")
	b.advance(1)
	for _, conn := range b.conns {
		conn.handler.Established()
		if len(conn.sent) != 0 {
			t.Error("sent for a client that has left")
		}
	}
	if len(b.requests) != 0 || len(b.abandoned) != 0 {
		t.Errorf("%d requests are kept, %d are departed", len(b.requests), len(b.abandoned))
	}
	const concurrencyLimit = 3 // of a host at first
	for range concurrencyLimit {
		b.submitToGroup(t, 1, b)
	}
	b.Step()
	open := 0
	for _, req := range b.requests {
		if req.openAttempt != nil {
			open++
		}
	}
	if open != concurrencyLimit {
		t.Errorf("%d of %d requests have an open attempt", open, concurrencyLimit)
	}
}
