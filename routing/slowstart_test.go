package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// seedRandom replaces the Router's random source.
func (h *harness) seedRandom(seed uint64) { h.router.rng = rand.New(rand.NewPCG(seed, seed)) }

// Hundreds of gateways with few requests each must together keep a warming group within its limit. Any
// minimum rate or burst per gateway, however small, would add up to far too much. All sends of the first two
// seconds are counted.
func TestManyGatewaysTogetherKeepWarmingHostsWithinTheirLimit(t *testing.T) {
	const gateways = 300
	const requestRate = 300 // per second, answered by the whole group after it has warmed up
	var endpoints []Endpoint
	for _, endpoint := range ready("a", "b", "c") {
		endpoint.StartedAt = 100 * time.Second
		endpoints = append(endpoints, endpoint)
	}
	sent := 0
	for gateway := range uint64(gateways) {
		harness := newHarness(t, func(s *Settings) { s.GatewayCount = gateways })
		harness.seedRandom(gateway)
		harness.list(endpoints...)
		for id := range uint64(2) { // each has two requests in two seconds
			actions := harness.step(time.Second, newRequest(id, classAny, time.Second))
			for _, host := range attemptedHosts(actions) {
				sent++
				harness.answer(ms, id, host)
			}
		}
	}
	s := testSettings()
	capacityShare := s.SlowStartMinShare + (1-s.SlowStartMinShare)*2/s.SlowStartWindow.Seconds()
	limit := s.OverloadMultiple * capacityShare * requestRate * 2
	if sent == 0 || float64(sent) > limit {
		t.Fatalf("%d sends in two seconds to a warming group, want 1 to %.0f", sent, limit)
	}
}

// A warming primary receives all writes of its group and, after a search for the primary, all that have
// waited. Each gateway must thin out its writes by the same probability, and more so if they have waited.
func TestWarmingPrimaryGetsPartOfItsWrites(t *testing.T) {
	sentOf200 := func(startedAt, waited time.Duration) int {
		sent := 0
		for seed := range uint64(200) {
			harness := newHarness(t, func(s *Settings) { s.OverloadWindow = 100 * ms })
			harness.seedRandom(seed)
			router := harness.router
			router.totalLoadSent, router.primaryLoadSent = 10, 8
			harness.list(
				Endpoint{ID: "p", Group: 1, State: StateReady, StartedAt: startedAt},
				Endpoint{ID: "a", Group: 1, State: StateReady},
			)
			router.observeRole(router.hosts["p"], RolePrimary, router.now)
			write := &request{
				Request: Request{ID: 1, Class: classKeyedWrite}, class: &router.settings.Classes[classKeyedWrite],
				group: router.groups[1], arrivedAt: harness.now - waited, deadline: harness.now + 2*time.Second,
			}
			router.actions = nil
			router.dispatch(write)
			if _, ok := router.actions[0].(Attempt); ok {
				sent++
			}
		}
		return sent
	}
	warmedUp := sentOf200(0, 0)
	warming := sentOf200(100*time.Second, 0)
	warmingAfterWait := sentOf200(100*time.Second, 200*ms)
	if warmedUp != 200 || warming == 0 || warming > 100 || warmingAfterWait >= warming {
		t.Fatalf("of 200 writes each, a primary got %d warmed up, %d warming up, %d warming up after a wait; "+
			"want 200, 1 to 100, and fewer than without the wait",
			warmedUp, warming, warmingAfterWait)
	}
}

// A write loads a warming host even if the host rejects it, so the writes of many gateways that search for a
// primary must mostly go to other hosts.
func TestPrimarySearchSendsFewerWritesToWarmingHosts(t *testing.T) {
	warming := 0
	for seed := range uint64(200) {
		harness := newHarness(t, nil)
		harness.seedRandom(seed)
		harness.list(
			Endpoint{ID: "cold", Group: 1, State: StateReady, StartedAt: harness.now},
			Endpoint{ID: "warm", Group: 1, State: StateReady},
		)
		if harness.attemptedHost(harness.request(1, classKeyedWrite, "s")) == "cold" {
			warming++
		}
	}
	if warming == 0 || warming > 90 {
		t.Fatalf("%d of 200 searches began at the warming host, want 1 to 90", warming)
	}
}

// A warming host that the list names as primary must get only as many writes as slow start allows. The others
// must not be sent to another host.
func TestWarmingListedPrimaryGetsPartOfItsWrites(t *testing.T) {
	harness := newHarness(t, func(s *Settings) { s.GatewayCount = 300 })
	listed := Endpoint{ID: "c", Group: 1, State: StateReady, Primary: true, StartedAt: harness.now}
	harness.list(append(ready("a", "b", "d", "e"), listed)...)
	sent, toOtherHosts := 0, 0
	for id := uint64(1); id <= 200; id++ {
		for _, host := range attemptedHosts(harness.step(10*ms, writeRequest(id))) {
			sent++
			if host != "c" {
				toOtherHosts++
			}
			harness.step(ms, AttemptResult{Request: id, Host: host, Outcome: OutcomeRejected})
		}
	}
	if toOtherHosts > 0 || sent == 0 || sent == 200 {
		t.Errorf("%d of 200 writes were sent, %d of them to other hosts; want 1 to 199 and 0", sent, toOtherHosts)
	}
}

// While hosts of a group warm up, the group is sent less and answers less. The lower answer rate must not
// count as the group's capacity: the slow start rate would fall further.
func TestPeakAnswerRateDoesNotDecayWhileHostsWarmUp(t *testing.T) {
	harness := newHarness(t, nil)
	harness.listGroup()
	harness.catchUp()
	id := uint64(0)
	playSecond := func(requests int) {
		for range requests {
			id++
			for _, host := range attemptedHosts(harness.request(id, classAny, "")) {
				harness.answer(ms, id, host)
			}
			harness.step(time.Second/time.Duration(requests) - 2*ms)
		}
	}
	rate := func() float64 { return harness.router.slowStartRate(harness.router.hosts["a"]) }
	for range 5 {
		playSecond(100)
	}
	warmedUp := rate()
	harness.update(Endpoint{ID: "b", Group: 1, State: StateReady, StartedAt: harness.now - 12*time.Second})
	playSecond(10)
	if now := rate(); now < warmedUp*0.98 {
		t.Errorf("rate fell from %v to %v in a second of warming up, want at least 98%%", warmedUp, now)
	}
	for range 20 { // the hosts have warmed up, and the traffic stays low
		playSecond(10)
	}
	if now := rate(); now > warmedUp*0.8 {
		t.Errorf("rate went from %v to %v in 20 s of low traffic, want at most 80%%", warmedUp, now)
	}
}

// surgeGateway is one of many gateways with too few requests for a slow-start budget of its own.
type surgeGateway struct {
	*harness
	groups int
	lastID uint64
}

// playSecond spreads requests over a second and all groups. If sent is not nil, playSecond counts the sends
// per host in it and answers only one send in retries, so that the groups answer no more requests than
// before.
func (g *surgeGateway) playSecond(requests, retries int, sent map[string]int) {
	for range requests {
		g.lastID++
		request := newRequest(g.lastID, classAny, time.Second)
		request.Group = g.router.rng.IntN(g.groups)
		for _, host := range attemptedHosts(g.step(time.Second/time.Duration(requests), request)) {
			result := AttemptResult{
				Request: g.lastID, Host: host, Outcome: OutcomeOK, RequestDone: true, Role: RoleReplica,
			}
			if sent != nil {
				sent[host]++
				if g.router.rng.IntN(retries) > 0 {
					result.Outcome = OutcomeTimeout
				}
			}
			g.step(0, result)
		}
	}
}

// If many hosts are replaced at once, clients retry, and the traffic becomes a multiple of what the groups
// answered before. The gateways can derive that multiple only from their arrivals. Even if each request is
// sent three times, the warming host of each group must not exceed its limit.
func TestWarmingHostsStayWithinTheirLimitDuringALoadSurge(t *testing.T) {
	const gateways, groups, hostsPerGroup = 60, 20, 4
	const requestRate = 10 // per second at each gateway without retries
	for _, retries := range []int{1, 3} {
		t.Run(fmt.Sprint("sends per request ", retries), func(t *testing.T) {
			sent := map[string]int{}
			for number := range uint64(gateways) {
				gateway := &surgeGateway{groups: groups, harness: newHarness(t, func(s *Settings) {
					s.GatewayCount, s.OverloadWindow = gateways, 2*time.Second
				})}
				gateway.seedRandom(number)
				var endpoints []Endpoint
				for group := range groups {
					for _, name := range []string{"a", "b", "c", "d"} {
						endpoints = append(endpoints,
							Endpoint{ID: fmt.Sprint(name, group), Group: group, State: StateReady})
					}
				}
				gateway.list(endpoints...)
				for range 6 {
					gateway.playSecond(requestRate, retries, nil)
				}
				for group := range groups {
					gateway.step(0, EndpointUpdate{Endpoints: []Endpoint{
						{ID: fmt.Sprint("a", group), Group: group, State: StateReady, StartedAt: gateway.now},
					}})
				}
				gateway.playSecond(requestRate*retries, retries, sent)
				gateway.playSecond(requestRate*retries, retries, sent)
			}
			warming := 0
			for group := range groups {
				warming += sent[fmt.Sprint("a", group)]
			}
			s := testSettings() // the capacity share is taken halfway through the two seconds
			capacityShare := s.SlowStartMinShare + (1-s.SlowStartMinShare)/s.SlowStartWindow.Seconds()
			limit := s.OverloadMultiple * capacityShare * gateways * requestRate * 2 / hostsPerGroup
			// The limit holds although the gateways detect a surge some tenths of a second late.
			if warming == 0 || float64(warming) > limit {
				t.Errorf("%d sends to warming hosts, want 1 to %.0f", warming, limit)
			}
		})
	}
}

// A Router that starts while a group has only one, warming host left must not take one host for the size of
// the group: the remaining host gets the traffic of all the missing ones.
func TestRouterStartedLateUsesTheLargestGroupSize(t *testing.T) {
	harness := newHarness(t, nil)
	endpoints := []Endpoint{{ID: "cold", Group: 1, State: StateReady, StartedAt: harness.now}}
	for _, id := range []string{"a", "b", "c", "d"} {
		endpoints = append(endpoints, Endpoint{ID: id, Group: 2, State: StateReady})
	}
	harness.list(endpoints...)
	sent := 0
	for id := range uint64(100) {
		for range attemptedHosts(harness.request(id, classAny, "")) {
			sent++
			harness.answer(0, id, "cold")
		}
	}
	if sent == 0 || sent > 25 {
		t.Fatalf("%d of 100 requests sent to the last, warming host of a group, want 1 to 25", sent)
	}
}

// While hosts are replaced, old and new ones are listed together for some seconds. The Router must not take
// their number for the group's size: it would shed too much of the traffic to the warming hosts.
func TestOverlappingReplacementDoesNotIncreaseGroupSize(t *testing.T) {
	sentOf200 := func(overlap bool) int {
		harness := newHarness(t, nil)
		endpoints := func(from, to int, state EndpointState, startedAt time.Duration) []Endpoint {
			var endpoints []Endpoint
			for i := from; i < to; i++ {
				endpoints = append(endpoints,
					Endpoint{ID: hostName(i), Group: 1, State: state, StartedAt: startedAt})
			}
			return endpoints
		}
		harness.list(endpoints(0, 4, StateReady, 0)...)
		if !overlap {
			harness.update(endpoints(0, 4, StateGone, 0)...)
		}
		harness.update(endpoints(4, 8, StateReady, harness.now)...)
		harness.update(endpoints(0, 4, StateGone, 0)...)
		sent := 0
		for id := range uint64(200) {
			for _, host := range attemptedHosts(harness.request(id, classAny, "")) {
				sent++
				harness.answer(0, id, host)
			}
		}
		return sent
	}
	if with, without := sentOf200(true), sentOf200(false); with == 0 || with*5 < without*4 {
		t.Errorf("%d of 200 sent if old and new hosts overlap, want at least 80%% of %d as without", with, without)
	}
}
