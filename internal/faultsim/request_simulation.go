package faultsim

import (
	"fmt"
	"math"
	"math/rand/v2"

	"merlinjunction/internal/faultsim/model"
)

// requestSimulation is the part of an emulation that simulates requests: hosts, discovery, the gateways' routing cores and
// the clients' load. It implements the scheduler of the models.
type requestSimulation struct {
	emulation      *Emulation
	world          *model.World
	random         *rand.Rand // draws the load
	discovery      *model.Discovery
	hostConfig     *model.HostConfig
	gateways       []*model.Gateway
	hosts          []*model.Host  // the present hosts, by their number in the experiment
	trafficWeights []float64      // by gateway; 0 or less: the gateway gets no requests
	cuts           map[link]int   // by gateway index and host index: number of active faults that cut the link
	rosterUpdates  []rosterUpdate // by gateway
	publishPending bool           // the publication of a new endpoint list is scheduled

	counts         RequestCounts
	seconds        map[int]*secondCounts // counts of the requests, by the second in which they were sent
	closedCounters model.Counters        // counters at the end of the last complete second
	steady         steadyState
	peaks          *peakCounts // nil until a second ends after the first fault
}

// secondCounts counts the requests that were sent in one second, and those of them that were served.
type secondCounts struct {
	sent, served int
}

const (
	publishDelayMs     = 300.0  // from a change of a host to the publication of the new endpoint list
	electionMs         = 1000.0 // from the end of a primary to the election of another one
	sessionsPerGateway = 2000   // difference between the first session numbers of two gateways

	hostQueueLimit      = 200 // statements that wait for a core of a host; more are rejected
	hostHandshakeMs     = 2.0
	hostWriteMultiple   = 1.5 // work of a write as a multiple of the work of a read
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
	s.discovery.HideStartTimes = emulation.options.Selection.Mode == SelectIgnoringStartTimes
	s.discovery.Publish()
	s.At(0, s.arrive)
	s.At(1000, s.closeSecond)
	return s
}

// addHosts adds the experiment's hosts. The first host of each group is its primary.
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

// Now returns the emulation's time in ms since second 0.
func (s *requestSimulation) Now() float64 { return s.emulation.now }

// At schedules a call. If the time has passed, the call is scheduled for the present time.
func (s *requestSimulation) At(ms float64, call func()) {
	s.emulation.queue.push(scheduledEvent{at: max(ms, s.emulation.now), call: call})
}
