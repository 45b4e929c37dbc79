package server

import "merlinjunction/internal/protocol/health"

// firstListTimeoutMs is the time for which a newly started gateway waits for the first endpoint list from discovery.
// After this time it counts as ready without the list.
const firstListTimeoutMs = 500.0

// ready reports whether clients can be served. The endpoint list must have been received, or the wait for it must be
// over. At least one host must count as reachable, and a host that was never dialed does (proxy.Core.Ready). A gateway
// that an operator has taken out of service by Evacuate is not ready until Rejoin.
func (s *Server) ready() bool {
	listSettled := s.endpointListReceived || s.loop.Clock.Now() >= s.discoveryWaitEndMs
	return !s.evacuated && listSettled && s.core.Ready()
}

// AcceptsClients reports whether this process accepts clients and can serve them.
func (s *Server) AcceptsClients() bool { return !s.shuttingDown && !s.awaitingTakeover && s.ready() }

// health returns the state that is reported to load balancers' health checks.
func (s *Server) health() health.State {
	switch {
	case s.shuttingDown || s.evacuated:
		return health.Draining
	case s.ready():
		return health.Ready
	}
	return health.Starting
}
