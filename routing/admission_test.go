package routing

import (
	"testing"
	"time"
)

// Gateways with a request now and then reach no concurrency limit: late answers must make each shed a part, what
// weighs least for its time first, and answers in time must open the gate again.
func TestLateAnswersShedLoadOfSmallGateways(t *testing.T) {
	harness := newHarness(t, func(s *Settings) { s.Classes[classBounded].PriorityWeight = 0.2 })
	harness.listGroup()
	id := uint64(0)
	sentOf := func(count, class int, latency time.Duration) int {
		sent := 0
		for range count {
			id++
			for _, action := range harness.request(id, class, "") {
				if attempt, ok := action.(Attempt); ok && attempt.Request == id {
					sent++
					harness.answer(latency, id, attempt.Host)
				}
			}
		}
		return sent
	}
	sentOf(40, classAny, 350*ms)
	heavy := sentOf(60, classAny, 350*ms)
	light := sentOf(60, classBounded, 350*ms)
	if heavy > 50 || light >= heavy {
		t.Errorf("of 60 each, %d of high and %d of low weight were sent while answers were late", heavy, light)
	}
	sentOf(200, classAny, 10*ms)
	if sent := sentOf(60, classAny, 10*ms); sent < 55 {
		t.Errorf("%d of 60 sent after answers were in time again", sent)
	}
}

// Without overload one answer in ten is late by chance: that must shed nothing.
func TestSingleLateAnswersShedNothing(t *testing.T) {
	harness := newHarness(t, nil)
	harness.listGroup()
	for id := uint64(1); id <= 200; id++ {
		latency := 10 * ms
		if id%10 == 0 {
			latency = 350 * ms
		}
		harness.answer(latency, id, harness.attemptedHost(harness.request(id, classAny, "")))
	}
}
