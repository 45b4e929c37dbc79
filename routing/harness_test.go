package routing

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// The classes of the tests' settings, by index.
const (
	classAny = iota
	classBounded
	classSession
	classStrong
	classKeyedWrite
	classUnsafeWrite
)

func testSettings() Settings {
	class := func(n Consistency, e Idempotency) Class {
		return Class{
			Name: "c", Consistency: n, Idempotency: e, MaxStaleness: 200 * ms, DedupWindow: 1200 * ms,
			LatencyObjective: 400 * ms, Deadline: 2 * time.Second, PriorityWeight: 1, LateWeightShare: 0.5,
		}
	}
	return Settings{
		Classes: []Class{
			class(ConsistencyAny, Idempotent), class(ConsistencyBounded, Idempotent), class(ConsistencySession, Idempotent),
			class(ConsistencyStrong, Idempotent), class(ConsistencyWrite, IdempotentWithKey), class(ConsistencyWrite, NotIdempotent),
		},
		GatewayCount: 2, TickInterval: ms, StalenessCheck: StalenessCheckReject, CancelAllowed: true, HealthChecksAllowed: true, RetryAfterAllowed: true,
		MaxRetryAfter: 500 * ms, MaxAttempts: 8, DrainGrace: 250 * ms,
		SlowStartMinShare: 0.25, SlowStartWindow: 16 * time.Second, OverloadMultiple: 2.5,
	}
}

// rig is one Router and the clock of its host, and keeps the invariants that can be seen from outside.
type harness struct {
	t      *testing.T
	router *Router
	now    time.Duration
}

func newHarness(t *testing.T, change func(*Settings)) *harness {
	t.Helper()
	s := testSettings()
	if change != nil {
		change(&s)
	}
	r, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	return &harness{t: t, router: r, now: 100 * time.Second}
}

// step lets time pass and returns the actions but for wakes, probes and log lines.
func (g *harness) step(pass time.Duration, events ...Event) []Action {
	g.now += pass
	var kept []Action
	for _, a := range g.router.Step(g.now, events) {
		switch a.(type) {
		case SetTimer, HealthCheck, Log:
		default:
			kept = append(kept, a)
		}
	}
	return kept
}

// group lists a primary "p" and replicas "a" and "b" of group 1, the replicas level with the present.
func (g *harness) listGroup() {
	g.t.Helper()
	g.step(0, EndpointUpdate{Full: true, Endpoints: []Endpoint{
		{ID: "p", Group: 1, State: StateReady}, {ID: "a", Group: 1, State: StateReady}, {ID: "b", Group: 1, State: StateReady},
	}})
	g.catchUp()
}

func (g *harness) catchUp() {
	g.step(ms,
		HealthCheckResult{Host: "p", Role: RolePrimary, Position: g.now},
		HealthCheckResult{Host: "a", Role: RoleReplica, Position: g.now}, HealthCheckResult{Host: "b", Role: RoleReplica, Position: g.now})
}

func (g *harness) request(id uint64, class int, session string) []Action {
	return g.step(ms, Request{ID: id, Class: class, Tenant: -1, Group: 1, Session: session, TimeLeft: 2 * time.Second})
}

// sent returns the member of the only attempt in the actions.
func (g *harness) attemptedHost(actions []Action) string {
	g.t.Helper()
	if len(actions) != 1 {
		g.t.Fatalf("want one attempt, got %v", actions)
	}
	a, ok := actions[0].(Attempt)
	if !ok {
		g.t.Fatalf("want an attempt, got %#v", actions[0])
	}
	return a.Host
}

func (g *harness) want(actions []Action, want ...Action) {
	g.t.Helper()
	if len(actions) != len(want) {
		g.t.Fatalf("want %#v, got %#v", want, actions)
	}
	for i := range want {
		if actions[i] != want[i] {
			g.t.Fatalf("want %#v, got %#v", want[i], actions[i])
		}
	}
}

func attemptedHosts(acts []Action) (to []string) {
	for _, a := range acts {
		if a, ok := a.(Attempt); ok {
			to = append(to, a.Host)
		}
	}
	return to
}

func writeRequest(id uint64) Request {
	return Request{ID: id, Class: classKeyedWrite, Tenant: -1, Group: 1, TimeLeft: 2 * time.Second}
}

// read asks for one read and says who gets it, "" where nobody does.
func (g *harness) read(id uint64) string {
	for _, a := range g.request(id, classAny, "") {
		if a, ok := a.(Attempt); ok {
			g.step(ms, AttemptResult{Request: id, Host: a.Host, RequestDone: true, Role: RoleReplica})
			return a.Host
		}
	}
	return ""
}
