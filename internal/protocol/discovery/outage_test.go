package discovery

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"go.uber.org/zap"

	"merlinjunction/internal/eventloop"
	"merlinjunction/internal/proxy"
	"merlinjunction/routing"
)

// behavior defines how the stub of discovery handles one poll.
type behavior string

const (
	healthy        behavior = "healthy" // a watch waits for an update until the timeout in its query
	noResponse     behavior = "mute"    // nothing is sent, and the connection stays open
	lateClose      behavior = "quiet"   // nothing is sent, and the connection is closed after lateCloseMs
	headOnly       behavior = "head"    // only the head of the response is sent
	partialBody    behavior = "body"    // the response stops within its body
	immediateClose behavior = "reset"   // the connection is closed at once
	overloaded     behavior = "busy"    // status 503
	unchangedList  behavior = "same"    // the unchanged list is sent at once
	lateCloseMs             = 900.0     // delay of lateClose
)

// stubDiscovery is a stub of discovery on the test's own event loop.
type stubDiscovery struct {
	loop         *eventloop.Loop
	behaviors    []behavior // for the next polls; the last one also handles all later polls
	polls        []string   // request lines in order of arrival
	pollTimesMs  []float64
	drainStartMs float64 // time from which host "a" is draining, in revision 5
	conns        map[*stubConn]bool
}

// stubConn is one connection to the stub.
type stubConn struct {
	stub         *stubDiscovery
	conn         *eventloop.Conn
	watching     bool // a watch is waiting for an update
	watchUntilMs float64
	closeAtMs    float64 // 0 if the connection stays open
}

func (c *stubConn) Connected()  {}
func (c *stubConn) Flushed()    {}
func (c *stubConn) Ended(error) { c.close() }

func (c *stubConn) close() {
	c.conn.Close()
	delete(c.stub.conns, c)
}

func (c *stubConn) Data() {
	stub, now := c.stub, c.stub.loop.Clock.Now()
	if !bytes.Contains(c.conn.In(), []byte("\r\n\r\n")) {
		return
	}
	line, _, _ := strings.Cut(string(c.conn.In()), " HTTP/1.1")
	c.conn.Consume(len(c.conn.In()))
	stub.polls = append(stub.polls, strings.TrimPrefix(line, "GET /v1/servers"))
	stub.pollTimesMs = append(stub.pollTimesMs, now)
	next := stub.behaviors[0]
	if len(stub.behaviors) > 1 {
		stub.behaviors = stub.behaviors[1:]
	}
	if c.fail(next) {
		return
	}
	var revision, watchMs int
	_, _ = fmt.Sscanf(line, "GET /v1/servers?since=%d&timeout_ms=%d", &revision, &watchMs)
	c.watching, c.watchUntilMs = true, now+float64(watchMs)
	c.tick()
}

// fail handles a poll with a faulty behavior. It returns false if the behavior is healthy.
func (c *stubConn) fail(failure behavior) bool {
	c.watching = false
	now := c.stub.loop.Clock.Now()
	text := c.stub.response(now)
	headEnd := strings.Index(text, "\r\n\r\n") + 4
	switch failure {
	case noResponse:
	case lateClose:
		c.closeAtMs = now + lateCloseMs
	case headOnly:
		c.conn.Write([]byte(text[:headEnd]))
	case partialBody:
		c.conn.Write([]byte(text[:headEnd+9]))
	case immediateClose:
		c.close()
	case overloaded:
		c.conn.Write([]byte("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"))
	case unchangedList:
		c.conn.Write([]byte(text))
	default:
		return false
	}
	return true
}

// tick closes the connection once closeAtMs is reached, and responds to a watch once there is an update or the watch has
// timed out.
func (c *stubConn) tick() {
	now := c.stub.loop.Clock.Now()
	if c.closeAtMs > 0 && now >= c.closeAtMs {
		c.close()
		return
	}
	if c.watching && (now >= c.watchUntilMs || now >= c.stub.drainStartMs) {
		c.watching = false
		c.conn.Write([]byte(c.stub.response(now)))
	}
}

func (d *stubDiscovery) response(now float64) string {
	if now >= d.drainStartMs {
		return listResponse(5, "leaving")
	}
	return listResponse(4, "active")
}

func listResponse(revision int, phase string) string {
	body := fmt.Sprintf(`{
  "revision": %d,
  "complete": true,
  "members": [
    {"id": "a", "host_port": "127.0.0.1:1", "phase": %q}
  ]
}
`, revision, phase)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// listen opens the stub's listener.
func (d *stubDiscovery) listen(t *testing.T) *eventloop.Listener {
	t.Helper()
	accept := func(fd int) {
		conn, err := d.loop.Adopt(fd, 1<<16)
		if err != nil {
			t.Error(err)
			return
		}
		c := &stubConn{stub: d, conn: conn}
		conn.SetHandler(c)
		d.conns[c] = true
	}
	listener, err := d.loop.Listen("127.0.0.1:0", accept, func(err error) { t.Error(err) })
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// outage is one test case: which poll fails, how it fails, and how many polls fail in a row.
type outage struct {
	pushed  bool
	poll    string // "first", "watch", or "moved" for the first poll at a new address
	failure behavior
	times   int
}

func (o outage) String() string {
	return fmt.Sprintf("pushed %v, %s call, %s, %d times", o.pushed, o.poll, o.failure, o.times)
}

// TestDrainIsKnownInTimeDespiteOutages lets discovery fail at the poll that should report a drain: in each way, once and
// twice in a row, at the first poll, at a watch, or at the first poll of a new address. The gateway must receive the
// drain within the drain grace period as the platform counts it, and must count it as notified since a time in that
// period. The period starts 6 s after the poll timed out or, for a pushed list, when discovery responds again.
func TestDrainIsKnownInTimeDespiteOutages(t *testing.T) {
	for _, pushed := range []bool{true, false} {
		for _, poll := range []string{"first", "watch", "moved"} {
			for _, failure := range []behavior{noResponse, headOnly, partialBody, lateClose, immediateClose, overloaded, unchangedList} {
				for times := 1; times <= 2; times++ {
					o := outage{pushed, poll, failure, times}
					t.Run(o.String(), o.run)
				}
			}
		}
	}
}

func (o outage) run(t *testing.T) {
	const graceMs = 2000.0
	now := 1e6
	loop, err := eventloop.New(eventloop.ManualClock(&now))
	if err != nil {
		t.Fatal(err)
	}
	stub := &stubDiscovery{loop: loop, conns: map[*stubConn]bool{}, drainStartMs: 1e12, behaviors: []behavior{healthy}}
	listener := stub.listen(t)
	faulty := []behavior{o.failure}
	if o.times == 2 {
		faulty = append(faulty, o.failure)
	}
	faulty = append(faulty, healthy)
	failedAtMs, receivedAtMs, notifiedAtMs := 0.0, 0.0, 0.0
	fail := func() { stub.behaviors, stub.drainStartMs, failedAtMs = faulty, now+1, now }
	if o.poll == "first" {
		fail()
	}
	config := Config{GatewayCount: 300, DrainGraceMs: graceMs, Seed: 7, Pushed: o.pushed, Revision: 4}
	w := Watch(loop, zap.NewNop(), listener.Addr(), config, func(_ bool, hosts []proxy.Host, notified float64) {
		if hosts[0].State == routing.StateDraining && receivedAtMs == 0 {
			receivedAtMs, notifiedAtMs = now, notified
		}
	})
	rounds := 0
	err = loop.Run(func() {
		rounds++
		if rounds%4 == 0 { // in the rounds between, sent data arrives while the clock stands still
			now += 10
		}
		for c := range stub.conns {
			c.tick()
		}
		switch {
		case failedAtMs == 0 && len(stub.polls) >= 2:
			if o.poll == "moved" {
				w.SetAddress(listener.Addr())
			}
			fail()
			if o.poll == "watch" { // the watch in flight fails
				for c := range stub.conns {
					c.fail(o.failure)
				}
				stub.behaviors = stub.behaviors[1:]
			}
		case receivedAtMs > 0 && now > receivedAtMs+1000 || rounds > 20_000:
			loop.Stop()
		}
		loop.Wake()
	})
	if err != nil {
		t.Fatal(err)
	}
	loop.Close()
	// A watch times out only after the time for which it may wait. A change of address counts from 4 s after SIGHUP.
	maxDelayMs := 6000 + graceMs - 500
	if fails := o.failure == immediateClose || o.failure == overloaded || o.failure == unchangedList; fails && o.pushed {
		maxDelayMs = graceMs
	} else if fails { // polled list: four times 5 s
		maxDelayMs = 20_000
	}
	switch {
	case receivedAtMs == 0:
		t.Errorf("the drain was never received; polls %q", stub.polls)
	case receivedAtMs > failedAtMs+maxDelayMs:
		t.Errorf("the drain was received %.0f ms after the poll failed, want at most %.0f ms", receivedAtMs-failedAtMs, maxDelayMs)
	case o.pushed && o.failure != unchangedList && notifiedAtMs > failedAtMs+50:
		t.Errorf("the drain counts as notified %.0f ms after the poll failed, want at most 50 ms", notifiedAtMs-failedAtMs)
	}
	for i := 10; i < len(stub.pollTimesMs); i++ {
		if stub.pollTimesMs[i] < stub.pollTimesMs[i-10]+400 {
			t.Errorf("ten polls within %.0f ms, want at least 400 ms", stub.pollTimesMs[i]-stub.pollTimesMs[i-10])
			break
		}
	}
}
