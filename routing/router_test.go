package routing

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Events that are repeated, or that name unknown requests, attempts, hosts or classes, must lead to no
// actions.
func TestUnknownAndRepeatedEventsAreIgnored(t *testing.T) {
	harness := newHarness(t, nil)
	harness.listGroup()
	host := harness.attemptedHost(harness.request(1, classAny, ""))
	done := AttemptResult{Request: 1, Host: host, RequestDone: true, Role: RoleReplica}
	harness.want(harness.step(ms, done, done, AttemptResult{Request: 99},
		ClientGone{1}, ClientGone{98}, StreamStarted{97}, HealthCheckResult{Host: "nobody"},
		AttemptResult{Request: 1, Attempt: 5}, Request{ID: 3, Class: 77}))
}

// The Router must handle events as usual if its clock stands still or goes back.
func TestClockThatStandsStillOrGoesBack(t *testing.T) {
	harness := newHarness(t, nil)
	harness.listGroup()
	host := harness.attemptedHost(harness.request(1, classAny, ""))
	harness.want(harness.answer(-time.Hour, 1, host))
	harness.want(harness.answer(0, 1, host))
	if host := harness.attemptedHost(harness.step(0, newRequest(2, classAny, time.Second))); host == "p" {
		t.Fatal("a read that any host may serve went to the primary")
	}
}

// If optional settings are zero or huge, the Router must still answer every request, and only once.
func TestZeroAndHugeOptionalSettings(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"zero": func(s *Settings) {
			*s = Settings{Classes: s.Classes, GatewayCount: 1, MaxAttempts: 1}
		},
		"huge": func(s *Settings) {
			s.GatewayCount, s.MaxAttempts, s.OverloadMultiple = 1<<40, 1<<40, 1e300
			s.SlowStartWindow, s.DrainGrace, s.OverloadWindow, s.TickInterval = 1<<61, 1<<60, 1<<60, time.Hour
		},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t, change)
			harness.listGroup()
			answers := 0
			for id := uint64(1); id <= 20; id++ {
				for _, action := range harness.request(id, int(id)%6, "s") {
					switch action := action.(type) {
					case Attempt:
						answers++
						harness.step(ms, AttemptResult{
							Request: action.Request, Host: action.Host, RequestDone: true,
							Role: RoleReplica, Position: harness.now,
						})
					case Reject, Fail:
						answers++
					}
				}
			}
			for range 300 {
				answers += len(harness.step(10 * ms))
			}
			if answers < 20 || answers > 21 {
				t.Errorf("%d answers to 20 requests, want 20 or 21", answers)
			}
		})
	}
}

// Log lines tell operators when a host stops answering and which host is the primary, so they must name both
// the group and the host.
func TestLogNamesGroupAndHost(t *testing.T) {
	harness := newHarness(t, nil)
	harness.list(ready("p", "a")...)
	actions := harness.router.Step(harness.now, []Event{
		HealthCheckResult{Host: "p", Role: RolePrimary, Position: harness.now},
	})
	want := Log{Text: "group 1: host p is now the primary", Group: 1, Host: "p"}
	if !slices.Contains(actions, Action(want)) {
		t.Errorf("got %v, want %v among them", actions, want)
	}
}

// BenchmarkStep measures the Steps that accept and finish a request in a large deployment (60 groups of 5
// hosts).
func BenchmarkStep(b *testing.B) {
	router, err := New(testSettings(), 1)
	if err != nil {
		b.Fatal(err)
	}
	list := EndpointUpdate{Full: true}
	for i := range 300 {
		list.Endpoints = append(list.Endpoints, Endpoint{ID: fmt.Sprint("m", i), Group: i / 5, State: StateReady})
	}
	now := time.Hour
	router.Step(now, []Event{list})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += ms
		id := uint64(i)
		request := Request{ID: id, Class: classAny, Tenant: -1, Group: i % 60, TimeLeft: time.Second}
		for _, action := range router.Step(now, []Event{request}) {
			if attempt, ok := action.(Attempt); ok {
				router.Step(now+ms/2, []Event{
					AttemptResult{Request: id, Host: attempt.Host, RequestDone: true, Role: RoleReplica},
				})
			}
		}
	}
}
