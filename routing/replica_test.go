package routing

import (
	"testing"
	"time"
)

// A replica that doesn't check positions itself would answer a bounded read with data that is too old, so the
// read must go to the primary once the known positions of the replicas are too old.
func TestStaleReplicaGetsNoBoundedReadWithoutStalenessCheck(t *testing.T) {
	harness := newHarness(t, noHealthChecks)
	harness.listGroup()
	harness.step(300 * ms)
	if host := harness.attemptedHost(harness.request(1, classBounded, "")); host != "p" {
		t.Fatalf("positions are 300 ms old, but the read went to %s, want p", host)
	}
	if host := harness.attemptedHost(harness.request(2, classAny, "")); host == "p" {
		t.Fatal("a read that any host may answer went to the primary")
	}
}

func TestMisdirectedReadGoesToPrimary(t *testing.T) {
	harness := newHarness(t, nil)
	harness.listGroup()
	host := harness.attemptedHost(harness.request(1, classBounded, ""))
	actions := harness.step(ms,
		AttemptResult{Request: 1, Host: host, Outcome: OutcomeMisdirected, Role: RoleReplica})
	if host = harness.attemptedHost(actions); host != "p" {
		t.Fatalf("a misdirected read went to %s, want p", host)
	}
}

// Traffic between zones is expensive: replicas in the gateway's own zone are picked more often, but never
// exclusively.
func TestOwnZoneIsPreferred(t *testing.T) {
	harness := newHarness(t, func(s *Settings) { s.Zone = "here" })
	harness.list(
		Endpoint{ID: "p", Group: 1, State: StateReady, Zone: "there"},
		Endpoint{ID: "a", Group: 1, State: StateReady, Zone: "here"},
		Endpoint{ID: "b", Group: 1, State: StateReady, Zone: "there"},
	)
	harness.catchUp()
	reads := map[string]int{}
	for id := uint64(1); id <= 500; id++ {
		host := harness.attemptedHost(harness.request(id, classAny, ""))
		reads[host]++
		harness.answer(ms, id, host)
	}
	if reads["a"] < 350 || reads["b"] < 50 || reads["a"]+reads["b"] != 500 {
		t.Errorf("500 reads went to %v, want at least 350 to a, at least 50 to b and none to p", reads)
	}
}

// If the replicas are at their concurrency limits, an idle primary must serve reads. A primary that already
// has an open attempt must not get another read.
func TestIdlePrimaryServesReadsWhileReplicasAreFull(t *testing.T) {
	harness := newHarness(t, nil)
	harness.listGroup()
	id := uint64(1)
	for ; id <= 2*uint64(initialConcurrencyLimit); id++ {
		if host := harness.attemptedHost(harness.request(id, classAny, "")); host == "p" {
			t.Fatal("a replica has capacity, but the read went to the primary")
		}
	}
	if host := harness.attemptedHost(harness.request(id, classAny, "")); host != "p" {
		t.Fatalf("all replicas are full, but the read went to %s, want p", host)
	}
	harness.want(harness.request(id+1, classAny, ""))
}

// In a group without a primary a misdirected read must not be tried at every replica: reads that a warming
// host rejects load it too.
func TestMisdirectedReadWaitsForAPrimary(t *testing.T) {
	harness := newHarness(t, nil)
	harness.list(ready("a", "b", "c")...)
	host := harness.attemptedHost(harness.request(1, classBounded, ""))
	harness.want(harness.step(ms,
		AttemptResult{Request: 1, Host: host, Outcome: OutcomeMisdirected, Role: RoleReplica}))
}

// A gateway that rarely learns the positions of replicas must not send all its bounded reads to the primary.
// It asks a replica for its position first, and uses the primary only if that position is too old.
func TestBoundedReadAwaitsPositionWithoutStalenessCheck(t *testing.T) {
	for name, test := range map[string]struct {
		age  time.Duration // age of the position that the replica reports
		want func(checked string) string
	}{
		"new enough": {age: 50 * ms, want: func(checked string) string { return checked }},
		"too old":    {age: 250 * ms, want: func(string) string { return "p" }},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t, func(s *Settings) { s.StalenessCheck = StalenessCheckNone })
			harness.listGroup()
			harness.now += 300 * ms
			var checked []string
			step := func(event Event) []Action { // returns the attempts
				var attempts []Action
				for _, action := range harness.router.Step(harness.now, []Event{event}) {
					switch action := action.(type) {
					case HealthCheck:
						checked = append(checked, action.Host)
					case Attempt:
						attempts = append(attempts, action)
					}
				}
				return attempts
			}
			attempts := step(newRequest(1, classBounded, time.Second))
			for i := 0; len(attempts) == 0 && i < 10; i++ {
				harness.now += ms
				attempts = step(HealthCheckResult{
					Host: checked[0], Role: RoleReplica, Position: harness.now - test.age,
				})
			}
			if len(checked) != 1 || harness.attemptedHost(attempts) != test.want(checked[0]) {
				t.Fatalf("health checks of %v, then attempts %v, want one health check, "+
					"then one attempt at the checked host if its position is new enough, otherwise at p", checked, attempts)
			}
		})
	}
}

// If replicas check positions themselves, a gateway that knows no positions must not send all its reads to
// one replica. A replica that has rejected a read gets no reads for a while.
func TestReadsSpreadOverReplicasOfUnknownPosition(t *testing.T) {
	harness := newHarness(t, func(s *Settings) { s.HealthChecksAllowed = false })
	harness.list(ready("p", "a", "b")...)
	harness.router.observeRole(harness.router.hosts["p"], RolePrimary, harness.now)
	readsByHost := func(first uint64) map[string]int {
		reads := map[string]int{}
		for id := first; id < first+40; id++ {
			host := harness.attemptedHost(harness.request(id, classBounded, ""))
			reads[host]++
			harness.answer(ms, id, host)
		}
		return reads
	}
	if reads := readsByHost(1); reads["a"] < 8 || reads["b"] < 8 || reads["p"] > 0 {
		t.Fatalf("40 reads went to %v, want at least 8 each to a and b, and none to p", reads)
	}
	lagging := harness.router.hosts["a"]
	lagging.lag, lagging.lagKnownAt = time.Second, harness.now
	if reads := readsByHost(100); reads["a"] > 0 {
		t.Fatalf("a lags, but reads went to %v", reads)
	}
	harness.step(lagRetention)
	if reads := readsByHost(200); reads["a"] < 8 {
		t.Fatalf("a may have caught up, but reads went to %v, want at least 8 to a", reads)
	}
}
