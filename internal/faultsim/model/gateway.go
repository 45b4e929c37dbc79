package model

import (
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"merlinjunction/fleet"
	"merlinjunction/internal/eventloop"
	"merlinjunction/internal/proxy"
	"merlinjunction/routing"
)

var (
	errRefused = errors.New("refused")
	errReset   = errors.New("reset")
)

// Gateway is the program's core of one gateway on virtual time.
type Gateway struct {
	Index int
	Zone  string

	world              *World
	core               *proxy.Core
	timers             *eventloop.Timers
	generation         int  // of the process; what belongs to an earlier one is void
	paused             bool // nothing of it runs
	received           []func()
	nextRoundAt        float64 // of the round that is entered
	roundNumber        uint64  // of that round: earlier entries are void
	watch              *Watch
	conns              int               // connections that it holds
	acknowledged       map[int]float64   // by session: what this process has acknowledged
	pendingRequests    map[uint64]func() // of requests in hand, by number, for when it ends
	requestCount       uint64
	requestsThisSecond float64 // requests of this second
}

// NewGateway is one that is down.
func (w *World) NewGateway(index int, zone string) *Gateway {
	return &Gateway{Index: index, Zone: zone, world: w}
}

// Up tells whether its process runs.
func (g *Gateway) Up() bool { return g.core != nil }

// Conns is how many connections to hosts it holds.
func (g *Gateway) Conns() int { return g.conns }

// Start starts its process. It knows no hosts until discovery has told it some.
func (g *Gateway) Start(set routing.Settings, d *Discovery, seed uint64) error {
	g.generation++
	g.paused, g.received, g.nextRoundAt, g.conns, g.requestsThisSecond = false, nil, math.Inf(1), 0, 0
	g.acknowledged, g.pendingRequests = map[int]float64{}, map[uint64]func(){}
	g.timers = &eventloop.Timers{Clock: eventloop.VirtualClock(func() float64 { return Epoch + g.world.Now() })}
	set.Zone = g.Zone
	limits := proxy.Limits{ConnectTimeoutMs: 250, HostIdleTimeoutMs: 10_000, MaxConns: 400, MaxRequests: 600}
	var err error
	g.core, err = proxy.New(g.timers, zap.NewNop(), set, seed, limits, dialer{g}, &Statement{Probe: true}, report)
	if err != nil {
		return err
	}
	g.watch = d.watch(g, set, seed)
	g.round()
	return nil
}

// report reads a probe's answer, of which all stands beside it.
func report([]byte) (routing.Role, float64, bool) { return 0, 0, false }

// Kill ends its process: all its connections are reset, and what it has in hand gets no answer.
func (g *Gateway) Kill() {
	g.generation++
	g.core, g.timers, g.received = nil, nil, nil
	for _, h := range g.world.Hosts {
		for _, c := range append([]*conn(nil), h.order...) {
			if c.gateway == g {
				c.Close()
			}
		}
	}
	g.conns = 0
	ends := g.pendingRequests
	g.pendingRequests = nil
	for _, key := range slices.Sorted(maps.Keys(ends)) {
		ends[key]()
	}
}

// Pause stops it, as SIGSTOP does, or lets it go on.
func (g *Gateway) Pause(on bool) {
	g.paused = on
	if !on && g.core != nil {
		g.round()
	}
}

// SetRoster tells it who shares the hosts.
func (g *Gateway) SetRoster(r *fleet.Roster) {
	if g.core != nil {
		g.core.SetRoster(r)
		g.watch.calls.SlotSchedule = r.Schedule()
		g.round()
	}
}

// receive takes in something that came: a round follows at once, or when the process runs again.
func (g *Gateway) receive(f func()) {
	g.received = append(g.received, f)
	if !g.paused {
		g.round()
	}
}

// round does what a round of the loop does, and enters the next one.
func (g *Gateway) round() {
	if g.core == nil || g.paused {
		return
	}
	heard := g.received
	g.received = nil
	for _, f := range heard {
		f()
	}
	for range 100 { // timers that are due at once are part of the round
		fired := g.timers.Fire()
		g.core.Step()
		if next, ok := g.timers.Next(); fired == 0 && !(ok && next <= g.timers.Clock.Now()) {
			break
		}
	}
	next, ok := g.timers.Next()
	if !ok {
		return
	}
	at := max(next-Epoch, g.world.Now())
	if g.nextRoundAt <= at && g.nextRoundAt > g.world.Now() {
		return
	}
	g.nextRoundAt = at
	g.roundNumber++
	turn, life := g.roundNumber, g.generation
	g.world.At(at, func() {
		if g.roundNumber == turn && g.generation == life {
			g.nextRoundAt = math.Inf(1)
			g.round()
		}
	})
}

// TakeRequestCount closes a second, and is how many requests came in it.
func (g *Gateway) TakeRequestCount() float64 {
	n := g.requestsThisSecond
	g.requestsThisSecond = 0
	return n
}

// dialer opens connections to the models of hosts; an address is a host's number.
type dialer struct{ *Gateway }

// Dial dials.
func (d dialer) Dial(addr string, owner proxy.UpstreamHandler) (proxy.UpstreamConn, error) {
	index, err := strconv.Atoi(addr)
	if err != nil || index >= len(d.world.Hosts) {
		return nil, fmt.Errorf("nobody is at %q", addr)
	}
	c := &conn{gateway: d.Gateway, host: d.world.Hosts[index], handler: owner}
	d.conns++
	c.deliverToHost(func() { c.host.accept(c) })
	return &gatewayConn{c}, nil
}

// gatewayConn counts what a gateway holds.
type gatewayConn struct{ *conn }

// Close ends it.
func (l *gatewayConn) Close() {
	l.gateway.conns--
	l.conn.Close()
}

// Outcome says how a request ended.
type Outcome int

// The endings.
const (
	Served Outcome = iota
	Rejected
	Failed
	Lost    // no final answer half a second after its time
	Excused // its gateway ended under it
)

// lateMs is how long after its time a final answer still counts as one.
const lateLimitMs = 500.0

// requestResponder is where a request's final answer goes.
type requestResponder struct {
	gateway     *Gateway
	statement   *Statement
	submittedAt float64
	needed      float64 // the newest write of its session that this process had acknowledged
	done        bool
	end         func(e Outcome, ms float64, stale bool)
}

func (p *requestResponder) finish(e Outcome, seen float64) {
	if p.done {
		return
	}
	p.done = true
	stale := false
	if e == Served && p.statement.Write {
		if before, ok := p.gateway.acknowledged[p.statement.Session]; !ok || seen > before {
			p.gateway.acknowledged[p.statement.Session] = seen
		}
	} else if e == Served {
		stale = seen < p.needed
	}
	p.end(e, p.gateway.world.Now()-p.submittedAt, stale)
}

func (p *requestResponder) Succeed(body []byte) {
	p.finish(Served, math.Float64frombits(binary.LittleEndian.Uint64(body)))
}
func (p *requestResponder) Reject(float64) { p.finish(Rejected, 0) }
func (p *requestResponder) Fail([]byte)    { p.finish(Failed, 0) }

// Submit hands a client's request to the gateway, which is up. end is called once.
func (g *Gateway) Submit(class int, s *Statement, group int, leftMs float64, end func(e Outcome, ms float64, stale bool)) {
	g.requestsThisSecond++
	p := &requestResponder{gateway: g, statement: s, submittedAt: g.world.Now(), needed: g.acknowledged[s.Session], end: end}
	if _, ok := g.acknowledged[s.Session]; !ok {
		p.needed = math.Inf(-1)
	}
	life := g.generation
	g.requestCount++
	key := g.requestCount
	g.pendingRequests[key] = func() { p.finish(Excused, 0) }
	p.end = func(e Outcome, ms float64, stale bool) {
		if g.generation == life {
			delete(g.pendingRequests, key)
		}
		end(e, ms, stale)
	}
	g.receive(func() {
		_, ok := g.core.Submit(proxy.Request{Class: class, Tenant: -1, Group: group, Session: fmt.Sprint(s.Session), TimeLeftMs: leftMs,
			Command: s, Responder: p})
		if !ok {
			p.finish(Rejected, 0)
		}
	})
	g.world.At(g.world.Now()+leftMs+lateLimitMs, func() { p.finish(Lost, 0) })
}

// Settings are a deployment's, as the gateways are told them.
func Settings(w *SlowStart, h *HostConfig, gateways int) routing.Settings {
	ms := func(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }
	return routing.Settings{
		Classes: []routing.Class{
			{Name: "view", Consistency: routing.ConsistencyAny, Idempotency: routing.Idempotent, LatencyObjective: ms(200), Deadline: ms(1000), PriorityWeight: 1},
			{Name: "own", Consistency: routing.ConsistencySession, Idempotency: routing.Idempotent, LatencyObjective: ms(200), Deadline: ms(600), PriorityWeight: 3},
			{Name: "write", Consistency: routing.ConsistencyWrite, Idempotency: routing.IdempotentWithKey, DedupWindow: ms(h.DedupWindowMs), LatencyObjective: ms(600), Deadline: ms(2000),
				PriorityWeight: 6, LateWeightShare: 0.3},
		},
		GatewayCount: gateways, TickInterval: ms(5), StalenessCheck: routing.StalenessCheckNone, CancelAllowed: true, HealthChecksAllowed: true, MaxAttempts: 4,
		DrainGrace: ms(h.DrainGraceMs), SlowStartMinShare: w.MinShare, SlowStartWindow: ms(w.WindowMs), OverloadMultiple: w.OverloadMultiple, OverloadWindow: ms(w.OverloadWindowMs),
	}
}
