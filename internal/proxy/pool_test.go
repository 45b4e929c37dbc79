package proxy

import (
	"errors"
	"testing"
)

func TestIdleConnectionsAreReusedAndRetired(t *testing.T) {
	b := newBench(t, "a")
	for i := range 2 {
		b.submit(readClass, 500)
		if i == 0 {
			b.conns[0].handler.Established()
		}
		b.conns[0].handler.ResponseReceived(success("x"))
		b.advance(settlePeriodMs)
	}
	b.wantAnswers(t, "1000 succeeded x", "1002 succeeded x")
	if len(b.conns) != 1 || len(b.conns[0].sent) != 2 {
		t.Errorf("%d connections", len(b.conns))
	}
	b.advance(2100)
	if !b.conns[0].closed {
		t.Error("an idle connection is kept until the host closes it")
	}
}

// A host may close a connection right after its response, or send the response twice: a request that is sent in that
// moment would be lost, or get the second copy as its response.
func TestAConnectionSettlesAfterAResponse(t *testing.T) {
	for _, test := range []struct {
		name       string
		hostCloses bool
		conns      int
		sentOnLast int
	}{
		{"connection stays", false, 1, 2},
		{"host closes it", true, 2, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, "a")
			b.submit(readClass, 500)
			b.conns[0].handler.Established()
			b.conns[0].handler.ResponseReceived(success("x"))
			b.submit(readClass, 500)
			if len(b.conns[0].sent) != 1 {
				t.Error("sent in the round of the response before")
			}
			if test.hostCloses {
				b.conns[0].handler.ConnectionClosed(errors.New("closed"))
				b.advance(1)
				b.conns[1].handler.Established()
			}
			b.advance(settlePeriodMs + 1)
			last := b.conns[len(b.conns)-1]
			if len(b.conns) != test.conns || len(last.sent) != test.sentOnLast {
				t.Errorf("%d connections, %d sent on the last", len(b.conns), len(last.sent))
			}
		})
	}
}

// Bytes beyond a response belong to no request.
func TestTheLastAnswerOfAConnection(t *testing.T) {
	b := newBench(t, "a")
	b.submit(readClass, 500)
	b.conns[0].handler.Established()
	last := success("x")
	last.ConnectionEnds = true
	b.conns[0].handler.ResponseReceived(last)
	b.submit(readClass, 500)
	if !b.conns[0].closed || len(b.conns) != 2 {
		t.Errorf("closed %v, %d connections", b.conns[0].closed, len(b.conns))
	}
}

// No client sends requests while the gateway isn't ready: the core must find out by itself that a host is back.
func TestHostsThatAreBackAreNoticed(t *testing.T) {
	b := newBench(t, "a")
	b.submit(readClass, 300)
	b.conns[0].handler.ConnectionClosed(errors.New("refused"))
	b.advance(400)
	if b.Ready() {
		t.Fatal("ready without a host")
	}
	b.advance(600)
	last := b.conns[len(b.conns)-1]
	last.handler.Established()
	if !b.Ready() {
		t.Error("not ready with a host that is back")
	}
}

// A connection that takes too long is closed, and the attempt that waited for it is not sent on it any more.
func TestAConnectionThatComesUpTooLate(t *testing.T) {
	for _, test := range []struct {
		name    string
		afterMs float64
		late    bool
	}{
		{"late", 255, true},
		{"in time", 240, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, "a")
			b.submit(writeClass, 300) // longer than the connect timeout, too short for a second connection
			b.advance(test.afterMs)
			first := b.conns[0]
			if !first.closed {
				first.handler.Established()
			}
			if first.closed != test.late || (len(first.sent) == 1) == test.late {
				t.Errorf("closed %v, %d sent", first.closed, len(first.sent))
			}
			b.advance(400)
			if len(b.answers) != 1 {
				t.Errorf("answers %q", b.answers)
			}
		})
	}
}
