package server

import "merlinjunction/internal/protocol/health"

// firstListTimeoutMs is how long a gateway that has just started waits for discovery before it counts as ready without
// an endpoint list from it.
const firstListTimeoutMs = 500.0

// ready reports whether clients can be served: the endpoint list has been received, or the wait for it is over, and
// some host counts as reachable, as one that was never dialed does (proxy.Core.Ready). An evacuated gateway, which an
// operator has taken out of service by Evacuate and not yet put back by Rejoin, is not ready.
func (s *Server) ready() bool {
	listSettled := s.endpointListReceived || s.loop.Clock.Now() >= s.discoveryWaitEndMs
	return !s.evacuated && listSettled && s.core.Ready()
}

// AcceptsClients reports whether this process accepts clients and can serve them.
func (s *Server) AcceptsClients() bool { return !s.shuttingDown && !s.awaitingTakeover && s.ready() }

// health is the state that load balancers' health checks see.
func (s *Server) health() health.State {
	switch {
	case s.shuttingDown || s.evacuated:
		return health.Draining
	case s.ready():
		return health.Ready
	}
	return health.Starting
}
