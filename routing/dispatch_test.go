package routing

import (
	"testing"
)

// Oldest first, everything in a lasting queue is served just too late; newest first keeps part of it in time.
func TestNewestOfWaitingRequestsGoesFirst(t *testing.T) {
	g := newHarness(t, nil)
	g.step(0, EndpointUpdate{Full: true, Endpoints: []Endpoint{{ID: "p", Group: 1, State: StateReady}}})
	g.step(ms, HealthCheckResult{Host: "p", Role: RolePrimary, Position: g.now})
	for id := uint64(1); id <= uint64(initialConcurrencyLimit)+2; id++ {
		g.request(id, classKeyedWrite, "s")
	}
	got := g.step(ms, AttemptResult{Request: 1, Host: "p", RequestDone: true, Role: RolePrimary, Position: g.now})
	n := uint64(initialConcurrencyLimit)
	g.want(got, Attempt{Request: n + 2, Host: "p"}, Attempt{Request: n + 1, Host: "p"})
}
