package routing

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// The classes of testSettings, by index.
const (
	classAny = iota
	classBounded
	classSession
	classStrong
	classKeyedWrite
	classUnsafeWrite
)

// testSettings returns settings with a class for each consistency and idempotency level.
func testSettings() Settings {
	class := func(consistency Consistency, idempotency Idempotency) Class {
		return Class{
			Name: "c", Consistency: consistency, Idempotency: idempotency,
			MaxStaleness: 200 * ms, DedupWindow: 1200 * ms,
			LatencyObjective: 400 * ms, Deadline: 2 * time.Second, PriorityWeight: 1, LateWeightShare: 0.5,
		}
	}
	return Settings{
		Classes: []Class{
			classAny:         class(ConsistencyAny, Idempotent),
			classBounded:     class(ConsistencyBounded, Idempotent),
			classSession:     class(ConsistencySession, Idempotent),
			classStrong:      class(ConsistencyStrong, Idempotent),
			classKeyedWrite:  class(ConsistencyWrite, IdempotentWithKey),
			classUnsafeWrite: class(ConsistencyWrite, NotIdempotent),
		},
		GatewayCount: 2, TickInterval: ms, StalenessCheck: StalenessCheckReject,
		CancelAllowed: true, HealthChecksAllowed: true, RetryAfterAllowed: true,
		MaxRetryAfter: 500 * ms, MaxAttempts: 8, DrainGrace: 250 * ms,
		SlowStartMinShare: 0.25, SlowStartWindow: 16 * time.Second, OverloadMultiple: 2.5,
	}
}

// noHealthChecks changes settings so that replicas don't check positions and can't be asked for theirs.
func noHealthChecks(settings *Settings) {
	settings.StalenessCheck, settings.HealthChecksAllowed = StalenessCheckNone, false
}

// A harness holds a Router and the clock of its embedding program.
type harness struct {
	t      *testing.T
	router *Router
	now    time.Duration
}

// newHarness creates a Router with testSettings, which change may modify.
func newHarness(t *testing.T, change func(*Settings)) *harness {
	t.Helper()
	settings := testSettings()
	if change != nil {
		change(&settings)
	}
	router, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	return &harness{t: t, router: router, now: 100 * time.Second}
}

// step advances the clock, passes events to the Router and returns its actions except for timers, health
// checks and log lines.
func (h *harness) step(pass time.Duration, events ...Event) []Action {
	h.now += pass
	var kept []Action
	for _, action := range h.router.Step(h.now, events) {
		switch action.(type) {
		case SetTimer, HealthCheck, Log:
		default:
			kept = append(kept, action)
		}
	}
	return kept
}

// ready returns endpoints of group 1 in StateReady.
func ready(ids ...string) []Endpoint {
	var endpoints []Endpoint
	for _, id := range ids {
		endpoints = append(endpoints, Endpoint{ID: id, Group: 1, State: StateReady})
	}
	return endpoints
}

// list sends a full endpoint list without advancing the clock.
func (h *harness) list(endpoints ...Endpoint) {
	h.step(0, EndpointUpdate{Full: true, Endpoints: endpoints})
}

// update sends changes to the endpoint list after a millisecond.
func (h *harness) update(endpoints ...Endpoint) []Action {
	return h.step(ms, EndpointUpdate{Endpoints: endpoints})
}

// listGroup lists a primary "p" and replicas "a" and "b" in group 1 and reports the current position for all
// of them.
func (h *harness) listGroup() {
	h.t.Helper()
	h.list(ready("p", "a", "b")...)
	h.catchUp()
}

// catchUp reports the current position for all hosts of listGroup.
func (h *harness) catchUp() {
	h.step(ms,
		HealthCheckResult{Host: "p", Role: RolePrimary, Position: h.now},
		HealthCheckResult{Host: "a", Role: RoleReplica, Position: h.now},
		HealthCheckResult{Host: "b", Role: RoleReplica, Position: h.now})
}

// newRequest returns a request for group 1.
func newRequest(id uint64, class int, timeLeft time.Duration) Request {
	return Request{ID: id, Class: class, Tenant: -1, Group: 1, TimeLeft: timeLeft}
}

// writeRequest returns a write with an idempotency key and without a session.
func writeRequest(id uint64) Request { return newRequest(id, classKeyedWrite, 2*time.Second) }

// request sends a request to group 1 after a millisecond.
func (h *harness) request(id uint64, class int, session string) []Action {
	request := newRequest(id, class, 2*time.Second)
	request.Session = session
	return h.step(ms, request)
}

// answer advances the clock and ends the first attempt of a request with an answer of a replica.
func (h *harness) answer(pass time.Duration, id uint64, host string) []Action {
	return h.step(pass, AttemptResult{Request: id, Host: host, RequestDone: true, Role: RoleReplica})
}

// read sends a read that any host may serve, answers it and returns the host, or "" if the read wasn't sent.
func (h *harness) read(id uint64) string {
	hosts := attemptedHosts(h.request(id, classAny, ""))
	if len(hosts) == 0 {
		return ""
	}
	h.answer(ms, id, hosts[0])
	return hosts[0]
}

// attemptedHost returns the host of an attempt that must be the only action.
func (h *harness) attemptedHost(actions []Action) string {
	h.t.Helper()
	if len(actions) != 1 {
		h.t.Fatalf("want one attempt, got %v", actions)
	}
	attempt, ok := actions[0].(Attempt)
	if !ok {
		h.t.Fatalf("want an attempt, got %#v", actions[0])
	}
	return attempt.Host
}

// want fails the test unless the actions are exactly the given ones.
func (h *harness) want(actions []Action, want ...Action) {
	h.t.Helper()
	if len(actions) != len(want) {
		h.t.Fatalf("want %#v, got %#v", want, actions)
	}
	for i := range want {
		if actions[i] != want[i] {
			h.t.Fatalf("want %#v, got %#v", want[i], actions[i])
		}
	}
}

// attemptedHosts returns the hosts of all attempts among the actions.
func attemptedHosts(actions []Action) []string {
	var hosts []string
	for _, action := range actions {
		if attempt, ok := action.(Attempt); ok {
			hosts = append(hosts, attempt.Host)
		}
	}
	return hosts
}

// healthCheckedHosts returns the hosts of all health checks among the actions.
func healthCheckedHosts(actions []Action) []string {
	var hosts []string
	for _, action := range actions {
		if check, ok := action.(HealthCheck); ok {
			hosts = append(hosts, check.Host)
		}
	}
	return hosts
}
