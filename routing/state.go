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
	set       Settings
	rng       *rand.Rand
	now       time.Duration
	out       []Action
	members   map[string]*member
	groups    map[int]*group
	order     []*group // by number: no decision walks a map
	requests  map[uint64]*request
	sessions  map[string]*session
	bans      map[string]time.Duration // members taken out by hand, and since when
	beside    bool                     // another Router of the same gateway is at work
	floor     Position                 // the stamp of all sessions that are not in the table
	writes    uint64                   // the last write's number
	roster    *fleet.Roster            // the gateways that share the members
	version   int                      // of members and gateways
	size      int                      // the most members ready in any group: what a group's traffic is made for
	took      []float64                // mean time of an answer of each class, in seconds, waits included
	spread    []float64                // and their mean deviation
	odd       float64                  // share of quick errors, each at another member than the last
	oddAt     *member
	squeeze   float64 // share of refused connections, each at another member than the last
	squeezeAt *member
	surge     fleet.LoadEstimator // of requests over answers
	usual     float64             // mean worth of a request for the time that it takes
	sent      float64             // what was sent of late, in seconds of usual answer times
	sentTop   float64             // and the part of it that went to primaries
	askAt     time.Duration       // when to ask for the list again; 0: no need

	dueAt  time.Duration // when the next attempt is overdue, or what waits is looked at
	wakeAt time.Duration // the next Wake that was asked for

	secondAt, loggedAt time.Duration
}

type group struct {
	id         int
	members    []*member // by ID
	primary    *member   // that last answered as such; nil: not known
	primaryAt  time.Duration
	named      *member // by the list, as primary; nil: nobody yet
	namedAt    Position
	served     float64 // answers in this second
	rate       float64 // answers a second, the most of late
	turn       int     // the member to be tried next
	misses     int     // in this round of the search
	pauseUntil time.Duration
	waiting    []*request
	fleet      fleet.Group // what of its members is whose
	dealt      []*member
	dealtIn    int        // of Router.version
	gates      [2]float64 // chance that a request of usual worth is let through to a replica, to the primary
}

type member struct {
	Endpoint
	group     *group
	drainAt   time.Duration // told then that it drains or is gone
	wasListed bool          // as draining
	position  Position      // it has applied all commits up to here: a lower bound, never lowered
	lag       time.Duration // where replicas check: how far behind it was when it turned a read away
	demotedAt Position      // an answer told then that it is a replica
	open      []*attempt    // oldest first
	newsAt    time.Duration // of the last outcome
	strikes   float64       // answers overdue since it last did well
	silent    bool          // and no news of it since, or no connection

	lagAt, cutAt, pauseUntil time.Duration

	seat    int               // among those that are dealt; -1: it isn't
	limit   float64           // open attempts it may have from here
	askedAt time.Duration     // for its position; 0: it has answered
	budget  fleet.TokenBucket // sends that a cold one may get from here
}

type request struct {
	Request
	class *Class
	group *group

	arrived, deadline time.Duration

	number   uint64 // of a write that has been sent
	attempts int
	open     *attempt
	tried    []*member
	reached  bool          // an attempt came to a member
	missed   bool          // a replica turned it away: the primary is next
	asked    *member       // for its position
	mayRun   bool          // an ended attempt might have had its effect
	maybeAt  time.Duration // when the first such attempt, or the one that is out, was sent
	shed     bool          // the only members for it are cold and have enough
	passed   [2]bool       // the gates
	ended    bool          // it has its final answer
	odd      bool          // it gets a quick error from any member
}

// The window for repeats of a key counts at hosts, to which one send may be on its way for longer than
// another: so much of it, or a fifth of a short one, is left unused.
const repeatSlack = 20 * time.Millisecond

// repeatBy is until when a keyed request that may have run may be sent again; 0 where there is no such time.
func (q *request) repeatBy() time.Duration {
	if !q.mayRun || q.class.Idempotency != IdempotentWithKey {
		return 0
	}
	return q.maybeAt + q.class.DedupWindow - min(repeatSlack, q.class.DedupWindow/5)
}

type attempt struct {
	request *request
	number  int
	member  *member
	at      time.Duration
	need    Position
	alone   bool // nothing else was out at its member from here
	overdue bool
	begun   bool // the client has some of its answer
}

type session struct {
	dirty []uint64 // numbers of its writes in flight, ascending
	stamp Position // its last committed position
	at    time.Duration
}

func (r *Router) do(a Action) { r.out = append(r.out, a) }

func (r *Router) here() Position { return r.now - r.set.PositionEpoch }

// scaled is a time where the shortest aim is short: else a silent member's answers would be overdue only when
// its requests' time is up already, and nobody would ever be told that it is silent.
func (r *Router) scaled(d time.Duration) time.Duration {
	shortest := usualAim
	for _, c := range r.set.Classes {
		shortest = min(shortest, c.LatencyObjective)
	}
	return seconds(d.Seconds() * shortest.Seconds() / usualAim.Seconds())
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMillis(ms float64) time.Duration { return seconds(ms / 1000) }

func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

func (r *Router) sessionOf(key string) *session {
	s := r.sessions[key]
	if s == nil {
		s = &session{stamp: r.floor}
		r.sessions[key] = s
	}
	return s
}

func (r *Router) groupOf(id int) *group {
	if r.groups[id] == nil {
		r.groups[id] = &group{id: id, gates: [2]float64{1, 1}}
		r.order = append(r.order, r.groups[id])
		slices.SortFunc(r.order, func(a, b *group) int { return cmp.Compare(a.id, b.id) })
	}
	return r.groups[id]
}

// learnTime takes an answer's time into its class's mean and mean deviation, by a weight.
func (r *Router) learnTime(class int, took, gain float64) {
	d := took - r.took[class]
	r.took[class] += gain * d
	r.spread[class] += gain * (math.Abs(d) - r.spread[class])
}

func neverRan(o Outcome) bool {
	return o == OutcomeMisdirected || o == OutcomeRejected || o == OutcomeNoConnection || o == OutcomeNotSent
}

// leads tells whether a request comes to a member as to the primary.
func (m *member) leads(q *request) bool {
	return m == m.group.primary || q.class.Consistency == ConsistencyWrite && m == m.group.named
}

// gate is the number of the gate that leads to a member: 1 for a primary, else 0.
func (m *member) gate() int {
	if m == m.group.primary {
		return 1
	}
	return 0
}

// warmth is the share of its capacity that a member has for certain.
func (r *Router) warmth(m *member) float64 {
	age := r.now - m.StartedAt
	if m.StartedAt == 0 || age >= r.set.SlowStartWindow {
		return 1
	}
	least, window := r.set.SlowStartMinShare, r.set.SlowStartWindow.Seconds()
	return least + (1-least)*max(0, age.Seconds())/window
}

// cold tells whether a member that is in use has not all of its capacity for certain.
func (r *Router) cold(m *member) bool { return m.State == StateReady && r.warmth(m) < 1 }

// warm tells whether no member is cold.
func (r *Router) warm() bool {
	return !slices.ContainsFunc(r.order, func(g *group) bool { return slices.ContainsFunc(g.members, r.cold) })
}

// logf writes a line for the operator, one a second at most.
func (r *Router) logf(format string, args ...any) {
	if r.loggedAt > 0 && r.now < r.loggedAt+time.Second {
		return
	}
	r.loggedAt = r.now
	r.do(Log{fmt.Sprintf(format, args...)})
}

func (r *Router) raise(s *session, p Position) { s.stamp, s.at = max(s.stamp, p), r.now }

// forget drops a member that has long been gone, so that rolling replacements don't fill the tables.
func (r *Router) forget(m *member) bool {
	if m.State != StateGone || len(m.open) > 0 || m.group.primary == m || r.now < m.drainAt+sessionAge {
		return false
	}
	delete(r.members, m.ID)
	r.version++
	return true
}

// onBeside takes in that a Router beside this one has come or gone. While it is there, any session may have
// written through it: all reads that must see their session's writes need what was committed before they came
// (need). Once it has gone, what it wrote lies before that moment.
func (r *Router) onBeside(e SiblingProcess) {
	r.beside = e.Running
	if !e.Running {
		r.floor = max(r.floor, r.here())
		for _, s := range r.sessions {
			s.stamp = max(s.stamp, r.here())
		}
	}
}

// onStarted takes in that an answer has begun. Its member has done well by then: how long the rest takes is
// up to the client too, and holds no other request up.
func (r *Router) onStarted(e StreamStarted) {
	if q := r.requests[e.Request]; q != nil && q.open != nil {
		a := q.open
		r.judge(a, AttemptResult{Outcome: OutcomeOK})
		a.begun = true
		a.member.open = slices.DeleteFunc(a.member.open, func(o *attempt) bool { return o == a })
	}
	r.finish(r.requests[e.Request])
}

// trimSessions bounds the table: old stamps become part of the floor of unknown sessions, in whatever order.
func (r *Router) trimSessions() {
	crowded := len(r.sessions) > sessionMost
	for key, s := range r.sessions {
		if len(s.dirty) == 0 && (crowded || r.now-s.at >= sessionAge) {
			r.floor = max(r.floor, s.stamp)
			delete(r.sessions, key)
		}
	}
}

// patience is how long an answer may take, by what the class's answers take at present, wherever they come
// from.
func (r *Router) patience(class int) time.Duration {
	took, spread := r.took[class], r.spread[class]
	last := r.set.Classes[class].LatencyObjective.Seconds() - took
	late := max(patienceLess*spread, min(patienceMost*spread, last-took))
	return max(r.scaled(silentFloor), seconds(took+late))
}

// schedule asks to be woken when something is due; a router that holds nothing sleeps. The walk's order is no
// matter.
func (r *Router) schedule() {
	due := r.now + ageMost
	if r.askAt > 0 {
		due = r.askAt
	}
	for _, q := range r.requests {
		switch {
		case q.open == nil:
			due = min(due, r.now+r.scaled(waitEvery))
		case !q.open.overdue:
			due = min(due, q.open.at+r.patience(q.Class))
		}
	}
	r.dueAt = max(due, r.now+r.set.TickInterval)
	if due < r.now+ageMost && (r.wakeAt <= r.now || r.dueAt < r.wakeAt) {
		r.wakeAt = r.dueAt
		r.do(SetTimer{r.dueAt - r.now})
	}
}
