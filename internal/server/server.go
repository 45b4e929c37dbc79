// Package server runs the gateway: it reads the configuration, opens the listeners, reloads at SIGHUP, shuts down
// gracefully at SIGTERM, and takes over from an older process of the same gateway during an upgrade.
//
// The methods of a Server run on its event loop, unless their comment says otherwise.
package server

import (
	"runtime/debug"

	"go.uber.org/zap"

	"merlinjunction/internal/eventloop"
	"merlinjunction/internal/frontend/extended"
	"merlinjunction/internal/frontend/platform"
	"merlinjunction/internal/protocol/discovery"
	"merlinjunction/internal/protocol/pg"
	"merlinjunction/internal/proxy"
	"merlinjunction/internal/transport"
)

const (
	// heapLimitShare is the share of the memory limit that becomes Go's soft memory limit, above which garbage is collected
	// more often. The rest is headroom: Go may exceed its soft limit for a while, and doesn't count the program's binary
	// and the system's socket buffers.
	heapLimitShare = 0.6
	// bufferMemoryShare is the share of the memory limit that connections' buffers may hold, except for the input of clients.
	// Appending to a buffer can briefly double its memory.
	bufferMemoryShare = 0.2
	// inputMemoryShare is the share of the memory limit that the input of clients may hold.
	inputMemoryShare = 0.1
	// queryMemoryShare is the share of the memory limit that the pending queries of the platform's clients may hold, with
	// the answers that wait for their turn.
	queryMemoryShare = 0.2
	// simpleQueryMemoryShare is the share of the memory limit that the simple queries in hand of the extended frontend's
	// clients may hold. Prepared statements and portals have a share of their own (preparedMemoryShare).
	simpleQueryMemoryShare = 0.1
)

// Server is a gateway process: the event loop with its listeners, the proxy core, the watcher of the endpoint list and
// the fleet membership.
type Server struct {
	config  *Config
	log     *zap.Logger
	loop    *eventloop.Loop
	core    *proxy.Core
	clients *pg.ClientPool

	platformFrontend *platform.Frontend // nil with an operator's file
	extendedFrontend *extended.Frontend // nil without one

	// Listeners; a listener without an address in the configuration is nil.
	clientListener     *eventloop.Listener
	agentCheckListener *eventloop.Listener
	httpCheckListener  *eventloop.Listener
	managementListener *eventloop.Listener

	connectionBudget    int // descriptors for all connections to clients and hosts
	hostConnectionLimit int // part of connectionBudget that is for connections to hosts

	watcher              *discovery.Watcher // nil without discovery
	discoveryWaitEndMs   float64            // time from which the gateway can be ready without an endpoint list; 0: at once
	endpointListReceived bool
	discovered           discoveredStates

	transport *transport.Transport // nil without a fleet
	fleetSync fleetSync

	reloadTimer     *eventloop.Timer // for the next attempt to read the configuration
	reloadFailures  int
	reloadSuccesses int

	evacuated       bool             // set by the management call Evacuate, cleared by Rejoin
	evacuationTimer *eventloop.Timer // starts to disconnect clients as they become idle

	shuttingDown         bool
	shutdownStartedMs    float64
	abandonedConnections int // client connections still open at the end of the graceful shutdown

	shared           *sharedState // state shared with sibling processes; nil without an inherited listener
	hasSibling       bool         // whether another process of this gateway is alive
	awaitingTakeover bool         // whether the inherited listener does not accept clients yet
}

// New opens a gateway's listeners and sockets; Run starts it. The error is a *ConfigError if the address of the
// management calls, the inherited listener or the directory of the shared state can't be used. Errors of the clients'
// listener, the health checks' listeners and the fleet's socket are of other types, with the address or the key in their
// text.
func New(config *Config, log *zap.Logger, clock *eventloop.Clock) (*Server, error) {
	loop, err := eventloop.New(clock)
	if err != nil {
		return nil, err
	}
	loop.OnDelay = func(ms float64) { log.Warn("event loop iteration was slow", zap.Float64("duration_ms", ms)) }
	s := &Server{config: config, loop: loop, log: log}
	if err := s.open(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// setMemoryLimits divides the memory limit of the process.
func (s *Server) setMemoryLimits(memoryBytes int) {
	share := func(part float64) int { return int(part * float64(memoryBytes)) }
	debug.SetMemoryLimit(int64(share(heapLimitShare)))
	s.loop.MaxBufferedBytes = share(bufferMemoryShare)
	s.clients.InputMemory.LimitBytes = share(inputMemoryShare)
	if s.platformFrontend != nil {
		s.platformFrontend.Memory.LimitBytes = share(queryMemoryShare)
	}
	if s.extendedFrontend != nil {
		s.extendedFrontend.QueryMemory.LimitBytes = share(simpleQueryMemoryShare)
	}
}

// Close releases the sockets and files of a gateway whose event loop is not running.
func (s *Server) Close() {
	if s.shared != nil {
		s.shared.close()
	}
	if s.transport != nil {
		s.transport.Close()
	}
	s.loop.Close()
}

// Run serves until a graceful shutdown has ended.
func (s *Server) Run() error {
	if len(s.config.KnownHosts) > 0 {
		s.core.UpdateHosts(true, s.config.KnownHosts)
	}
	s.startDiscovery()
	if s.shared != nil {
		s.pollSiblings()
		s.acceptWhenReady()
	}
	s.log.Info("serving", zap.String("name", s.config.Name), zap.String("listen", s.clientListener.Addr()),
		zap.String("management", s.ManagementAddr()), zap.String("fleet", s.fleetAddress()))
	err := s.loop.Run(s.onLoopRound)
	s.log.Info("stopped",
		zap.Int("open_connections", s.abandonedConnections), zap.Int("open_requests", s.core.OpenRequests()))
	return err
}

// onLoopRound runs at the end of each round of the event loop, after the handlers of all events of the round.
func (s *Server) onLoopRound() {
	s.core.Step()
	if s.transport != nil {
		s.transport.Step()
		s.syncFleet()
	}
}

// Addrs returns the addresses of the listeners of clients, agent checks and HTTP checks, each "" without a listener.
func (s *Server) Addrs() (clients, agentCheck, httpCheck string) {
	return listenerAddress(s.clientListener), listenerAddress(s.agentCheckListener), listenerAddress(s.httpCheckListener)
}

// ManagementAddr returns the address of the management listener, or "" without one.
func (s *Server) ManagementAddr() string { return listenerAddress(s.managementListener) }

// listenerAddress returns the address of a listener, or "" if it is nil.
func listenerAddress(listener *eventloop.Listener) string {
	if listener == nil {
		return ""
	}
	return listener.Addr()
}
