package routing

import "testing"

// In a queue that persists, serving the oldest request first would answer every request just too late.
// Serving the newest first answers some of them in time.
func TestNewestWaitingRequestIsSentFirst(t *testing.T) {
	harness := newHarness(t, nil)
	harness.list(ready("p")...)
	harness.step(ms, HealthCheckResult{Host: "p", Role: RolePrimary, Position: harness.now})
	limit := uint64(initialConcurrencyLimit)
	for id := uint64(1); id <= limit+2; id++ {
		harness.request(id, classKeyedWrite, "s")
	}
	actions := harness.step(ms, AttemptResult{
		Request: 1, Host: "p", RequestDone: true, Role: RolePrimary, Position: harness.now,
	})
	harness.want(actions, Attempt{Request: limit + 2, Host: "p"}, Attempt{Request: limit + 1, Host: "p"})
}
