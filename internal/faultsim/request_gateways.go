package faultsim

import (
	"math"

	"merlinjunction/fleet"
	"merlinjunction/internal/faultsim/model"
	"merlinjunction/internal/transport"
	"merlinjunction/membership"
	"merlinjunction/routing"
)

const (
	rosterDelayMs = 200.0 // from a change of a gateway's view to the update of its roster
	// gracefulStopMs is how long a terminated gateway's process runs after the longest deadline of a request.
	gracefulStopMs = 500.0
	// idleGatewayWeight is the traffic of an idle gateway as a share of the mean.
	idleGatewayWeight = 0.02
	// rosterRefreshSeconds is the interval at which each gateway's roster is updated with the loads of the other gateways.
	rosterRefreshSeconds = 5
)

// rosterUpdate holds a gateway's roster, its scheduled update and the load that the gateway announces.
type rosterUpdate struct {
	dueAt         float64 // when the roster is updated; 0: no update is scheduled
	roster        *fleet.Roster
	announcer     *fleet.LoadAnnouncer
	announcedLoad float64
}

// settings returns the routing settings of a gateway. They depend on the mode of host selection.
func (s *requestSimulation) settings(gateway int) routing.Settings {
	selection, gateways := s.emulation.options.Selection, s.emulation.result.Gateways
	settings := model.Settings(&s.world.SlowStart, s.hostConfig, gateways)
	if selection.Mode != SelectAllHosts && selection.Mode != SelectIgnoringStartTimes {
		settings.SubsetSize = selection.SubsetSize
	}
	if selection.Mode == SelectByNumber {
		settings.GatewayCount = max(1, int(math.Round(float64(gateways)*selection.CountFactor)))
		settings.GatewayNumber = gateway + 1
	}
	return settings
}

// trafficWeight returns the traffic of a gateway as a multiple of the mean.
func (s *requestSimulation) trafficWeight(gateway int) float64 {
	load := &s.emulation.experiment.Load
	if load.HeavyGatewayFactor > 0 && gateway == 0 {
		return load.HeavyGatewayFactor
	}
	if load.IdleGatewayShare > 0 && float64(gateway%100) < 100*load.IdleGatewayShare {
		return idleGatewayWeight
	}
	return 1
}

// startGateway starts the routing core of a gateway whose process has started.
func (s *requestSimulation) startGateway(index int) error {
	fleetConfig := &s.emulation.experiment.Fleet
	for len(s.gateways) <= index {
		next := len(s.gateways)
		s.gateways = append(s.gateways, s.world.NewGateway(next, fleetConfig.zone(next)))
		s.rosterUpdates = append(s.rosterUpdates, rosterUpdate{})
		s.trafficWeights = append(s.trafficWeights, s.trafficWeight(next))
	}
	update := &s.rosterUpdates[index]
	update.roster, update.announcer, update.announcedLoad = nil, &fleet.LoadAnnouncer{}, 0
	if err := s.gateways[index].Start(s.settings(index), s.discovery, s.random.Uint64()); err != nil {
		return err
	}
	gateway := s.emulation.gateways[index]
	if s.emulation.options.Selection.Mode == SelectRandom {
		self := fleet.Gateway{Name: gateway.name, Zone: fleetConfig.zone(index)}
		s.gateways[index].SetRoster(fleet.NewNamedRoster(self, nil))
	}
	s.viewChanged(gateway)
	return nil
}

// endGateway ends a gateway's core. On a graceful stop the core first answers its pending requests, and new requests are
// sent to other gateways. A negative traffic weight marks a gateway that gets no new requests.
func (s *requestSimulation) endGateway(index int, graceful bool) {
	gateway := s.gateways[index]
	if !graceful {
		gateway.Kill()
		return
	}
	s.trafficWeights[index] = -s.trafficWeights[index]
	s.At(s.Now()+gracefulStopMs+model.WriteDeadlineMs, func() {
		s.trafficWeights[index] = math.Abs(s.trafficWeights[index])
		if s.emulation.gateways[index].node == nil {
			gateway.Kill()
		}
	})
}

// viewChanged schedules an update of a gateway's roster after a change of its view, unless one is scheduled.
func (s *requestSimulation) viewChanged(gateway *emulatedGateway) {
	index := gateway.index
	if s.emulation.options.Selection.Mode != SelectByMembers || index >= len(s.gateways) {
		return
	}
	if s.rosterUpdates[index].dueAt > s.Now() {
		return
	}
	dueAt := s.Now() + rosterDelayMs
	s.rosterUpdates[index].dueAt = dueAt
	s.At(dueAt, func() {
		s.rosterUpdates[index].dueAt = 0
		s.updateRoster(gateway)
	})
}

// updateRoster builds a roster from a gateway's view and passes it to the core if it differs from the previous one.
func (s *requestSimulation) updateRoster(gateway *emulatedGateway) {
	if gateway.node == nil {
		return
	}
	view, ok := gateway.node.(interface{ Members() []membership.Member })
	if !ok {
		return
	}
	update := &s.rosterUpdates[gateway.index]
	self := fleet.Gateway{
		Name: gateway.name,
		Zone: s.emulation.experiment.Fleet.zone(gateway.index),
		Load: update.announcedLoad,
	}
	roster := transport.NewRoster(self, view.Members())
	if update.roster == nil || !update.roster.Equivalent(roster) {
		update.roster = roster
		s.gateways[gateway.index].SetRoster(roster)
	}
}

// announceLoads measures the load of each gateway in the last second and announces loads that have changed. It also
// updates the roster of each gateway every rosterRefreshSeconds.
func (s *requestSimulation) announceLoads() {
	second := int(s.Now() / 1000)
	for index, core := range s.gateways {
		gateway := s.emulation.gateways[index]
		if !core.Up() || gateway.node == nil || gateway.paused {
			continue
		}
		update := &s.rosterUpdates[index]
		load := update.announcer.Observe(s.Now(), core.TakeRequestCount())
		if load != update.announcedLoad {
			update.announcedLoad = load
			payload := transport.Payload{Load: load}
			s.emulation.stepNode(gateway, []membership.Event{membership.SetPayload{Payload: payload.Bytes()}})
		}
		if second%rosterRefreshSeconds == index%rosterRefreshSeconds {
			s.viewChanged(gateway)
		}
	}
}
