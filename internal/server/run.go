package server

import (
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"merlinjunction/internal/eventloop"
	"merlinjunction/internal/frontend/extended"
	"merlinjunction/internal/frontend/management"
	"merlinjunction/internal/frontend/platform"
	"merlinjunction/internal/protocol/discovery"
	"merlinjunction/internal/protocol/health"
	"merlinjunction/internal/protocol/pg"
	"merlinjunction/internal/proxy"
	"merlinjunction/internal/transport"
)

const (
	// A front goes on sending clients for a while after SIGTERM; only then does the listener close.
	stayMs = 500.0
	// The last client is waited for so long at least.
	leastLeaveMs = 3000.0
	// And some time after the longest deadline whoever is left is left alone.
	lastMs = 300.0
	// On the platform SIGKILL follows SIGTERM by the longest deadline, counted as killMost where it is longer, and killMs.
	killMost = 3000.0
	killMs   = 700.0
	// So long before the end the last word goes out to whoever still asks.
	endSlackMs = 50.0
	// The answer to the empty query waits so long for the first word from discovery.
	firstNewsMs = 500.0
	// Descriptors that are neither clients' nor hosts': files, epoll, discovery, health checks.
	ownDescriptors = 48
	// Go's heap starts to be collected hard above this share of the memory limit.
	heapShare = 0.6
	// And the connections' buffers may hold this share of it; appending can double that for a moment.
	bufferShare = 0.25
	// A file that can't be read at SIGHUP may still be being written: it is tried again this often, so many times.
	reloadMs    = 100.0
	reloadTries = 30
	// The platform's clients open a new connection without ado: one with nothing in hand is not kept for long.
	clientIdleMs = 2000.0
	// While it stops, it looks this often whether the last client has gone.
	doneMs = 5.0
)

// Server is the running gateway.
type Server struct {
	cfg       *Config
	loop      *eventloop.Loop
	log       *zap.Logger
	core      *proxy.Core
	clients   *pg.ClientPool
	listener  *eventloop.Listener
	agent     *eventloop.Listener // nil where not set up
	http      *eventloop.Listener
	manage    *eventloop.Listener
	watch     *discovery.Watcher // nil without discovery
	reloading *eventloop.Timer   // the next try
	newsByMs  float64            // discovery has had its time for a first word
	told      bool               // and has spoken
	sharing   sharing
	stopping  bool
	stoppedAt float64              // when it was told to stop
	away      bool                 // clients are sent away
	leaving   *eventloop.Timer     // until those that still come are
	reloads   [2]int               // that failed, that were taken in
	peer      *transport.Transport // nil: no fleet is set up
	shared    *shared              // with other processes of this gateway; nil where no listener was handed down
	held      bool                 // the listener accepts nobody yet
	beside    bool                 // another process of this gateway lives
	free      int                  // descriptors for clients and hosts
	conns     int                  // of them for hosts
	abandoned int                  // client connections that were left when the time was over
}

// Serve runs the gateway until it has been told to stop and has finished what it had taken.
func Serve(cfg *Config, log *zap.Logger) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP) // first of all: they would end the program
	p, err := New(cfg, log, eventloop.SystemClock())
	if err != nil {
		return err
	}
	defer p.Close()
	go p.onSignals(signals)
	return p.Run()
}

// New sets the gateway up; Run starts it.
func New(cfg *Config, log *zap.Logger, clock *eventloop.Clock) (*Server, error) {
	debug.SetMemoryLimit(int64(heapShare * float64(cfg.MemoryMB) * (1 << 20)))
	l, err := eventloop.New(clock)
	if err != nil {
		return nil, err
	}
	l.MaxBufferedBytes = int(bufferShare * float64(cfg.MemoryMB) * (1 << 20))
	l.OnDelay = func(ms float64) { log.Warn("a round of the loop took long", zap.Float64("ms", ms)) }
	p := &Server{cfg: cfg, loop: l, log: log}
	if err := p.open(); err != nil {
		p.Close()
		return nil, err
	}
	return p, nil
}

// Close gives back what a program that does not run holds.
func (p *Server) Close() {
	if p.shared != nil {
		p.shared.close()
	}
	if p.peer != nil {
		p.peer.Close()
	}
	p.loop.Close()
}

func (p *Server) open() error {
	cfg, l := p.cfg, p.loop
	sockets := cfg.Sockets
	var lim unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &lim); err == nil && lim.Cur < uint64(sockets) {
		sockets = int(lim.Cur)
	}
	p.free = sockets - ownDescriptors
	p.conns = p.free * 2 / 5
	limits := proxy.Limits{ConnectTimeoutMs: cfg.ConnectTimeoutMs, HostIdleTimeoutMs: cfg.HostIdleTimeoutMs, MaxConns: p.conns, MaxRequests: p.free}
	hosts, probe := pg.NewHostDialer(l), pg.Command(pg.LoadReportQuery{})
	if op := cfg.Operator; op != nil {
		probe, limits.HealthCheckIntervalMs = op.HealthCheck, op.HealthCheckIntervalMs
		*hosts = pg.HostDialer{
			Loop: l, User: op.Login.User, Database: op.Login.Database, RoleParameter: op.Login.Role, PrimaryValue: op.Login.Primary,
			ReplicaValue: op.Login.Replica, PositionParameter: op.Login.Position, RoleOnChange: op.Login.RoleOnChange,
		}
	}
	var err error
	p.core, err = proxy.New(l.Timers, p.log, cfg.Settings, cfg.Seed, limits, hosts, probe, pg.ParseLoadReport)
	if err != nil {
		return err
	}
	p.clients = &pg.ClientPool{Loop: l, MaxClients: p.free - p.conns}
	if op := cfg.Operator; op != nil {
		p.clients.NewSession = (&extended.Frontend{Core: p.core, Rules: &op.Rules, Ready: p.ready}).NewSession
	} else {
		p.clients.IdleTimeoutMs = clientIdleMs
		p.clients.NewSession = platform.New(p.core, cfg.Settings, p.ready).NewSession
	}
	if cfg.Management != "" {
		if p.manage, err = management.Serve(l, cfg.Management, p, p.crowded); err != nil {
			return fmt.Errorf("management: %w", err)
		}
	}
	if err := p.joinFleet(); err != nil {
		return err
	}
	if err := p.listen(); err != nil {
		return err
	}
	if op := cfg.Operator; op != nil {
		return p.openHealth(op)
	}
	return nil
}

func (p *Server) openHealth(op *OperatorConfig) (err error) {
	if op.AgentCheck != "" {
		if p.agent, err = health.ServeAgent(p.loop, op.AgentCheck, p.health, p.crowded); err != nil {
			return err
		}
	}
	if op.HTTP != "" {
		p.http, err = health.ServeHTTP(p.loop, op.HTTP, p.health, p.crowded)
	}
	return err
}

// Run serves until Stop has done its work.
func (p *Server) Run() error {
	if len(p.cfg.KnownHosts) > 0 {
		p.core.UpdateHosts(true, p.cfg.KnownHosts)
	}
	p.told = p.cfg.Discovery == ""
	p.newsByMs = p.loop.Clock.Now() + firstNewsMs
	if p.cfg.Discovery != "" {
		p.follow()
		if p.watch.FirstPollLaterThan(firstNewsMs) { // its clients need not wait for a word that will not have come by then
			p.newsByMs = 0
		}
	}
	if p.shared != nil {
		p.takeOver()
	}
	p.log.Info("serving", zap.String("name", p.cfg.Name), zap.String("listen", p.listener.Addr()),
		zap.String("management", p.Management()), zap.String("fleet", p.fleetAddr()))
	err := p.loop.Run(p.step)
	p.log.Info("stopped", zap.Int("connections left", p.abandoned), zap.Int("requests left", p.core.OpenRequests()))
	return err
}

// Addrs are the addresses listened on: clients', agent checks' and HTTP checks'.
func (p *Server) Addrs() (clients, agent, http string) {
	return addrOf(p.listener), addrOf(p.agent), addrOf(p.http)
}

// Management is the address of the management calls.
func (p *Server) Management() string { return addrOf(p.manage) }

func (p *Server) ready() bool {
	return !p.away && (p.told || p.loop.Clock.Now() >= p.newsByMs) && p.core.Ready()
}

func (p *Server) health() health.State {
	switch {
	case p.stopping || p.away:
		return health.Draining
	case p.ready():
		return health.Ready
	}
	return health.Starting
}

// crowded makes room when no connection can be accepted.
func (p *Server) crowded(err error) {
	p.log.Warn("accept", zap.Error(err))
	p.clients.CloseIdle()
}

func (p *Server) onSignals(signals <-chan os.Signal) {
	for s := range signals {
		if s == syscall.SIGHUP {
			p.loop.Notify(func() { p.reload(reloadTries) })
		} else {
			p.loop.Notify(p.stop)
		}
	}
}

// reload reads the configuration anew and takes in where discovery is and, of an operator's file, the host list;
// everything else there needs a restart. What can't be read leaves all as it is: it is tried again for a while, as
// the file may be half written, and the program goes on serving either way.
func (p *Server) reload(tries int) {
	p.reloading.Stop()
	cfg, err := p.cfg.Reload()
	if err != nil {
		if tries == reloadTries || tries == 1 {
			p.log.Error("reload: the old configuration stays", zap.Error(err), zap.Bool("tried again", tries > 1))
		}
		if tries == 1 {
			p.reloads[0]++
		} else {
			p.reloading = p.loop.After(reloadMs, func() { p.reload(tries - 1) })
		}
		return
	}
	p.reloads[1]++
	p.log.Info("reload", zap.String("discovery", cfg.Discovery), zap.Int("hosts", len(cfg.KnownHosts)))
	if cfg.FileDiscovery != p.cfg.FileDiscovery && cfg.Discovery != "" {
		p.cfg.FileDiscovery, p.cfg.Discovery = cfg.FileDiscovery, cfg.Discovery
		p.follow()
	}
	p.reloadFleet(cfg)
	if p.cfg.Operator != nil && len(cfg.KnownHosts) > 0 {
		p.core.UpdateHosts(true, cfg.KnownHosts)
	}
}

// follow follows the host list at the address that the configuration names now.
func (p *Server) follow() {
	if p.watch != nil {
		p.watch.SetAddress(p.cfg.Discovery)
		return
	}
	set := &p.cfg.Settings
	fleet := discovery.Config{GatewayCount: set.GatewayCount, DrainGraceMs: set.DrainGrace.Seconds() * 1000, Seed: p.cfg.Seed, Revision: p.cfg.KnownRevision,
		Pushed: p.cfg.Operator == nil && !set.SubscribeToEndpoints} // an operator's discovery is one for all
	if p.cfg.Operator != nil { // the platform's rules count how long a watch may wait
		fleet.GatewayNumber = set.GatewayNumber
	}
	p.watch = discovery.Watch(p.loop, p.log, p.cfg.Discovery, fleet, func(full bool, hosts []proxy.Host, told float64) {
		p.told = true
		p.core.UpdateHostsNotifiedAt(full, hosts, told)
	})
}

// Stop drains the gateway; any goroutine may call it.
func (p *Server) Stop() { p.loop.Notify(p.stop) }

// SetHosts replaces the host list; any goroutine may call it.
func (p *Server) SetHosts(list []proxy.Host) {
	p.loop.Notify(func() { p.core.UpdateHosts(true, list) })
}

// stop drains: for a while all goes on, then nothing new is taken and what was taken is finished.
func (p *Server) stop() {
	if p.stopping {
		return
	}
	p.stopping, p.stoppedAt = true, p.loop.Clock.Now()
	p.log.Info("draining")
	if p.peer != nil {
		p.peer.Leave()
	}
	if p.shared != nil { // whoever comes now is the next process's
		p.shut()
		return
	}
	p.loop.After(stayMs, func() {
		p.listener.AcceptAll()
		p.shut()
	})
}

// shut takes nothing new any more and ends when what was taken is finished.
func (p *Server) shut() {
	longest := 0.0
	for _, c := range p.cfg.Settings.Classes {
		longest = max(longest, c.Deadline.Seconds()*1000)
	}
	end := p.loop.Clock.Now() + max(longest, leastLeaveMs) + lastMs // a large answer that has begun has no deadline
	p.loop.At(end, p.leave)
	if p.cfg.Operator == nil {
		end = min(end, p.stoppedAt+min(longest, killMost)+killMs)
	}
	p.core.SetFinalDeadline(end - endSlackMs)
	p.listener.Close()
	p.clients.Drain()
	p.leaveWhenDone()
}

func (p *Server) leaveWhenDone() {
	if p.clients.Count() == 0 {
		p.leave()
		return
	}
	p.loop.After(doneMs, p.leaveWhenDone)
}

func (p *Server) leave() {
	p.abandoned = p.clients.Count()
	p.loop.Stop()
}
