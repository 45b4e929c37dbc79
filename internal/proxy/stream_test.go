package proxy

import (
	"testing"

	"merlinjunction/routing"
)

// streamed is a reply that takes large answers, as far as there is room.
type streamed struct {
	*bench
	room   int
	resume func()
}

func (s *streamed) BeginStream(resume func()) bool { s.resume = resume; s.say("begins"); return true }
func (s *streamed) StreamPart(p []byte) int        { n := min(len(p), s.room); s.room -= n; return n }
func (s *streamed) AbortStream()                   { s.say("cut") }

// An answer that has begun has no deadline and no second attempt. Where no part of it moves any more, its client is cut
// off; where its client leaves, the rest is called off.
func TestALargeAnswerEndsOnce(t *testing.T) {
	for _, c := range []struct {
		what string
		end  func(b *bench, id uint64)
		want []string
		left ReplyCounts
	}{
		{"whole", func(b *bench, _ uint64) {
			b.pass(3000)
			b.conns[0].owner.ResponseReceived(Response{Outcome: routing.OutcomeOK, Body: []byte("end")})
		}, []string{"1000 begins", "4000 served end"}, ReplyCounts{Success: 1}},
		{"broken", func(b *bench, _ uint64) { b.conns[0].owner.ConnectionClosed(nil) }, []string{"1000 begins", "1000 cut"}, ReplyCounts{Error: 1}},
		{"stalled", func(b *bench, _ uint64) { b.pass(2 * stallMs) }, []string{"1000 begins", "7000 cut"}, ReplyCounts{Error: 1}},
		{"left", func(b *bench, id uint64) { b.ClientGone(id) }, []string{"1000 begins"}, ReplyCounts{}},
	} {
		b := newBench(t, "a", "b")
		s := &streamed{bench: b, room: 10}
		id, _ := b.Submit(Request{Class: 0, Tenant: -1, TimeLeftMs: 500, Command: "command", Responder: s})
		b.Step()
		b.conns[0].owner.Established()
		if o := b.conns[0].owner; !o.BeginStream(nil) || o.StreamPart(make([]byte, 15)) != 10 {
			t.Fatalf("%s: no part is taken", c.what)
		}
		b.Step()
		c.end(b, id)
		b.pass(2000)
		sent := 0
		for _, conn := range b.conns {
			sent += len(conn.sent)
		}
		b.want(t, c.want...)
		if sent != 1 || b.OpenRequests() != 0 || len(b.requests) != 0 || b.ReplyCounts()[0] != c.left || b.Stats().Dispatches != 1 {
			t.Errorf("%s: %d commands, %d open, %d kept, %v, %v", c.what, sent, b.OpenRequests(), len(b.requests), b.ReplyCounts(), b.Stats())
		}
	}
}
