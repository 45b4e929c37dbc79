package server

import (
	"merlinjunction/internal/protocol/discovery"
	"merlinjunction/internal/proxy"
)

// startDiscovery starts to follow the endpoint list if the configuration has a discovery address.
func (s *Server) startDiscovery() {
	s.endpointListReceived = s.config.Discovery == ""
	s.discoveryWaitEndMs = s.loop.Clock.Now() + firstListTimeoutMs
	if s.config.Discovery == "" {
		return
	}
	s.followEndpointList()
	if s.watcher.FirstPollLaterThan(firstListTimeoutMs) {
		s.discoveryWaitEndMs = 0 // no response can arrive in time, so readiness doesn't wait for one
	}
}

// followEndpointList follows the endpoint list at the discovery address of the current configuration. The first call
// creates the watcher.
func (s *Server) followEndpointList() {
	if s.watcher != nil {
		s.watcher.SetAddress(s.config.Discovery)
		return
	}
	settings := &s.config.Settings
	watcherConfig := discovery.Config{
		GatewayCount: settings.GatewayCount,
		DrainGraceMs: settings.DrainGrace.Seconds() * 1000,
		Seed:         s.config.Seed,
		Revision:     s.config.KnownRevision,
	}
	if s.config.Operator != nil { // an operator's gateways share one discovery service
		watcherConfig.GatewayNumber = settings.GatewayNumber
	} else { // the platform's rules limit how long a watch may wait, regardless of the gateway's number
		watcherConfig.Pushed = !settings.SubscribeToEndpoints
	}
	s.watcher = discovery.Watch(s.loop, s.log, s.config.Discovery, watcherConfig, s.updateHosts)
}

// updateHosts passes an update of the endpoint list to the proxy core.
func (s *Server) updateHosts(complete bool, hosts []proxy.Host, notifiedAtMs float64) {
	s.endpointListReceived = true
	s.discovered = s.discovered.apply(complete, hosts)
	s.core.UpdateHostsNotifiedAt(complete, hosts, notifiedAtMs)
}
