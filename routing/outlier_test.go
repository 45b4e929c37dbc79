package routing

import (
	"testing"
	"time"
)

// On the bench clients' time was up before an answer was overdue: no time-out ever counted against a silent member.
func TestTimeoutCountsAgainstUnresponsiveHost(t *testing.T) {
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

// One lost connection takes all its attempts with it, and on some days connections are lost often: a member
// must not be left alone for it.
func TestLostConnectionIsNoDeadHost(t *testing.T) {
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

// A bad request gets a quick error from whichever member is asked. Such errors move from member to member: they must
// neither be repeated nor count against members, while those of one failing member alone are still repeated.
func TestQuickErrorsFromEveryHostAreRequestCaused(t *testing.T) {
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

// A primary that alone refuses connections is dead, and another is sought. Where one member after another refuses
// while others answer, connections are scarce: the primary is kept, and no replica is asked to take its writes.
func TestScarceConnectionsAreNoDeadPrimary(t *testing.T) {
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
