// The interface (Settings, events, actions) is api.go. This file holds every decision, top to bottom: tuned
// values, Step, sessions, choosing a member, the primary, health, ends, upkeep. The mechanism is Harmonia's,
// kept per router and per session; docs/design.md tells what was changed and when.
package routing

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"merlinjunction/fleet"
)

// The tuned values. Each is a default of ours, none belongs to one deployment. Those that go through scaled
// are made for aims from usualAim up.
const (
	usualAim     = 200 * time.Millisecond // the shortest aim of a class
	waitEvery    = 10 * time.Millisecond  // waiting requests are looked at this often
	ageMost      = time.Minute            // evidence older than this is as good as gone
	firstLatency = 200 * time.Millisecond // mean time of an answer, assumed until answers are seen
	latencyGain  = 0.05                   // weight of a new answer in the mean
	patienceMost = 10                     // mean deviations past the mean time, before an answer is overdue
	patienceLess = 6                      // or so many, if a repeat would else come too late for the aim
	silentFloor  = 150 * time.Millisecond // but never sooner: pauses and links cost this much on good days
	overdueGain  = 0.0125                 // weight of an overdue answer in the mean
	mostStrikes  = 6                      // of a member
	freshStrike  = 0.5                    // a strike counts towards silence above this
	strikeKept   = 0.9                    // of a member's strikes, each second
	fullPause    = 50 * time.Millisecond  // a full member is left alone this long
	downPause    = 200 * time.Millisecond // and one that took no connection; time-outs sooner say nothing
	quickShare   = 0.4                    // of its class's mean time, within which an error is a quick one
	oddGain      = 0.1                    // weight of a quick error, or of an answer, in their share
	squeezeLimit = 0.2                    // share of refused connections above which connections are scarce
	oddLimit     = 0.1                    // above it quick errors are the requests' own
	lagKept      = 3 * time.Second        // a replica that turned a read away is taken to be as far behind
	lagAsked     = 500 * time.Millisecond // or, where probes are allowed, is asked again this often
	lagNone      = 400 * time.Millisecond // less is none
	roundPause   = 50 * time.Millisecond  // after a round of misses in search of a primary
	askPatience  = 50 * time.Millisecond  // with a replica that was asked for its position
	searchGap    = 2 * time.Millisecond   // between rounds of routers in search, and questions to one that lags
	ownZone      = 4.0                    // times as often as another is a member of the own zone picked
	firstLimit   = 3.0                    // open attempts that a member may have from here, until answers tell
	goalShare    = 0.15                   // an answer within this share of its aim lets the limit grow
	limitCut     = 0.8                    // a later one cuts it to this share, once an answer's time
	gateSpill    = 0.2                    // of a step that the gates of the other groups take
	gateGoal     = 0.6                    // of its aim, that an answer may take before the gate narrows
	gateMost     = 1.6                    // wider than open: late answers now and then are chance
	gateCut      = 0.75                   // to this share
	gateGrow     = 0.1                    // and each answer in time widens it by this much
	usualShare   = 0.7                    // of its class's mean time, that an answer takes at least
	repeatWorth  = 0.1                    // of a client's repeat that is worth nothing when late
	sessionAge   = 30 * time.Second       // stamps older than this are folded into the floor
	sessionMost  = 50_000                 // and so are all above this number
	rateKept     = 0.95                   // of a group's best rate of answers, each second
	mixKept      = 0.98                   // of what is known of the traffic's mix, each second
	askAgain     = 500 * time.Millisecond // after a failed call for the list
)

// New returns a Router with the given settings; all its random draws come from seed.
func New(set Settings, seed uint64) (*Router, error) {
	if err := set.validate(); err != nil {
		return nil, err
	}
	r := &Router{
		set: set, rng: rand.New(rand.NewPCG(seed, seed)), members: map[string]*member{}, groups: map[int]*group{},
		requests: map[uint64]*request{}, sessions: map[string]*session{}, bans: map[string]time.Duration{},
		sent: 2, sentTop: 1, version: 1,
		roster: fleet.NewNumberedRoster(set.GatewayNumber-1, set.GatewayCount, set.Zone),
	}
	first := r.scaled(firstLatency).Seconds()
	r.took = slices.Repeat([]float64{first}, len(set.Classes))
	r.spread = slices.Repeat([]float64{first / 2}, len(set.Classes))
	if set.SubscribeToEndpoints {
		r.askAt = 1 // at once
	}
	return r, nil
}

// Step takes what has happened up to now and returns what to do, in order.
func (r *Router) Step(now time.Duration, events []Event) []Action {
	r.now, r.out = max(now, r.now), nil
	for _, e := range events {
		switch e := e.(type) {
		case EndpointUpdate:
			r.onList(e)
		case Request:
			r.onRequest(e)
		case AttemptResult:
			r.onResult(e)
		case HealthCheckResult:
			r.onProbed(e)
		case ExcludeHost:
			r.onExclude(e)
		case IncludeHost:
			r.onInclude(e)
		case SiblingProcess:
			r.onBeside(e)
		case RosterUpdate:
			r.roster, r.version = e.Roster, r.version+1
		case StreamStarted:
			r.onStarted(e)
		case ClientGone:
			r.finish(r.requests[e.Request])
		}
	}
	r.upkeep()
	for _, g := range r.order {
		r.release(g)
	}
	r.schedule()
	return r.out
}

func (r *Router) onRequest(e Request) {
	if e.Class < 0 || e.Class >= len(r.set.Classes) || r.requests[e.ID] != nil {
		return
	}
	g := r.groupOf(e.Group)
	q := &request{
		Request: e, class: &r.set.Classes[e.Class], group: g, arrived: r.now, deadline: r.now + e.TimeLeft,
	}
	r.requests[e.ID] = q
	r.surge.RequestArrived(millis(r.now))
	r.usual += latencyGain * (r.worth(q) - r.usual)
	g.waiting = append(g.waiting, q)
}

func (r *Router) onResult(e AttemptResult) {
	q := r.requests[e.Request]
	if q == nil || q.open == nil || q.open.number != e.Attempt {
		return
	}
	a := q.open
	q.open = nil
	m := a.member
	m.open = slices.DeleteFunc(m.open, func(o *attempt) bool { return o == a })
	r.learn(a, e)
	r.judge(a, e)
	if !neverRan(e.Outcome) && e.Outcome != OutcomeOK && !q.mayRun {
		q.mayRun, q.maybeAt = true, a.at
	}
	if q.class.Consistency == ConsistencyWrite && e.Outcome == OutcomeOK {
		r.complete(q, e.Position)
	}
	if e.RequestDone || q.ended {
		r.finish(q)
		return
	}
	q.missed = q.missed || e.Outcome == OutcomeMisdirected
	q.reached = q.reached || e.Outcome != OutcomeNoConnection && e.Outcome != OutcomeNotSent
	q.group.waiting = append(q.group.waiting, q)
}

func (r *Router) finish(q *request) {
	if q == nil {
		return
	}
	q.ended = true
	if q.open != nil {
		return
	}
	if q.number > 0 {
		r.settle(q, q.mayRun)
	}
	delete(r.requests, q.ID)
}

// --- Sessions: the dirty set and the stamps ---

func (r *Router) markDirty(q *request) {
	if q.number == 0 {
		r.writes++
		q.number = r.writes
		if q.Session != "" {
			s := r.sessionOf(q.Session)
			s.dirty = append(s.dirty, q.number)
		}
	}
}

func (r *Router) complete(q *request, p Position) {
	if s := r.sessions[q.Session]; s != nil && q.Session != "" {
		if n := len(s.dirty); n > 0 && q.number >= s.dirty[n-1] {
			s.dirty = nil
		}
		r.raise(s, p)
	}
	q.mayRun = false
}

// settle ends the entry of a write without completion. One that may have run can have done so until now.
func (r *Router) settle(q *request, lost bool) {
	s := r.sessions[q.Session]
	if s == nil || q.Session == "" {
		return
	}
	s.dirty = slices.DeleteFunc(s.dirty, func(n uint64) bool { return n == q.number })
	if lost {
		s.stamp = max(s.stamp, r.here())
	}
	r.raise(s, 0)
}

// --- Choosing a member ---

// need returns the position that a read needs, and whether it belongs at the primary whatever the replicas
// have.
func (r *Router) need(q *request) (Position, bool) {
	switch q.class.Consistency {
	case ConsistencyBounded:
		return max(0, r.here()-q.class.MaxStaleness), false
	case ConsistencySession:
		p, s := r.floor, r.sessions[q.Session]
		if s != nil {
			p = s.stamp
		}
		if r.beside {
			p = max(p, q.arrived-r.set.PositionEpoch)
		}
		if r.set.SessionTokensCarried && q.SinceLastWrite > 0 {
			p = max(p, q.arrived-q.SinceLastWrite-r.set.PositionEpoch)
		}
		// a replica that has told nothing yet is not tried where none checks
		if r.set.StalenessCheck == StalenessCheckNone {
			p = max(p, 1)
		}
		return p, s != nil && len(s.dirty) > 0
	case ConsistencyStrong:
		return q.arrived - r.set.PositionEpoch, true
	}
	return 0, false
}

func (r *Router) place(q *request) {
	if q.ended || q.open != nil {
		return
	}
	if !r.worthTrying(q) {
		r.giveUp(q)
		return
	}
	need, primaryOnly := r.need(q)
	var m *member
	switch {
	case q.class.Consistency == ConsistencyWrite:
		m = r.forWrite(q)
	case primaryOnly || q.missed:
		m = r.primaryOf(q)
	default:
		m = r.forRead(q, need)
	}
	if m != nil && m.leads(q) && !r.admit(m, r.sentTop/r.sent, r.now-q.arrived) {
		m, q.shed = nil, r.pace(m) < 1
	}
	switch {
	case q.shed:
		r.giveUp(q)
	case m == nil:
		q.group.waiting = append(q.group.waiting, q)
	case !r.passes(q, m):
		r.giveUp(q)
	default:
		r.send(q, m, need)
	}
}

func (r *Router) worthTrying(q *request) bool {
	c, soonest := q.class, r.now+seconds(usualShare*r.took[q.Class])
	switch {
	case r.now >= q.deadline,
		r.now > q.arrived && r.now+2*r.set.TickInterval+r.scaled(waitEvery) >= q.deadline,
		q.attempts >= r.set.MaxAttempts || q.odd:
		return false
	case !q.reached && r.now > q.arrived && r.now+r.scaled(waitEvery) >= q.arrived+q.TimeLeft/2:
		return false // no host has seen it: its client is told while there is time to ask again
	case c.LateWeightShare == 0 && r.now > q.arrived && soonest >= min(q.arrived+c.LatencyObjective, q.deadline):
		return false // it would come too late to be worth anything: shed early, at once
	}
	return !q.mayRun || c.Idempotency == Idempotent || c.Idempotency == IdempotentWithKey && r.now < q.repeatBy()
}

// forRead is the ordinary path: a uniformly random replica among those at or past the need; if there is none,
// the most advanced one where replicas check, else the primary.
func (r *Router) forRead(q *request, need Position) *member {
	var fit, rest []*member
	full := false
	for _, m := range q.group.members {
		switch {
		case m == q.group.primary || !r.fit(m) || slices.Contains(q.tried, m):
		case need > 0 && r.reached(m) < need:
			r.askLagging(m)
			if r.set.StalenessCheck == StalenessCheckNone || !r.set.HealthChecksAllowed ||
				r.reached(m)+lagNone >= need {
				rest = append(rest, m) // others are known to be so far behind that they would turn it away
			}
		case r.hasRoom(m):
			fit = append(fit, m)
		default:
			full = true
		}
	}
	if m := r.draw(q, r.near(q.group, fit)); m != nil || q.shed {
		return m
	}
	switch p := q.group.primary; {
	case full && (p == nil || len(p.open) > 0):
		return nil // wait for room; a primary with nothing of ours in hand may help out
	case r.set.StalenessCheck == StalenessCheckNone && r.asks(q, r.near(q.group, rest)):
		return nil
	case r.set.StalenessCheck != StalenessCheckNone && !full:
		if m := r.mostAdvanced(rest); m != nil {
			return m
		}
	}
	return r.primaryOf(q)
}

// asks tells whether a read that no replica is known to be fresh enough for waits for the position of a
// random one. Where routers are many, each hears of a replica so seldom that nearly all reads would go to the
// primary.
func (r *Router) asks(q *request, ms []*member) bool {
	if q.asked == nil && len(ms) > 0 && r.set.HealthChecksAllowed {
		q.asked = ms[r.rng.IntN(len(ms))]
		if q.asked.askedAt == 0 || r.now >= q.asked.askedAt+r.scaled(askPatience) {
			q.asked.askedAt = r.now
			r.do(HealthCheck{q.asked.ID})
		}
	}
	return q.asked != nil && q.asked.askedAt > 0 && r.now < q.asked.askedAt+r.scaled(askPatience)
}

// draw picks at random among replicas that qualify and have room, a cold one by its warmth; where all are
// cold and that is too much for them, part is shed.
func (r *Router) draw(q *request, ms []*member) *member {
	sum := 0.0
	for _, m := range ms {
		sum += r.weight(m)
	}
	x := sum * r.rng.Float64()
	i := slices.IndexFunc(ms, func(m *member) bool { x -= r.weight(m); return x < 0 })
	if i < 0 {
		return nil
	}
	if !r.admit(ms[i], r.weight(ms[i])/sum, 0) {
		q.shed = r.pace(ms[i]) < 1
		return nil
	}
	return ms[i]
}

// weight favours members of the router's own zone, since what crosses costs. The others get their part: a
// zone's traffic may be more than its members can do.
func (r *Router) weight(m *member) float64 {
	w := r.warmth(m) * math.Exp2(-m.strikes)
	if m.Zone == r.set.Zone {
		w *= ownZone
	}
	return w
}

func (r *Router) mostAdvanced(ms []*member) *member {
	ms = slices.DeleteFunc(ms, func(m *member) bool { return !r.hasRoom(m) || !r.admit(m, 1, 0) })
	if len(ms) == 0 {
		return nil
	}
	return slices.MaxFunc(ms, func(a, b *member) int { return cmp.Compare(r.reached(a), r.reached(b)) })
}

// reached is the position a member is taken to have. Where replicas don't check it is the last known one.
// Where they do, a wrong guess costs a miss: one is taken to be level until it turns a read away, then as far
// behind as it was last heard to be, or for a while; else all routers would crowd the replica, or primary,
// that they heard from last.
func (r *Router) reached(m *member) Position {
	switch {
	case r.set.StalenessCheck == StalenessCheckNone:
		return m.position
	case m.lag > 0 && (r.set.HealthChecksAllowed || r.now < m.lagAt+lagKept):
		return max(m.position, r.here()-m.lag)
	}
	return r.here()
}

// askLagging asks a replica that is behind how far it is by now: a probe costs much less than the reads that
// it would turn away, each after a wait, to show that it still is.
func (r *Router) askLagging(m *member) {
	again := fromMillis(r.roster.Schedule().Interval(millis(lagAsked), millis(searchGap)))
	asks := r.set.HealthChecksAllowed && r.set.StalenessCheck != StalenessCheckNone
	if asks && r.now >= max(m.lagAt, m.askedAt)+again {
		m.askedAt = r.now
		r.do(HealthCheck{m.ID})
	}
}

// learn takes in what an outcome tells of its member: role, position, and where replicas check, what it
// proves.
func (r *Router) learn(a *attempt, e AttemptResult) {
	m, write := a.member, a.request.class.Consistency == ConsistencyWrite
	switch e.Outcome {
	case OutcomeOK, OutcomeMisdirected, OutcomeError, OutcomeRejected:
		if e.Role == RoleUnknown && write && e.Outcome == OutcomeMisdirected {
			e.Role = RoleReplica
		}
		r.learnRole(m, e.Role)
		if !write || e.Outcome != OutcomeOK { // a write's own position is its commit
			r.learnPosition(m, e.Position)
		}
	}
	if r.set.StalenessCheck == StalenessCheckNone || write || a.need == 0 {
		return
	}
	behind := a.at - r.set.PositionEpoch - a.need
	switch e.Outcome {
	case OutcomeOK:
		r.learnPosition(m, a.need)
		m.lag = min(m.lag, behind)
	case OutcomeMisdirected:
		m.lag, m.lagAt = max(m.lag, behind+time.Millisecond), r.now
		if e.Position > 0 {
			m.lag = max(m.lag, r.here()-e.Position)
		}
	}
}

func (r *Router) learnPosition(m *member, p Position) {
	if p > 0 {
		m.position = max(m.position, p)
		if m.lag > 0 { // a report may be as old as the lag that it shows
			m.lag, m.lagAt = min(m.lag, r.here()-p), r.now
			if m.lag < lagNone {
				m.lag = 0
			}
		}
	}
}

// --- The primary ---

func (r *Router) learnRole(m *member, role Role) {
	g := m.group
	switch role {
	case RolePrimary:
		if g.primary != m {
			r.logf("group %d: primary is %s", g.id, m.ID)
		}
		g.primary, g.primaryAt, g.misses = m, r.now, 0
	case RoleReplica:
		m.demotedAt = r.here()
		if g.primary == m {
			g.primary = nil
			r.logf("group %d: %s is primary no more", g.id, m.ID)
		}
	}
}

func (r *Router) primaryOf(q *request) *member {
	if p := q.group.primary; p != nil && r.fit(p) && r.hasRoom(p) {
		return p
	}
	return nil
}

// forWrite returns the primary. Until one has answered, or while it fails, the one that the list names,
// unless it has said since that it is none: the list is late, yet each router that searches alone sends
// several writes astray. Else the members in turn. Reads never go by the list: it would make them stale.
func (r *Router) forWrite(q *request) *member {
	g := q.group
	if p := g.primary; p != nil && r.listed(p) && !p.silent {
		return r.primaryOf(q) // or wait: one that is full, or has no room, is still the primary
	}
	if n := g.named; n != nil && n.demotedAt < g.namedAt && r.listed(n) && !n.silent {
		if r.fit(n) && r.hasRoom(n) {
			return n
		}
		return nil
	}
	if r.now < g.pauseUntil || q.attempts >= r.set.MaxAttempts-1 && q.attempts > 0 {
		return nil
	}
	for range g.members {
		m := g.members[g.turn%len(g.members)]
		g.turn++
		if g.misses++; g.misses >= len(g.members) {
			g.misses = 0
			pause := millis(r.scaled(roundPause))
			g.pauseUntil = fromMillis(r.roster.Schedule().NextSlot(millis(r.now), pause, millis(searchGap)))
		}
		if r.fit(m) && r.hasRoom(m) && r.admit(m, 1, r.now-q.arrived) { // what it turns away tips it too
			return m
		}
	}
	return nil
}

// --- Health: by symptom, not by cause ---

func (r *Router) judge(a *attempt, e AttemptResult) {
	m := a.member
	late := e.Outcome == OutcomeTimeout && a.at+r.scaled(downPause) > r.now // was nearly over when it was sent
	if a.begun || late || e.Outcome == OutcomeNotSent || e.Outcome == OutcomeCancelled {
		return
	}
	if e.Outcome != OutcomeTimeout && e.Outcome != OutcomeNoConnection {
		m.newsAt, m.silent = r.now, false
	}
	if r.isOdd(a, e.Outcome) {
		return
	}
	r.narrow(a, e.Outcome)
	switch e.Outcome {
	case OutcomeOK, OutcomeMisdirected:
		if !a.overdue {
			m.strikes = 0
		}
		if e.Outcome == OutcomeOK {
			r.squeeze *= 1 - oddGain
			m.group.served++
			r.surge.RequestServed(millis(r.now))
			r.adjust(m, r.now-a.at, seconds(goalShare*a.request.class.LatencyObjective.Seconds()), true)
			took := (r.now - a.at).Seconds()
			r.learnTime(a.request.Class, took, latencyGain)
		}
	case OutcomeRejected:
		r.adjust(m, r.scaled(fullPause), 0, false)
		m.pauseUntil = r.now + r.scaled(fullPause)
	case OutcomeNoConnection:
		r.down(m)
	case OutcomeError, OutcomeTimeout: // a lost connection says nothing of the member
		r.adjust(m, r.now-a.at, 0, false)
		if e.Outcome == OutcomeTimeout && !a.overdue && m.newsAt < a.at { // nothing came from it all that time
			r.strike(m, true)
		}
	}
}

// isOdd tells a request that gets an error from whichever member is asked from a member that fails: such
// errors are quick, and come from one member after another. May hurt where several members fail quickly at a
// time.
func (r *Router) isOdd(a *attempt, o Outcome) bool {
	quick := o == OutcomeError && (r.now-a.at).Seconds() < quickShare*r.took[a.request.Class]
	switch {
	case o == OutcomeOK:
		r.odd *= 1 - oddGain
	case quick && a.member != r.oddAt:
		r.oddAt = a.member
		r.odd += oddGain * (1 - r.odd)
	}
	a.request.odd = quick && r.odd > oddLimit
	return a.request.odd
}

// down takes in a refused connection: the member is left alone, longer with each strike. Where one after
// another refuses while others answer, connections are scarce and the members well: a router keeps to those
// it is connected to, and doesn't give a primary up. May hurt while much of a fleet is really down.
func (r *Router) down(m *member) {
	if m != r.squeezeAt {
		r.squeezeAt = m
		r.squeeze += oddGain * (1 - r.squeeze)
	}
	m.pauseUntil = r.now + r.scaled(downPause)<<int(m.strikes)
	if r.now < m.newsAt+r.scaled(downPause) && m.strikes <= freshStrike { // it lives: one connection was lost
		m.pauseUntil = r.now + r.scaled(fullPause)
	} else {
		m.silent = m.silent || r.squeeze < squeezeLimit
	}
	r.strike(m, false)
}

// strike takes down that a member owes an answer. It gets half as much for each, one request at a time, until
// it does well or the evidence is old; while a primary tells nothing, another is sought.
func (r *Router) strike(m *member, silent bool) {
	again := m.strikes > freshStrike // one lost answer is no silence
	m.strikes = min(m.strikes+1, mostStrikes)
	if silent && again && !m.silent {
		m.silent = true
		r.logf("group %d: %s is silent", m.group.id, m.ID)
	}
}

func (r *Router) fit(m *member) bool {
	return r.listed(m) && r.now >= m.pauseUntil && (m.strikes < 1 || len(m.open) == 0)
}

// checkOverdue finds attempts whose answers are overdue: lost on the way, or at a member that is slow, hung
// or cut off. The member gets less, one that has told nothing since nothing for a while, and what may be sent
// elsewhere is called off. May hurt one very long request.
func (r *Router) checkOverdue(m *member) {
	for _, a := range m.open {
		q, age := a.request, r.now-a.at
		if a.overdue || age < r.patience(q.Class) {
			continue
		}
		r.learnTime(q.Class, age.Seconds(), overdueGain)
		a.overdue = true
		r.strike(m, m.newsAt < a.at)
		keyed := q.class.Idempotency == IdempotentWithKey && r.now < a.at+q.class.DedupWindow
		if !q.ended && r.set.CancelAllowed && (keyed || q.class.Idempotency == Idempotent) {
			r.do(CancelAttempt{q.ID, a.number})
		}
	}
}

// hasRoom tells whether a member may get one more now. Its open attempts from here are limited to what it
// answers well inside the aims; the rest waits here, where the most worth goes first. May hurt where answers
// are long.
func (r *Router) hasRoom(m *member) bool { return float64(len(m.open)) < m.limit }

func (r *Router) adjust(m *member, took, goal time.Duration, answered bool) {
	switch {
	case answered && took <= goal:
		if float64(len(m.open)+1) >= m.limit/2 {
			m.limit += 1 / m.limit
		}
	case r.now >= m.cutAt:
		m.limit = max(1, m.limit*limitCut)
		m.cutAt = r.now + took
	}
}

// narrow moves the gate of the member's role by how an attempt went. Many routers with an attempt at a member
// now and then overrun it without any of them reaching a limit: what they ask is thinned by chance.
func (r *Router) narrow(a *attempt, o Outcome) {
	inTime := o == OutcomeOK && (r.now-a.at).Seconds() <= gateGoal*a.request.class.LatencyObjective.Seconds()
	if !inTime && (o != OutcomeOK && o != OutcomeTimeout && o != OutcomeRejected || !a.alone) {
		return
	}
	for _, g := range r.order { // the other groups hear of it too: a small router hears too little of each
		gate, part := &g.gates[a.member.gate()], gateSpill
		if g == a.member.group {
			part = 1
		}
		if inTime {
			*gate = min(gateMost, *gate+gateGrow*part)
		} else {
			*gate *= 1 - (1-gateCut)*part
		}
	}
}

// passes tells by chance whether a request is let through to a member, once for each role: the more it is
// worth for the time that it takes, the surer.
func (r *Router) passes(q *request, m *member) bool {
	k := m.gate()
	if q.group.gates[k] >= 1 || q.passed[k] {
		return true
	}
	q.passed[k] = true
	return r.rng.Float64() < math.Pow(q.group.gates[k], r.usual/r.worth(q))
}

// --- Sending and giving up ---

func (r *Router) send(q *request, m *member, need Position) {
	a := &attempt{request: q, number: q.attempts, member: m, at: r.now, need: need, alone: len(m.open) == 0}
	if q.class.Consistency == ConsistencyWrite {
		r.markDirty(q)
	}
	q.attempts++
	q.open = a
	q.tried = append(q.tried, m)
	m.open = append(m.open, a)
	r.sent += r.took[q.Class]
	if m == q.group.primary {
		r.sentTop += r.took[q.Class]
	}
	r.do(Attempt{Request: q.ID, Host: m.ID, SendBefore: q.repeatBy()})
}

func (r *Router) giveUp(q *request) {
	keyed := q.class.Idempotency == IdempotentWithKey && q.class.KeySharedByAllHosts
	switch harmless := !q.mayRun || q.class.Idempotency == Idempotent || keyed; {
	case !harmless:
		r.do(Fail{q.ID})
	case r.set.RetryAfterAllowed:
		r.do(Reject{q.ID, r.set.MaxRetryAfter}) // a second try would mostly come too late to be worth anything
	default:
		r.do(Reject{Request: q.ID})
	}
	r.finish(q)
}

// --- Upkeep ---

func (r *Router) upkeep() {
	if r.askAt > 0 && r.now >= r.askAt {
		r.askAt = 0
		r.do(SubscribeEndpoints{})
	}
	if r.now >= r.dueAt {
		for _, g := range r.order {
			for _, m := range g.members {
				r.checkOverdue(m)
			}
		}
	}
	if passed := min(r.now-r.secondAt, ageMost).Seconds(); passed >= 1 {
		r.secondAt = r.now
		for _, g := range r.order {
			r.age(g, passed)
		}
		r.sent, r.sentTop = r.sent*math.Pow(mixKept, passed), r.sentTop*math.Pow(mixKept, passed)
		r.trimSessions()
		r.surge.UpdateBaseline(millis(r.now), r.warm())
	}
}

// age lets evidence fade by the seconds passed. What a partly cold group answers is what it was sent.
func (r *Router) age(g *group, passed float64) {
	for _, m := range g.members {
		m.strikes *= math.Pow(strikeKept, passed)
	}
	if !slices.ContainsFunc(g.members, r.cold) {
		g.rate = max(g.served/passed, g.rate*math.Pow(rateKept, passed))
	}
	g.served = 0
	if !r.set.RemovalNotBinding {
		g.members = slices.DeleteFunc(g.members, r.forget)
	}
}

// release places what waits, the most worth first, then the newest (else all would be just too late).
func (r *Router) release(g *group) {
	waiting := g.waiting
	g.waiting = nil
	slices.SortStableFunc(waiting, func(a, b *request) int {
		return cmp.Or(cmp.Compare(r.worth(b), r.worth(a)), cmp.Compare(b.arrived, a.arrived))
	})
	for _, q := range waiting {
		r.place(q)
	}
}

func (r *Router) worth(q *request) float64 {
	w := q.class.PriorityWeight
	if r.now >= q.arrived+q.class.LatencyObjective {
		w *= q.class.LateWeightShare
	}
	// a client's retry: its objective counts from the first attempt and has most likely passed
	if q.ClientRetry && q.class.LateWeightShare == 0 {
		w *= repeatWorth
	}
	return w / r.took[q.Class]
}
