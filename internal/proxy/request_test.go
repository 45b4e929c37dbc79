package proxy

import (
	"fmt"
	"testing"

	"merlinjunction/routing"
)

// With so little time left a request expires in the round that accepts it, before its attempt is started; nothing
// would end that attempt.
func TestARequestWithHardlyAnyTimeIsAnswered(t *testing.T) {
	for _, timeLeftMs := range []float64{1, 5, 6} {
		t.Run(fmt.Sprintf("%v ms left", timeLeftMs), func(t *testing.T) {
			b := newBench(t, "a")
			b.submit(readClass, timeLeftMs)
			if len(b.conns) > 0 {
				b.conns[0].handler.Established()
			}
			b.advance(timeLeftMs + 1)
			if len(b.answers) != 1 || b.OpenRequests() != 0 {
				t.Errorf("answers %q at %v", b.answers, b.nowMs)
			}
		})
	}
}

func TestOneAnswerByTheDeadline(t *testing.T) {
	b := newBench(t, "a")
	b.submit(writeClass, 500)
	b.conns[0].handler.Established()
	b.advance(600)
	b.wantAnswers(t, "1495 failed ")
	if !b.conns[0].closed {
		t.Error("aborting the attempt did not close the connection")
	}
	b.conns[0].handler.ResponseReceived(Response{Outcome: routing.OutcomeOK}) // too late
	b.advance(10)
	b.wantAnswers(t, "1495 failed ")
}

func TestRequestsAreBounded(t *testing.T) {
	b := newBench(t, "a")
	for range 4 {
		b.submit(readClass, 500)
	}
	b.wantAnswers(t, "1000 not accepted")
}

// A request that comes during a graceful shutdown is answered before the program exits, whatever time its client has;
// one that comes at the exit is not accepted.
func TestWhatComesWhileTheProgramEndsIsAnsweredBeforeTheEnd(t *testing.T) {
	b := newBench(t, "a")
	b.SetFinalDeadline(b.nowMs + 300)
	b.submit(writeClass, 900)
	b.conns[0].handler.Established()
	b.advance(290)
	if len(b.answers) != 0 {
		t.Fatalf("answers %q", b.answers)
	}
	b.advance(10)
	b.wantAnswers(t, "1295 failed ")
	b.advance(1)
	b.submit(writeClass, 900)
	b.wantAnswers(t, "1295 failed ", "1301 not accepted")
}
