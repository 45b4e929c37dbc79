package routing

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

func TestWritesAndReadsOfADirtySessionGoToThePrimary(t *testing.T) {
	harness := newHarness(t, nil)
	harness.listGroup()
	if host := harness.attemptedHost(harness.request(1, classKeyedWrite, "s")); host != "p" {
		t.Fatalf("the write went to %s, want p", host)
	}
	if host := harness.attemptedHost(harness.request(2, classSession, "s")); host != "p" {
		t.Fatalf("the read of a dirty session went to %s, want p", host)
	}
	if host := harness.attemptedHost(harness.request(3, classSession, "other")); host == "p" {
		t.Fatal("the read of a clean session went to the primary")
	}
}

func TestCompletedWriteClearsDirtySetAndRaisesStamp(t *testing.T) {
	harness := newHarness(t, noHealthChecks)
	harness.listGroup()
	harness.request(1, classKeyedWrite, "s")
	harness.step(5*ms, AttemptResult{
		Request: 1, Host: "p", RequestDone: true, Role: RolePrimary, Position: harness.now + 4*ms,
	})
	if host := harness.attemptedHost(harness.request(2, classSession, "s")); host != "p" {
		t.Fatalf("no replica has reached the stamp, but the read went to %s, want p", host)
	}
	harness.step(ms, HealthCheckResult{Host: "a", Role: RoleReplica, Position: harness.now})
	for id := uint64(3); id < 8; id++ {
		if host := harness.attemptedHost(harness.request(id, classSession, "s")); host != "a" {
			t.Fatalf("only a has reached the stamp, but the read went to %s", host)
		}
		harness.answer(ms, id, "a")
	}
}

// A Router that has just started knows no positions. If replicas don't check positions themselves, a session
// read waits until the position of a replica is known.
func TestReplicaOfUnknownPositionGetsNoSessionReadWithoutStalenessCheck(t *testing.T) {
	harness := newHarness(t, func(s *Settings) { s.StalenessCheck = StalenessCheckNone })
	harness.list(ready("p", "a")...)
	harness.want(harness.request(1, classSession, "s"))
	actions := harness.step(ms, HealthCheckResult{Host: "a", Role: RoleReplica, Position: harness.now})
	harness.want(actions, Attempt{Request: 1, Host: "a"})
}

// Writes that never ran or whose outcome is unknown must not keep their sessions in the table forever.
func TestSessionTableIsBounded(t *testing.T) {
	harness := newHarness(t, nil)
	harness.listGroup()
	for id := range uint64(50) {
		harness.request(id, classUnsafeWrite, fmt.Sprint("s", id))
		result := AttemptResult{
			Request: id, Host: "p", RequestDone: true, Role: RolePrimary, Position: harness.now,
		}
		if id%3 == 0 { // its outcome is unknown
			result.Outcome, result.RequestDone = OutcomeError, false
		}
		harness.step(ms, result)
	}
	for range 40 {
		harness.step(time.Second)
	}
	if entries := len(harness.router.sessions) + len(harness.router.requests); entries > 0 {
		t.Fatalf("%d sessions and requests left after 40 s, want 0", entries)
	}
}

// Guards against a gateway that was killed for memory, because its session table kept the keys that clients
// sent, of up to 160 KiB each. Sessions with long keys must still be told apart.
func TestSessionTableKeepsNoLongKeys(t *testing.T) {
	harness := newHarness(t, nil)
	harness.listGroup()
	longKey := strings.Repeat("k", 150<<10)
	harness.request(1, classKeyedWrite, longKey)
	if host := harness.attemptedHost(harness.request(2, classSession, longKey)); host != "p" {
		t.Errorf("the read of a dirty session went to %s, want p", host)
	}
	if host := harness.attemptedHost(harness.request(3, classSession, longKey+"x")); host == "p" {
		t.Error("the read of a clean session went to the primary")
	}
	for key := range harness.router.sessions {
		if len(key) > maxSessionKey {
			t.Errorf("the table keeps a key of %d bytes, want at most %d", len(key), maxSessionKey)
		}
	}
}

// Another process of the gateway may have completed a write of any session. While it runs, and for its writes
// until it ended, a replica counts as up to date only if it has reported a position since.
func TestSessionReadsSeeWritesOfASiblingProcess(t *testing.T) {
	harness := newHarness(t, noHealthChecks)
	harness.listGroup()
	harness.catchUp()
	id := uint64(0)
	read := func() string {
		id++
		request := newRequest(id, classSession, time.Second)
		request.Session = "s"
		host := harness.attemptedHost(harness.step(ms, request))
		harness.step(ms, AttemptResult{Request: id, Host: host, RequestDone: true, Role: RoleUnknown})
		return host
	}
	if host := read(); host == "p" {
		t.Fatalf("the read of a clean session went to %s, want a replica", host)
	}
	harness.step(ms, SiblingProcess{Running: true})
	if host := read(); host != "p" {
		t.Errorf("while the sibling process runs, the read went to %s, want p", host)
	}
	harness.step(ms, SiblingProcess{Running: false})
	if host := read(); host != "p" {
		t.Errorf("just after the sibling process ended, the read went to %s, want p", host)
	}
	harness.step(ms, HealthCheckResult{Host: "a", Role: RoleReplica, Position: harness.now})
	if host := read(); host != "a" {
		t.Errorf("after replica a reported that position, the read went to %s, want a", host)
	}
}

// Guards against bounded reads that were sent late to a replica whose data had become too old meanwhile. The
// attempt must have the time from which the known data is too old. Replicas that check their position need
// no such time, and the primary has all commits.
func TestBoundedReadIsSentOnlyWhileItsReplicaIsFresh(t *testing.T) {
	const epoch = 40 * time.Second
	for name, test := range map[string]struct {
		check   StalenessCheck
		primary bool // the replicas' data is too old already
		want    time.Duration
	}{
		"replica that checks nothing":        {StalenessCheckNone, false, 170 * ms}, // 200 ms, of which 30 have passed
		"replica that checks its position":   {StalenessCheckReject, false, 0},
		"primary, as all replicas are stale": {StalenessCheckNone, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t, func(s *Settings) {
				s.StalenessCheck, s.HealthChecksAllowed, s.PositionEpoch = test.check, false, epoch
			})
			harness.list(ready("p", "a")...)
			age := 29 * ms // request adds a millisecond
			if test.primary {
				age = 300 * ms
			}
			harness.step(ms, HealthCheckResult{Host: "p", Role: RolePrimary, Position: harness.now - epoch},
				HealthCheckResult{Host: "a", Role: RoleReplica, Position: harness.now + ms - epoch - age})
			actions := harness.request(1, classBounded, "")
			attempt := actions[0].(Attempt)
			left := attempt.SendBefore
			if left > 0 {
				left -= harness.now
			}
			if wantHost := map[bool]string{false: "a", true: "p"}[test.primary]; attempt.Host != wantHost || left != test.want {
				t.Errorf("sent to %s, to be written within %v; want %s and %v", attempt.Host, left, wantHost, test.want)
			}
		})
	}
}

// A write whose session is not known can be of any session: while it is in flight, the reads of all sessions go to the
// primary, and afterwards they require its position.
func TestReadsRequireTheWritesOfUnidentifiedSessions(t *testing.T) {
	harness := newHarness(t, noHealthChecks)
	harness.listGroup()
	write := func(id uint64) Request {
		return Request{ID: id, Class: classUnsafeWrite, Tenant: -1, Group: 1, TimeLeft: time.Second, SessionUnidentified: true}
	}
	harness.step(ms, write(1))
	harness.step(ms, write(2))
	harness.step(5*ms, AttemptResult{Request: 2, Host: "p", RequestDone: true, Role: RolePrimary, Position: harness.now + ms})
	harness.catchUp()
	if host := harness.attemptedHost(harness.request(3, classSession, "s")); host != "p" {
		t.Fatalf("an unidentified write is in flight, but the read went to %s, want p", host)
	}
	harness.step(5*ms, AttemptResult{Request: 1, Host: "p", RequestDone: true, Role: RolePrimary, Position: harness.now + 4*ms})
	if host := harness.attemptedHost(harness.request(4, classSession, "s")); host != "p" {
		t.Fatalf("no replica has the unidentified write, but the read went to %s, want p", host)
	}
	harness.catchUp()
	if host := harness.attemptedHost(harness.request(5, classSession, "s")); host == "p" {
		t.Fatal("the replicas have the unidentified write, but the read went to the primary")
	}
}

// A read whose session is not known can be of any session, so only the primary serves it.
func TestReadOfAnUnidentifiedSessionGoesToThePrimary(t *testing.T) {
	harness := newHarness(t, nil)
	harness.listGroup()
	actions := harness.step(ms, Request{
		ID: 1, Class: classSession, Tenant: -1, Group: 1, TimeLeft: time.Second, SessionUnidentified: true,
	})
	if host := harness.attemptedHost(actions); host != "p" {
		t.Fatalf("the read went to %s, want p", host)
	}
}
