package proxy

import (
	"errors"
	"testing"

	"merlinjunction/routing"
)

// On the bench requests whose clients had closed their connections were sent on as soon as a connection to the host was
// up. Whether the client leaves before that or after makes the difference: what is written stays out.
func TestWhatWaitsForAConnectionIsNotSentOnceItsClientHasLeft(t *testing.T) {
	for _, class := range []int{0, 1} {
		b := newBench(t, "a")
		b.submit(class, 900)
		b.ClientGone(1)
		b.pass(1)
		b.conns[0].owner.Established()
		b.pass(400)
		if n := len(b.conns[0].sent); n != 0 || b.conns[0].closed {
			t.Errorf("class %d: %d sent for a client that had left, closed %v", class, n, b.conns[0].closed)
		}
		b.submit(class, 900) // the connection serves whoever comes next
		b.conns[0].owner.ResponseReceived(Response{Outcome: routing.OutcomeOK, Role: routing.RolePrimary, Body: []byte("x")})
		b.pass(1)
		if len(b.got) != 1 || len(b.conns) != 1 || len(b.requests) != 0 {
			t.Errorf("class %d: got %q on %d connections, %d requests are kept", class, b.got, len(b.conns), len(b.requests))
		}

		b = newBench(t, "a")
		b.submit(class, 900)
		b.conns[0].owner.Established()
		b.ClientGone(1)
		b.pass(1)
		if len(b.conns[0].sent) != 1 || b.conns[0].closed {
			t.Errorf("class %d: what is written does not stay out: %d sent, closed %v", class, len(b.conns[0].sent), b.conns[0].closed)
		}
		b.conns[0].owner.ResponseReceived(Response{Outcome: routing.OutcomeOK, Role: routing.RolePrimary, Body: []byte("x")})
		b.pass(1)
		if len(b.got) != 0 || len(b.requests) != 0 {
			t.Errorf("class %d: got %q, %d requests are kept", class, b.got, len(b.requests))
		}
	}
}

// A command of which only a part is out can't run any more once its connection is closed; one that is out whole may.
func TestWhatIsPartlyWrittenEndsWithItsClient(t *testing.T) {
	b := newBench(t, "a")
	b.submit(1, 900)
	b.conns[0].stuck = true
	b.conns[0].owner.Established()
	b.ClientGone(1)
	b.pass(1)
	if !b.conns[0].closed || b.written != 0 || len(b.requests) != 0 {
		t.Errorf("closed %v, %d written, %d requests are kept", b.conns[0].closed, b.written, len(b.requests))
	}
	b.conns[0].owner.RequestWritten() // its system had the last byte after all: nobody is told
	b.conns[0].owner.ConnectionClosed(errors.New("closed"))
	b.pass(500)
	if len(b.got) != 0 || len(b.conns) != 1 {
		t.Errorf("got %q, %d connections", b.got, len(b.conns))
	}
}

// Several wait for one connection, and the first of them leaves: the next one gets it.
func TestTheNextInLineGetsTheConnection(t *testing.T) {
	b := newBench(t, "a")
	b.submit(0, 900)
	b.submit(0, 900)
	first := b.conns[0]
	b.ClientGone(1)
	b.pass(1)
	first.owner.Established()
	if len(first.sent) != 1 {
		t.Fatalf("%d sent", len(first.sent))
	}
	first.owner.ResponseReceived(Response{Outcome: routing.OutcomeOK, Body: []byte("x")})
	b.pass(1)
	if len(b.got) != 1 || b.OpenRequests() != 0 {
		t.Errorf("got %q, %d open", b.got, b.OpenRequests())
	}
}

// A list that counts as told since some time bars a host that long sooner, wherever the request waits meanwhile.
func TestTheGraceCountsFromWhenADrainCountsAsTold(t *testing.T) {
	for _, c := range []struct {
		told float64 // before the list came
		sent int
	}{{0, 1}, {150, 1}, {290, 0}, {1e6, 0}} {
		b := newBench(t, "a")
		b.submit(0, 900)
		b.UpdateHostsNotifiedAt(true, []Host{{Address: "a", Endpoint: routing.Endpoint{ID: "a", State: routing.StateDraining}}}, b.now-c.told)
		b.pass(100)
		b.conns[0].owner.Established()
		if n := len(b.conns[0].sent); n != c.sent {
			t.Errorf("told %v ms before: %d sent 100 ms after the list came, want %d (grace 300 ms)", c.told, n, c.sent)
		}
	}
}

// What comes while the program ends is answered before the end, whatever time its client has; what comes then is refused.
func TestWhatComesWhileTheProgramEndsIsAnsweredBeforeTheEnd(t *testing.T) {
	b := newBench(t, "a")
	b.SetFinalDeadline(b.now + 300)
	b.submit(1, 900)
	b.conns[0].owner.Established()
	b.pass(290)
	if len(b.got) != 0 {
		t.Fatalf("got %q", b.got)
	}
	b.pass(10)
	b.want(t, "1295 failed ")
	b.pass(1)
	b.submit(1, 900)
	b.want(t, "1295 failed ", "1301 full")
}

// A client leaves while its request is at a host, and then the host's connection breaks or its answer is an error: nothing
// is sent anew for it. In the other order the second attempt is out when the client leaves.
func TestNothingIsSentAnewForAClientThatHasLeft(t *testing.T) {
	for _, left := range []bool{true, false} {
		b := newBench(t, "a", "b")
		b.submit(0, 900)
		b.conns[0].owner.Established()
		if left {
			b.ClientGone(1)
		}
		b.conns[0].owner.ConnectionClosed(errors.New("reset"))
		b.pass(50)
		if again := len(b.conns) > 1; again == left {
			t.Errorf("left %v: sent again %v", left, again)
		}
		if !left {
			b.ClientGone(1)
			b.pass(1)
			b.conns[1].owner.Established()
			if len(b.conns[1].sent) != 0 {
				t.Error("the second attempt was sent after its client had left")
			}
		}
		b.pass(500)
		if len(b.got) != 0 || len(b.requests) != 0 {
			t.Errorf("left %v: got %q, %d requests are kept", left, b.got, len(b.requests))
		}
	}
}

// A connection that is too long in coming is given up, and what waited for it is not sent on it any more.
func TestAConnectionThatComesUpTooLate(t *testing.T) {
	for _, late := range []bool{true, false} {
		b := newBench(t, "a")
		b.submit(1, 300) // longer than a connection may take, too short for a second one
		b.pass(map[bool]float64{true: 255, false: 240}[late])
		first := b.conns[0]
		if !first.closed {
			first.owner.Established()
		}
		if first.closed != late || (len(first.sent) == 1) == late {
			t.Errorf("late %v: closed %v, %d sent", late, first.closed, len(first.sent))
		}
		b.pass(400)
		if len(b.got) != 1 {
			t.Errorf("late %v: got %q", late, b.got)
		}
	}
}

// A whole list that does not name a host says as much as that it has left; a probe of one that leaves is barred like a
// request.
func TestWhatIsNotListedAnyMoreGetsNothing(t *testing.T) {
	b := newBench(t, "a")
	b.submit(0, 900)
	b.sendProbe("a")
	b.list(routing.StateReady)
	b.pass(285)
	for _, c := range b.conns {
		if !c.closed {
			c.owner.Established()
		}
		if len(c.sent) != 0 {
			t.Errorf("%d sent to a host that the list does not name", len(c.sent))
		}
	}
	b.pass(700)
	if len(b.got) != 1 || len(b.hosts) != 1 { // the next list forgets it
		t.Errorf("got %q, %d hosts", b.got, len(b.hosts))
	}
	if b.list(routing.StateReady); len(b.hosts) != 0 {
		t.Errorf("%d hosts are kept", len(b.hosts))
	}
}

// leaver is a client that leaves, with another request of its own in hand, as it is told that one is refused: a malformed
// message behind them ends its connection just then.
type leaver struct {
	*bench
	other uint64
}

func (l *leaver) Reject(afterMs float64) {
	l.bench.Reject(afterMs)
	l.ClientGone(l.other)
}

// An attempt is decided in the same step in which its client turns out to have left: it is not sent, and its result is told,
// or the module would take the host for busy with it for good.
func TestAClientThatLeavesWhileItsAttemptIsDecided(t *testing.T) {
	b := newBench(t)
	b.UpdateHosts(true, []Host{{Address: "a", Endpoint: routing.Endpoint{ID: "a", Group: 1, State: routing.StateReady}}})
	b.Step()
	l := &leaver{b, 2}
	if _, ok := b.Submit(Request{Tenant: -1, TimeLeftMs: 600, Command: "command", Responder: l}); !ok { // of a group without hosts
		t.Fatal("not taken")
	}
	b.Step()
	b.now += 320 // it is refused by half of its time
	if _, ok := b.Submit(Request{Tenant: -1, Group: 1, TimeLeftMs: 600, Command: "command", Responder: b}); !ok {
		t.Fatal("not taken")
	}
	b.Step()
	b.want(t, "1320 refused 0")
	b.pass(1)
	for _, c := range b.conns {
		c.owner.Established()
		if len(c.sent) != 0 {
			t.Error("sent for a client that has left")
		}
	}
	if len(b.requests) != 0 || len(b.left) != 0 {
		t.Errorf("%d requests are kept, %d have left", len(b.requests), len(b.left))
	}
	for range 3 { // as many as a host may have from here at first
		if _, ok := b.Submit(Request{Tenant: -1, Group: 1, TimeLeftMs: 600, Command: "command", Responder: b}); !ok {
			t.Fatal("not taken")
		}
	}
	b.Step()
	out := 0
	for _, q := range b.requests {
		if q.open != nil {
			out++
		}
	}
	if out != 3 {
		t.Errorf("%d of 3 requests are on their way", out)
	}
}
