package proxy

import (
	"fmt"
	"testing"

	"merlinjunction/routing"
)

// streamingClient accepts large answers in parts, up to its capacity.
type streamingClient struct {
	*fixture
	capacity int // bytes
	resume   func()
	waits    bool // the client must get other answers first
	reading  ReadingState
}

func (s *streamingClient) ReadingState() ReadingState { return s.reading }

func (s *streamingClient) AwaitsTurn() bool { return s.waits }

func (s *streamingClient) BeginStream(resume func()) bool {
	s.resume = resume
	s.record("stream begins")
	return true
}

func (s *streamingClient) StreamPart(part []byte) int {
	accepted := min(len(part), s.capacity)
	s.capacity -= accepted
	return accepted
}

func (s *streamingClient) AbortStream() { s.record("stream aborted") }

// A streamed answer that has begun has no deadline and no retry. It must end exactly once: it is completed, or it is
// aborted when its connection is lost or no part is forwarded, or it ends without an answer when its client leaves.
func TestStreamedAnswerEndsOnce(t *testing.T) {
	for _, test := range []struct {
		name    string
		end     func(f *fixture, id uint64)
		answers []string
		counts  ReplyCounts
	}{
		{"complete", func(f *fixture, _ uint64) {
			f.advance(3000)
			f.conns[0].handler.ResponseReceived(success("end"))
		}, []string{"1000 stream begins", "4000 succeeded end"}, ReplyCounts{Success: 1}},
		{"connection lost", func(f *fixture, _ uint64) {
			f.conns[0].handler.ConnectionClosed(nil)
		}, []string{"1000 stream begins", "1000 stream aborted"}, ReplyCounts{Error: 1}},
		{"stalled", func(f *fixture, _ uint64) {
			f.advance(2 * streamStallTimeoutMs)
		}, []string{"1000 stream begins", "7000 stream aborted"}, ReplyCounts{Error: 1}},
		{"client gone", func(f *fixture, id uint64) {
			f.ClientGone(id)
		}, []string{"1000 stream begins"}, ReplyCounts{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, "a", "b")
			client := &streamingClient{fixture: f, capacity: 10}
			id, _ := f.Submit(Request{Class: readClass, Tenant: -1, TimeLeftMs: 500, Command: "command", Responder: client})
			f.Step()
			handler := f.conns[0].handler
			handler.Established()
			if !handler.BeginStream(nil) || handler.StreamPart(make([]byte, 15)) != 10 {
				t.Fatal("the part was not accepted up to the capacity")
			}
			f.Step()
			test.end(f, id)
			f.advance(2000)
			f.wantAnswers(t, test.answers...)
			if sent := f.sentCount(); sent != 1 {
				t.Errorf("%d commands sent, want 1", sent)
			}
			if f.OpenRequests() != 0 || len(f.requests) != 0 {
				t.Errorf("%d requests are open, %d were not removed; want 0 and 0", f.OpenRequests(), len(f.requests))
			}
			if counts := f.ReplyCounts()[readClass]; counts != test.counts {
				t.Errorf("reply counts %+v, want %+v", counts, test.counts)
			}
			if dispatches := f.Stats().Dispatches; dispatches != 1 {
				t.Errorf("%d dispatches, want 1", dispatches)
			}
		})
	}
}

// Guards against values that were cut off because the answer before them on their connection took longer than the stall
// timeout. From its turn on, the answer has the whole timeout.
func TestStreamThatWaitsForItsTurnIsNotAborted(t *testing.T) {
	const waitMs = 2*streamStallTimeoutMs + 100
	for _, test := range []struct {
		name    string
		end     func(f *fixture)
		answers []string
	}{
		{"then completes", func(f *fixture) {
			f.advance(streamStallTimeoutMs - 500)
			f.conns[0].handler.ResponseReceived(success("end"))
		}, []string{"1000 stream begins", "18600 succeeded end"}},
		{"then stalls", func(f *fixture) {
			f.advance(streamStallTimeoutMs + 500)
		}, []string{"1000 stream begins", "19000 stream aborted"}}, // at its last check it still waited: at 13,000 ms
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, "a")
			client := &streamingClient{fixture: f, waits: true}
			f.Submit(Request{Class: readClass, Tenant: -1, TimeLeftMs: 500, Command: "command", Responder: client})
			f.Step()
			handler := f.conns[0].handler
			handler.Established()
			handler.BeginStream(nil)
			f.advance(waitMs)
			client.waits = false
			test.end(f)
			f.wantAnswers(t, test.answers...)
		})
	}
}

// Guards against large values that were cut off although their clients read without stopping, only slowly. A client that
// holds what others need must read at the pace of the stall timeout.
func TestSlowReaderKeepsItsStream(t *testing.T) {
	for _, test := range []struct {
		name     string
		reading  ReadingState
		maxConns int
		abortsMs float64 // time after which the stream is aborted; 0: it is not
	}{
		{"reads", ReadingAdvanced, 4, 0},
		{"paused", ReadingPaused, 4, pausedClientTimeoutMs},
		{"paused, connections scarce", ReadingPaused, 1, streamStallTimeoutMs},
		{"stalled", ReadingStalled, 4, streamStallTimeoutMs},
		{"caught up", ReadingCaughtUp, 4, streamStallTimeoutMs},
	} {
		t.Run(test.name, func(t *testing.T) {
			limits := Limits{ConnectTimeoutMs: 250, HostIdleTimeoutMs: 3000, MaxConns: test.maxConns, MaxRequests: 3}
			f := newFixtureWith(t, fixtureSettings(), limits, nil)
			f.updateHosts(routing.StateReady, "a")
			client := &streamingClient{fixture: f, capacity: 10, reading: test.reading}
			f.Submit(Request{Class: readClass, Tenant: -1, TimeLeftMs: 500, Command: "command", Responder: client})
			f.Step()
			f.conns[0].handler.Established()
			f.conns[0].handler.BeginStream(nil)
			beganMs := f.nowMs
			f.advance(2 * pausedClientTimeoutMs)
			var want []string
			if test.abortsMs > 0 {
				want = append(want, fmt.Sprintf("%v stream aborted", beganMs+test.abortsMs))
			}
			f.wantAnswers(t, append([]string{"1000 stream begins"}, want...)...)
		})
	}
}
