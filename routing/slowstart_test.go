package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// seedRandom replaces the Router's random source.
func (h *harness) seedRandom(seed uint64) { h.router.rng = rand.New(rand.NewPCG(seed, seed)) }

// Hundreds of gateways with few requests each must keep a warming group within its limit together: a least rate or a
// burst for each gateway, however small, adds up to far too much. All sends of the first two seconds are counted.
func TestManyGatewaysKeepWarmingHostsWithinTheirLimitTogether(t *testing.T) {
	const gateways = 300
	const requestRate = 300 // per second, that the whole group answered when it was warmed up
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
		t.Fatalf("%d sends in two seconds to a warming group that fails at %.0f", sent, limit)
	}
}

// A warming primary has all the writes of its group, and after a search for it all that waited: each gateway thins its
// own by the same probability, those that waited more.
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
			router.observeRole(router.hosts["p"], RolePrimary)
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
		t.Fatalf("of 200 writes went to a primary: warmed up %d, warming up %d, warming up after a wait %d",
			warmedUp, warming, warmingAfterWait)
	}
}

// What a warming host rejects is load too: the writes of many gateways in search of a primary must spare it.
func TestPrimarySearchSparesWarmingHosts(t *testing.T) {
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
		t.Fatalf("%d of 200 searches began at the warming host", warming)
	}
}

// A warming host that the list names as primary gets the writes that it can bear, and no other host gets the rest.
func TestWarmingListedPrimaryGetsPartOfItsWrites(t *testing.T) {
	harness := newHarness(t, func(s *Settings) { s.GatewayCount = 300 })
	listed := Endpoint{ID: "c", Group: 1, State: StateReady, Primary: true, StartedAt: harness.now}
	harness.list(append(ready("a", "b", "d", "e"), listed)...)
	sent, misdirected := 0, 0
	for id := uint64(1); id <= 200; id++ {
		for _, host := range attemptedHosts(harness.step(10*ms, writeRequest(id))) {
			sent++
			if host != "c" {
				misdirected++
			}
			harness.step(ms, AttemptResult{Request: id, Host: host, Outcome: OutcomeRejected})
		}
	}
	if misdirected > 0 || sent == 0 || sent == 200 {
		t.Errorf("%d of 200 writes were sent, %d misdirected", sent, misdirected)
	}
}

// While hosts of a group warm up less is let through to it, so it answers less. That must not count as what it can
// do: even less would be let through then.
func TestAnswerRateOfWarmingGroupIsNotItsCapacity(t *testing.T) {
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
		t.Errorf("rate %v, and %v after a second with little let through", warmedUp, now)
	}
	for range 20 { // warmed up again: now it is the traffic that has gone down
		playSecond(10)
	}
	if now := rate(); now > warmedUp*0.8 {
		t.Errorf("rate %v, and %v after long with little traffic", warmedUp, now)
	}
}

// surgeGateway is one of many gateways with too few requests for a slow start budget of its own.
type surgeGateway struct {
	*harness
	groups int
	lastID uint64
}

// playSecond spreads requests over a second and all groups, and counts the sends by host in sent, unless it is nil.
// Of those counted one in retries is answered: the groups answer no more than before.
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

// Where many hosts are replaced at once, clients retry, and the traffic is a multiple of what the groups answered
// before. The gateways know that multiple only by their arrivals: with each request sent three times the warming host
// of each group must not get more than it can bear.
func TestWarmingHostsAreSparedALoadSurge(t *testing.T) {
	const gateways, groups, hostsPerGroup = 60, 20, 4
	const requestRate = 10 // per second at each gateway without retries
	for _, retries := range []int{1, 3} {
		t.Run(fmt.Sprint("times ", retries), func(t *testing.T) {
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
			s := testSettings() // halfway through the two seconds:
			capacityShare := s.SlowStartMinShare + (1-s.SlowStartMinShare)/s.SlowStartWindow.Seconds()
			limit := s.OverloadMultiple * capacityShare * gateways * requestRate * 2 / hostsPerGroup
			// The limit holds although the gateways notice a surge some tenths of a second late.
			if warming == 0 || float64(warming) > limit {
				t.Errorf("%d sends to warming hosts that fail at %.0f", warming, limit)
			}
		})
	}
}

// A Router that starts while a group is down to its last, warming host must not take that for the group's size: what
// the group's other hosts carried before comes to this one.
func TestLateStartTakesGroupForAsLargeAsTheOthers(t *testing.T) {
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
		t.Fatalf("%d of 100 sent to a group's last, warming host", sent)
	}
}

// While many hosts are replaced, the new ones are listed together with the old for some seconds. A group must not
// count as made for twice its traffic then: too much of what comes to its warming hosts would be shed.
func TestReplacingHostsMakeNoGroupLarger(t *testing.T) {
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
		t.Errorf("%d of 200 sent where old and new hosts overlap, else %d", with, without)
	}
}
