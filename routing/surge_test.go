package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// On join+mass (seed 9351251067, 300 gateways) clients came again two and a half times on average while six in ten hosts
// were replaced: cold ones got 3.1 times what they could do and fell. Each gateway had taken its group's usual traffic for
// granted. Here every request comes thrice, and the cold member of each group must not get more than it can do.
func TestColdMembersAreSparedASurge(t *testing.T) {
	const routers, each = 60, 10 // requests a second at each, in calm: too few for a budget of their own
	const groups = 20
	for _, times := range []int{1, 3} {
		sent := map[string]int{}
		for i := range uint64(routers) {
			g := newHarness(t, func(s *Settings) { s.GatewayCount, s.OverloadWindow = routers, 2*time.Second })
			g.router.rng = rand.New(rand.NewPCG(i, i))
			list := EndpointUpdate{Full: true}
			for n := range groups {
				for _, id := range []string{"a", "b", "c", "d"} {
					list.Endpoints = append(list.Endpoints, Endpoint{ID: fmt.Sprint(id, n), Group: n, State: StateReady})
				}
			}
			g.step(0, list)
			id := uint64(0)
			second := func(n int, count bool) {
				for range n {
					id++
					e := Request{ID: id, Class: classAny, Tenant: -1, Group: g.router.rng.IntN(groups), TimeLeft: time.Second}
					for _, a := range g.step(time.Second/time.Duration(n), e) {
						at, ok := a.(Attempt)
						if !ok {
							continue
						}
						if count {
							sent[at.Host]++
						}
						o := AttemptResult{Request: id, Host: at.Host, Outcome: OutcomeOK, RequestDone: true, Role: RoleReplica}
						if count && g.router.rng.IntN(times) > 0 { // the group answers no more than before
							o.Outcome = OutcomeTimeout
						}
						g.step(0, o)
					}
				}
			}
			for range 6 {
				second(each, false)
			}
			for n := range groups {
				g.step(0, EndpointUpdate{Endpoints: []Endpoint{{ID: fmt.Sprint("a", n), Group: n, State: StateReady, StartedAt: g.now}}})
			}
			second(each*times, true)
			second(each*times, true)
		}
		cold := 0
		for n := range groups {
			cold += sent[fmt.Sprint("a", n)]
		}
		s := testSettings()
		warmth := s.SlowStartMinShare + (1-s.SlowStartMinShare)/s.SlowStartWindow.Seconds() // halfway through the two seconds
		most := s.OverloadMultiple * warmth * routers * each * 2 / 4                        // of all cold ones together
		if cold == 0 || float64(cold) > most {                                              // though a surge is seen some tenths of a second late
			t.Errorf("%d times the traffic: %d sends to cold members that tip at %.0f", times, cold, most)
		}
	}
}
