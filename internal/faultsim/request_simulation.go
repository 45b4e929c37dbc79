package faultsim

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/HdrHistogram/hdrhistogram-go"

	"merlinjunction/fleet"
	"merlinjunction/internal/faultsim/model"
	"merlinjunction/internal/transport"
	"merlinjunction/membership"
	"merlinjunction/routing"
)

// requestSimulation is what the emulator plays beside membership: hosts, discovery, the gateways' cores and the clients' load.
type requestSimulation struct {
	emulation      *Emulation
	world          *model.World
	rng            *rand.Rand // of the load
	discovery      *model.Discovery
	hostConfig     *model.HostConfig
	gateways       []*model.Gateway
	hosts          []*model.Host // by number of the experiment: who stands there now
	trafficWeights []float64     // of the gateways' traffic
	cuts           map[[2]int]int
	rosterDueAt    []float64 // by gateway: when its roster is worked out anew; 0: it isn't
	rosters        []*fleet.Roster
	announcers     []*announcer
	publishPending bool // a new list is on its way

	tally                        RequestCounts
	seconds                      map[int]*[2]int // by second: requests, and those served
	steadyCounters, lastCounters model.Counters
	steadyUntil                  float64
	steadyPrimaryConns           []float64 // by primary
	steadyReplicaConns           []float64 // by host
	steadyGatewayConns           []float64 // by gateway
	peaks                        map[string]float64
}

// What the emulated hosts and the gateways' settings agree on.
const (
	listDelayMs        = 300.0 // from a change to the list that tells it
	electionMs         = 1000.0
	rosterDelayMs      = 200.0 // a view that changes is taken in so long after
	gracefulStopMs     = 500.0 // between SIGTERM and the end of what is taken
	sessionsPerGateway = 2000
	eventualReadShare  = 0.6 // of the reads; the others must show what their session has written
)

func newRequestSimulation(em *Emulation) *requestSimulation {
	e := em.experiment
	s := &requestSimulation{emulation: em, rng: rand.New(rand.NewPCG(em.options.Seed, 11)), cuts: map[[2]int]int{}, seconds: map[int]*[2]int{}, peaks: map[string]float64{},
		tally: RequestCounts{Latency: hdrhistogram.New(1, 60_000_000, 3)}}
	s.world = &model.World{Scheduler: s, Random: rand.New(rand.NewPCG(em.options.Seed, 12)), LinkMs: 0.3, FarMs: e.Network.FarMs,
		IsCut:     func(g, h int) bool { return len(s.cuts) > 0 && s.cuts[[2]int{g, h}] > 0 },
		SlowStart: model.SlowStart{MinShare: 0.2, WindowMs: e.Hosts.ColdMs, OverloadMultiple: 2.5, OverloadWindowMs: 1000, UsualRate: e.Load.Emulated / float64(e.Hosts.Emulated)}}
	s.hostConfig = &model.HostConfig{Cores: e.Hosts.Cores, ReadMs: e.Hosts.ReadMs, WriteMs: 1.5 * e.Hosts.ReadMs, HandshakeMs: 2, QueueLimit: 200,
		MaxConns: e.Hosts.Conns, LagMs: e.Hosts.LagMs, DedupWindowMs: 2000, DrainGraceMs: 2000}
	for g := range e.Hosts.Groups {
		s.world.Groups = append(s.world.Groups, &model.Group{Index: g})
	}
	for i := range e.Hosts.Emulated {
		g := s.world.Groups[i%e.Hosts.Groups]
		h := s.world.AddHost(s.hostConfig, fmt.Sprintf("h%d", i), e.Fleet.zone(e.hostZone(i)), g, math.NaN())
		if g.Primary == nil {
			g.SetPrimary(h)
		}
		s.hosts = append(s.hosts, h)
	}
	s.discovery = s.world.NewDiscovery(e.Hosts.Lists)
	s.discovery.HideStartTimes = em.options.Choices.By == "blind"
	s.discovery.Publish()
	s.At(0, s.arrive)
	s.At(1000, s.closeSecond)
	return s
}

// Now is the time of the emulation, ms.
func (s *requestSimulation) Now() float64 { return s.emulation.now }

// At enters something for a time.
func (s *requestSimulation) At(ms float64, f func()) {
	s.emulation.queue.push(scheduledEvent{at: max(ms, s.emulation.now), call: f})
}

func (s *requestSimulation) settings(i int) routing.Settings {
	c, n := s.emulation.options.Choices, s.emulation.Result.Gateways
	set := model.Settings(&s.world.SlowStart, s.hostConfig, n)
	if c.By != "alone" && c.By != "blind" {
		set.SubsetSize = c.Subset
	}
	if c.By == "number" {
		set.GatewayCount = max(1, int(math.Round(float64(n)*c.Wrong)))
		set.GatewayNumber = i + 1
	}
	return set
}

func (s *requestSimulation) startGateway(i int) error {
	for len(s.gateways) <= i {
		g := len(s.gateways)
		s.gateways = append(s.gateways, s.world.NewGateway(g, s.emulation.experiment.Fleet.zone(g)))
		s.rosterDueAt, s.rosters, s.announcers = append(s.rosterDueAt, 0), append(s.rosters, nil), append(s.announcers, nil)
		w, l := 1.0, &s.emulation.experiment.Load
		if l.Idle > 0 && float64(g%100) < 100*l.Idle {
			w = 0.02
		}
		if l.Heavy > 0 && g == 0 {
			w = l.Heavy
		}
		s.trafficWeights = append(s.trafficWeights, w)
	}
	s.rosters[i], s.announcers[i] = nil, &announcer{}
	if err := s.gateways[i].Start(s.settings(i), s.discovery, s.rng.Uint64()); err != nil {
		return err
	}
	if s.emulation.options.Choices.By == "random" { // each for itself
		s.gateways[i].SetRoster(fleet.NewNamedRoster(fleet.Gateway{Name: s.emulation.nodes[i].name, Zone: s.emulation.experiment.Fleet.zone(i)}, nil))
	}
	s.viewChanged(s.emulation.nodes[i])
	return nil
}

// endGateway ends a gateway's process. One that is told to stop serves what it has taken; clients go elsewhere.
func (s *requestSimulation) endGateway(i int, gently bool) {
	g := s.gateways[i]
	if !gently {
		g.Kill()
		return
	}
	s.trafficWeights[i] = -s.trafficWeights[i]
	s.At(s.Now()+gracefulStopMs+2000, func() {
		s.trafficWeights[i] = math.Abs(s.trafficWeights[i])
		if s.emulation.nodes[i].node == nil {
			g.Kill()
		}
	})
}

// viewChanged takes in that what a gateway knows of the others has changed.
func (s *requestSimulation) viewChanged(n *emulatedGateway) {
	i := n.index
	if s.emulation.options.Choices.By != "members" || i >= len(s.gateways) || s.rosterDueAt[i] > s.Now() {
		return
	}
	s.rosterDueAt[i] = s.Now() + rosterDelayMs
	s.At(s.rosterDueAt[i], func() {
		if s.rosterDueAt[i] = 0; n.node == nil {
			return
		}
		view, ok := n.node.(interface{ Members() []membership.Member })
		if !ok {
			return
		}
		r := transport.NewRoster(fleet.Gateway{Name: n.name, Zone: s.emulation.experiment.Fleet.zone(i), Load: s.announcers[i].announced}, view.Members())
		if s.rosters[i] == nil || !s.rosters[i].Equivalent(r) {
			s.rosters[i] = r
			s.gateways[i].SetRoster(r)
		}
	})
}

// announcer is what a gateway tells the others of its load.
type announcer struct {
	fleet.LoadAnnouncer
	announced float64
}

// closeSecond closes a second: loads, peaks, and rosters by loads that changed.
func (s *requestSimulation) closeSecond() {
	for i, g := range s.gateways {
		n := s.emulation.nodes[i]
		if !g.Up() || n.node == nil || n.paused {
			continue
		}
		t := s.announcers[i]
		if load := t.Observe(s.Now(), g.TakeRequestCount()); load != t.announced {
			t.announced = load
			s.emulation.run(n, []membership.Event{membership.SetPayload{Payload: transport.Payload{Load: load}.Bytes()}})
		}
		if int(s.Now()/1000)%5 == i%5 {
			s.viewChanged(n)
		}
	}
	b := &s.world.Counters
	if s.Now() > s.emulation.firstFaultMs {
		for name, n := range map[string]int{"handshakes_peak": b.Handshakes - s.lastCounters.Handshakes, "probes_peak": b.Probes - s.lastCounters.Probes,
			"calls_peak": b.Polls - s.lastCounters.Polls, "misdirected_peak": b.Misdirected - s.lastCounters.Misdirected} {
			s.peaks[name] = max(s.peaks[name], float64(n))
		}
	}
	s.lastCounters = *b
	s.At(s.Now()+1000, s.closeSecond)
}
