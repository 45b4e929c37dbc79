package proxy

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"merlinjunction/internal/eventloop"
	_ "merlinjunction/internal/testkit/seed" // makes rapid draw the same cases in each run
	"merlinjunction/routing"
)

// Indices of the classes in fixtureSettings.
const (
	readClass = iota
	writeClass
	keyedWriteClass
)

// fixture runs a Core on a manual clock, with connections that the test controls. It is the Dialer of the Core and the
// Responder of the requests. After each Step it calls CheckAccounting.
type fixture struct {
	*Core
	t       rapid.TB
	nowMs   float64
	timers  *eventloop.Timers
	conns   []*fakeConn
	answers []string // final answers, refusals by Submit and stream callbacks, each prefixed with its time
}

// fakeConn is an UpstreamConn. The test makes it answer by calling its handler.
type fakeConn struct {
	handler      UpstreamHandler
	addr         string
	sent         []any
	closed       bool
	writeBlocked bool // commands are not completely written
	unreadInput  bool // the host has sent bytes that belong to no command
	checks       int  // number of calls of CheckIdle
}

// CheckIdle ends the connection if there is unread input.
func (c *fakeConn) CheckIdle() {
	c.checks++
	if c.unreadInput {
		c.handler.ConnectionClosed(errors.New("unsolicited input"))
	}
}

func (c *fakeConn) Send(command any, _ float64) {
	c.sent = append(c.sent, command)
	if !c.writeBlocked {
		c.handler.RequestWritten()
	}
}

func (c *fakeConn) Close() { c.closed = true }

func (f *fixture) Dial(addr string, handler UpstreamHandler) (UpstreamConn, error) {
	conn := &fakeConn{handler: handler, addr: addr}
	f.conns = append(f.conns, conn)
	return conn, nil
}

func (f *fixture) Succeed(body []byte)         { f.record("succeeded %s", body) }
func (f *fixture) Reject(retryAfterMs float64) { f.record("rejected %v", retryAfterMs) }
func (f *fixture) Fail(body []byte)            { f.record("failed %s", body) }

func (f *fixture) record(format string, args ...any) {
	f.answers = append(f.answers, fmt.Sprintf("%v %s", f.nowMs, fmt.Sprintf(format, args...)))
}

func fixtureSettings() routing.Settings {
	const objective, deadline = 400 * time.Millisecond, time.Second
	return routing.Settings{
		Classes: []routing.Class{
			readClass: {
				Name: "read", Consistency: routing.ConsistencyAny,
				LatencyObjective: objective, Deadline: deadline, PriorityWeight: 1,
			},
			writeClass: {
				Name: "write", Consistency: routing.ConsistencyWrite, Idempotency: routing.NotIdempotent,
				LatencyObjective: objective, Deadline: deadline, PriorityWeight: 1,
			},
			keyedWriteClass: {
				Name: "keyed", Consistency: routing.ConsistencyWrite, Idempotency: routing.IdempotentWithKey,
				LatencyObjective: objective, Deadline: deadline, PriorityWeight: 1,
				DedupWindow: 200 * time.Millisecond, LateWeightShare: 0.5,
			},
		},
		GatewayCount: 1, MaxAttempts: 4, CancelAllowed: true, DrainGrace: 300 * time.Millisecond,
		StalenessCheck: routing.StalenessCheckReject,
	}
}

func newFixture(t rapid.TB, hosts ...string) *fixture {
	t.Helper()
	limits := Limits{ConnectTimeoutMs: 250, HostIdleTimeoutMs: 3000, MaxConns: 4, MaxRequests: 3}
	f := newFixtureWith(t, fixtureSettings(), limits, nil)
	f.updateHosts(routing.StateReady, hosts...)
	return f
}

func newFixtureWith(t rapid.TB, settings routing.Settings, limits Limits, healthCheckCommand any) *fixture {
	t.Helper()
	f := &fixture{t: t, nowMs: 1000}
	f.timers = &eventloop.Timers{Clock: eventloop.ManualClock(&f.nowMs)}
	var err error
	f.Core, err = New(f.timers, zap.NewNop(), settings, 1, limits, f, healthCheckCommand, nil)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// Step runs a Step of the Core and fails the test if CheckAccounting returns an error.
func (f *fixture) Step() {
	f.t.Helper()
	f.Core.Step()
	var open []UpstreamHandler
	for _, conn := range f.conns {
		if !conn.closed {
			open = append(open, conn.handler)
		}
	}
	if err := f.CheckAccounting(open); err != nil {
		f.t.Fatalf("at %v ms: %v", f.nowMs, err)
	}
}

// updateHosts sets the complete endpoint list to the given hosts, all in the same state.
func (f *fixture) updateHosts(state routing.EndpointState, ids ...string) {
	var list []Host
	for _, id := range ids {
		list = append(list, Host{Address: id, Endpoint: routing.Endpoint{ID: id, State: state}})
	}
	f.UpdateHosts(true, list)
	f.Step()
}

// advance advances the clock in steps of a millisecond, with a round of the event loop in each.
func (f *fixture) advance(ms float64) {
	for end := f.nowMs + ms; f.nowMs < end; f.nowMs++ {
		f.timers.Fire()
		f.Step()
	}
}

// submit submits a request to group 0 and runs a round of the event loop.
func (f *fixture) submit(class int, timeLeftMs float64) {
	request := Request{Class: class, Tenant: -1, TimeLeftMs: timeLeftMs, Command: "command", Responder: f}
	if _, ok := f.Submit(request); !ok {
		f.record("not accepted")
	}
	f.timers.Fire() // as in a round of the event loop
	f.Step()
}

func (f *fixture) wantAnswers(t rapid.TB, want ...string) {
	t.Helper()
	if !slices.Equal(f.answers, want) {
		t.Errorf("answers %q, want %q", f.answers, want)
	}
}

// sentCount returns the number of commands that were sent on all connections.
func (f *fixture) sentCount() int {
	sent := 0
	for _, conn := range f.conns {
		sent += len(conn.sent)
	}
	return sent
}

// success returns a successful answer of a host whose role is unknown.
func success(body string) Response {
	return Response{Outcome: routing.OutcomeOK, Body: []byte(body)}
}

// primarySuccess returns a successful answer of a primary.
func primarySuccess(body string) Response {
	return Response{Outcome: routing.OutcomeOK, Role: routing.RolePrimary, Body: []byte(body)}
}
