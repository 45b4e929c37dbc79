package model

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"go.uber.org/zap"

	"merlinjunction/fleet"
	"merlinjunction/internal/eventloop"
	"merlinjunction/internal/proxy"
	"merlinjunction/routing"
)

// Gateway runs the program's own core on virtual time, as the process of one gateway.
type Gateway struct {
	Index int
	Zone  string

	world           *World
	core            *proxy.Core // nil while the process is not running
	timers          *eventloop.Timers
	generation      int // counts starts and ends of the process; events of an earlier process are ignored
	paused          bool
	inputQueue      []func() // calls that the next round of the event loop makes
	nextRoundAt     float64  // time of the scheduled round; infinite: none
	roundNumber     uint64   // number of the scheduled round; rounds with lower numbers are canceled
	watcher         *Watcher
	conns           map[*gatewayConn]struct{} // open connections to hosts
	acknowledged    map[int]float64           // by session: log position of its newest write that this process acknowledged
	pendingRequests map[uint64]func()         // by request number: a function that ends the request as Excused
	requestCount    uint64                    // number of requests over all processes; it numbers the requests
	newRequestCount float64                   // requests since the last TakeRequestCount or the start of the process
}

// maxTimerPasses limits how many times one round of the event loop fires timers.
const maxTimerPasses = 100

// gatewayLimits are the connection and request limits of all gateways.
var gatewayLimits = proxy.Limits{ConnectTimeoutMs: 250, HostIdleTimeoutMs: 10_000, MaxConns: 400, MaxRequests: 600}

// NewGateway returns a gateway whose process is not running.
func (w *World) NewGateway(index int, zone string) *Gateway {
	return &Gateway{Index: index, Zone: zone, world: w}
}

// Up reports whether the process is running.
func (g *Gateway) Up() bool { return g.core != nil }

// Conns returns the number of open connections to hosts.
func (g *Gateway) Conns() int { return len(g.conns) }

// Start starts the process, which knows no hosts until discovery has answered. It returns an error if settings are
// invalid.
func (g *Gateway) Start(settings routing.Settings, discovery *Discovery, seed uint64) error {
	g.generation++
	g.paused, g.inputQueue, g.nextRoundAt, g.newRequestCount = false, nil, math.Inf(1), 0
	g.conns = map[*gatewayConn]struct{}{}
	g.acknowledged, g.pendingRequests = map[int]float64{}, map[uint64]func(){}
	clock := eventloop.VirtualClock(func() float64 { return Epoch + g.world.Now() })
	g.timers = &eventloop.Timers{Clock: clock}
	settings.Zone = g.Zone
	probe := &Statement{Probe: true}
	var err error
	g.core, err = proxy.New(g.timers, zap.NewNop(), settings, seed, gatewayLimits, dialer{g}, probe, readProbeAnswer)
	if err != nil {
		return err
	}
	g.watcher = discovery.startWatcher(g, settings, seed)
	g.runRound()
	return nil
}

// readProbeAnswer reads nothing from the body of a health check's answer: proxy.Response already holds the host's role and
// log position.
func readProbeAnswer([]byte) (routing.Role, float64, bool) { return 0, 0, false }

// Kill ends the process. Its connections are closed, and its pending requests end with the outcome Excused.
func (g *Gateway) Kill() {
	g.generation++
	g.core, g.timers, g.inputQueue = nil, nil, nil
	for _, host := range g.world.Hosts {
		for _, conn := range append([]*conn(nil), host.connOrder...) {
			if conn.gateway == g {
				conn.Close()
			}
		}
	}
	g.conns = nil
	pending := g.pendingRequests
	g.pendingRequests = nil
	for _, number := range slices.Sorted(maps.Keys(pending)) {
		pending[number]()
	}
}

// Pause suspends the process, as SIGSTOP does, or resumes it if paused is false.
func (g *Gateway) Pause(paused bool) {
	g.paused = paused
	if !paused && g.core != nil {
		g.runRound()
	}
}

// SetRoster sets, for a running process, which gateways share the hosts. The core and the schedule of polls depend on it.
func (g *Gateway) SetRoster(roster *fleet.Roster) {
	if g.core != nil {
		g.core.SetRoster(roster)
		g.watcher.policy.SlotSchedule = roster.Schedule()
		g.runRound()
	}
}

// receive queues a call for the event loop and runs a round at once. While the process is paused, the call stays queued
// until it resumes.
func (g *Gateway) receive(input func()) {
	g.inputQueue = append(g.inputQueue, input)
	if !g.paused {
		g.runRound()
	}
}

// runRound runs one round of the event loop and schedules the next one for the time of the next timer.
func (g *Gateway) runRound() {
	if g.core == nil || g.paused {
		return
	}
	inputs := g.inputQueue
	g.inputQueue = nil
	for _, input := range inputs {
		input()
	}
	for range maxTimerPasses { // timers that become due during the round are part of it
		fired := g.timers.Fire()
		g.core.Step()
		g.checkAccounting()
		if next, ok := g.timers.Next(); fired == 0 && !(ok && next <= g.timers.Clock.Now()) {
			break
		}
	}
	if next, ok := g.timers.Next(); ok {
		g.scheduleRound(max(next-Epoch, g.world.Now()))
	}
}

// checkAccounting records the first connection or request that the core does not account for. It does nothing unless
// World.CheckAccounting is set.
func (g *Gateway) checkAccounting() {
	if !g.world.CheckAccounting || g.world.AccountingError != nil {
		return
	}
	open := make([]proxy.UpstreamHandler, 0, len(g.conns))
	for conn := range g.conns {
		open = append(open, conn.handler)
	}
	if err := g.core.CheckAccounting(open); err != nil {
		g.world.AccountingError = fmt.Errorf("gateway %d at %.0f ms: %w", g.Index, g.world.Now(), err)
	}
}

// scheduleRound schedules a round at the given time. It replaces the round that is scheduled, unless that one is no later.
func (g *Gateway) scheduleRound(at float64) {
	if g.nextRoundAt <= at && g.nextRoundAt > g.world.Now() {
		return
	}
	g.nextRoundAt = at
	g.roundNumber++
	number, generation := g.roundNumber, g.generation
	g.world.At(at, func() {
		if g.roundNumber == number && g.generation == generation {
			g.nextRoundAt = math.Inf(1)
			g.runRound()
		}
	})
}

// TakeRequestCount returns the number of requests since its last call or since the start of the process.
func (g *Gateway) TakeRequestCount() float64 {
	count := g.newRequestCount
	g.newRequestCount = 0
	return count
}
