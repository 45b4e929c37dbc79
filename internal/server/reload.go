package server

import (
	"go.uber.org/zap"

	"merlinjunction/internal/protocol/discovery"
	"merlinjunction/internal/proxy"
)

const (
	// A configuration that can't be read at SIGHUP may still be being written: it is read again after reloadRetryMs, up to
	// maxReloadAttempts times in all.
	reloadRetryMs     = 100.0
	maxReloadAttempts = 30
)

// reload reads the configuration again. It applies the address of discovery and, from an operator's file, the host list
// and the fleet's keys; all other changes need a restart. A configuration that can't be read changes nothing.
func (s *Server) reload(attemptsLeft int) {
	s.reloadTimer.Stop()
	config, err := s.config.Reload()
	if err != nil {
		s.retryReload(attemptsLeft, err)
		return
	}
	s.reloadSuccesses++
	s.log.Info("configuration reloaded",
		zap.String("discovery", config.Discovery), zap.Int("hosts", len(config.KnownHosts)))
	if config.FileDiscovery != s.config.FileDiscovery && config.Discovery != "" {
		s.config.FileDiscovery, s.config.Discovery = config.FileDiscovery, config.Discovery
		s.followEndpointList()
	}
	s.reloadFleetKeys(config)
	if s.config.Operator != nil && len(config.KnownHosts) > 0 {
		s.core.UpdateHosts(true, config.KnownHosts)
	}
}

// retryReload schedules the next attempt, and logs the first and the last failure.
func (s *Server) retryReload(attemptsLeft int, err error) {
	isLast := attemptsLeft == 1
	if attemptsLeft == maxReloadAttempts || isLast {
		s.log.Error("reload failed, keeping the previous configuration", zap.Error(err), zap.Bool("will_retry", !isLast))
	}
	if isLast {
		s.reloadFailures++
		return
	}
	s.reloadTimer = s.loop.After(reloadRetryMs, func() { s.reload(attemptsLeft - 1) })
}

// startDiscovery starts to follow the endpoint list where the configuration names a discovery.
func (s *Server) startDiscovery() {
	s.endpointListReceived = s.config.Discovery == ""
	s.discoveryWaitEndMs = s.loop.Clock.Now() + firstListTimeoutMs
	if s.config.Discovery == "" {
		return
	}
	s.followEndpointList()
	if s.watcher.FirstPollLaterThan(firstListTimeoutMs) { // the wait would end before a response
		s.discoveryWaitEndMs = 0
	}
}

// followEndpointList follows the endpoint list at the address that the configuration names now.
func (s *Server) followEndpointList() {
	if s.watcher != nil {
		s.watcher.SetAddress(s.config.Discovery)
		return
	}
	settings := &s.config.Settings
	watch := discovery.Config{
		GatewayCount: settings.GatewayCount,
		DrainGraceMs: settings.DrainGrace.Seconds() * 1000,
		Seed:         s.config.Seed,
		Revision:     s.config.KnownRevision,
	}
	if s.config.Operator != nil { // an operator's gateways share one discovery
		watch.GatewayNumber = settings.GatewayNumber
	} else { // the platform's rules limit how long a watch may wait, whatever the gateway's number
		watch.Pushed = !settings.SubscribeToEndpoints
	}
	s.watcher = discovery.Watch(s.loop, s.log, s.config.Discovery, watch, s.updateHosts)
}

// updateHosts passes an update of the endpoint list on to the proxy core.
func (s *Server) updateHosts(complete bool, hosts []proxy.Host, notifiedAtMs float64) {
	s.endpointListReceived = true
	s.core.UpdateHostsNotifiedAt(complete, hosts, notifiedAtMs)
}
