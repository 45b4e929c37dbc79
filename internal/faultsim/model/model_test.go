package model

import (
	"math"
	"math/rand/v2"
	"testing"

	"merlinjunction/internal/proxy"
	"merlinjunction/routing"
)

// testScheduler is a virtual clock that a test advances.
type testScheduler struct {
	now     float64
	entries []scheduledCall
}

type scheduledCall struct {
	at   float64
	call func()
}

func (s *testScheduler) Now() float64 { return s.now }

func (s *testScheduler) At(ms float64, call func()) {
	s.entries = append(s.entries, scheduledCall{max(ms, s.now), call})
}

// runUntil makes the calls that are scheduled up to a time, earliest first, and advances the clock to that time.
func (s *testScheduler) runUntil(ms float64) {
	for {
		next := -1
		for i, entry := range s.entries {
			if entry.at <= ms && (next < 0 || entry.at < s.entries[next].at) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		entry := s.entries[next]
		s.entries = append(s.entries[:next], s.entries[next+1:]...)
		s.now = entry.at
		entry.call()
	}
	s.now = ms
}

func newTestWorld() (*World, *testScheduler) {
	scheduler := &testScheduler{}
	world := &World{
		Scheduler:   scheduler,
		Random:      rand.New(rand.NewPCG(1, 1)),
		LinkDelayMs: 0.3,
		IsCut:       func(int, int) bool { return false },
		SlowStart: SlowStart{
			MinShare:         0.2,
			WindowMs:         10_000,
			OverloadMultiple: 2.5,
			OverloadWindowMs: 1000,
			UsualRate:        50,
		},
		Groups: []*Group{{}},
	}
	return world, scheduler
}

func testHostConfig() *HostConfig {
	return &HostConfig{
		Cores:         2,
		ReadMs:        4,
		WriteMs:       6,
		HandshakeMs:   2,
		QueueLimit:    20,
		MaxConns:      3,
		LagMs:         30,
		DedupWindowMs: 2000,
		DrainGraceMs:  2000,
	}
}

// recordingHandler is the gateway's handler of a connection. It counts its callbacks and records the responses.
type recordingHandler struct {
	established, closed, written int
	responses                    []proxy.Response
}

func (h *recordingHandler) Established()            { h.established++ }
func (h *recordingHandler) RequestWritten()         { h.written++ }
func (h *recordingHandler) BeginStream(func()) bool { return false }
func (h *recordingHandler) StreamPart([]byte) int   { return 0 }
func (h *recordingHandler) ConnectionClosed(error)  { h.closed++ }
func (h *recordingHandler) ResponseReceived(response proxy.Response) {
	h.responses = append(h.responses, response)
}

// dial connects to a host from a new gateway.
func dial(t *testing.T, world *World, address string) (*recordingHandler, proxy.UpstreamConn) {
	t.Helper()
	handler, gateway := &recordingHandler{}, world.NewGateway(0, "")
	settings := Settings(&world.SlowStart, testHostConfig(), 1)
	if err := gateway.Start(settings, world.NewDiscovery(0), 1); err != nil {
		t.Fatal(err)
	}
	conn, err := dialer{gateway}.Dial(address, handler)
	if err != nil {
		t.Fatal(err)
	}
	return handler, conn
}

// Tests that a host accepts connections up to its limit, each after the work of a handshake, that it refuses more, and that
// it resets all of them when it is killed.
func TestConnectionLimitAndReset(t *testing.T) {
	world, scheduler := newTestWorld()
	host := world.AddHost(testHostConfig(), "h", "", world.Groups[0], math.NaN())
	var handlers []*recordingHandler
	for range 4 {
		handler, _ := dial(t, world, "0")
		handlers = append(handlers, handler)
	}
	scheduler.runUntil(1)
	if handlers[0].established != 0 {
		t.Error("the first connection is established before the work of its handshake is done")
	}
	scheduler.runUntil(20)
	established, refused := 0, 0
	for _, handler := range handlers {
		established, refused = established+handler.established, refused+handler.closed
	}
	if established != 3 || refused != 1 || host.Conns() != 3 ||
		world.Counters.Handshakes != 3 || world.Counters.ConnsRefused != 1 {
		t.Errorf("%d established, %d refused, %d open, %+v; want 3, 1 and 3", established, refused, host.Conns(), world.Counters)
	}
	host.Kill()
	scheduler.runUntil(40)
	closed := 0
	for _, handler := range handlers {
		closed += handler.closed
	}
	if host.Conns() != 0 || closed != 4 {
		t.Error("a killed host has connections, or a gateway was not notified of their end")
	}
	if _, err := (dialer{world.NewGateway(0, "")}).Dial("7", &recordingHandler{}); err == nil {
		t.Error("dialing an address without a host returned no error")
	}
}

// Tests that a write runs at the primary only, that its idempotency key is remembered for the deduplication window, that a
// replica is one replication lag behind the primary, and that the log position of a host does not go back when the host
// ceases to be the primary.
func TestReplicatedLog(t *testing.T) {
	world, scheduler := newTestWorld()
	group := world.Groups[0]
	first := world.AddHost(testHostConfig(), "h0", "", group, math.NaN())
	second := world.AddHost(testHostConfig(), "h1", "", group, math.NaN())
	group.SetPrimary(first)
	firstHandler, firstConn := dial(t, world, "0")
	secondHandler, secondConn := dial(t, world, "1")
	scheduler.runUntil(100)
	firstConn.Send(&Statement{Write: true, Key: 1}, 0)
	secondConn.Send(&Statement{Write: true, Key: 1}, 0)
	scheduler.runUntil(200)
	atFirst, atSecond := firstHandler.responses, secondHandler.responses
	if len(atFirst) != 1 || atFirst[0].Outcome != routing.OutcomeOK || atFirst[0].Role != routing.RolePrimary ||
		len(atSecond) != 1 || atSecond[0].Outcome != routing.OutcomeMisdirected {
		t.Fatalf("the primary answered %+v, want one OK; the replica answered %+v, want one misdirected", atFirst, atSecond)
	}
	if world.Counters.Misdirected != 1 || world.Counters.Statements != 2 {
		t.Errorf("%+v; want 1 misdirected write and 2 statements", world.Counters)
	}
	if lag := first.appliedPosition() - second.appliedPosition(); lag != 30 {
		t.Errorf("the replica is %.0f ms behind the primary, want 30", lag)
	}
	before := first.appliedPosition()
	group.SetPrimary(second)
	scheduler.runUntil(210)
	if first.appliedPosition() < before || second.appliedPosition() != 210 {
		t.Errorf("the previous primary's log position is %.0f, was %.0f before the change", first.appliedPosition(), before)
	}
	secondConn.Send(&Statement{Write: true, Key: 1}, 0)
	scheduler.runUntil(300)
	if world.Counters.DuplicateWrites != 0 {
		t.Error("a write repeated within the deduplication window counts as a duplicate")
	}
	scheduler.runUntil(3000)
	secondConn.Send(&Statement{Write: true, Key: 1}, 0)
	scheduler.runUntil(3100)
	if world.Counters.DuplicateWrites != 1 {
		t.Error("a write repeated after the deduplication window does not count as a duplicate")
	}
}

// Tests that a host with a full queue rejects statements, and that a host in slow start becomes overloaded and answers with
// errors only once more statements arrive than the overload rule allows.
func TestQueueLimitAndOverload(t *testing.T) {
	world, scheduler := newTestWorld()
	host := world.AddHost(testHostConfig(), "h", "", world.Groups[0], math.NaN())
	handler, conn := dial(t, world, "0")
	scheduler.runUntil(50)
	for range 40 {
		conn.Send(&Statement{}, 0)
	}
	scheduler.runUntil(60)
	rejected := 0
	for _, response := range handler.responses {
		if response.Outcome == routing.OutcomeRejected {
			rejected++
		}
	}
	if rejected != 18 { // of 40 statements 2 run and 20 wait
		t.Errorf("%d statements were rejected, want 18", rejected)
	}
	scheduler.runUntil(2000)
	host.StartedAt = 2000
	handler.responses = nil
	// The rule allows 2.5 times the share 0.2 of 50 statements per second, which is 25. The margin of 3*sqrt(25)+3 raises
	// the limit to 43.
	for i := range 60 {
		scheduler.runUntil(2000 + 10*float64(i))
		conn.Send(&Statement{}, 0)
		if overloads := world.Counters.Overloads; i < 40 && overloads > 0 || i == 50 && overloads == 0 {
			t.Fatalf("%d overloads after %d statements, want none before 40 and one by 50", overloads, i)
		}
	}
	scheduler.runUntil(3000)
	last := handler.responses[len(handler.responses)-1]
	if world.Counters.Overloads != 1 || last.Outcome != routing.OutcomeError {
		t.Errorf("%d overloads, the last answer is %+v; want 1 overload and an error", world.Counters.Overloads, last)
	}
}

// Tests that discovery answers polls for the full list up to its rate limit, and that it answers waiting watches at once
// when the list changes.
func TestDiscoveryRateLimitAndWatch(t *testing.T) {
	world, scheduler := newTestWorld()
	config := testHostConfig()
	world.AddHost(config, "h0", "", world.Groups[0], math.NaN())
	discovery := world.NewDiscovery(2)
	discovery.Publish()
	settings := Settings(&world.SlowStart, config, 6)
	var gateways []*Gateway
	scheduler.runUntil(5000)
	for i := range 6 {
		gateway := world.NewGateway(i, "")
		if err := gateway.Start(settings, discovery, uint64(i)); err != nil {
			t.Fatal(err)
		}
		gateways = append(gateways, gateway)
	}
	scheduler.runUntil(5010)
	if world.Counters.PollsRejected != 4 {
		t.Errorf("%d of 6 simultaneous polls were rejected, want 4 with a limit of 2 per second", world.Counters.PollsRejected)
	}
	scheduler.runUntil(20_000)
	host := world.AddHost(config, "h1", "", world.Groups[0], 20_000)
	host.DrainAt = 20_000
	discovery.Publish()
	scheduler.runUntil(20_010)
	updated := 0
	for _, gateway := range gateways {
		if gateway.watcher.revision == 2 {
			updated++
		}
	}
	if updated != 6 || host.NotifiedAt != 20_000 {
		t.Errorf("%d of 6 gateways have the update, which was notified at %.0f ms; want 6 and 20000", updated, host.NotifiedAt)
	}
}
