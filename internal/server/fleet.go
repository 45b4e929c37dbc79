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
	// rosterUpdateDelayMs is the time after a load sample during which changes of members don't update the roster. Changes
	// arrive in bursts, and the first round of the event loop after this time applies all of them together. From then
	// until the next sample, which updates the roster too, each change updates the roster in its own round.
	rosterUpdateDelayMs = 200.0
)

// fleetSync is the state that the gateway last announced to its fleet or received from it.
type fleetSync struct {
	roster           *fleet.Roster // roster that the proxy core uses; nil before the first one
	changeCount      int           // change count of the membership view that the roster was built from
	sampledAtMs      float64       // time of the last load sample
	acceptedRequests int           // requests accepted before the last load sample
	announcer        fleet.LoadAnnouncer
	load             float64 // load announced last, in requests per second
}

// joinFleet opens the membership's socket if the operator's file configures a fleet.
func (s *Server) joinFleet() (err error) {
	if s.config.Operator == nil || s.config.Operator.Fleet == nil {
		return nil
	}
	if s.transport, err = transport.New(s.loop, s.log, *s.config.Operator.Fleet); err != nil {
		return err
	}
	s.loop.Wake() // the membership's first step needs a round of the event loop
	return nil
}

// fleetAddress returns the address of the membership's socket, or "" without a fleet.
func (s *Server) fleetAddress() string {
	if s.transport == nil {
		return ""
	}
	return s.transport.Addr().String()
}

// syncFleet announces this gateway's load to the fleet, and passes a changed roster to the proxy core and the watcher.
// It runs in each round of the event loop. Every loadSampleMs it samples the load and updates the roster. Between two
// samples it updates the roster in each round in which members have changed, but only once rosterUpdateDelayMs have
// passed since the last sample.
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

// announceLoad counts the requests accepted since the last sample, and announces the resulting load.
func (s *Server) announceLoad(now, elapsedMs float64) {
	state := &s.fleetSync
	accepted := s.core.AcceptedRequests()
	requestsPerSecond := float64(accepted-state.acceptedRequests) * 1000 / elapsedMs
	state.load = state.announcer.Observe(now, requestsPerSecond)
	state.acceptedRequests, state.sampledAtMs = accepted, now
	s.transport.Announce(transport.Payload{Load: state.load})
}

// updateRoster builds a roster from the fleet's members, and applies it if it differs from the one in use.
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
	s.loop.Wake() // in a round the core's Step runs before syncFleet, so it sees the new roster only in the next round
}

// wakeForFleetSync sets its timer again, so that the event loop runs a round at least every loadSampleMs.
func (s *Server) wakeForFleetSync() {
	if !s.shuttingDown {
		s.loop.After(loadSampleMs, s.wakeForFleetSync)
	}
}

// reloadFleetKeys applies the fleet keys of a reloaded configuration if they have changed.
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
