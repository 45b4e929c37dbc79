package proxy

import "testing"

// streamingClient takes large answers in parts, as far as it has capacity.
type streamingClient struct {
	*bench
	capacity int // bytes
	resume   func()
}

func (s *streamingClient) BeginStream(resume func()) bool {
	s.resume = resume
	s.record("stream begins")
	return true
}

func (s *streamingClient) StreamPart(part []byte) int {
	taken := min(len(part), s.capacity)
	s.capacity -= taken
	return taken
}

func (s *streamingClient) AbortStream() { s.record("stream aborted") }

// A streamed answer that has begun has no deadline and no retry. It is aborted where no part of it moves any more, and
// ended where its client leaves.
func TestALargeAnswerEndsOnce(t *testing.T) {
	for _, test := range []struct {
		name    string
		end     func(b *bench, id uint64)
		answers []string
		counts  ReplyCounts
	}{
		{"complete", func(b *bench, _ uint64) {
			b.advance(3000)
			b.conns[0].handler.ResponseReceived(success("end"))
		}, []string{"1000 stream begins", "4000 succeeded end"}, ReplyCounts{Success: 1}},
		{"connection lost", func(b *bench, _ uint64) {
			b.conns[0].handler.ConnectionClosed(nil)
		}, []string{"1000 stream begins", "1000 stream aborted"}, ReplyCounts{Error: 1}},
		{"stalled", func(b *bench, _ uint64) {
			b.advance(2 * streamStallTimeoutMs)
		}, []string{"1000 stream begins", "7000 stream aborted"}, ReplyCounts{Error: 1}},
		{"client gone", func(b *bench, id uint64) {
			b.ClientGone(id)
		}, []string{"1000 stream begins"}, ReplyCounts{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, "a", "b")
			client := &streamingClient{bench: b, capacity: 10}
			id, _ := b.Submit(Request{Class: readClass, Tenant: -1, TimeLeftMs: 500, Command: "command", Responder: client})
			b.Step()
			handler := b.conns[0].handler
			handler.Established()
			if !handler.BeginStream(nil) || handler.StreamPart(make([]byte, 15)) != 10 {
				t.Fatal("no part is taken")
			}
			b.Step()
			test.end(b, id)
			b.advance(2000)
			b.wantAnswers(t, test.answers...)
			if sent := b.sentCount(); sent != 1 {
				t.Errorf("%d commands sent", sent)
			}
			if b.OpenRequests() != 0 || len(b.requests) != 0 {
				t.Errorf("%d requests open, %d kept", b.OpenRequests(), len(b.requests))
			}
			if counts := b.ReplyCounts()[readClass]; counts != test.counts {
				t.Errorf("reply counts %+v, want %+v", counts, test.counts)
			}
			if dispatches := b.Stats().Dispatches; dispatches != 1 {
				t.Errorf("%d dispatches", dispatches)
			}
		})
	}
}
