package server

import (
	"strings"

	"go.uber.org/zap"

	"merlinjunction/internal/frontend/management"
	"merlinjunction/internal/proxy"
)

// Telemetry returns what this process has counted since its start, and the status of its fleet without the members.
func (s *Server) Telemetry() management.Telemetry {
	telemetry := management.Telemetry{
		Replies:       map[string]proxy.ReplyCounts{},
		Stats:         s.core.Stats(),
		ReloadFailure: s.reloadFailures,
		ReloadSuccess: s.reloadSuccesses,
	}
	for i, counts := range s.core.ReplyCounts() {
		telemetry.Replies[s.config.Settings.Classes[i].Name] = counts
	}
	if telemetry.Fleet = s.Fleet(); telemetry.Fleet != nil {
		telemetry.Fleet.Members = nil
	}
	return telemetry
}

// Exclude takes a database host out of use, in sibling processes too. It returns false if no such host is known.
func (s *Server) Exclude(id string) bool {
	s.applySiblingExclusions()
	known := s.core.Exclude(id, s.loop.Clock.Now())
	if known {
		s.publishExclusion(id, true)
	}
	s.log.Info("host exclusion requested", zap.String("host", id), zap.Bool("known", known))
	return known
}

// Include puts a database host back into use, in sibling processes too. It returns false if no such host is known.
func (s *Server) Include(id string) bool {
	s.applySiblingExclusions()
	known := s.core.Include(id)
	if known {
		s.publishExclusion(id, false)
	}
	s.log.Info("host inclusion requested", zap.String("host", id), zap.Bool("known", known))
	return known
}

// Fleet returns this gateway's view of its fleet, or nil without a fleet.
func (s *Server) Fleet() *management.Fleet {
	if s.transport == nil {
		return nil
	}
	members, summary := s.transport.Members()
	view := &management.Fleet{
		Name:        s.config.Operator.Fleet.FleetName,
		Self:        s.config.Name,
		Status:      summary.Status.String(),
		Partial:     summary.Partial,
		Alive:       summary.Alive,
		Suspect:     summary.Suspect,
		Unreachable: summary.Unreachable,
		Dead:        summary.Dead,
		Left:        summary.Left,
		Health:      summary.HealthScore,
		Loss:        summary.LossRate,
		RoundTripMs: summary.RoundTripMs,
	}
	now := s.loop.Clock.Now()
	for _, member := range members {
		view.Members = append(view.Members, management.Member{
			Name:        member.Name,
			Address:     member.Addr.String(),
			Zone:        member.Zone,
			State:       member.State.String(),
			Incarnation: member.Incarnation,
			Version:     int(member.Version),
			ForMs:       max(0, now-member.Since),
		})
	}
	return view
}

// FleetMetrics returns the fleet's metrics in the text format of Prometheus, or "" without a fleet.
func (s *Server) FleetMetrics() string {
	if s.transport == nil {
		return ""
	}
	var text strings.Builder
	s.transport.Metrics().WritePrometheus(&text)
	return text.String()
}
