package server

import (
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"merlinjunction/internal/frontend/extended"
	"merlinjunction/internal/frontend/management"
	"merlinjunction/internal/frontend/platform"
	"merlinjunction/internal/protocol/health"
	"merlinjunction/internal/protocol/pg"
	"merlinjunction/internal/proxy"
)

const (
	// reservedDescriptors is the number of descriptors reserved for everything except connections to clients and hosts:
	// standard streams, epoll, listeners, discovery, the fleet's socket, state files, and the connections of health checks
	// and management calls, at most 16 for each of their listeners. All of these together can need more than this number.
	reservedDescriptors = 48
	// hostConnectionPercent is the percentage of the remaining descriptors that connections to hosts may use. Clients get
	// the rest, which is the larger part: they share the connections to hosts, and need none while they are idle.
	hostConnectionPercent = 40
	// preparedMemoryShare is the share of the memory limit that prepared statements, portals and their rows may hold.
	preparedMemoryShare = 0.25
	// platformClientIdleMs is the idle timeout of the platform's clients, which open a new connection when they need one.
	platformClientIdleMs = 2000.0
)

// open sets up the proxy core, the frontend and all listeners.
func (s *Server) open() error {
	s.connectionBudget = descriptorLimit(s.config.Sockets) - reservedDescriptors
	s.hostConnectionLimit = s.connectionBudget * hostConnectionPercent / 100
	if err := s.openCore(); err != nil {
		return err
	}
	s.openFrontend()
	s.setMemoryLimits(s.config.memoryBytes())
	if err := s.openManagement(); err != nil {
		return err
	}
	if err := s.joinFleet(); err != nil {
		return err
	}
	if err := s.openClientListener(); err != nil {
		return err
	}
	return s.openHealthChecks()
}

// descriptorLimit returns the configured number of descriptors, or the process's limit if that is lower.
func descriptorLimit(configured int) int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < uint64(configured) {
		return int(limit.Cur)
	}
	return configured
}

// openCore sets up the proxy core with the protocol that the hosts speak.
func (s *Server) openCore() (err error) {
	limits := proxy.Limits{
		ConnectTimeoutMs:  s.config.ConnectTimeoutMs,
		HostIdleTimeoutMs: s.config.HostIdleTimeoutMs,
		MaxConns:          s.hostConnectionLimit,
		MaxRequests:       s.connectionBudget,
	}
	dialer, healthCheck := pg.NewHostDialer(s.loop), pg.Command(pg.LoadReportQuery{})
	if operator := s.config.Operator; operator != nil {
		dialer, healthCheck = operator.Login.dialer(s.loop), operator.HealthCheck
		limits.HealthCheckIntervalMs = operator.HealthCheckIntervalMs
	}
	s.core, err = proxy.New(s.loop.Timers, s.log, s.config.Settings, s.config.Seed, limits,
		dialer, healthCheck, pg.ParseLoadReport)
	return err
}

// openFrontend sets up the client pool and the frontend that handles the clients' sessions.
func (s *Server) openFrontend() {
	s.clients = &pg.ClientPool{Loop: s.loop, MaxClients: s.connectionBudget - s.hostConnectionLimit}
	if operator := s.config.Operator; operator != nil {
		s.extendedFrontend = s.newExtendedFrontend(operator)
		s.clients.NewSession = s.extendedFrontend.NewSession
		return
	}
	s.clients.IdleTimeoutMs = platformClientIdleMs
	s.platformFrontend = platform.New(s.core, s.config.Settings, s.ready)
	s.clients.NewSession = s.platformFrontend.NewSession
}

// newExtendedFrontend returns the extended frontend with the configuration of an operator's file.
func (s *Server) newExtendedFrontend(operator *OperatorConfig) *extended.Frontend {
	return &extended.Frontend{
		Core:             s.core,
		Rules:            &operator.Rules,
		Ready:            s.ready,
		MaxReservedBytes: int(preparedMemoryShare * float64(s.config.memoryBytes())),
	}
}

// openManagement opens the listener of the management calls if the configuration has an address for it.
func (s *Server) openManagement() (err error) {
	if s.config.Management == "" {
		return nil
	}
	if s.managementListener, err = management.Serve(s.loop, s.config.Management, s, s.onAcceptError); err != nil {
		return &ConfigError{Key: "management", Err: err}
	}
	return nil
}

// openClientListener opens the clients' listener, or takes over the inherited one, which accepts no connection until
// acceptWhenReady starts it.
func (s *Server) openClientListener() (err error) {
	if s.config.ListenFD == 0 {
		s.clientListener, err = s.loop.Listen(s.config.Listen, s.clients.Accept, s.onAcceptError)
		return err
	}
	if s.clientListener, err = s.loop.ListenFD(s.config.ListenFD, s.clients.Accept, s.onAcceptError); err != nil {
		return &ConfigError{Key: listenFDVariable, Err: err}
	}
	s.awaitingTakeover = true
	s.shared, err = openSharedState(s.log, s.config.StateDir, s.config.Name)
	return err
}

// openHealthChecks opens the listeners for load balancers' health checks, which only an operator's file configures.
func (s *Server) openHealthChecks() (err error) {
	operator := s.config.Operator
	if operator == nil {
		return nil
	}
	if operator.AgentCheck != "" {
		if s.agentCheckListener, err = health.ServeAgent(s.loop, operator.AgentCheck, s.health, s.onAcceptError); err != nil {
			return err
		}
	}
	if operator.HTTPCheck != "" {
		s.httpCheckListener, err = health.ServeHTTP(s.loop, operator.HTTPCheck, s.health, s.onAcceptError)
	}
	return err
}

// onAcceptError disconnects one idle client, if there is one, after a listener failed to accept a connection. It handles
// the errors of all listeners, including errors other than a lack of descriptors.
func (s *Server) onAcceptError(err error) {
	s.log.Warn("accepting a connection failed, closing idle clients", zap.Error(err))
	s.clients.EvictIdle()
}
