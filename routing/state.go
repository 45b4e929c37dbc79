package routing

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"merlinjunction/fleet"
)

// What a Router knows, and when it is to be called again. Which member, whether to try again and what to
// refuse is decided in decide.go, list.go, ban.go and near.go.

// A Router decides for one router instance. It is not safe for concurrent use.
type Router struct {
	settings                Settings
	rng                     *rand.Rand
	now                     time.Duration
	actions                 []Action
	hosts                   map[string]*host
	groups                  map[int]*group
	sortedGroups            []*group // by number: no decision walks a map
	requests                map[uint64]*request
	sessions                map[string]*session
	excludedSince           map[string]time.Duration // members taken out by hand, and since when
	siblingRunning          bool                     // another Router of the same gateway is at work
	stampFloor              Position                 // the stamp of all sessions that are not in the table
	lastWriteNumber         uint64                   // the last write's number
	roster                  *fleet.Roster            // the gateways that share the members
	topologyVersion         int                      // of members and gateways
	largestGroupSize        int                      // the most members ready in any group: what a group's traffic is made for
	latencyMean             []float64                // mean time of an answer of each class, in seconds, waits included
	latencyDeviation        []float64                // and their mean deviation
	requestCausedErrorShare float64                  // share of quick errors, each at another member than the last
	lastQuickErrorHost      *host
	connectionScarcity      float64 // share of refused connections, each at another member than the last
	lastRefusingHost        *host
	loadEstimator           fleet.LoadEstimator // of requests over answers
	meanWeightRate          float64             // mean worth of a request for the time that it takes
	totalLoadSent           float64             // what was sent of late, in seconds of usual answer times
	primaryLoadSent         float64             // and the part of it that went to primaries
	subscribeAt             time.Duration       // when to ask for the list again; 0: no need

	overdueCheckAt time.Duration // when the next attempt is overdue, or what waits is looked at
	timerAt        time.Duration // the next Wake that was asked for

	lastMaintenanceAt, lastLogAt time.Duration
}

type group struct {
	id                int
	hosts             []*host // by ID
	primary           *host   // that last answered as such; nil: not known
	primarySeenAt     time.Duration
	listedPrimary     *host // by the list, as primary; nil: nobody yet
	listedPrimaryAt   Position
	servedCount       float64 // answers in this second
	peakAnswerRate    float64 // answers a second, the most of late
	nextCandidate     int     // the member to be tried next
	candidatesTried   int     // in this round of the search
	searchPausedUntil time.Duration
	waiting           []*request
	subset            fleet.Group // what of its members is whose
	subsetHosts       []*host
	subsetVersion     int        // of Router.version
	admissionGates    [2]float64 // chance that a request of usual worth is let through to a replica, to the primary
}

type host struct {
	Endpoint
	group            *group
	drainNotifiedAt  time.Duration // told then that it drains or is gone
	listedAsDraining bool          // as draining
	position         Position      // it has applied all commits up to here: a lower bound, never lowered
	lag              time.Duration // where replicas check: how far behind it was when it turned a read away
	demotedAt        Position      // an answer told then that it is a replica
	openAttempts     []*attempt    // oldest first
	lastOutcomeAt    time.Duration // of the last outcome
	strikes          float64       // answers overdue since it last did well
	unresponsive     bool          // and no news of it since, or no connection

	lagKnownAt, limitCutAllowedAt, ejectedUntil time.Duration

	subsetIndex      int               // among those that are dealt; -1: it isn't
	concurrencyLimit float64           // open attempts it may have from here
	healthCheckedAt  time.Duration     // for its position; 0: it has answered
	slowStartBudget  fleet.TokenBucket // sends that a cold one may get from here
}

type request struct {
	Request
	class *Class
	group *group

	arrivedAt, deadline time.Duration

	writeNumber       uint64 // of a write that has been sent
	attemptCount      int
	openAttempt       *attempt
	triedHosts        []*host
	reachedHost       bool          // an attempt came to a member
	misdirected       bool          // a replica turned it away: the primary is next
	healthCheckedHost *host         // for its position
	mayHaveRun        bool          // an ended attempt might have had its effect
	uncertainSince    time.Duration // when the first such attempt, or the one that is out, was sent
	shed              bool          // the only members for it are cold and have enough
	gateDrawn         [2]bool       // the gates
	finished          bool          // it has its final answer
	causedError       bool          // it gets a quick error from any member
}

// The window for repeats of a key counts at hosts, to which one send may be on its way for longer than
// another: so much of it, or a fifth of a short one, is left unused.
const dedupWindowMargin = 20 * time.Millisecond

// repeatBy is until when a keyed request that may have run may be sent again; 0 where there is no such time.
func (q *request) retryBefore() time.Duration {
	if !q.mayHaveRun || q.class.Idempotency != IdempotentWithKey {
		return 0
	}
	return q.uncertainSince + q.class.DedupWindow - min(dedupWindowMargin, q.class.DedupWindow/5)
}

type attempt struct {
	request          *request
	number           int
	host             *host
	sentAt           time.Duration
	requiredPosition Position
	onlyOneAtHost    bool // nothing else was out at its member from here
	overdue          bool
	streaming        bool // the client has some of its answer
}

type session struct {
	dirtyWrites []uint64 // numbers of its writes in flight, ascending
	stamp       Position // its last committed position
	updatedAt   time.Duration
}

func (r *Router) emit(a Action) { r.actions = append(r.actions, a) }

func (r *Router) currentPosition() Position { return r.now - r.settings.PositionEpoch }

// scaled is a time where the shortest aim is short: else a silent member's answers would be overdue only when
// its requests' time is up already, and nobody would ever be told that it is silent.
func (r *Router) scaleToObjective(d time.Duration) time.Duration {
	shortest := referenceObjective
	for _, c := range r.settings.Classes {
		shortest = min(shortest, c.LatencyObjective)
	}
	return secondsToDuration(d.Seconds() * shortest.Seconds() / referenceObjective.Seconds())
}

func durationToMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func millisToDuration(ms float64) time.Duration { return secondsToDuration(ms / 1000) }

func secondsToDuration(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

func (r *Router) sessionFor(key string) *session {
	s := r.sessions[key]
	if s == nil {
		s = &session{stamp: r.stampFloor}
		r.sessions[key] = s
	}
	return s
}

func (r *Router) groupFor(id int) *group {
	if r.groups[id] == nil {
		r.groups[id] = &group{id: id, admissionGates: [2]float64{1, 1}}
		r.sortedGroups = append(r.sortedGroups, r.groups[id])
		slices.SortFunc(r.sortedGroups, func(a, b *group) int { return cmp.Compare(a.id, b.id) })
	}
	return r.groups[id]
}

// learnTime takes an answer's time into its class's mean and mean deviation, by a weight.
func (r *Router) observeLatency(class int, took, gain float64) {
	d := took - r.latencyMean[class]
	r.latencyMean[class] += gain * d
	r.latencyDeviation[class] += gain * (math.Abs(d) - r.latencyDeviation[class])
}

func provesNotRun(o Outcome) bool {
	return o == OutcomeMisdirected || o == OutcomeRejected || o == OutcomeNoConnection || o == OutcomeNotSent
}

// leads tells whether a request comes to a member as to the primary.
func (m *host) receivesAsPrimary(q *request) bool {
	return m == m.group.primary || q.class.Consistency == ConsistencyWrite && m == m.group.listedPrimary
}

// gate is the number of the gate that leads to a member: 1 for a primary, else 0.
func (m *host) admissionGateIndex() int {
	if m == m.group.primary {
		return 1
	}
	return 0
}

// warmth is the share of its capacity that a member has for certain.
func (r *Router) capacityShare(m *host) float64 {
	age := r.now - m.StartedAt
	if m.StartedAt == 0 || age >= r.settings.SlowStartWindow {
		return 1
	}
	least, window := r.settings.SlowStartMinShare, r.settings.SlowStartWindow.Seconds()
	return least + (1-least)*max(0, age.Seconds())/window
}

// cold tells whether a member that is in use has not all of its capacity for certain.
func (r *Router) warmingUp(m *host) bool { return m.State == StateReady && r.capacityShare(m) < 1 }

// warm tells whether no member is cold.
func (r *Router) allWarmedUp() bool {
	return !slices.ContainsFunc(r.sortedGroups, func(g *group) bool { return slices.ContainsFunc(g.hosts, r.warmingUp) })
}

// logf writes a line for the operator, one a second at most.
func (r *Router) logf(format string, args ...any) {
	if r.lastLogAt > 0 && r.now < r.lastLogAt+time.Second {
		return
	}
	r.lastLogAt = r.now
	r.emit(Log{fmt.Sprintf(format, args...)})
}

func (r *Router) raiseStamp(s *session, p Position) { s.stamp, s.updatedAt = max(s.stamp, p), r.now }

// forget drops a member that has long been gone, so that rolling replacements don't fill the tables.
func (r *Router) removeGoneHost(m *host) bool {
	if m.State != StateGone || len(m.openAttempts) > 0 || m.group.primary == m || r.now < m.drainNotifiedAt+sessionRetention {
		return false
	}
	delete(r.hosts, m.ID)
	r.topologyVersion++
	return true
}

// onBeside takes in that a Router beside this one has come or gone. While it is there, any session may have
// written through it: all reads that must see their session's writes need what was committed before they came
// (need). Once it has gone, what it wrote lies before that moment.
func (r *Router) onSiblingProcess(e SiblingProcess) {
	r.siblingRunning = e.Running
	if !e.Running {
		r.stampFloor = max(r.stampFloor, r.currentPosition())
		for _, s := range r.sessions {
			s.stamp = max(s.stamp, r.currentPosition())
		}
	}
}

// onStarted takes in that an answer has begun. Its member has done well by then: how long the rest takes is
// up to the client too, and holds no other request up.
func (r *Router) onStreamStarted(e StreamStarted) {
	if q := r.requests[e.Request]; q != nil && q.openAttempt != nil {
		a := q.openAttempt
		r.recordOutcome(a, AttemptResult{Outcome: OutcomeOK})
		a.streaming = true
		a.host.openAttempts = slices.DeleteFunc(a.host.openAttempts, func(o *attempt) bool { return o == a })
	}
	r.finish(r.requests[e.Request])
}

// trimSessions bounds the table: old stamps become part of the floor of unknown sessions, in whatever order.
func (r *Router) evictSessions() {
	crowded := len(r.sessions) > maxSessions
	for key, s := range r.sessions {
		if len(s.dirtyWrites) == 0 && (crowded || r.now-s.updatedAt >= sessionRetention) {
			r.stampFloor = max(r.stampFloor, s.stamp)
			delete(r.sessions, key)
		}
	}
}

// patience is how long an answer may take, by what the class's answers take at present, wherever they come
// from.
func (r *Router) attemptTimeout(class int) time.Duration {
	took, spread := r.latencyMean[class], r.latencyDeviation[class]
	last := r.settings.Classes[class].LatencyObjective.Seconds() - took
	late := max(minTimeoutDeviations*spread, min(maxTimeoutDeviations*spread, last-took))
	return max(r.scaleToObjective(minAttemptTimeout), secondsToDuration(took+late))
}

// schedule asks to be woken when something is due; a router that holds nothing sleeps. The walk's order is no
// matter.
func (r *Router) scheduleTimer() {
	due := r.now + maxEvidenceAge
	if r.subscribeAt > 0 {
		due = r.subscribeAt
	}
	for _, q := range r.requests {
		switch {
		case q.openAttempt == nil:
			due = min(due, r.now+r.scaleToObjective(waitingCheckInterval))
		case !q.openAttempt.overdue:
			due = min(due, q.openAttempt.sentAt+r.attemptTimeout(q.Class))
		}
	}
	r.overdueCheckAt = max(due, r.now+r.settings.TickInterval)
	if due < r.now+maxEvidenceAge && (r.timerAt <= r.now || r.overdueCheckAt < r.timerAt) {
		r.timerAt = r.overdueCheckAt
		r.emit(SetTimer{r.overdueCheckAt - r.now})
	}
}
