package routing

import (
	"fmt"
	"testing"
	"time"
)

func TestUnknownAndRepeatedEventsAreIgnored(t *testing.T) {
	g := newHarness(t, nil)
	g.listGroup()
	m := g.attemptedHost(g.request(1, classAny, ""))
	done := AttemptResult{Request: 1, Host: m, RequestDone: true, Role: RoleReplica}
	g.want(g.step(ms, done, done, AttemptResult{Request: 99}, ClientGone{1}, ClientGone{98}, StreamStarted{97},
		HealthCheckResult{Host: "nobody"}, AttemptResult{Request: 1, Attempt: 5}, Request{ID: 3, Class: 77}))
}

func TestAClockThatStandsStillOrGoesBack(t *testing.T) {
	g := newHarness(t, nil)
	g.listGroup()
	m := g.attemptedHost(g.request(1, classAny, ""))
	g.want(g.step(-time.Hour, AttemptResult{Request: 1, Host: m, RequestDone: true, Role: RoleReplica}))
	g.want(g.step(0, AttemptResult{Request: 1, Host: m, RequestDone: true, Role: RoleReplica}))
	if m := g.attemptedHost(g.step(0, Request{ID: 2, Class: classAny, Tenant: -1, Group: 1, TimeLeft: time.Second})); m == "p" {
		t.Fatal("an any-read went to the primary")
	}
}

// Optional settings may be missing or huge; what is then left of the rules must still hold.
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
		g := newHarness(t, change)
		g.listGroup()
		answers := 0
		for id := uint64(1); id <= 20; id++ {
			for _, a := range g.request(id, int(id)%6, "s") {
				switch a := a.(type) {
				case Attempt:
					answers++
					g.step(ms, AttemptResult{Request: a.Request, Host: a.Host, RequestDone: true, Role: RoleReplica, Position: g.now})
				case Reject, Fail:
					answers++
				}
			}
		}
		for range 300 {
			answers += len(g.step(10 * ms))
		}
		if answers < 20 || answers > 21 {
			t.Errorf("%s: %d answers to 20 requests", name, answers)
		}
	}
}

// BenchmarkStep has a router of a large fleet (60 groups of 5) take and finish one request a Step.
func BenchmarkStep(b *testing.B) {
	r, err := New(testSettings(), 1)
	if err != nil {
		b.Fatal(err)
	}
	list := EndpointUpdate{Full: true}
	for i := range 300 {
		list.Endpoints = append(list.Endpoints, Endpoint{ID: fmt.Sprint("m", i), Group: i / 5, State: StateReady})
	}
	now := time.Hour
	r.Step(now, []Event{list})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += ms
		id := uint64(i)
		q := Request{ID: id, Class: classAny, Tenant: -1, Group: i % 60, TimeLeft: time.Second}
		for _, a := range r.Step(now, []Event{q}) {
			if at, ok := a.(Attempt); ok {
				r.Step(now+ms/2, []Event{AttemptResult{Request: id, Host: at.Host, RequestDone: true, Role: RoleReplica}})
			}
		}
	}
}
