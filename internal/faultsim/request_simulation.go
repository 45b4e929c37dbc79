package faultsim

import (
	"fmt"
	"math"
	"math/rand/v2"

	"merlinjunction/internal/faultsim/model"
)

// requestSimulation is the part of an emulation that plays requests: hosts, discovery, the gateways' cores and the
// clients' load. It is the models' scheduler.
type requestSimulation struct {
	emulation      *Emulation
	world          *model.World
	random         *rand.Rand // of the load
	discovery      *model.Discovery
	hostConfig     *model.HostConfig
	gateways       []*model.Gateway
	hosts          []*model.Host // by number in the experiment: the present host in each place
	trafficWeights []float64     // by gateway; 0 or less: it gets no requests
	cuts           map[link]int  // by gateway and host index: how many active faults cut the link
	rosterUpdates  []rosterUpdate
	publishPending bool // a new endpoint list will be published

	counts         RequestCounts
	seconds        map[int]*secondCounts // by second
	closedCounters model.Counters        // at the end of the last second
	steady         steadyState
	peaks          *peakCounts // nil: no second has ended since the first fault
}

// secondCounts are the requests of one second.
type secondCounts struct {
	sent, served int
}

const (
	publishDelayMs     = 300.0 // from a change of a host to the endpoint list that shows it
	electionMs         = 1000.0
	sessionsPerGateway = 2000 // distance between the session numbers of two gateways

	hostQueueLimit      = 200
	hostHandshakeMs     = 2.0
	hostWriteMultiple   = 1.5 // work of a write, of that of a read
	hostDedupWindowMs   = 2000.0
	hostDrainGraceMs    = 2000.0
	gatewayToHostLinkMs = 0.3

	hostSlowStartMinShare = 0.2
	hostOverloadMultiple  = 2.5
	hostOverloadWindowMs  = 1000.0
)

func newRequestSimulation(emulation *Emulation) *requestSimulation {
	experiment := emulation.experiment
	s := &requestSimulation{
		emulation: emulation,
		random:    rand.New(rand.NewPCG(emulation.options.Seed, 11)),
		cuts:      map[link]int{},
		seconds:   map[int]*secondCounts{},
		counts:    newRequestCounts(),
		hostConfig: &model.HostConfig{
			Cores:         experiment.Hosts.Cores,
			ReadMs:        experiment.Hosts.ReadMs,
			WriteMs:       hostWriteMultiple * experiment.Hosts.ReadMs,
			HandshakeMs:   hostHandshakeMs,
			QueueLimit:    hostQueueLimit,
			MaxConns:      experiment.Hosts.MaxConns,
			LagMs:         experiment.Hosts.LagMs,
			DedupWindowMs: hostDedupWindowMs,
			DrainGraceMs:  hostDrainGraceMs,
		},
	}
	s.world = &model.World{
		Scheduler:        s,
		Random:           rand.New(rand.NewPCG(emulation.options.Seed, 12)),
		LinkDelayMs:      gatewayToHostLinkMs,
		CrossZoneDelayMs: experiment.Network.CrossZoneDelayMs,
		IsCut:            func(gateway, host int) bool { return len(s.cuts) > 0 && s.cuts[link{gateway, host}] > 0 },
		CheckAccounting:  emulation.options.CheckAccounting,
		SlowStart: model.SlowStart{
			MinShare:         hostSlowStartMinShare,
			WindowMs:         experiment.Hosts.SlowStartMs,
			OverloadMultiple: hostOverloadMultiple,
			OverloadWindowMs: hostOverloadWindowMs,
			UsualRate:        experiment.Load.EmulatedRate / float64(experiment.Hosts.EmulatedCount),
		},
	}
	s.addHosts()
	s.discovery = s.world.NewDiscovery(experiment.Hosts.MaxFullListsPerSecond)
	s.discovery.HideStartTimes = emulation.options.Selection.Mode == SelectBlind
	s.discovery.Publish()
	s.At(0, s.arrive)
	s.At(1000, s.closeSecond)
	return s
}

// addHosts adds the experiment's hosts; the first one of each group is its primary.
func (s *requestSimulation) addHosts() {
	experiment := s.emulation.experiment
	for index := range experiment.Hosts.Groups {
		s.world.Groups = append(s.world.Groups, &model.Group{Index: index})
	}
	for i := range experiment.Hosts.EmulatedCount {
		group := s.world.Groups[i%experiment.Hosts.Groups]
		zone := experiment.Fleet.zone(experiment.hostZone(i))
		host := s.world.AddHost(s.hostConfig, fmt.Sprintf("h%d", i), zone, group, math.NaN())
		if group.Primary == nil {
			group.SetPrimary(host)
		}
		s.hosts = append(s.hosts, host)
	}
}

// Now is the emulation's time, ms since second 0.
func (s *requestSimulation) Now() float64 { return s.emulation.now }

// At schedules a call, at once if the time has passed.
func (s *requestSimulation) At(ms float64, call func()) {
	s.emulation.queue.push(scheduledEvent{at: max(ms, s.emulation.now), call: call})
}
