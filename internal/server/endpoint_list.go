package server

import (
	"merlinjunction/internal/protocol/discovery"
	"merlinjunction/internal/proxy"
)

// startDiscovery starts to follow the endpoint list where the configuration names a discovery.
func (s *Server) startDiscovery() {
	s.endpointListReceived = s.config.Discovery == ""
	s.discoveryWaitEndMs = s.loop.Clock.Now() + firstListTimeoutMs
	if s.config.Discovery == "" {
		return
	}
	s.followEndpointList()
	if s.watcher.FirstPollLaterThan(firstListTimeoutMs) {
		s.discoveryWaitEndMs = 0 // don't wait: no response can come in time
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
