package server

import (
	"bytes"
	"slices"

	"go.uber.org/zap"

	"merlinjunction/fleet"
	"merlinjunction/internal/transport"
)

const (
	// loadSampleMs is the interval at which the load of this gateway is sampled and announced.
	loadSampleMs = 1000.0
	// rosterUpdateDelayMs is the time after a load sample in which changes of members don't update the roster: many come
	// at a time, and the first round of the event loop after it takes them in together. From then until the next sample,
	// which updates the roster too, each change does so in its own round.
	rosterUpdateDelayMs = 200.0
)

// fleetSync is what the gateway has last announced to its fleet, and taken in from it.
type fleetSync struct {
	roster           *fleet.Roster // that the proxy core uses; nil before the first one
	changeCount      int           // of the membership view that the roster is from
	sampledAtMs      float64       // when the load was sampled
	acceptedRequests int           // until then
	announcer        fleet.LoadAnnouncer
	load             float64 // that was announced, in requests a second
}

// joinFleet opens the membership's socket where an operator has set up a fleet.
func (s *Server) joinFleet() (err error) {
	if s.config.Operator == nil || s.config.Operator.Fleet == nil {
		return nil
	}
	if s.transport, err = transport.New(s.loop, s.log, *s.config.Operator.Fleet); err != nil {
		return err
	}
	s.loop.Wake() // the membership's first step needs a round
	return nil
}

// fleetAddress is the address of the membership's socket; "" without a fleet.
func (s *Server) fleetAddress() string {
	if s.transport == nil {
		return ""
	}
	return s.transport.Addr().String()
}

// syncFleet announces this gateway's load to the fleet, and passes a changed roster on to the proxy core and the
// watcher. It runs in each round. It samples and updates once per loadSampleMs; in between it updates the roster in
// each round in which members have changed and the last sample is rosterUpdateDelayMs old.
func (s *Server) syncFleet() {
	state, now := &s.fleetSync, s.loop.Clock.Now()
	if state.roster == nil {
		state.sampledAtMs = now - loadSampleMs
		s.loop.After(loadSampleMs, s.wakeForFleetSync)
	}
	membersChanged := s.transport.ChangeCount() != state.changeCount
	updateDue := membersChanged && now >= state.sampledAtMs+rosterUpdateDelayMs
	if state.roster != nil && now < state.sampledAtMs+loadSampleMs && !updateDue {
		return
	}
	if elapsedMs := now - state.sampledAtMs; elapsedMs >= loadSampleMs {
		s.announceLoad(now, elapsedMs)
	}
	s.updateRoster()
}

// announceLoad samples how many requests have come since the last sample, and announces the load that follows.
func (s *Server) announceLoad(now, elapsedMs float64) {
	state := &s.fleetSync
	accepted := s.core.AcceptedRequests()
	requestsPerSecond := float64(accepted-state.acceptedRequests) * 1000 / elapsedMs
	state.load = state.announcer.Observe(now, requestsPerSecond)
	state.acceptedRequests, state.sampledAtMs = accepted, now
	s.transport.Announce(transport.Payload{Load: state.load})
}

// updateRoster takes in the members of the fleet, where they differ from those that the proxy core knows.
func (s *Server) updateRoster() {
	state := &s.fleetSync
	state.changeCount = s.transport.ChangeCount()
	members, _ := s.transport.Members()
	self := fleet.Gateway{Name: s.config.Name, Zone: s.config.Operator.Fleet.Zone, Load: state.load}
	roster := transport.NewRoster(self, members)
	if state.roster != nil && state.roster.Equivalent(roster) {
		return
	}
	state.roster = roster
	s.core.SetRoster(roster)
	if s.watcher != nil {
		s.watcher.SetSchedule(roster.Schedule())
	}
	s.loop.Wake() // the core's Step comes before syncFleet in a round
}

// wakeForFleetSync ensures a round of the event loop per loadSampleMs.
func (s *Server) wakeForFleetSync() {
	if !s.shuttingDown {
		s.loop.After(loadSampleMs, s.wakeForFleetSync)
	}
}

// reloadFleetKeys applies the fleet's keys of a configuration that was read again.
func (s *Server) reloadFleetKeys(config *Config) {
	if s.transport == nil || config.Operator == nil || config.Operator.Fleet == nil {
		return
	}
	keys := config.Operator.Fleet.Keys
	if slices.EqualFunc(keys, s.config.Operator.Fleet.Keys, bytes.Equal) {
		return
	}
	if err := s.transport.SetKeys(keys); err != nil {
		s.log.Error("fleet keys rejected, keeping the previous ones", zap.Error(err))
		return
	}
	s.config.Operator.Fleet.Keys = keys
	s.log.Info("fleet keys reloaded", zap.Int("keys", len(keys)))
}
