package proxy

import (
	"fmt"
	"testing"

	"merlinjunction/routing"
)

// A request with little time left expires in the round that accepts it, before its attempt is started. That attempt would
// not be ended by the expiry, so it must not be started.
func TestRequestWithLittleTimeLeftIsAnswered(t *testing.T) {
	for _, timeLeftMs := range []float64{1, 5, 6} {
		t.Run(fmt.Sprintf("%v ms left", timeLeftMs), func(t *testing.T) {
			f := newFixture(t, "a")
			f.submit(readClass, timeLeftMs)
			if len(f.conns) > 0 {
				f.conns[0].handler.Established()
			}
			f.advance(timeLeftMs + 1)
			if len(f.answers) != 1 || f.OpenRequests() != 0 {
				t.Errorf("answers %q and %d open requests at %v ms, want 1 answer and 0", f.answers, f.OpenRequests(), f.nowMs)
			}
		})
	}
}

func TestRequestGetsOneAnswerByItsDeadline(t *testing.T) {
	f := newFixture(t, "a")
	f.submit(writeClass, 500)
	f.conns[0].handler.Established()
	f.advance(600)
	f.wantAnswers(t, "1495 failed ")
	if !f.conns[0].closed {
		t.Error("aborting the attempt did not close the connection")
	}
	f.conns[0].handler.ResponseReceived(Response{Outcome: routing.OutcomeOK}) // too late
	f.advance(10)
	f.wantAnswers(t, "1495 failed ")
}

func TestRequestCountIsBounded(t *testing.T) {
	f := newFixture(t, "a")
	for range 4 {
		f.submit(readClass, 500)
	}
	f.wantAnswers(t, "1000 not accepted")
}

// A request that arrives during a graceful shutdown must be answered before the program exits, even if its client waits
// longer. A request that arrives at the exit must not be accepted.
func TestRequestDuringShutdownIsAnsweredBeforeExit(t *testing.T) {
	f := newFixture(t, "a")
	f.SetFinalDeadline(f.nowMs + 300)
	f.submit(writeClass, 900)
	f.conns[0].handler.Established()
	f.advance(290)
	if len(f.answers) != 0 {
		t.Fatalf("answers %q, want none yet", f.answers)
	}
	f.advance(10)
	f.wantAnswers(t, "1295 failed ")
	f.advance(1)
	f.submit(writeClass, 900)
	f.wantAnswers(t, "1295 failed ", "1301 not accepted")
}
