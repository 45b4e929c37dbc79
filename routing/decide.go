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
	referenceObjective           = 200 * time.Millisecond // the shortest aim of a class
	waitingCheckInterval         = 10 * time.Millisecond  // waiting requests are looked at this often
	maxEvidenceAge               = time.Minute            // evidence older than this is as good as gone
	initialLatency               = 200 * time.Millisecond // mean time of an answer, assumed until answers are seen
	latencyGain                  = 0.05                   // weight of a new answer in the mean
	maxTimeoutDeviations         = 10                     // mean deviations past the mean time, before an answer is overdue
	minTimeoutDeviations         = 6                      // or so many, if a repeat would else come too late for the aim
	minAttemptTimeout            = 150 * time.Millisecond // but never sooner: pauses and links cost this much on good days
	overdueLatencyGain           = 0.0125                 // weight of an overdue answer in the mean
	maxStrikes                   = 6                      // of a member
	recentStrikeThreshold        = 0.5                    // a strike counts towards silence above this
	strikeRetentionPerSecond     = 0.9                    // of a member's strikes, each second
	rejectionEjectionTime        = 50 * time.Millisecond  // a full member is left alone this long
	connectFailureEjectionTime   = 200 * time.Millisecond // and one that took no connection; time-outs sooner say nothing
	quickErrorLatencyShare       = 0.4                    // of its class's mean time, within which an error is a quick one
	errorShareGain               = 0.1                    // weight of a quick error, or of an answer, in their share
	connectionScarcityThreshold  = 0.2                    // share of refused connections above which connections are scarce
	requestCausedErrorThreshold  = 0.1                    // above it quick errors are the requests' own
	lagRetention                 = 3 * time.Second        // a replica that turned a read away is taken to be as far behind
	lagCheckInterval             = 500 * time.Millisecond // or, where probes are allowed, is asked again this often
	negligibleLag                = 400 * time.Millisecond // less is none
	primarySearchPause           = 50 * time.Millisecond  // after a round of misses in search of a primary
	positionCheckTimeout         = 50 * time.Millisecond  // with a replica that was asked for its position
	gatewaySlotGap               = 2 * time.Millisecond   // between rounds of routers in search, and questions to one that lags
	ownZoneWeight                = 4.0                    // times as often as another is a member of the own zone picked
	initialConcurrencyLimit      = 3.0                    // open attempts that a member may have from here, until answers tell
	limitGrowthObjectiveShare    = 0.15                   // an answer within this share of its aim lets the limit grow
	concurrencyLimitDecrease     = 0.8                    // a later one cuts it to this share, once an answer's time
	otherGroupsGateStep          = 0.2                    // of a step that the gates of the other groups take
	gateObjectiveShare           = 0.6                    // of its aim, that an answer may take before the gate narrows
	maxAdmissionGate             = 1.6                    // wider than open: late answers now and then are chance
	admissionGateDecrease        = 0.75                   // to this share
	admissionGateIncrease        = 0.1                    // and each answer in time widens it by this much
	minLatencyShare              = 0.7                    // of its class's mean time, that an answer takes at least
	clientRetryWeightShare       = 0.1                    // of a client's repeat that is worth nothing when late
	sessionRetention             = 30 * time.Second       // stamps older than this are folded into the floor
	maxSessions                  = 50_000                 // and so are all above this number
	answerRateRetentionPerSecond = 0.95                   // of a group's best rate of answers, each second
	loadRetentionPerSecond       = 0.98                   // of what is known of the traffic's mix, each second
	subscribeRetryInterval       = 500 * time.Millisecond // after a failed call for the list
)

// New returns a Router with the given settings; all its random draws come from seed.
func New(set Settings, seed uint64) (*Router, error) {
	if err := set.validate(); err != nil {
		return nil, err
	}
	r := &Router{
		settings: set, rng: rand.New(rand.NewPCG(seed, seed)), hosts: map[string]*host{}, groups: map[int]*group{},
		requests: map[uint64]*request{}, sessions: map[string]*session{}, excludedSince: map[string]time.Duration{},
		totalLoadSent: 2, primaryLoadSent: 1, topologyVersion: 1,
		roster: fleet.NewNumberedRoster(set.GatewayNumber-1, set.GatewayCount, set.Zone),
	}
	first := r.scaleToObjective(initialLatency).Seconds()
	r.latencyMean = slices.Repeat([]float64{first}, len(set.Classes))
	r.latencyDeviation = slices.Repeat([]float64{first / 2}, len(set.Classes))
	if set.SubscribeToEndpoints {
		r.subscribeAt = 1 // at once
	}
	return r, nil
}

// Step takes what has happened up to now and returns what to do, in order.
func (r *Router) Step(now time.Duration, events []Event) []Action {
	r.now, r.actions = max(now, r.now), nil
	for _, e := range events {
		switch e := e.(type) {
		case EndpointUpdate:
			r.onEndpointUpdate(e)
		case Request:
			r.onRequest(e)
		case AttemptResult:
			r.onAttemptResult(e)
		case HealthCheckResult:
			r.onHealthCheckResult(e)
		case ExcludeHost:
			r.onExcludeHost(e)
		case IncludeHost:
			r.onIncludeHost(e)
		case SiblingProcess:
			r.onSiblingProcess(e)
		case RosterUpdate:
			r.roster, r.topologyVersion = e.Roster, r.topologyVersion+1
		case StreamStarted:
			r.onStreamStarted(e)
		case ClientGone:
			r.finish(r.requests[e.Request])
		}
	}
	r.runMaintenance()
	for _, g := range r.sortedGroups {
		r.dispatchWaiting(g)
	}
	r.scheduleTimer()
	return r.actions
}

func (r *Router) onRequest(e Request) {
	if e.Class < 0 || e.Class >= len(r.settings.Classes) || r.requests[e.ID] != nil {
		return
	}
	g := r.groupFor(e.Group)
	q := &request{
		Request: e, class: &r.settings.Classes[e.Class], group: g, arrivedAt: r.now, deadline: r.now + e.TimeLeft,
	}
	r.requests[e.ID] = q
	r.loadEstimator.RequestArrived(durationToMillis(r.now))
	r.meanWeightRate += latencyGain * (r.weightRate(q) - r.meanWeightRate)
	g.waiting = append(g.waiting, q)
}

func (r *Router) onAttemptResult(e AttemptResult) {
	q := r.requests[e.Request]
	if q == nil || q.openAttempt == nil || q.openAttempt.number != e.Attempt {
		return
	}
	a := q.openAttempt
	q.openAttempt = nil
	m := a.host
	m.openAttempts = slices.DeleteFunc(m.openAttempts, func(o *attempt) bool { return o == a })
	r.observeAttemptResult(a, e)
	r.recordOutcome(a, e)
	if !provesNotRun(e.Outcome) && e.Outcome != OutcomeOK && !q.mayHaveRun {
		q.mayHaveRun, q.uncertainSince = true, a.sentAt
	}
	if q.class.Consistency == ConsistencyWrite && e.Outcome == OutcomeOK {
		r.completeWrite(q, e.Position)
	}
	if e.RequestDone || q.finished {
		r.finish(q)
		return
	}
	q.misdirected = q.misdirected || e.Outcome == OutcomeMisdirected
	q.reachedHost = q.reachedHost || e.Outcome != OutcomeNoConnection && e.Outcome != OutcomeNotSent
	q.group.waiting = append(q.group.waiting, q)
}

func (r *Router) finish(q *request) {
	if q == nil {
		return
	}
	q.finished = true
	if q.openAttempt != nil {
		return
	}
	if q.writeNumber > 0 {
		r.abandonWrite(q, q.mayHaveRun)
	}
	delete(r.requests, q.ID)
}

// --- Sessions: the dirty set and the stamps ---

func (r *Router) markDirty(q *request) {
	if q.writeNumber == 0 {
		r.lastWriteNumber++
		q.writeNumber = r.lastWriteNumber
		if q.Session != "" {
			s := r.sessionFor(q.Session)
			s.dirtyWrites = append(s.dirtyWrites, q.writeNumber)
		}
	}
}

func (r *Router) completeWrite(q *request, p Position) {
	if s := r.sessions[q.Session]; s != nil && q.Session != "" {
		if n := len(s.dirtyWrites); n > 0 && q.writeNumber >= s.dirtyWrites[n-1] {
			s.dirtyWrites = nil
		}
		r.raiseStamp(s, p)
	}
	q.mayHaveRun = false
}

// settle ends the entry of a write without completion. One that may have run can have done so until now.
func (r *Router) abandonWrite(q *request, lost bool) {
	s := r.sessions[q.Session]
	if s == nil || q.Session == "" {
		return
	}
	s.dirtyWrites = slices.DeleteFunc(s.dirtyWrites, func(n uint64) bool { return n == q.writeNumber })
	if lost {
		s.stamp = max(s.stamp, r.currentPosition())
	}
	r.raiseStamp(s, 0)
}

// --- Choosing a member ---

// need returns the position that a read needs, and whether it belongs at the primary whatever the replicas
// have.
func (r *Router) requiredPosition(q *request) (Position, bool) {
	switch q.class.Consistency {
	case ConsistencyBounded:
		return max(0, r.currentPosition()-q.class.MaxStaleness), false
	case ConsistencySession:
		p, s := r.stampFloor, r.sessions[q.Session]
		if s != nil {
			p = s.stamp
		}
		if r.siblingRunning {
			p = max(p, q.arrivedAt-r.settings.PositionEpoch)
		}
		if r.settings.SessionTokensCarried && q.SinceLastWrite > 0 {
			p = max(p, q.arrivedAt-q.SinceLastWrite-r.settings.PositionEpoch)
		}
		// a replica that has told nothing yet is not tried where none checks
		if r.settings.StalenessCheck == StalenessCheckNone {
			p = max(p, 1)
		}
		return p, s != nil && len(s.dirtyWrites) > 0
	case ConsistencyStrong:
		return q.arrivedAt - r.settings.PositionEpoch, true
	}
	return 0, false
}

func (r *Router) dispatch(q *request) {
	if q.finished || q.openAttempt != nil {
		return
	}
	if !r.mayAttempt(q) {
		r.giveUp(q)
		return
	}
	need, primaryOnly := r.requiredPosition(q)
	var m *host
	switch {
	case q.class.Consistency == ConsistencyWrite:
		m = r.selectForWrite(q)
	case primaryOnly || q.misdirected:
		m = r.availablePrimary(q)
	default:
		m = r.selectForRead(q, need)
	}
	if m != nil && m.receivesAsPrimary(q) && !r.admitSlowStart(m, r.primaryLoadSent/r.totalLoadSent, r.now-q.arrivedAt) {
		m, q.shed = nil, r.slowStartRate(m) < 1
	}
	switch {
	case q.shed:
		r.giveUp(q)
	case m == nil:
		q.group.waiting = append(q.group.waiting, q)
	case !r.passesAdmissionGate(q, m):
		r.giveUp(q)
	default:
		r.sendAttempt(q, m, need)
	}
}

func (r *Router) mayAttempt(q *request) bool {
	c, soonest := q.class, r.now+secondsToDuration(minLatencyShare*r.latencyMean[q.Class])
	switch {
	case r.now >= q.deadline,
		r.now > q.arrivedAt && r.now+2*r.settings.TickInterval+r.scaleToObjective(waitingCheckInterval) >= q.deadline,
		q.attemptCount >= r.settings.MaxAttempts || q.causedError:
		return false
	case !q.reachedHost && r.now > q.arrivedAt && r.now+r.scaleToObjective(waitingCheckInterval) >= q.arrivedAt+q.TimeLeft/2:
		return false // no host has seen it: its client is told while there is time to ask again
	case c.LateWeightShare == 0 && r.now > q.arrivedAt && soonest >= min(q.arrivedAt+c.LatencyObjective, q.deadline):
		return false // it would come too late to be worth anything: shed early, at once
	}
	return !q.mayHaveRun || c.Idempotency == Idempotent || c.Idempotency == IdempotentWithKey && r.now < q.retryBefore()
}

// forRead is the ordinary path: a uniformly random replica among those at or past the need; if there is none,
// the most advanced one where replicas check, else the primary.
func (r *Router) selectForRead(q *request, need Position) *host {
	var fit, rest []*host
	full := false
	for _, m := range q.group.hosts {
		switch {
		case m == q.group.primary || !r.eligible(m) || slices.Contains(q.triedHosts, m):
		case need > 0 && r.estimatedPosition(m) < need:
			r.healthCheckLagging(m)
			if r.settings.StalenessCheck == StalenessCheckNone || !r.settings.HealthChecksAllowed ||
				r.estimatedPosition(m)+negligibleLag >= need {
				rest = append(rest, m) // others are known to be so far behind that they would turn it away
			}
		case r.hasCapacity(m):
			fit = append(fit, m)
		default:
			full = true
		}
	}
	if m := r.pickReplica(q, r.preferSubset(q.group, fit)); m != nil || q.shed {
		return m
	}
	switch p := q.group.primary; {
	case full && (p == nil || len(p.openAttempts) > 0):
		return nil // wait for room; a primary with nothing of ours in hand may help out
	case r.settings.StalenessCheck == StalenessCheckNone && r.awaitPosition(q, r.preferSubset(q.group, rest)):
		return nil
	case r.settings.StalenessCheck != StalenessCheckNone && !full:
		if m := r.mostAdvancedReplica(rest); m != nil {
			return m
		}
	}
	return r.availablePrimary(q)
}

// asks tells whether a read that no replica is known to be fresh enough for waits for the position of a
// random one. Where routers are many, each hears of a replica so seldom that nearly all reads would go to the
// primary.
func (r *Router) awaitPosition(q *request, ms []*host) bool {
	if q.healthCheckedHost == nil && len(ms) > 0 && r.settings.HealthChecksAllowed {
		q.healthCheckedHost = ms[r.rng.IntN(len(ms))]
		if q.healthCheckedHost.healthCheckedAt == 0 || r.now >= q.healthCheckedHost.healthCheckedAt+r.scaleToObjective(positionCheckTimeout) {
			q.healthCheckedHost.healthCheckedAt = r.now
			r.emit(HealthCheck{q.healthCheckedHost.ID})
		}
	}
	return q.healthCheckedHost != nil && q.healthCheckedHost.healthCheckedAt > 0 && r.now < q.healthCheckedHost.healthCheckedAt+r.scaleToObjective(positionCheckTimeout)
}

// draw picks at random among replicas that qualify and have room, a cold one by its warmth; where all are
// cold and that is too much for them, part is shed.
func (r *Router) pickReplica(q *request, ms []*host) *host {
	sum := 0.0
	for _, m := range ms {
		sum += r.selectionWeight(m)
	}
	x := sum * r.rng.Float64()
	i := slices.IndexFunc(ms, func(m *host) bool { x -= r.selectionWeight(m); return x < 0 })
	if i < 0 {
		return nil
	}
	if !r.admitSlowStart(ms[i], r.selectionWeight(ms[i])/sum, 0) {
		q.shed = r.slowStartRate(ms[i]) < 1
		return nil
	}
	return ms[i]
}

// weight favours members of the router's own zone, since what crosses costs. The others get their part: a
// zone's traffic may be more than its members can do.
func (r *Router) selectionWeight(m *host) float64 {
	w := r.capacityShare(m) * math.Exp2(-m.strikes)
	if m.Zone == r.settings.Zone {
		w *= ownZoneWeight
	}
	return w
}

func (r *Router) mostAdvancedReplica(ms []*host) *host {
	ms = slices.DeleteFunc(ms, func(m *host) bool { return !r.hasCapacity(m) || !r.admitSlowStart(m, 1, 0) })
	if len(ms) == 0 {
		return nil
	}
	return slices.MaxFunc(ms, func(a, b *host) int { return cmp.Compare(r.estimatedPosition(a), r.estimatedPosition(b)) })
}

// reached is the position a member is taken to have. Where replicas don't check it is the last known one.
// Where they do, a wrong guess costs a miss: one is taken to be level until it turns a read away, then as far
// behind as it was last heard to be, or for a while; else all routers would crowd the replica, or primary,
// that they heard from last.
func (r *Router) estimatedPosition(m *host) Position {
	switch {
	case r.settings.StalenessCheck == StalenessCheckNone:
		return m.position
	case m.lag > 0 && (r.settings.HealthChecksAllowed || r.now < m.lagKnownAt+lagRetention):
		return max(m.position, r.currentPosition()-m.lag)
	}
	return r.currentPosition()
}

// askLagging asks a replica that is behind how far it is by now: a probe costs much less than the reads that
// it would turn away, each after a wait, to show that it still is.
func (r *Router) healthCheckLagging(m *host) {
	again := millisToDuration(r.roster.Schedule().Interval(durationToMillis(lagCheckInterval), durationToMillis(gatewaySlotGap)))
	asks := r.settings.HealthChecksAllowed && r.settings.StalenessCheck != StalenessCheckNone
	if asks && r.now >= max(m.lagKnownAt, m.healthCheckedAt)+again {
		m.healthCheckedAt = r.now
		r.emit(HealthCheck{m.ID})
	}
}

// learn takes in what an outcome tells of its member: role, position, and where replicas check, what it
// proves.
func (r *Router) observeAttemptResult(a *attempt, e AttemptResult) {
	m, write := a.host, a.request.class.Consistency == ConsistencyWrite
	switch e.Outcome {
	case OutcomeOK, OutcomeMisdirected, OutcomeError, OutcomeRejected:
		if e.Role == RoleUnknown && write && e.Outcome == OutcomeMisdirected {
			e.Role = RoleReplica
		}
		r.observeRole(m, e.Role)
		if !write || e.Outcome != OutcomeOK { // a write's own position is its commit
			r.observePosition(m, e.Position)
		}
	}
	if r.settings.StalenessCheck == StalenessCheckNone || write || a.requiredPosition == 0 {
		return
	}
	behind := a.sentAt - r.settings.PositionEpoch - a.requiredPosition
	switch e.Outcome {
	case OutcomeOK:
		r.observePosition(m, a.requiredPosition)
		m.lag = min(m.lag, behind)
	case OutcomeMisdirected:
		m.lag, m.lagKnownAt = max(m.lag, behind+time.Millisecond), r.now
		if e.Position > 0 {
			m.lag = max(m.lag, r.currentPosition()-e.Position)
		}
	}
}

func (r *Router) observePosition(m *host, p Position) {
	if p > 0 {
		m.position = max(m.position, p)
		if m.lag > 0 { // a report may be as old as the lag that it shows
			m.lag, m.lagKnownAt = min(m.lag, r.currentPosition()-p), r.now
			if m.lag < negligibleLag {
				m.lag = 0
			}
		}
	}
}

// --- The primary ---

func (r *Router) observeRole(m *host, role Role) {
	g := m.group
	switch role {
	case RolePrimary:
		if g.primary != m {
			r.logf("group %d: primary is %s", g.id, m.ID)
		}
		g.primary, g.primarySeenAt, g.candidatesTried = m, r.now, 0
	case RoleReplica:
		m.demotedAt = r.currentPosition()
		if g.primary == m {
			g.primary = nil
			r.logf("group %d: %s is primary no more", g.id, m.ID)
		}
	}
}

func (r *Router) availablePrimary(q *request) *host {
	if p := q.group.primary; p != nil && r.eligible(p) && r.hasCapacity(p) {
		return p
	}
	return nil
}

// forWrite returns the primary. Until one has answered, or while it fails, the one that the list names,
// unless it has said since that it is none: the list is late, yet each router that searches alone sends
// several writes astray. Else the members in turn. Reads never go by the list: it would make them stale.
func (r *Router) selectForWrite(q *request) *host {
	g := q.group
	if p := g.primary; p != nil && r.inService(p) && !p.unresponsive {
		return r.availablePrimary(q) // or wait: one that is full, or has no room, is still the primary
	}
	if n := g.listedPrimary; n != nil && n.demotedAt < g.listedPrimaryAt && r.inService(n) && !n.unresponsive {
		if r.eligible(n) && r.hasCapacity(n) {
			return n
		}
		return nil
	}
	if r.now < g.searchPausedUntil || q.attemptCount >= r.settings.MaxAttempts-1 && q.attemptCount > 0 {
		return nil
	}
	for range g.hosts {
		m := g.hosts[g.nextCandidate%len(g.hosts)]
		g.nextCandidate++
		if g.candidatesTried++; g.candidatesTried >= len(g.hosts) {
			g.candidatesTried = 0
			pause := durationToMillis(r.scaleToObjective(primarySearchPause))
			g.searchPausedUntil = millisToDuration(r.roster.Schedule().NextSlot(durationToMillis(r.now), pause, durationToMillis(gatewaySlotGap)))
		}
		if r.eligible(m) && r.hasCapacity(m) && r.admitSlowStart(m, 1, r.now-q.arrivedAt) { // what it turns away tips it too
			return m
		}
	}
	return nil
}

// --- Health: by symptom, not by cause ---

func (r *Router) recordOutcome(a *attempt, e AttemptResult) {
	m := a.host
	late := e.Outcome == OutcomeTimeout && a.sentAt+r.scaleToObjective(connectFailureEjectionTime) > r.now // was nearly over when it was sent
	if a.streaming || late || e.Outcome == OutcomeNotSent || e.Outcome == OutcomeCancelled {
		return
	}
	if e.Outcome != OutcomeTimeout && e.Outcome != OutcomeNoConnection {
		m.lastOutcomeAt, m.unresponsive = r.now, false
	}
	if r.recordRequestCausedError(a, e.Outcome) {
		return
	}
	r.adjustAdmissionGates(a, e.Outcome)
	switch e.Outcome {
	case OutcomeOK, OutcomeMisdirected:
		if !a.overdue {
			m.strikes = 0
		}
		if e.Outcome == OutcomeOK {
			r.connectionScarcity *= 1 - errorShareGain
			m.group.servedCount++
			r.loadEstimator.RequestServed(durationToMillis(r.now))
			r.adjustConcurrencyLimit(m, r.now-a.sentAt, secondsToDuration(limitGrowthObjectiveShare*a.request.class.LatencyObjective.Seconds()), true)
			took := (r.now - a.sentAt).Seconds()
			r.observeLatency(a.request.Class, took, latencyGain)
		}
	case OutcomeRejected:
		r.adjustConcurrencyLimit(m, r.scaleToObjective(rejectionEjectionTime), 0, false)
		m.ejectedUntil = r.now + r.scaleToObjective(rejectionEjectionTime)
	case OutcomeNoConnection:
		r.recordConnectFailure(m)
	case OutcomeError, OutcomeTimeout: // a lost connection says nothing of the member
		r.adjustConcurrencyLimit(m, r.now-a.sentAt, 0, false)
		if e.Outcome == OutcomeTimeout && !a.overdue && m.lastOutcomeAt < a.sentAt { // nothing came from it all that time
			r.addStrike(m, true)
		}
	}
}

// isOdd tells a request that gets an error from whichever member is asked from a member that fails: such
// errors are quick, and come from one member after another. May hurt where several members fail quickly at a
// time.
func (r *Router) recordRequestCausedError(a *attempt, o Outcome) bool {
	quick := o == OutcomeError && (r.now-a.sentAt).Seconds() < quickErrorLatencyShare*r.latencyMean[a.request.Class]
	switch {
	case o == OutcomeOK:
		r.requestCausedErrorShare *= 1 - errorShareGain
	case quick && a.host != r.lastQuickErrorHost:
		r.lastQuickErrorHost = a.host
		r.requestCausedErrorShare += errorShareGain * (1 - r.requestCausedErrorShare)
	}
	a.request.causedError = quick && r.requestCausedErrorShare > requestCausedErrorThreshold
	return a.request.causedError
}

// down takes in a refused connection: the member is left alone, longer with each strike. Where one after
// another refuses while others answer, connections are scarce and the members well: a router keeps to those
// it is connected to, and doesn't give a primary up. May hurt while much of a fleet is really down.
func (r *Router) recordConnectFailure(m *host) {
	if m != r.lastRefusingHost {
		r.lastRefusingHost = m
		r.connectionScarcity += errorShareGain * (1 - r.connectionScarcity)
	}
	m.ejectedUntil = r.now + r.scaleToObjective(connectFailureEjectionTime)<<int(m.strikes)
	if r.now < m.lastOutcomeAt+r.scaleToObjective(connectFailureEjectionTime) && m.strikes <= recentStrikeThreshold { // it lives: one connection was lost
		m.ejectedUntil = r.now + r.scaleToObjective(rejectionEjectionTime)
	} else {
		m.unresponsive = m.unresponsive || r.connectionScarcity < connectionScarcityThreshold
	}
	r.addStrike(m, false)
}

// strike takes down that a member owes an answer. It gets half as much for each, one request at a time, until
// it does well or the evidence is old; while a primary tells nothing, another is sought.
func (r *Router) addStrike(m *host, silent bool) {
	again := m.strikes > recentStrikeThreshold // one lost answer is no silence
	m.strikes = min(m.strikes+1, maxStrikes)
	if silent && again && !m.unresponsive {
		m.unresponsive = true
		r.logf("group %d: %s is silent", m.group.id, m.ID)
	}
}

func (r *Router) eligible(m *host) bool {
	return r.inService(m) && r.now >= m.ejectedUntil && (m.strikes < 1 || len(m.openAttempts) == 0)
}

// checkOverdue finds attempts whose answers are overdue: lost on the way, or at a member that is slow, hung
// or cut off. The member gets less, one that has told nothing since nothing for a while, and what may be sent
// elsewhere is called off. May hurt one very long request.
func (r *Router) checkOverdueAttempts(m *host) {
	for _, a := range m.openAttempts {
		q, age := a.request, r.now-a.sentAt
		if a.overdue || age < r.attemptTimeout(q.Class) {
			continue
		}
		r.observeLatency(q.Class, age.Seconds(), overdueLatencyGain)
		a.overdue = true
		r.addStrike(m, m.lastOutcomeAt < a.sentAt)
		keyed := q.class.Idempotency == IdempotentWithKey && r.now < a.sentAt+q.class.DedupWindow
		if !q.finished && r.settings.CancelAllowed && (keyed || q.class.Idempotency == Idempotent) {
			r.emit(CancelAttempt{q.ID, a.number})
		}
	}
}

// hasRoom tells whether a member may get one more now. Its open attempts from here are limited to what it
// answers well inside the aims; the rest waits here, where the most worth goes first. May hurt where answers
// are long.
func (r *Router) hasCapacity(m *host) bool { return float64(len(m.openAttempts)) < m.concurrencyLimit }

func (r *Router) adjustConcurrencyLimit(m *host, took, goal time.Duration, answered bool) {
	switch {
	case answered && took <= goal:
		if float64(len(m.openAttempts)+1) >= m.concurrencyLimit/2 {
			m.concurrencyLimit += 1 / m.concurrencyLimit
		}
	case r.now >= m.limitCutAllowedAt:
		m.concurrencyLimit = max(1, m.concurrencyLimit*concurrencyLimitDecrease)
		m.limitCutAllowedAt = r.now + took
	}
}

// narrow moves the gate of the member's role by how an attempt went. Many routers with an attempt at a member
// now and then overrun it without any of them reaching a limit: what they ask is thinned by chance.
func (r *Router) adjustAdmissionGates(a *attempt, o Outcome) {
	inTime := o == OutcomeOK && (r.now-a.sentAt).Seconds() <= gateObjectiveShare*a.request.class.LatencyObjective.Seconds()
	if !inTime && (o != OutcomeOK && o != OutcomeTimeout && o != OutcomeRejected || !a.onlyOneAtHost) {
		return
	}
	for _, g := range r.sortedGroups { // the other groups hear of it too: a small router hears too little of each
		gate, part := &g.admissionGates[a.host.admissionGateIndex()], otherGroupsGateStep
		if g == a.host.group {
			part = 1
		}
		if inTime {
			*gate = min(maxAdmissionGate, *gate+admissionGateIncrease*part)
		} else {
			*gate *= 1 - (1-admissionGateDecrease)*part
		}
	}
}

// passes tells by chance whether a request is let through to a member, once for each role: the more it is
// worth for the time that it takes, the surer.
func (r *Router) passesAdmissionGate(q *request, m *host) bool {
	k := m.admissionGateIndex()
	if q.group.admissionGates[k] >= 1 || q.gateDrawn[k] {
		return true
	}
	q.gateDrawn[k] = true
	return r.rng.Float64() < math.Pow(q.group.admissionGates[k], r.meanWeightRate/r.weightRate(q))
}

// --- Sending and giving up ---

func (r *Router) sendAttempt(q *request, m *host, need Position) {
	a := &attempt{request: q, number: q.attemptCount, host: m, sentAt: r.now, requiredPosition: need, onlyOneAtHost: len(m.openAttempts) == 0}
	if q.class.Consistency == ConsistencyWrite {
		r.markDirty(q)
	}
	q.attemptCount++
	q.openAttempt = a
	q.triedHosts = append(q.triedHosts, m)
	m.openAttempts = append(m.openAttempts, a)
	r.totalLoadSent += r.latencyMean[q.Class]
	if m == q.group.primary {
		r.primaryLoadSent += r.latencyMean[q.Class]
	}
	r.emit(Attempt{Request: q.ID, Host: m.ID, SendBefore: q.retryBefore()})
}

func (r *Router) giveUp(q *request) {
	keyed := q.class.Idempotency == IdempotentWithKey && q.class.KeySharedByAllHosts
	switch harmless := !q.mayHaveRun || q.class.Idempotency == Idempotent || keyed; {
	case !harmless:
		r.emit(Fail{q.ID})
	case r.settings.RetryAfterAllowed:
		r.emit(Reject{q.ID, r.settings.MaxRetryAfter}) // a second try would mostly come too late to be worth anything
	default:
		r.emit(Reject{Request: q.ID})
	}
	r.finish(q)
}

// --- Upkeep ---

func (r *Router) runMaintenance() {
	if r.subscribeAt > 0 && r.now >= r.subscribeAt {
		r.subscribeAt = 0
		r.emit(SubscribeEndpoints{})
	}
	if r.now >= r.overdueCheckAt {
		for _, g := range r.sortedGroups {
			for _, m := range g.hosts {
				r.checkOverdueAttempts(m)
			}
		}
	}
	if passed := min(r.now-r.lastMaintenanceAt, maxEvidenceAge).Seconds(); passed >= 1 {
		r.lastMaintenanceAt = r.now
		for _, g := range r.sortedGroups {
			r.fadeEvidence(g, passed)
		}
		r.totalLoadSent, r.primaryLoadSent = r.totalLoadSent*math.Pow(loadRetentionPerSecond, passed), r.primaryLoadSent*math.Pow(loadRetentionPerSecond, passed)
		r.evictSessions()
		r.loadEstimator.UpdateBaseline(durationToMillis(r.now), r.allWarmedUp())
	}
}

// age lets evidence fade by the seconds passed. What a partly cold group answers is what it was sent.
func (r *Router) fadeEvidence(g *group, passed float64) {
	for _, m := range g.hosts {
		m.strikes *= math.Pow(strikeRetentionPerSecond, passed)
	}
	if !slices.ContainsFunc(g.hosts, r.warmingUp) {
		g.peakAnswerRate = max(g.servedCount/passed, g.peakAnswerRate*math.Pow(answerRateRetentionPerSecond, passed))
	}
	g.servedCount = 0
	if !r.settings.RemovalNotBinding {
		g.hosts = slices.DeleteFunc(g.hosts, r.removeGoneHost)
	}
}

// release places what waits, the most worth first, then the newest (else all would be just too late).
func (r *Router) dispatchWaiting(g *group) {
	waiting := g.waiting
	g.waiting = nil
	slices.SortStableFunc(waiting, func(a, b *request) int {
		return cmp.Or(cmp.Compare(r.weightRate(b), r.weightRate(a)), cmp.Compare(b.arrivedAt, a.arrivedAt))
	})
	for _, q := range waiting {
		r.dispatch(q)
	}
}

func (r *Router) weightRate(q *request) float64 {
	w := q.class.PriorityWeight
	if r.now >= q.arrivedAt+q.class.LatencyObjective {
		w *= q.class.LateWeightShare
	}
	// a client's retry: its objective counts from the first attempt and has most likely passed
	if q.ClientRetry && q.class.LateWeightShare == 0 {
		w *= clientRetryWeightShare
	}
	return w / r.latencyMean[q.Class]
}
