package routing

import (
	"fmt"
	"math/rand/v2"
	"strings"
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

func TestWriteGoesToPrimaryAndDirtySessionFollows(t *testing.T) {
	g := newHarness(t, nil)
	g.listGroup()
	if m := g.attemptedHost(g.request(1, classKeyedWrite, "s")); m != "p" {
		t.Fatalf("write went to %s", m)
	}
	if m := g.attemptedHost(g.request(2, classSession, "s")); m != "p" {
		t.Fatalf("a dirty session's read went to %s", m)
	}
	if m := g.attemptedHost(g.request(3, classSession, "other")); m == "p" {
		t.Fatal("a clean session's read went to the primary")
	}
}

func TestCompletionCleansAndStamps(t *testing.T) {
	g := newHarness(t, func(s *Settings) { s.StalenessCheck, s.HealthChecksAllowed = StalenessCheckNone, false })
	g.listGroup()
	g.request(1, classKeyedWrite, "s")
	g.step(5*ms, AttemptResult{Request: 1, Host: "p", RequestDone: true, Role: RolePrimary, Position: g.now + 4*ms})
	if m := g.attemptedHost(g.request(2, classSession, "s")); m != "p" {
		t.Fatalf("no replica has the stamp, but the read went to %s", m)
	}
	g.step(ms, HealthCheckResult{Host: "a", Role: RoleReplica, Position: g.now})
	for id := uint64(3); id < 8; id++ {
		if m := g.attemptedHost(g.request(id, classSession, "s")); m != "a" {
			t.Fatalf("only a has the stamp, but the read went to %s", m)
		}
		g.step(ms, AttemptResult{Request: id, Host: "a", RequestDone: true, Role: RoleReplica})
	}
}

func TestStaleReplicaGetsNoBoundedReadWhereNoneChecks(t *testing.T) {
	g := newHarness(t, func(s *Settings) { s.StalenessCheck, s.HealthChecksAllowed = StalenessCheckNone, false })
	g.listGroup()
	g.step(300 * ms)
	if m := g.attemptedHost(g.request(1, classBounded, "")); m != "p" {
		t.Fatalf("positions are 300 ms old, but the read went to %s", m)
	}
	if m := g.attemptedHost(g.request(2, classAny, "")); m == "p" {
		t.Fatal("an any-read went to the primary")
	}
}

func TestMissPassesToPrimary(t *testing.T) {
	g := newHarness(t, nil)
	g.listGroup()
	m := g.attemptedHost(g.request(1, classBounded, ""))
	if m = g.attemptedHost(g.step(ms, AttemptResult{Request: 1, Host: m, Outcome: OutcomeMisdirected, Role: RoleReplica})); m != "p" {
		t.Fatalf("a missed read went to %s", m)
	}
}

// On the bench reads were tried at replicas that lagged by seconds, again and again, and each waited to be turned away.
func TestALaggingReplicaIsAskedNotTried(t *testing.T) {
	g := newHarness(t, nil)
	g.listGroup()
	g.now += 20 * time.Second
	for id := range uint64(2) { // both turn a read away: they are 10 s behind
		at := g.attemptedHost(g.request(id, classBounded, ""))
		g.step(ms, AttemptResult{Request: id, Host: at, Outcome: OutcomeMisdirected, Role: RoleReplica, Position: g.now - 10*time.Second})
		g.step(ms, AttemptResult{Request: id, Attempt: 1, Host: "p", Outcome: OutcomeOK, Role: RolePrimary, RequestDone: true})
	}
	probes := 0
	for id := uint64(10); id < 50; id++ { // well past lagKept
		g.now += 100 * ms
		for _, a := range g.router.Step(g.now, []Event{Request{ID: id, Class: classBounded, Tenant: -1, Group: 1, TimeLeft: time.Second}}) {
			switch a := a.(type) {
			case HealthCheck:
				probes++
				g.step(0, HealthCheckResult{Host: a.Host, Role: RoleReplica, Position: g.now - 10*time.Second})
			case Attempt:
				if a.Host != "p" {
					t.Fatalf("tried at %s, which lags", a.Host)
				}
			}
		}
		g.step(ms, AttemptResult{Request: id, Host: "p", Outcome: OutcomeOK, Role: RolePrimary, RequestDone: true})
	}
	if probes < 8 || probes > 24 {
		t.Errorf("%d probes in 4 s", probes)
	}
	g.catchUp()
	if m := g.attemptedHost(g.request(99, classBounded, "")); m == "p" {
		t.Error("a replica that is level again gets no reads")
	}
}

// On the bench aims were a third of the usual: a silent member's answers were overdue only after the clients' time.
func TestTimesFollowShortAims(t *testing.T) {
	g := newHarness(t, func(s *Settings) {
		for i := range s.Classes {
			s.Classes[i].LatencyObjective /= 4
		}
	})
	g.listGroup()
	g.router.latencies[classAny] = latencyEstimate{meanSeconds: 0.02, deviationSeconds: 0.002}
	g.request(1, classAny, "")
	for _, a := range g.step(minAttemptTimeout/2+ms, TimerFired{}) {
		if _, ok := a.(CancelAttempt); ok {
			return
		}
	}
	t.Error("an answer is not overdue after three quarters of its aim")
}

// On the bench requests were refused after more than half of their time that no host had ever seen.
func TestWhatNoHostHasSeenIsRefusedByHalfOfItsTime(t *testing.T) {
	g := newHarness(t, nil)
	g.listGroup()
	g.step(0, EndpointUpdate{Full: true, Endpoints: []Endpoint{{ID: "p", Group: 1, State: StateDraining}, {ID: "a", Group: 1, State: StateDraining}}})
	g.now += time.Second // the grace is over
	if left := g.request(1, classKeyedWrite, "s"); len(left) > 0 {
		t.Fatalf("got %v", left)
	}
	for at := 10 * ms; at <= 2*time.Second; at += 10 * ms {
		if len(g.step(10*ms)) > 0 {
			if at >= time.Second || at < 900*ms {
				t.Errorf("refused after %v of 2 s", at)
			}
			return
		}
	}
	t.Error("never refused")
}

// On the bench clients' time was up before an answer was overdue: no time-out ever counted against a silent member.
func TestATimeOutOfASilentMemberCounts(t *testing.T) {
	for _, talks := range []bool{false, true} {
		g := newHarness(t, nil)
		g.listGroup()
		for id := uint64(1); id <= 2; id++ {
			m := g.router.hosts[g.attemptedHost(g.request(id, classKeyedWrite, ""))]
			if talks {
				g.step(ms, Request{ID: id + 10, Class: classStrong, Tenant: -1, Group: 1, TimeLeft: time.Second})
				g.step(ms, AttemptResult{Request: id + 10, Host: "p", Outcome: OutcomeOK, Role: RolePrimary, RequestDone: true})
			}
			g.step(connectFailureEjectionTime, AttemptResult{Request: id, Host: m.ID, Outcome: OutcomeTimeout, RequestDone: true})
		}
		if s := g.router.hosts["p"].unresponsive; s == talks {
			t.Errorf("talks %v: silent %v", talks, s)
		}
	}
}

// What crosses zones costs: a replica of the own zone is picked more often, but never alone.
func TestOwnZoneIsFavoured(t *testing.T) {
	g := newHarness(t, func(s *Settings) { s.Zone = "here" })
	g.step(0, EndpointUpdate{Full: true, Endpoints: []Endpoint{
		{ID: "p", Group: 1, State: StateReady, Zone: "there"}, {ID: "a", Group: 1, State: StateReady, Zone: "here"},
		{ID: "b", Group: 1, State: StateReady, Zone: "there"},
	}})
	g.catchUp()
	n := map[string]int{}
	for id := uint64(1); id <= 500; id++ {
		m := g.attemptedHost(g.request(id, classAny, ""))
		n[m]++
		g.step(ms, AttemptResult{Request: id, Host: m, Outcome: OutcomeOK, Role: RoleReplica, RequestDone: true})
	}
	if n["a"] < 350 || n["b"] < 50 || n["a"]+n["b"] != 500 {
		t.Errorf("picked %v", n)
	}
}

func TestUnsafeWriteIsNeverRepeatedAfterDoubt(t *testing.T) {
	for _, o := range []Outcome{OutcomeError, OutcomeTimeout, OutcomeConnectionLost, OutcomeCancelled} {
		g := newHarness(t, nil)
		g.listGroup()
		g.request(1, classUnsafeWrite, "s")
		g.want(g.step(10*ms, AttemptResult{Request: 1, Host: "p", Outcome: o}), Fail{1})
	}
}

func TestUnsafeWriteIsRepeatedAfterProof(t *testing.T) {
	g := newHarness(t, nil)
	g.listGroup()
	g.request(1, classUnsafeWrite, "s")
	g.want(g.step(ms, AttemptResult{Request: 1, Host: "p", Outcome: OutcomeRejected, Role: RolePrimary}))
	if m := g.attemptedHost(g.step(rejectionEjectionTime + waitingCheckInterval)); m != "p" {
		t.Fatalf("went to %s", m)
	}
}

func TestKeyedWriteStaysInsideItsWindow(t *testing.T) {
	g := newHarness(t, nil)
	g.listGroup()
	g.request(1, classKeyedWrite, "s")
	if m := g.attemptedHost(g.step(10*ms, AttemptResult{Request: 1, Host: "p", Outcome: OutcomeError, Role: RolePrimary})); m != "p" {
		t.Fatalf("went to %s", m)
	}
	g.want(g.step(1200*ms, AttemptResult{Request: 1, Attempt: 1, Host: "p", Outcome: OutcomeError, Role: RolePrimary}), Fail{1})
}

func TestDrainedMemberGetsNothingNew(t *testing.T) {
	g := newHarness(t, nil)
	g.listGroup()
	g.step(ms, EndpointUpdate{Endpoints: []Endpoint{{ID: "a", Group: 1, State: StateDraining}, {ID: "p", Group: 1, State: StateDraining}}})
	for id := uint64(1); id < 9; id++ {
		if m := g.attemptedHost(g.request(id, classAny, "")); m != "b" {
			t.Fatalf("went to %s", m)
		}
		g.step(ms, AttemptResult{Request: id, Host: "b", RequestDone: true})
	}
	if m := g.attemptedHost(g.request(20, classKeyedWrite, "s")); m != "p" {
		t.Fatalf("inside the grace the draining primary takes writes, but it went to %s", m)
	}
	g.step(ms, AttemptResult{Request: 20, Host: "p", RequestDone: true, Role: RolePrimary, Position: g.now})
	g.step(250 * ms)
	if m := g.attemptedHost(g.request(21, classKeyedWrite, "s")); m != "b" {
		t.Fatalf("past the grace it went to %s", m)
	}
}

func TestEveryRequestGetsOneAnswerAtOnceWhereNothingCanServe(t *testing.T) {
	g := newHarness(t, nil)
	g.want(g.step(0, Request{ID: 1, Class: classKeyedWrite, Group: 7, Tenant: -1}), Reject{1, 500 * ms})
	g.request(2, classUnsafeWrite, "s")
	answers := 0
	for range 400 {
		answers += len(g.step(10 * ms))
	}
	if answers != 1 {
		t.Fatalf("%d answers", answers)
	}
}

func TestUnknownAndRepeatedEventsAreIgnored(t *testing.T) {
	g := newHarness(t, nil)
	g.listGroup()
	m := g.attemptedHost(g.request(1, classAny, ""))
	done := AttemptResult{Request: 1, Host: m, RequestDone: true, Role: RoleReplica}
	g.want(g.step(ms, done, done, AttemptResult{Request: 99}, ClientGone{1}, ClientGone{98}, StreamStarted{97},
		HealthCheckResult{Host: "nobody"}, AttemptResult{Request: 1, Attempt: 5}, Request{ID: 3, Class: 77}))
}

// One lost connection takes all its attempts with it, and on some days connections are lost often: a member
// must not be left alone for it.
func TestBrokenConnectionIsNoDeadMember(t *testing.T) {
	g := newHarness(t, nil)
	g.listGroup()
	for id := range uint64(3) {
		g.request(id, classUnsafeWrite, "s")
	}
	g.want(g.step(10*ms, AttemptResult{Request: 0, Host: "p", Outcome: OutcomeConnectionLost}, AttemptResult{Request: 1, Host: "p", Outcome: OutcomeConnectionLost},
		AttemptResult{Request: 2, Host: "p", Outcome: OutcomeConnectionLost}), Fail{2}, Fail{1}, Fail{0})
	if m := g.attemptedHost(g.request(9, classUnsafeWrite, "s")); m != "p" {
		t.Fatalf("went to %s", m)
	}
}

// Replicas without room must not leave an idle primary unused, and a busy one must be spared.
func TestIdlePrimaryHelpsFullReplicas(t *testing.T) {
	g := newHarness(t, nil)
	g.listGroup()
	id := uint64(1)
	for ; id <= 2*uint64(initialConcurrencyLimit); id++ {
		if m := g.attemptedHost(g.request(id, classAny, "")); m == "p" {
			t.Fatal("a replica has room, but the read went to the primary")
		}
	}
	if m := g.attemptedHost(g.request(id, classAny, "")); m != "p" {
		t.Fatalf("went to %s", m)
	}
	g.want(g.request(id+1, classAny, ""))
}

// A group without a primary must not have each read knock at every replica: misses tip cold members too.
func TestMissedReadWaitsForAPrimary(t *testing.T) {
	g := newHarness(t, nil)
	g.step(0, EndpointUpdate{Full: true, Endpoints: []Endpoint{
		{ID: "a", Group: 1, State: StateReady}, {ID: "b", Group: 1, State: StateReady}, {ID: "c", Group: 1, State: StateReady},
	}})
	m := g.attemptedHost(g.request(1, classBounded, ""))
	g.want(g.step(ms, AttemptResult{Request: 1, Host: m, Outcome: OutcomeMisdirected, Role: RoleReplica}))
}

// Hundreds of routers with a trickle each must keep a cold group within its limit together: a floor or a burst
// for each router, however small, adds up to far too much. The routers are stepped side by side; those sends are
// counted that reach the cold members in the first seconds.
func TestManyRoutersKeepColdMembersWithinTheirLimitTogether(t *testing.T) {
	const routers, warmRate = 300, 300 // requests a second that the whole group answered when warm
	list := EndpointUpdate{Full: true}
	for _, id := range []string{"a", "b", "c"} {
		list.Endpoints = append(list.Endpoints, Endpoint{ID: id, Group: 1, State: StateReady, StartedAt: 100 * time.Second})
	}
	sent := 0
	for i := range uint64(routers) {
		g := newHarness(t, func(s *Settings) { s.GatewayCount = routers })
		g.router.rng = rand.New(rand.NewPCG(i, i))
		g.step(0, list)
		for id := range uint64(2) { // each has two requests in two seconds
			for _, a := range g.step(time.Second, Request{ID: id, Class: classAny, Tenant: -1, Group: 1, TimeLeft: time.Second}) {
				if at, ok := a.(Attempt); ok {
					sent++
					g.step(ms, AttemptResult{Request: id, Host: at.Host, RequestDone: true, Role: RoleReplica})
				}
			}
		}
	}
	s := testSettings()
	limit := s.OverloadMultiple * (s.SlowStartMinShare + (1-s.SlowStartMinShare)*2/s.SlowStartWindow.Seconds()) * warmRate * 2
	if sent == 0 || float64(sent) > limit {
		t.Fatalf("%d sends in two seconds to a cold group that tips at %.0f", sent, limit)
	}
}

// Oldest first, everything in a lasting queue is served just too late; newest first keeps part of it in time.
func TestNewestOfWaitingRequestsGoesFirst(t *testing.T) {
	g := newHarness(t, nil)
	g.step(0, EndpointUpdate{Full: true, Endpoints: []Endpoint{{ID: "p", Group: 1, State: StateReady}}})
	g.step(ms, HealthCheckResult{Host: "p", Role: RolePrimary, Position: g.now})
	for id := uint64(1); id <= uint64(initialConcurrencyLimit)+2; id++ {
		g.request(id, classKeyedWrite, "s")
	}
	got := g.step(ms, AttemptResult{Request: 1, Host: "p", RequestDone: true, Role: RolePrimary, Position: g.now})
	n := uint64(initialConcurrencyLimit)
	g.want(got, Attempt{Request: n + 2, Host: "p"}, Attempt{Request: n + 1, Host: "p"})
}

// A fresh router knows no positions: where replicas don't check, none is tried before it has told one.
func TestUnknownReplicaGetsNoSessionReadWhereNoneChecks(t *testing.T) {
	g := newHarness(t, func(s *Settings) { s.StalenessCheck = StalenessCheckNone })
	g.step(0, EndpointUpdate{Full: true, Endpoints: []Endpoint{{ID: "p", Group: 1, State: StateReady}, {ID: "a", Group: 1, State: StateReady}}})
	g.want(g.request(1, classSession, "s"))
	g.want(g.step(ms, HealthCheckResult{Host: "a", Role: RoleReplica, Position: g.now}), Attempt{Request: 1, Host: "a"})
}

// A router that seldom hears from replicas must not crowd the primary with reads: it asks a replica for its
// position first, and only if that is too old turns to the primary.
func TestBoundedReadAsksForAPositionWhereNoneChecks(t *testing.T) {
	for _, answers := range []bool{true, false} {
		g := newHarness(t, func(s *Settings) { s.StalenessCheck = StalenessCheckNone })
		g.listGroup()
		g.now += 300 * ms
		var asked []string
		probes := func(actions []Action) (kept []Action) {
			for _, a := range actions {
				switch a := a.(type) {
				case HealthCheck:
					asked = append(asked, a.Host)
				case Attempt:
					kept = append(kept, a)
				}
			}
			return kept
		}
		got := probes(g.router.Step(g.now, []Event{Request{ID: 1, Class: classBounded, Tenant: -1, Group: 1, TimeLeft: time.Second}}))
		for i := 0; len(got) == 0 && i < 10; i++ {
			g.now += ms
			p := HealthCheckResult{Host: asked[0], Role: RoleReplica, Position: g.now - 250*ms}
			if answers {
				p.Position = g.now - 50*ms
			}
			got = probes(g.router.Step(g.now, []Event{p}))
		}
		want := "p"
		if answers {
			want = asked[0]
		}
		if len(asked) != 1 || g.attemptedHost(got) != want {
			t.Fatalf("asked %v, then %v", asked, got)
		}
	}
}

// Writes that never ran, or were lost, must not leave sessions in the table for good.
func TestSessionTableIsBounded(t *testing.T) {
	g := newHarness(t, nil)
	g.listGroup()
	for id := range uint64(50) {
		g.request(id, classUnsafeWrite, fmt.Sprint("s", id))
		r := AttemptResult{Request: id, Host: "p", RequestDone: true, Role: RolePrimary, Position: g.now}
		if id%3 == 0 { // lost
			r.Outcome, r.RequestDone = OutcomeError, false
		}
		g.step(ms, r)
	}
	for range 40 {
		g.step(time.Second)
	}
	if n := len(g.router.sessions) + len(g.router.requests); n > 0 {
		t.Fatalf("%d entries left", n)
	}
}

// A primary that takes work and answers nothing must not keep the group waiting for it: what may be repeated is
// called off, and the other members are tried.
func TestHungPrimaryDoesNotEatEveryAttempt(t *testing.T) {
	g := newHarness(t, func(s *Settings) { s.Classes[classKeyedWrite].DedupWindow = 10 * time.Second })
	g.listGroup()
	if m := g.attemptedHost(g.step(ms, Request{ID: 1, Class: classKeyedWrite, Tenant: -1, Group: 1, TimeLeft: 5 * time.Second})); m != "p" {
		t.Fatalf("went to %s", m)
	}
	for n, want := range []string{"p", "another"} { // one overdue answer may be lost; a second is silence
		var got []Action
		for i := 0; len(got) == 0 && i < 400; i++ {
			got = g.step(10 * ms)
		}
		g.want(got, CancelAttempt{1, n})
		m := g.attemptedHost(g.step(ms, AttemptResult{Request: 1, Attempt: n, Host: "p", Outcome: OutcomeCancelled}))
		if (m == "p") != (want == "p") {
			t.Fatalf("after %d overdue answers the write went to %s", n+1, m)
		}
	}
}

func TestTimeoutAtTheDeadlineIsAnsweredOnce(t *testing.T) {
	g := newHarness(t, nil)
	g.listGroup()
	g.request(1, classUnsafeWrite, "s")
	g.want(g.step(2*time.Second, AttemptResult{Request: 1, Host: "p", Outcome: OutcomeTimeout}), Fail{1})
	g.want(g.step(time.Second))
}

func TestEndInTheSameBatchAsAnOutcomeSendsNothing(t *testing.T) {
	g := newHarness(t, nil)
	g.listGroup()
	g.request(1, classKeyedWrite, "s")
	g.want(g.step(ms, AttemptResult{Request: 1, Host: "p", Outcome: OutcomeError, Role: RolePrimary}, ClientGone{1}))
	g.want(g.step(100 * ms))
}

func TestDrainToldWhileARequestWaits(t *testing.T) {
	g := newHarness(t, nil)
	g.step(0, EndpointUpdate{Full: true, Endpoints: []Endpoint{{ID: "a", Group: 1, State: StateReady}}})
	n := uint64(initialConcurrencyLimit)
	for id := uint64(1); id <= n+1; id++ {
		g.request(id, classAny, "")
	}
	g.want(g.step(ms, EndpointUpdate{Endpoints: []Endpoint{{ID: "a", Group: 1, State: StateDraining}}},
		AttemptResult{Request: 1, Host: "a", RequestDone: true, Role: RoleReplica}))
}

// A cold primary has all the writes of its group, and after a search for it all that waited: each router thins
// its own by the same chance, the held ones more.
func TestColdPrimaryIsGuarded(t *testing.T) {
	sent := func(started time.Duration, wait time.Duration) int {
		n := 0
		for seed := range uint64(200) {
			g := newHarness(t, func(s *Settings) { s.OverloadWindow = 100 * ms })
			g.router.rng = rand.New(rand.NewPCG(seed, seed))
			g.router.totalLoadSent, g.router.primaryLoadSent = 10, 8
			g.step(0, EndpointUpdate{Full: true, Endpoints: []Endpoint{
				{ID: "p", Group: 1, State: StateReady, StartedAt: started}, {ID: "a", Group: 1, State: StateReady},
			}})
			g.router.observeRole(g.router.hosts["p"], RolePrimary)
			q := &request{Request: Request{ID: 1, Class: classKeyedWrite}, class: &g.router.settings.Classes[classKeyedWrite],
				group: g.router.groups[1], arrivedAt: g.now - wait, deadline: g.now + 2*time.Second}
			g.router.actions = nil
			g.router.dispatch(q)
			if _, ok := g.router.actions[0].(Attempt); ok {
				n++
			}
		}
		return n
	}
	warm, cold, held := sent(0, 0), sent(100*time.Second, 0), sent(100*time.Second, 200*ms)
	if warm != 200 || cold == 0 || cold > 100 || held >= cold {
		t.Fatalf("of 200 writes went to a primary: warm %d, cold %d, cold and held %d", warm, cold, held)
	}
}

func TestDemotedReplicaGetsNoBoundedReadWhereNoneChecks(t *testing.T) {
	g := newHarness(t, func(s *Settings) { s.StalenessCheck = StalenessCheckNone })
	g.listGroup()
	g.request(1, classKeyedWrite, "s")
	g.step(300*ms, AttemptResult{Request: 1, Host: "p", Outcome: OutcomeMisdirected, Role: RoleReplica})
	for _, a := range g.request(2, classBounded, "") {
		if at, ok := a.(Attempt); ok && at.Request == 2 {
			t.Fatalf("no member is fresh enough or primary, but the read went to %s", at.Host)
		}
	}
	// A report from before the demotion must not make it primary again.
	g.step(ms, HealthCheckResult{Host: "p", Role: RolePrimary, Position: g.now - 100*ms})
	for _, a := range g.request(3, classStrong, "") {
		if at, ok := a.(Attempt); ok && at.Request == 3 {
			t.Fatalf("went to %s on an old report", at.Host)
		}
	}
}

func TestNewNamesTheSettingAtFault(t *testing.T) {
	for want, change := range map[string]func(*Settings){
		"Classes":     func(s *Settings) { s.Classes = nil },
		"MaxAttempts": func(s *Settings) { s.MaxAttempts = 0 },
		"MaxAge":      func(s *Settings) { s.Classes[classBounded].MaxStaleness = 0 },
		"Aim":         func(s *Settings) { s.Classes[classAny].LatencyObjective = 0 },
		"Need":        func(s *Settings) { s.Classes[classAny].Consistency = 99 },
		"ColdShare":   func(s *Settings) { s.SlowStartMinShare = -1 },
	} {
		s := testSettings()
		change(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got %v", want, err)
		}
	}
}

// A bad request gets a quick error from whichever member is asked. Such errors move from member to member: they must
// neither be repeated nor count against members, while those of one failing member alone are still repeated.
func TestQuickErrorsFromEveryMemberAreTheRequestsOwn(t *testing.T) {
	repeats := func(fails func(member string) bool) (n int) {
		g := newHarness(t, nil)
		g.listGroup()
		for id := uint64(1); id <= 40; id++ {
			m := g.attemptedHost(g.request(id, classAny, ""))
			if !fails(m) {
				g.step(100*ms, AttemptResult{Request: id, Host: m, RequestDone: true, Role: RoleReplica})
				continue
			}
			for _, a := range g.step(ms, AttemptResult{Request: id, Host: m, Outcome: OutcomeError, Role: RoleReplica}) {
				if at, ok := a.(Attempt); ok {
					n++
					g.step(100*ms, AttemptResult{Request: id, Attempt: 1, Host: at.Host, RequestDone: true, Role: RoleReplica})
				}
			}
		}
		if s := g.router.hosts["a"].strikes + g.router.hosts["b"].strikes; s > 0 {
			t.Errorf("%v strikes for quick errors", s)
		}
		return n
	}
	if n := repeats(func(string) bool { return true }); n > 4 {
		t.Errorf("%d of 40 bad requests were repeated", n)
	}
	if n := repeats(func(m string) bool { return m == "a" }); n < 10 {
		t.Errorf("only %d repeats of what failed at one member alone", n)
	}
}

// An answer that is lost leaves its attempt open at a member that answers others: the attempt's own patience must
// end it, and the request go elsewhere while it is still worth something.
func TestLostAnswerIsNotWaitedForWhileItsMemberAnswersOthers(t *testing.T) {
	g := newHarness(t, nil)
	g.listGroup()
	for id := uint64(100); id < 200; id++ { // the class's usual time
		g.step(20*ms, AttemptResult{Request: id, Host: g.attemptedHost(g.request(id, classAny, "")), RequestDone: true, Role: RoleReplica})
	}
	lost := g.attemptedHost(g.request(1, classAny, ""))
	for id := uint64(2); id < 50; id++ {
		for _, a := range g.request(id, classAny, "") {
			if a, ok := a.(Attempt); ok {
				for _, a := range g.step(10*ms, AttemptResult{Request: id, Host: a.Host, RequestDone: true, Role: RoleReplica}) {
					if a != (CancelAttempt{1, 0}) {
						t.Fatalf("want the lost attempt called off, got %#v", a)
					}
					if g.router.hosts[lost].unresponsive {
						t.Fatal("a member that answers others is taken to be silent")
					}
					if m := g.attemptedHost(g.step(ms, AttemptResult{Request: 1, Host: lost, Outcome: OutcomeCancelled})); m == lost {
						t.Fatal("the repeat went to the same member")
					}
					return
				}
			}
		}
	}
	t.Fatal("never called off")
}

// Routers with a request now and then reach no limit of open attempts: late answers must make each let less through,
// what is worth least for its time first, and answers in time must open the gate again.
func TestLateAnswersThinWhatASmallRouterSends(t *testing.T) {
	g := newHarness(t, func(s *Settings) { s.Classes[classBounded].PriorityWeight = 0.2 })
	g.listGroup()
	id := uint64(0)
	sent := func(class int, takes time.Duration, n int) (sent int) {
		for range n {
			id++
			for _, a := range g.request(id, class, "") {
				if at, ok := a.(Attempt); ok && at.Request == id {
					sent++
					g.step(takes, AttemptResult{Request: id, Host: at.Host, RequestDone: true, Role: RoleReplica})
				}
			}
		}
		return sent
	}
	sent(classAny, 350*ms, 40)
	dear, cheap := sent(classAny, 350*ms, 60), sent(classBounded, 350*ms, 60)
	if dear > 50 || cheap >= dear {
		t.Errorf("of 60 each, %d of high and %d of low worth were sent while answers were late", dear, cheap)
	}
	sent(classAny, 10*ms, 200)
	if n := sent(classAny, 10*ms, 60); n < 55 {
		t.Errorf("%d of 60 sent after answers were in time again", n)
	}
}

// On a quiet day one answer in ten is late by chance: that must refuse nobody.
func TestSingleLateAnswersRefuseNobody(t *testing.T) {
	g := newHarness(t, nil)
	g.listGroup()
	for id := uint64(1); id <= 200; id++ {
		takes := 10 * ms
		if id%10 == 0 {
			takes = 350 * ms
		}
		m := g.attemptedHost(g.request(id, classAny, ""))
		g.step(takes, AttemptResult{Request: id, Host: m, RequestDone: true, Role: RoleReplica})
	}
}

// A primary that alone refuses connections is dead, and another is sought. Where one member after another refuses
// while others answer, connections are scarce: the primary is kept, and no replica is asked to take its writes.
func TestSqueezedConnectionsAreNoDeadPrimary(t *testing.T) {
	for _, squeezed := range []bool{false, true} {
		g := newHarness(t, nil)
		g.listGroup()
		for _, m := range []string{"p", "a", "b", "p", "a", "b"} {
			if m == "p" || squeezed {
				g.router.recordConnectFailure(g.router.hosts[m])
			}
		}
		if s := g.router.hosts["p"].unresponsive; s == squeezed {
			t.Fatalf("squeezed %v: silent %v after two refusals", squeezed, s)
		}
		g.router.hosts["p"].unresponsive = false // it has answered since
		g.router.recordConnectFailure(g.router.hosts["p"])
		if s := g.router.hosts["p"].unresponsive; s == squeezed {
			t.Errorf("squeezed %v: the refusing primary is taken to be dead: %v", squeezed, s)
		}
	}
}

// What a cold member turns away tips it too: the writes of many routers in search of a primary must pass it by.
func TestSearchForAPrimaryPassesColdMembersBy(t *testing.T) {
	cold := 0
	for seed := range uint64(200) {
		g := newHarness(t, nil)
		g.router.rng = rand.New(rand.NewPCG(seed, seed))
		g.step(0, EndpointUpdate{Full: true, Endpoints: []Endpoint{
			{ID: "cold", Group: 1, State: StateReady, StartedAt: g.now}, {ID: "warm", Group: 1, State: StateReady},
		}})
		if g.attemptedHost(g.request(1, classKeyedWrite, "s")) == "cold" {
			cold++
		}
	}
	if cold == 0 || cold > 90 {
		t.Fatalf("%d of 200 searches began at the cold member", cold)
	}
}

// Where replicas check, a router that knows no positions must not send all its reads to one replica, and one that has
// turned a read away is left for the others only for a while.
func TestReadsSpreadOverReplicasOfUnknownPosition(t *testing.T) {
	g := newHarness(t, func(s *Settings) { s.HealthChecksAllowed = false })
	g.step(0, EndpointUpdate{Full: true, Endpoints: []Endpoint{
		{ID: "p", Group: 1, State: StateReady}, {ID: "a", Group: 1, State: StateReady}, {ID: "b", Group: 1, State: StateReady},
	}})
	g.router.observeRole(g.router.hosts["p"], RolePrimary)
	count := func(first uint64) map[string]int {
		n := map[string]int{}
		for id := first; id < first+40; id++ {
			m := g.attemptedHost(g.request(id, classBounded, ""))
			n[m]++
			g.step(ms, AttemptResult{Request: id, Host: m, RequestDone: true, Role: RoleReplica})
		}
		return n
	}
	if n := count(1); n["a"] < 8 || n["b"] < 8 || n["p"] > 0 {
		t.Fatalf("reads went to %v", n)
	}
	g.router.hosts["a"].lag, g.router.hosts["a"].lagKnownAt = time.Second, g.now
	if n := count(100); n["a"] > 0 {
		t.Fatalf("a is behind, but reads went to %v", n)
	}
	g.step(lagRetention)
	if n := count(200); n["a"] < 8 {
		t.Fatalf("a may have caught up, but reads went to %v", n)
	}
}

// Hundreds of routers that wake for nothing cost more than their traffic: one that holds nothing sleeps, one that
// waits for an answer wakes when it is overdue and not before.
func TestAnIdleRouterAsksForNoWakes(t *testing.T) {
	g := newHarness(t, nil)
	g.listGroup()
	wakes := func(events ...Event) (in []time.Duration) {
		g.now += ms
		for _, a := range g.router.Step(g.now, events) {
			if w, ok := a.(SetTimer); ok {
				in = append(in, w.After)
			}
		}
		return in
	}
	for range 50 {
		if w := wakes(); len(w) > 0 {
			t.Fatalf("an idle router asks to be woken in %v", w)
		}
	}
	w := wakes(Request{ID: 1, Class: classAny, Tenant: -1, Group: 1, TimeLeft: 2 * time.Second})
	if len(w) != 1 || w[0] < 100*ms {
		t.Fatalf("with one attempt out it asks to be woken in %v", w)
	}
	if w = wakes(); len(w) > 0 {
		t.Fatalf("it asks again, in %v", w)
	}
}

// BenchmarkStep has a router of a large fleet (60 groups of 5) take and finish one request a Step.
func BenchmarkStep(b *testing.B) {
	r, err := New(testSettings(), 1)
	if err != nil {
		b.Fatal(err)
	}
	list := EndpointUpdate{Full: true}
	for i := range 300 {
		list.Endpoints = append(list.Endpoints, Endpoint{ID: fmt.Sprint("m", i), Group: i / 5, State: StateReady})
	}
	now := time.Hour
	r.Step(now, []Event{list})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += ms
		id := uint64(i)
		q := Request{ID: id, Class: classAny, Tenant: -1, Group: i % 60, TimeLeft: time.Second}
		for _, a := range r.Step(now, []Event{q}) {
			if at, ok := a.(Attempt); ok {
				r.Step(now+ms/2, []Event{AttemptResult{Request: id, Host: at.Host, RequestDone: true, Role: RoleReplica}})
			}
		}
	}
}

// A router that starts while a group is down to its last, cold member must not take that for the group's size: what
// the group's other members carried before comes to this one.
func TestARouterThatStartsLateTakesAGroupForAsLargeAsTheOthers(t *testing.T) {
	g := newHarness(t, nil)
	list := EndpointUpdate{Full: true, Endpoints: []Endpoint{{ID: "cold", Group: 1, State: StateReady, StartedAt: g.now}}}
	for _, id := range []string{"a", "b", "c", "d"} {
		list.Endpoints = append(list.Endpoints, Endpoint{ID: id, Group: 2, State: StateReady})
	}
	g.step(0, list)
	sent := 0
	for id := range uint64(100) {
		for _, a := range g.request(id, classAny, "") {
			if _, ok := a.(Attempt); ok {
				sent++
				g.step(0, AttemptResult{Request: id, Host: "cold", RequestDone: true, Role: RoleReplica})
			}
		}
	}
	if sent == 0 || sent > 25 {
		t.Fatalf("%d of 100 sent to a group's last, cold member", sent)
	}
}

// While six in ten members of a fleet are replaced, the new ones stand beside the old for some seconds. Groups were then
// taken to be made for twice their traffic, and until the end of the day half of what came to cold members was refused.
func TestMembersThatReplaceOthersMakeNoGroupLarger(t *testing.T) {
	sentOf := func(overlap bool) (sent int) {
		g := newHarness(t, nil)
		group := func(from, to int, state EndpointState, started time.Duration) (e EndpointUpdate) {
			for i := from; i < to; i++ {
				e.Endpoints = append(e.Endpoints, Endpoint{ID: fmt.Sprint("m", i), Group: 1, State: state, StartedAt: started})
			}
			return e
		}
		old := group(0, 4, StateReady, 0)
		old.Full = true
		g.step(0, old)
		if !overlap {
			g.step(ms, group(0, 4, StateGone, 0))
		}
		g.step(ms, group(4, 8, StateReady, g.now))
		g.step(ms, group(0, 4, StateGone, 0))
		for id := range uint64(200) {
			for _, a := range g.request(id, classAny, "") {
				if a, ok := a.(Attempt); ok {
					sent++
					g.step(0, AttemptResult{Request: id, Host: a.Host, RequestDone: true, Role: RoleReplica})
				}
			}
		}
		return sent
	}
	if with, without := sentOf(true), sentOf(false); with == 0 || with*5 < without*4 {
		t.Errorf("%d of 200 sent where old and new members overlap, else %d", with, without)
	}
}

// A probe of each new member by each gateway is a connection and a probe for every pair of a fleet and its hosts.
func TestNewMembersAreProbedOnlyWhereReplicasDoNotCheck(t *testing.T) {
	for check, want := range map[StalenessCheck]int{StalenessCheckNone: 2, StalenessCheckReject: 0, StalenessCheckWait: 0} {
		g, probes := newHarness(t, func(s *Settings) { s.StalenessCheck = check }), 0
		for _, a := range g.router.Step(g.now, []Event{EndpointUpdate{Full: true, Endpoints: []Endpoint{
			{ID: "a", Group: 1, State: StateReady}, {ID: "b", Group: 1, State: StateReady}}}}) {
			if _, ok := a.(HealthCheck); ok {
				probes++
			}
		}
		if probes != want {
			t.Errorf("check %v: %d probes", check, probes)
		}
	}
}

// What a list says may be empty, repeated, contradictory or large, and events may come late, twice or for nothing:
// none of it may panic, send past a drain or answer twice.
func TestOddListsReportsAndClocks(t *testing.T) {
	g := newHarness(t, nil)
	g.step(0, EndpointUpdate{}, EndpointUpdate{Full: true}, EndpointUpdate{Failed: true})
	g.want(g.step(ms, Request{ID: 1, Class: classAny, Tenant: -1, Group: 1, TimeLeft: time.Second}))
	g.listGroup()
	twice := []Endpoint{
		{ID: "a", Group: 1, State: StateDraining}, {ID: "a", Group: 1, State: StateReady}, {ID: "a", Group: 9, State: StateGone},
		{ID: "b", Group: 1, State: StateGone}, {ID: "b", Group: 1, State: StateGone}, {ID: "new", Group: 1, State: StateGone},
	}
	g.step(ms, EndpointUpdate{Endpoints: twice})
	for id := uint64(10); id < 30; id++ {
		for _, a := range g.request(id, classAny, "") {
			if at, ok := a.(Attempt); ok && at.Host != "p" {
				t.Fatalf("went to %s after the list's last word on it was gone", at.Host)
			}
		}
	}
	var many []Endpoint
	for i := range 700 {
		many = append(many, Endpoint{ID: fmt.Sprint("m", i%600), Group: i % 90, State: EndpointState(i % 3)})
	}
	g.step(ms, EndpointUpdate{Full: true, Endpoints: many}, EndpointUpdate{Full: true, Endpoints: many})
	g.step(ms, HealthCheckResult{Host: "p", Role: RolePrimary, Position: -5}, HealthCheckResult{Host: "a", Role: Role(77), Position: 1 << 62})
}

func TestAClockThatStandsStillOrGoesBack(t *testing.T) {
	g := newHarness(t, nil)
	g.listGroup()
	m := g.attemptedHost(g.request(1, classAny, ""))
	g.want(g.step(-time.Hour, AttemptResult{Request: 1, Host: m, RequestDone: true, Role: RoleReplica}))
	g.want(g.step(0, AttemptResult{Request: 1, Host: m, RequestDone: true, Role: RoleReplica}))
	if m := g.attemptedHost(g.step(0, Request{ID: 2, Class: classAny, Tenant: -1, Group: 1, TimeLeft: time.Second})); m == "p" {
		t.Fatal("an any-read went to the primary")
	}
}

// Optional settings may be missing or huge; what is then left of the rules must still hold.
func TestZeroAndHugeOptionalSettings(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"zero": func(s *Settings) {
			*s = Settings{Classes: s.Classes, GatewayCount: 1, MaxAttempts: 1}
		},
		"huge": func(s *Settings) {
			s.GatewayCount, s.MaxAttempts, s.OverloadMultiple = 1<<40, 1<<40, 1e300
			s.SlowStartWindow, s.DrainGrace, s.OverloadWindow, s.TickInterval = 1<<61, 1<<60, 1<<60, time.Hour
		},
	} {
		g := newHarness(t, change)
		g.listGroup()
		answers := 0
		for id := uint64(1); id <= 20; id++ {
			for _, a := range g.request(id, int(id)%6, "s") {
				switch a := a.(type) {
				case Attempt:
					answers++
					g.step(ms, AttemptResult{Request: a.Request, Host: a.Host, RequestDone: true, Role: RoleReplica, Position: g.now})
				case Reject, Fail:
					answers++
				}
			}
		}
		for range 300 {
			answers += len(g.step(10 * ms))
		}
		if answers < 20 || answers > 21 {
			t.Errorf("%s: %d answers to 20 requests", name, answers)
		}
	}
}
