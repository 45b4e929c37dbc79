// Package proxy is the core: the requests that were taken, their attempts, the host list and the connections to
// hosts. It feeds package routing with what happened and carries out what comes back. It knows no wire: clients
// and hosts are behind small interfaces.
package proxy

import (
	"math"
	"time"

	"go.uber.org/zap"

	"merlinjunction/fleet"
	"merlinjunction/internal/eventloop"
	"merlinjunction/routing"
)

// Response is what a host said to a command.
type Response struct {
	Outcome        routing.Outcome
	StatementError bool // an error of the statement's own, for the client
	Role           routing.Role
	PositionMs     float64 // in milliseconds since 1970; 0: unknown
	Body           []byte  // for whoever sent the command
	ConnectionEnds bool    // the connection takes no more commands
}

// UpstreamConn is a connection to a host. One command at a time is on it.
type UpstreamConn interface {
	Send(command any, leftMs float64)
	Close() // no word to the owner follows
}

// UpstreamHandler is told what happens on a Conn.
type UpstreamHandler interface {
	Established()    // it takes commands now
	RequestWritten() // the last byte of the command is out: it may run
	// BeginStream tells that a large answer has begun, and whether its parts are wanted as they come; resume is to be called
	// when Part, which has taken less than all, can take more. Answered or Down ends it.
	BeginStream(resume func()) bool
	StreamPart(p []byte) int
	ResponseReceived(Response) // the whole answer is there
	ConnectionClosed(error)    // it is closed
}

// Dialer opens connections to hosts.
type Dialer interface {
	Dial(addr string, owner UpstreamHandler) (UpstreamConn, error)
}

// Responder is where the one final answer to a request goes.
type Responder interface {
	Succeed(body []byte)
	Reject(afterMs float64) // nothing was done; 0: no hint when to come again
	Fail(body []byte)       // a host's own words, or nil where nothing is known
}

// Streamer is a Reply that can take a large answer as it comes: Begin, unless it declines, then parts, and Served with
// the end of it, or Cut. Part tells how much it has taken; when it can take more it calls resume.
type Streamer interface {
	BeginStream(resume func()) bool
	StreamPart(p []byte) int
	AbortStream() // the rest will not come, and the client must be able to tell
}

// Request is what a front hands to the core.
type Request struct {
	Class, Tenant, Group int
	Session              string
	TimeLeftMs           float64 // until the client gives up
	ClientRetry          bool
	Command              any
	Responder            Responder
}

// Host is an entry of the host list.
type Host struct {
	routing.Endpoint
	Address string
}

// Limits are the bounds of a Core.
type Limits struct {
	ConnectTimeoutMs      float64 // for a connection to come up
	HostIdleTimeoutMs     float64 // a host closes a connection that stood idle so long
	MaxConns              int     // to all hosts together
	MaxRequests           int     // held at a time
	HealthCheckIntervalMs float64 // each host is probed so often, where the module may not probe; 0: never
}

const (
	answerEarlyMs = 5.0    // the last word goes out so long before the client's time is over
	answerEarly   = 0.1    // or so much of a short time
	idleShare     = 0.5    // of Limits.IdleMs, after which a connection is retired here
	sweepMs       = 500.0  // between looks at idle connections
	overdueMs     = 20.0   // after which a last word that did not come is logged
	probeMs       = 250.0  // for a probe's answer
	settleMs      = 2.0    // a connection rests so long after an answer
	drainSlackMs  = 20.0   // kept free before the grace of a drain is over
	greetGapMs    = 10.0   // between two greetings that a host gets from all gateways together
	stallMs       = 6000.0 // a large answer of which no part moves so long is cut off, whoever holds it up
)

// Core is the part between fronts and hosts.
type Core struct {
	timers *eventloop.Timers
	log    *zap.Logger
	router *routing.Router
	set    routing.Settings
	limits Limits
	dialer Dialer
	probe  any // the command
	report func(body []byte) (routing.Role, float64, bool)

	events   []routing.Event
	wake     *eventloop.Timer
	woken    bool
	hosts    map[string]*host
	requests map[uint64]*request
	lastID   uint64
	conns    int
	bans     map[string]float64 // hosts taken out by hand, and since when
	replies  []ReplyCounts      // by class
	written  int                // attempts whose last byte is out
	turns    fleet.SlotSchedule // among the gateways that share the hosts
	stepping bool               // what the module has decided is being carried out
	left     []*request         // whose clients have left meanwhile
	until    float64            // when all requests have to be answered; 0: each has its own time alone
}

type request struct {
	Request
	id       uint64
	deadline float64
	lastWord float64 // what is out then is ended, so that the answer comes by the deadline
	timer    *eventloop.Timer
	answered bool
	attempts int
	open     *attempt
	stream   Streamer // takes its answer, of which some is out: there is no deadline and no other attempt any more
	movedAt  float64  // the last part of it went on then
	words    []byte   // of the last host that answered with an error
}

// attempt is one command on its way: of a request, or a probe where request is nil.
type attempt struct {
	request *request
	number  int
	host    *host
	link    *link   // nil while it waits for one
	before  float64 // it is not begun then or later; 0: there is no such time
	written bool
	over    bool
	timer   *eventloop.Timer
}

// New returns a Core. probe is the command that asks for a report, which report reads.
func New(t *eventloop.Timers, log *zap.Logger, set routing.Settings, seed uint64, limits Limits, d Dialer, probe any,
	report func([]byte) (routing.Role, float64, bool)) (*Core, error) {
	r, err := routing.New(set, seed)
	if err != nil {
		return nil, err
	}
	c := &Core{
		timers: t, log: log, router: r, set: set, limits: limits, dialer: d, probe: probe, report: report,
		hosts: map[string]*host{}, requests: map[uint64]*request{}, bans: map[string]float64{},
		replies: make([]ReplyCounts, len(set.Classes)), turns: set.Schedule(),
	}
	c.sweep()
	c.greet()
	return c, nil
}

// Now is the time in milliseconds.
func (c *Core) Now() float64 { return c.timers.Clock.Now() }

// Submit takes a request and returns its number; false means that its client is to be told that it is refused: too many
// are held already, or its time is up.
func (c *Core) Submit(r Request) (uint64, bool) {
	if c.until > 0 {
		r.TimeLeftMs = min(r.TimeLeftMs, c.until-c.Now())
	}
	if len(c.requests) >= c.limits.MaxRequests || r.TimeLeftMs <= 0 {
		c.replies[r.Class].Overload++
		return 0, false
	}
	c.lastID++
	q := &request{Request: r, id: c.lastID, deadline: c.timers.Clock.Now() + r.TimeLeftMs}
	c.requests[q.id] = q
	q.lastWord = q.deadline - min(answerEarlyMs, answerEarly*r.TimeLeftMs)
	q.timer = c.timers.At(q.lastWord, func() { c.expire(q) })
	c.events = append(c.events, routing.Request{
		ID: q.id, Class: r.Class, Tenant: r.Tenant, Group: r.Group, Session: r.Session,
		TimeLeft: span(r.TimeLeftMs), ClientRetry: r.ClientRetry,
	})
	return q.id, true
}

// SetFinalDeadline bounds the time of all requests that come from now on: the program ends then, and whoever has no answer by then
// gets none. Guards requests that come on connections that have been kept, as something was in hand there.
func (c *Core) SetFinalDeadline(ms float64) { c.until = ms }

// SetRoster takes in the gateways that share the hosts.
func (c *Core) SetRoster(r *fleet.Roster) {
	c.turns = r.Schedule()
	c.events = append(c.events, routing.RosterUpdate{Roster: r})
}

// AcceptedRequests is how many requests were taken in all.
func (c *Core) AcceptedRequests() int { return int(c.lastID) }

// ClientGone tells that a request's client has left. What is written stays out: it may run, and its answer still tells
// something. What is not, as it waits for a connection or for room on one, ends at once as never sent: sent later it
// would be work for nobody.
func (c *Core) ClientGone(id uint64) {
	if q := c.requests[id]; q != nil && !q.answered {
		q.answered = true
		c.events = append(c.events, routing.ClientGone{Request: id})
		if t := q.open; t != nil && (!t.written || q.stream != nil) { // of a large answer nobody takes the rest
			c.giveUp(t, routing.OutcomeCancelled)
		}
		if c.stepping { // an attempt of it may be among what is still to be carried out, and needs its result
			c.left = append(c.left, q)
			return
		}
		c.forget(q)
	}
}

// CancelRequest calls a request off for its client, who hears of it from the front: what is out is ended.
func (c *Core) CancelRequest(id uint64) {
	q := c.requests[id]
	c.ClientGone(id)
	if q != nil && q.open != nil {
		c.giveUp(q.open, routing.OutcomeCancelled)
	}
}

// OpenRequests is how many requests have no final answer yet.
func (c *Core) OpenRequests() int {
	n := 0
	for _, q := range c.requests {
		if !q.answered {
			n++
		}
	}
	return n
}

// Ready tells whether requests can be served: some host is in use and has not just refused a connection.
func (c *Core) Ready() bool {
	for _, h := range c.hosts {
		if h.inUse() && !h.refuses {
			return true
		}
	}
	return false
}

// Step hands what was gathered to the module in one go and carries out what comes back.
func (c *Core) Step() {
	if len(c.events) == 0 && !c.woken {
		return
	}
	events := c.events
	if c.woken {
		events = append(events, routing.TimerFired{})
	}
	c.events, c.woken = nil, false
	c.stepping = true
	for _, a := range c.router.Step(span(c.timers.Clock.Now()), events) {
		c.carryOut(a)
	}
	c.stepping = false
	for _, q := range c.left {
		c.forget(q)
	}
	c.left = c.left[:0]
	if len(c.events) > 0 { // an action has had its result at once
		c.wakeAfter(0)
	}
}

func (c *Core) carryOut(a routing.Action) {
	switch a := a.(type) {
	case routing.Attempt:
		c.attempt(a)
	case routing.CancelAttempt:
		if q := c.requests[a.Request]; q != nil && q.open != nil && q.open.number == a.Attempt {
			c.giveUp(q.open, routing.OutcomeCancelled)
		}
	case routing.Reject:
		if q := c.final(a.Request); q != nil {
			c.replies[q.Class].Overload++
			q.Responder.Reject(a.RetryAfter.Seconds() * 1000)
		}
	case routing.Fail:
		if q := c.final(a.Request); q != nil {
			c.replies[q.Class].Error++
			q.Responder.Fail(q.words)
		}
	case routing.HealthCheck:
		c.sendProbe(a.Host)
	case routing.SetTimer:
		c.wakeAfter(a.After.Seconds() * 1000)
	case routing.Log:
		c.log.Info("decided", zap.String("text", a.Text))
	}
}

// wakeAfter keeps the earliest of the wakes that were asked for; the module ignores those it needs no more.
func (c *Core) wakeAfter(ms float64) {
	c.timers.After(ms, func() { c.woken = true })
}

// final marks a request as answered; nil where it had its answer before.
func (c *Core) final(id uint64) *request {
	q := c.requests[id]
	if q == nil || q.answered {
		return nil
	}
	q.answered = true
	c.forget(q)
	return q
}

// forget drops a request that has its answer and nothing out any more.
func (c *Core) forget(q *request) {
	if q.answered && q.open == nil {
		q.timer.Stop()
		delete(c.requests, q.id)
	}
}

// expire ends what is out when the client's time is over; the module then gives the last word.
func (c *Core) expire(q *request) {
	if q.open != nil {
		c.giveUp(q.open, routing.OutcomeTimeout)
	}
	if late := c.timers.Clock.Now() - q.lastWord; late > answerEarlyMs {
		c.log.Warn("the loop was held up at a deadline", zap.Float64("ms", late))
	}
	if !q.answered {
		c.timers.After(overdueMs, func() {
			if !q.answered {
				c.log.Error("no final answer", zap.Uint64("request", q.id), zap.Int("class", q.Class),
					zap.Int("group", q.Group), zap.Int("attempts", q.attempts), zap.Bool("out", q.open != nil),
					zap.Float64("left", q.TimeLeftMs))
			}
		})
	}
}

func (c *Core) attempt(a routing.Attempt) {
	q := c.requests[a.Request]
	if q == nil || q.open != nil {
		return
	}
	t := &attempt{request: q, number: q.attempts}
	q.attempts++
	q.open = t
	h := c.hosts[a.Host]
	// Once the timer has fired nothing else would end it; and nobody waits for one whose client has left since it was decided.
	if h == nil || q.answered || c.timers.Clock.Now() >= q.lastWord {
		c.result(t, routing.OutcomeNotSent, Response{})
		return
	}
	t.host = h
	if a.GiveUpAt > 0 {
		t.timer = c.timers.At(a.GiveUpAt.Seconds()*1000, func() { c.giveUp(t, routing.OutcomeTimeout) })
	}
	if t.before = a.SendBefore.Seconds() * 1000; t.before > 0 {
		c.timers.At(t.before, func() {
			if !t.written { // it waits for a connection, or for room on one
				c.giveUp(t, routing.OutcomeNotSent)
			}
		})
	}
	c.assign(t)
}

func (c *Core) sendProbe(member string) {
	t := &attempt{host: c.hosts[member]}
	if t.host == nil {
		c.events = append(c.events, routing.HealthCheckResult{Host: member, Outcome: routing.OutcomeNotSent})
		return
	}
	t.timer = c.timers.After(probeMs, func() { c.giveUp(t, routing.OutcomeTimeout) })
	c.assign(t)
}

// greet asks all hosts for their roles. Guards against a group whose primary nobody knows while only reads come:
// the module looks for a primary with writes only, and would refuse each read that belongs there.
func (c *Core) greet() {
	if c.limits.HealthCheckIntervalMs <= 0 {
		return
	}
	for _, h := range c.inOrder() {
		c.greetHost(h)
	}
	c.timers.After(c.turns.Interval(c.limits.HealthCheckIntervalMs, greetGapMs), c.greet)
}

func (c *Core) greetHost(h *host) {
	if c.limits.HealthCheckIntervalMs > 0 && h.inUse() {
		c.sendProbe(h.ID)
	}
}

// giveUp ends an attempt from this side. Closing its connection is what tells the host. One whose last byte is
// not out can not run: it was never sent.
func (c *Core) giveUp(t *attempt, o routing.Outcome) {
	if t.over {
		return
	}
	if !t.written {
		o = routing.OutcomeNotSent
	}
	if l := t.link; l != nil {
		l.close()
	} else {
		t.host.drop(t)
	}
	c.result(t, o, Response{})
}

// result ends an attempt and tells the module.
func (c *Core) result(t *attempt, o routing.Outcome, a Response) {
	if t.over {
		return
	}
	t.over = true
	t.timer.Stop()
	if t.request == nil {
		c.probed(t, o, a)
		return
	}
	q := t.request
	q.open = nil
	e := routing.AttemptResult{
		Request: q.id, Attempt: t.number, Outcome: o, Role: a.Role, Position: c.position(a.PositionMs),
	}
	if t.host != nil {
		e.Host = t.host.ID
	}
	if !q.answered && q.stream != nil && o != routing.OutcomeOK {
		q.answered = true
		c.replies[q.Class].Error++
		c.log.Warn("a large answer broke off", zap.String("host", e.Host), zap.Int("outcome", int(o)),
			zap.Float64("ms since a part moved", c.Now()-q.movedAt))
		q.stream.AbortStream()
	}
	if !q.answered && (o == routing.OutcomeOK || a.StatementError) {
		q.answered = true
		if o == routing.OutcomeOK {
			c.replies[q.Class].Success++
			q.Responder.Succeed(a.Body)
		} else {
			c.replies[q.Class].Error++
			q.Responder.Fail(a.Body)
		}
	}
	if o == routing.OutcomeError {
		q.words = a.Body
	}
	if o == routing.OutcomeOK && e.Position == 0 && c.set.Classes[q.Class].Consistency == routing.ConsistencyWrite {
		e.Position = c.position(c.timers.Clock.Now()) // a commit that is told nowhere is no later
	}
	e.RequestDone = q.answered
	if a.StatementError { // the statement's own error: the host did its part, and nothing was written
		e.Outcome = routing.OutcomeOK
	}
	c.events = append(c.events, e)
	c.forget(q)
}

func (c *Core) probed(t *attempt, o routing.Outcome, a Response) {
	e := routing.HealthCheckResult{Host: t.host.ID, Outcome: o, Role: a.Role, Position: c.position(a.PositionMs)}
	if o == routing.OutcomeOK {
		if role, position, ok := c.report(a.Body); ok {
			e.Role, e.Position = role, c.position(position)
		}
	}
	if e.Role == routing.RolePrimary && e.Position == 0 { // it stands at the present
		e.Position = c.position(c.timers.Clock.Now())
	}
	c.events = append(c.events, e)
}

// position turns a time since 1970 into a position of the module's.
func (c *Core) position(unixMs float64) routing.Position {
	if !(unixMs > 0 && unixMs < math.MaxInt64/1e6) {
		return 0
	}
	return max(0, span(unixMs)-c.set.PositionEpoch)
}

// span is the one place where milliseconds become the module's time, to the microsecond.
func span(ms float64) time.Duration { return time.Duration(math.Round(ms*1000)) * time.Microsecond }
