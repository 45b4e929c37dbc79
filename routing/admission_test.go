package routing

import (
	"testing"
	"time"
)

// Gateways with few requests never reach their concurrency limits. Late answers must make each of them shed
// part of its requests, those of low weight first, and answers in time must open the gate again.
func TestLateAnswersShedLoadOfGatewaysWithLittleTraffic(t *testing.T) {
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
		t.Errorf("late answers: sent %d of 60 of high weight, want at most 50, and %d of low, want fewer", heavy, light)
	}
	sentOf(200, classAny, 10*ms)
	if sent := sentOf(60, classAny, 10*ms); sent < 55 {
		t.Errorf("answers in time again: sent %d of 60, want at least 55", sent)
	}
}

// Without overload, one answer in ten may be late by chance. That must not shed any request.
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
