package proxy

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"merlinjunction/internal/eventloop"
	"merlinjunction/routing"
)

// bench drives a Core on a clock of its own, with connections that do what the test says.
type bench struct {
	*Core
	now    float64
	timers *eventloop.Timers
	conns  []*fakeConn
	got    []string // final answers, with their time
}

type fakeConn struct {
	owner  UpstreamHandler
	addr   string
	sent   []any
	closed bool
	stuck  bool // its commands are not written out
}

func (c *fakeConn) Send(cmd any, _ float64) {
	c.sent = append(c.sent, cmd)
	if !c.stuck {
		c.owner.RequestWritten()
	}
}
func (c *fakeConn) Close() { c.closed = true }

func (b *bench) Dial(addr string, o UpstreamHandler) (UpstreamConn, error) {
	c := &fakeConn{owner: o, addr: addr}
	b.conns = append(b.conns, c)
	return c, nil
}

func (b *bench) say(format string, args ...any) {
	b.got = append(b.got, fmt.Sprintf("%v %s", b.now, fmt.Sprintf(format, args...)))
}
func (b *bench) Succeed(body []byte)    { b.say("served %s", body) }
func (b *bench) Reject(afterMs float64) { b.say("refused %v", afterMs) }
func (b *bench) Fail(body []byte)       { b.say("failed %s", body) }

func newBench(t *testing.T, hosts ...string) *bench {
	t.Helper()
	b := &bench{now: 1000}
	b.timers = &eventloop.Timers{Clock: eventloop.ManualClock(&b.now)}
	set := routing.Settings{
		Classes: []routing.Class{
			{Name: "read", Consistency: routing.ConsistencyAny, LatencyObjective: 400 * time.Millisecond, Deadline: time.Second, PriorityWeight: 1},
			{Name: "write", Consistency: routing.ConsistencyWrite, Idempotency: routing.NotIdempotent, LatencyObjective: 400 * time.Millisecond, Deadline: time.Second, PriorityWeight: 1},
			{Name: "keyed", Consistency: routing.ConsistencyWrite, Idempotency: routing.IdempotentWithKey, LatencyObjective: 400 * time.Millisecond, Deadline: time.Second,
				DedupWindow: 200 * time.Millisecond, PriorityWeight: 1, LateWeightShare: 0.5},
		},
		GatewayCount: 1, MaxAttempts: 4, CancelAllowed: true, DrainGrace: 300 * time.Millisecond, StalenessCheck: routing.StalenessCheckReject,
	}
	var err error
	b.Core, err = New(b.timers, zap.NewNop(), set, 1, Limits{ConnectTimeoutMs: 250, HostIdleTimeoutMs: 3000, MaxConns: 4, MaxRequests: 3}, b, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	b.list(routing.StateReady, hosts...)
	return b
}

func (b *bench) list(s routing.EndpointState, ids ...string) {
	var list []Host
	for _, id := range ids {
		list = append(list, Host{Address: id, Endpoint: routing.Endpoint{ID: id, State: s}})
	}
	b.UpdateHosts(true, list)
	b.Step()
}

// pass lets time go by in steps of a millisecond.
func (b *bench) pass(ms float64) {
	for end := b.now + ms; b.now < end; b.now++ {
		b.timers.Fire()
		b.Step()
	}
}

func (b *bench) submit(class int, left float64) {
	if _, ok := b.Submit(Request{Class: class, Tenant: -1, TimeLeftMs: left, Command: "command", Responder: b}); !ok {
		b.say("full")
	}
	b.timers.Fire() // as in a round of the loop
	b.Step()
}

func (b *bench) want(t *testing.T, got ...string) {
	t.Helper()
	if !slices.Equal(b.got, got) {
		t.Errorf("got %q, want %q", b.got, got)
	}
}

// On the bench a request with 5 ms left got no answer: its timer fired in the round that took it in, before its
// attempt was sent, and nothing was left to end that.
func TestARequestWithHardlyAnyTimeIsAnswered(t *testing.T) {
	for _, left := range []float64{1, 5, 6} {
		b := newBench(t, "a")
		b.submit(0, left)
		if len(b.conns) > 0 {
			b.conns[0].owner.Established()
		}
		b.pass(left + 1)
		if len(b.got) != 1 || b.OpenRequests() != 0 {
			t.Errorf("%v ms left: got %q at %v", left, b.got, b.now)
		}
	}
}

func TestOneAnswerByTheDeadline(t *testing.T) {
	b := newBench(t, "a")
	b.submit(1, 500)
	b.conns[0].owner.Established()
	b.pass(600)
	b.want(t, "1495 failed ")
	if !b.conns[0].closed {
		t.Error("giving up did not close the connection")
	}
	b.conns[0].owner.ResponseReceived(Response{Outcome: routing.OutcomeOK}) // too late
	b.pass(10)
	b.want(t, "1495 failed ")
}

func TestWhatWasNotWrittenNeverRan(t *testing.T) {
	for _, stuck := range []bool{true, false} {
		b := newBench(t, "a", "b")
		b.submit(1, 500) // an unsafe write: repeated only if it can't have run
		b.conns[0].stuck = stuck
		b.conns[0].owner.Established()
		b.conns[0].owner.ConnectionClosed(errors.New("reset"))
		b.pass(400)
		if again := len(b.conns) > 1; again != stuck {
			t.Errorf("stuck %v: sent again %v", stuck, again)
		}
	}
}

// A connection that comes up when the grace of a drain is over must not be used: the send would be late.
func TestSlowConnectIsCheckedAgainstTheDrain(t *testing.T) {
	b := newBench(t, "a")
	b.submit(0, 900)
	b.list(routing.StateDraining, "a")
	b.now += 290
	b.conns[0].owner.Established()
	if len(b.conns[0].sent) != 0 {
		t.Error("sent to a host whose drain is over")
	}
	b.pass(700)
	if len(b.got) != 1 {
		t.Errorf("got %q", b.got)
	}
}

func TestIdleConnectionsAreReusedAndRetired(t *testing.T) {
	b := newBench(t, "a")
	for i := range 2 {
		b.submit(0, 500)
		if i == 0 {
			b.conns[0].owner.Established()
		}
		b.conns[0].owner.ResponseReceived(Response{Outcome: routing.OutcomeOK, Body: []byte("x")})
		b.pass(settleMs)
	}
	b.want(t, "1000 served x", "1002 served x")
	if len(b.conns) != 1 || len(b.conns[0].sent) != 2 {
		t.Errorf("%d connections", len(b.conns))
	}
	b.pass(2100)
	if !b.conns[0].closed {
		t.Error("an idle connection is kept until the host closes it")
	}
}

// On the bench hosts closed connections right after an answer, or sent it twice: a request that crossed that was lost,
// or was given the second copy as its answer.
func TestAConnectionRestsAfterAnAnswer(t *testing.T) {
	for _, ends := range []bool{false, true} {
		b := newBench(t, "a")
		b.submit(0, 500)
		b.conns[0].owner.Established()
		b.conns[0].owner.ResponseReceived(Response{Outcome: routing.OutcomeOK, Body: []byte("x")})
		b.submit(0, 500)
		if len(b.conns[0].sent) != 1 {
			t.Error("sent in the round of the answer before")
		}
		if ends {
			b.conns[0].owner.ConnectionClosed(errors.New("closed"))
			b.pass(1)
			b.conns[1].owner.Established()
		}
		b.pass(settleMs + 1)
		last := b.conns[len(b.conns)-1]
		if want := map[bool]int{false: 1, true: 2}[ends]; len(b.conns) != want || len(last.sent) != 3-want {
			t.Errorf("%d connections, %d sent on the last", len(b.conns), len(last.sent))
		}
	}
}

// Bytes behind an answer belong to nobody.
func TestTheLastAnswerOfAConnection(t *testing.T) {
	b := newBench(t, "a")
	b.submit(0, 500)
	b.conns[0].owner.Established()
	b.conns[0].owner.ResponseReceived(Response{Outcome: routing.OutcomeOK, Body: []byte("x"), ConnectionEnds: true})
	b.submit(0, 500)
	if !b.conns[0].closed || len(b.conns) != 2 {
		t.Errorf("closed %v, %d connections", b.conns[0].closed, len(b.conns))
	}
}

func TestRequestsAreBounded(t *testing.T) {
	b := newBench(t, "a")
	for range 4 {
		b.submit(0, 500)
	}
	b.want(t, "1000 full")
}

// Nobody asks while a balancer is told that no host can be reached: the core must find out by itself.
func TestHostsThatAreBackAreNoticed(t *testing.T) {
	b := newBench(t, "a")
	b.submit(0, 300)
	b.conns[0].owner.ConnectionClosed(errors.New("refused"))
	b.pass(400)
	if b.Ready() {
		t.Fatal("ready without a host")
	}
	b.pass(600)
	last := b.conns[len(b.conns)-1]
	last.owner.Established()
	if !b.Ready() {
		t.Error("not ready with a host that is back")
	}
}

// 300 gateways that each greet each host once a second are 300 greetings a second at every host: a large fleet takes its
// time, so that a host gets a hundred. A host that is new is greeted at once.
func TestGreetingsOfAFleetAreBounded(t *testing.T) {
	for _, c := range []struct{ gateways, least, most int }{{1, 9, 11}, {300, 3, 5}} {
		b := &bench{now: 1000}
		b.timers = &eventloop.Timers{Clock: eventloop.ManualClock(&b.now)}
		set := routing.Settings{Classes: []routing.Class{{Name: "read", Consistency: routing.ConsistencyAny, LatencyObjective: 400 * time.Millisecond, Deadline: time.Second, PriorityWeight: 1}},
			GatewayCount: c.gateways, MaxAttempts: 4, StalenessCheck: routing.StalenessCheckReject}
		var err error
		b.Core, err = New(b.timers, zap.NewNop(), set, 1, Limits{ConnectTimeoutMs: 250, HostIdleTimeoutMs: 60_000, MaxConns: 4, MaxRequests: 3, HealthCheckIntervalMs: 1000}, b, "greeting", nil)
		if err != nil {
			t.Fatal(err)
		}
		b.list(routing.StateReady, "a")
		for range 1000 {
			for _, conn := range b.conns {
				conn := conn
				if !conn.closed && len(conn.sent) == 0 {
					conn.owner.Established()
				}
			}
			b.now += 10
			b.timers.Fire()
			b.Step()
		}
		sent := 0
		for _, conn := range b.conns {
			sent += len(conn.sent)
		}
		if sent < c.least || sent > c.most {
			t.Errorf("%d gateways: one of them greeted %d times in 10 s, want %d to %d", c.gateways, sent, c.least, c.most)
		}
	}
}
