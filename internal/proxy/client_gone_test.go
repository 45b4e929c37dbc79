package proxy

import (
	"errors"
	"fmt"
	"testing"

	"merlinjunction/routing"
)

// A client leaves while its request waits for a connection. The request must not be sent when the connection is
// established, and the connection must serve the next request.
func TestWaitingAttemptIsNotSentAfterClientLeft(t *testing.T) {
	for _, class := range []int{readClass, writeClass} {
		t.Run(fmt.Sprintf("class %d", class), func(t *testing.T) {
			f := newFixture(t, "a")
			f.submit(class, 900)
			f.ClientGone(1)
			f.advance(1)
			conn := f.conns[0]
			conn.handler.Established()
			f.advance(400)
			if len(conn.sent) != 0 || conn.closed {
				t.Errorf("%d commands sent for a client that had left, connection closed %v; want 0 and false",
					len(conn.sent), conn.closed)
			}
			f.submit(class, 900)
			conn.handler.ResponseReceived(primarySuccess("x"))
			f.advance(1)
			if len(f.answers) != 1 || len(f.conns) != 1 || len(f.requests) != 0 {
				t.Errorf("answers %q, %d connections, %d requests were not removed; want 1 answer, 1 and 0",
					f.answers, len(f.conns), len(f.requests))
			}
		})
	}
}

// A client leaves after its request was written. The attempt must stay open, and its response must be discarded.
func TestWrittenAttemptStaysOpenAfterClientLeft(t *testing.T) {
	for _, class := range []int{readClass, writeClass} {
		t.Run(fmt.Sprintf("class %d", class), func(t *testing.T) {
			f := newFixture(t, "a")
			f.submit(class, 900)
			conn := f.conns[0]
			conn.handler.Established()
			f.ClientGone(1)
			f.advance(1)
			if len(conn.sent) != 1 || conn.closed {
				t.Errorf("the attempt did not stay open: %d commands sent, connection closed %v; want 1 and false",
					len(conn.sent), conn.closed)
			}
			conn.handler.ResponseReceived(primarySuccess("x"))
			f.advance(1)
			if len(f.answers) != 0 || len(f.requests) != 0 {
				t.Errorf("answers %q, %d requests were not removed; want none and 0", f.answers, len(f.requests))
			}
		})
	}
}

// A client leaves while its command is only partly written. The attempt must end at once: with its connection closed, the
// command can't run.
func TestPartlyWrittenAttemptEndsWhenClientLeaves(t *testing.T) {
	f := newFixture(t, "a")
	f.submit(writeClass, 900)
	f.conns[0].writeBlocked = true
	f.conns[0].handler.Established()
	f.ClientGone(1)
	f.advance(1)
	if !f.conns[0].closed || f.writtenAttempts != 0 || len(f.requests) != 0 {
		t.Errorf("connection closed %v, %d written attempts, %d requests were not removed; want true, 0 and 0",
			f.conns[0].closed, f.writtenAttempts, len(f.requests))
	}
	f.conns[0].handler.RequestWritten() // a late callback, which must have no effect
	f.conns[0].handler.ConnectionClosed(errors.New("closed"))
	f.advance(500)
	if len(f.answers) != 0 || len(f.conns) != 1 {
		t.Errorf("answers %q, %d connections; want none and 1", f.answers, len(f.conns))
	}
}

// Several requests wait for one connection, and the client of the first one leaves. The next request must get the
// connection.
func TestConnectionServesNextAttemptAfterClientLeft(t *testing.T) {
	f := newFixture(t, "a")
	f.submit(readClass, 900)
	f.submit(readClass, 900)
	first := f.conns[0]
	f.ClientGone(1)
	f.advance(1)
	first.handler.Established()
	if len(first.sent) != 1 {
		t.Fatalf("%d commands sent, want 1", len(first.sent))
	}
	first.handler.ResponseReceived(success("x"))
	f.advance(1)
	if len(f.answers) != 1 || f.OpenRequests() != 0 {
		t.Errorf("answers %q, %d open requests; want 1 answer and 0", f.answers, f.OpenRequests())
	}
}

// The connection of a written request is lost. If the client has left before, there must be no retry. If the client
// leaves while the retry waits for its connection, the retry must not be sent.
func TestNoRetryIsSentAfterClientLeft(t *testing.T) {
	for _, gone := range []bool{true, false} {
		t.Run(fmt.Sprintf("client gone before the retry %v", gone), func(t *testing.T) {
			f := newFixture(t, "a", "b")
			f.submit(readClass, 900)
			f.conns[0].handler.Established()
			if gone {
				f.ClientGone(1)
			}
			f.conns[0].handler.ConnectionClosed(errors.New("reset"))
			f.advance(50)
			if retried := len(f.conns) > 1; retried == gone {
				t.Errorf("retried %v, want %v", retried, !gone)
			}
			if !gone {
				f.ClientGone(1)
				f.advance(1)
				f.conns[1].handler.Established()
				if len(f.conns[1].sent) != 0 {
					t.Error("the retry was sent after the client had left")
				}
			}
			f.advance(500)
			if len(f.answers) != 0 || len(f.requests) != 0 {
				t.Errorf("answers %q, %d requests were not removed; want none and 0", f.answers, len(f.requests))
			}
		})
	}
}

// disconnectingClient has two requests in flight and leaves when one of them is rejected. This happens when its
// connection is closed because of a malformed message after the two requests.
type disconnectingClient struct {
	*fixture
	otherRequest uint64
}

func (d *disconnectingClient) Reject(retryAfterMs float64) {
	d.fixture.Reject(retryAfterMs)
	d.ClientGone(d.otherRequest)
}

// submitToGroup submits a read with 600 ms left to a group.
func (f *fixture) submitToGroup(t *testing.T, group int, responder Responder) {
	t.Helper()
	request := Request{Tenant: -1, Group: group, TimeLeftMs: 600, Command: "command", Responder: responder}
	if _, ok := f.Submit(request); !ok {
		t.Fatal("the request was not accepted")
	}
}

// The router starts an attempt in the Step in which the client of its request leaves. The attempt must not be sent, but
// the router must get its result. Otherwise the router would count the attempt against the concurrency limit of the host
// forever.
func TestAttemptIsNotSentWhenClientLeavesInSameStep(t *testing.T) {
	f := newFixture(t)
	host := Host{Address: "a", Endpoint: routing.Endpoint{ID: "a", Group: 1, State: routing.StateReady}}
	f.UpdateHosts(true, []Host{host})
	f.Step()
	f.submitToGroup(t, 0, &disconnectingClient{f, 2}) // group 0 has no hosts
	f.Step()
	f.nowMs += 320 // more than half of the request's time: it is rejected in the next Step
	f.submitToGroup(t, 1, f)
	f.Step()
	f.wantAnswers(t, "1320 rejected 0")
	f.advance(1)
	for _, conn := range f.conns {
		conn.handler.Established()
		if len(conn.sent) != 0 {
			t.Error("a command was sent for a client that had left")
		}
	}
	if len(f.requests) != 0 || len(f.abandoned) != 0 {
		t.Errorf("%d requests and %d abandoned requests were not removed", len(f.requests), len(f.abandoned))
	}
	const concurrencyLimit = 3 // initial limit of a host
	for range concurrencyLimit {
		f.submitToGroup(t, 1, f)
	}
	f.Step()
	open := 0
	for _, req := range f.requests {
		if req.openAttempt != nil {
			open++
		}
	}
	if open != concurrencyLimit {
		t.Errorf("%d requests have an open attempt, want %d", open, concurrencyLimit)
	}
}

// leavingClient is a Responder whose client leaves without a call of ClientGone.
type leavingClient struct {
	*fixture

	gone bool
}

func (c *leavingClient) ClientIsGone() bool { return c.gone }

// Guards against requests that were sent after their clients had left: the operating system knew it, but no event of the
// client's connection had been handled yet.
func TestCommandOfAGoneClientIsNotSent(t *testing.T) {
	for _, gone := range []bool{false, true} {
		t.Run(fmt.Sprintf("gone %v", gone), func(t *testing.T) {
			f := newFixture(t, "a")
			client := &leavingClient{fixture: f}
			f.Submit(Request{Class: writeClass, Tenant: -1, TimeLeftMs: 900, Command: "command", Responder: client})
			f.Step()
			client.gone = gone
			f.conns[0].handler.Established()
			if sent := f.sentCount(); (sent == 0) != gone {
				t.Errorf("%d commands were sent", sent)
			}
		})
	}
}
