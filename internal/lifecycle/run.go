package lifecycle

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"merlinjunction/internal/front/platform"
	"merlinjunction/internal/loop"
	"merlinjunction/internal/state"
	"merlinjunction/internal/wire/discovery"
	"merlinjunction/internal/wire/pg"
)

const (
	// A front goes on sending clients for a while after SIGTERM; only then does the listener close.
	stayMs = 500.0
	// And some time after the longest deadline whoever is left is left alone.
	lastMs = 300.0
	// The answer to the empty query waits so long for the first word from discovery.
	firstNewsMs = 500.0
	// Descriptors that are neither clients' nor hosts': files, epoll, discovery, health checks.
	ownDescriptors = 48
	// Go's heap starts to be collected hard above this share of the memory limit.
	heapShare = 0.6
	// Requests that are held at a time, for each client connection.
	requestsEach = 1
)

// Program is the running gateway.
type Program struct {
	cfg      *Config
	loop     *loop.Loop
	log      *zap.Logger
	core     *state.Core
	clients  *pg.Clients
	listener *loop.Listener
	told     bool // discovery has spoken, or has had its time
	stopping bool
}

// Serve runs the gateway until it has been told to stop and has finished what it had taken.
func Serve(cfg *Config, log *zap.Logger) error {
	debug.SetMemoryLimit(int64(heapShare * float64(cfg.MemoryMB) * (1 << 20)))
	sockets := cfg.Sockets
	var lim unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &lim); err == nil && lim.Cur < uint64(sockets) {
		sockets = int(lim.Cur)
	}
	l, err := loop.New(loop.SystemClock())
	if err != nil {
		return err
	}
	defer l.Close()
	p := &Program{cfg: cfg, loop: l, log: log}
	free := sockets - ownDescriptors
	limits := state.Limits{ConnectMs: cfg.ConnectMs, IdleMs: cfg.IdleMs, Conns: free * 2 / 5, Requests: free * requestsEach}
	p.core, err = state.New(l.Timers, log, cfg.Settings, cfg.Seed, limits, pg.NewHosts(l), pg.Probe{}, pg.ReadReport)
	if err != nil {
		return err
	}
	front := platform.New(p.core, cfg.Settings, p.ready)
	p.clients = &pg.Clients{Loop: l, Most: free - limits.Conns, Open: front.Open}
	if p.listener, err = l.Listen(cfg.Listen, p.clients.Accept, p.crowded); err != nil {
		return err
	}
	if len(cfg.Known) > 0 {
		p.core.SetHosts(true, cfg.Known)
	}
	discovery.Watch(l, log, cfg.Discovery, func(full bool, hosts []state.Host) {
		p.told = true
		p.core.SetHosts(full, hosts)
	})
	l.After(firstNewsMs, func() { p.told = true })
	p.onSignal()
	log.Info("serving", zap.String("name", cfg.Name), zap.String("listen", p.listener.Addr()))
	return l.Run(p.core.Step)
}

func (p *Program) ready() bool { return p.told && p.core.Ready() }

// crowded makes room when no connection can be accepted.
func (p *Program) crowded(err error) {
	p.log.Warn("accept", zap.Error(err))
	p.clients.CloseIdle()
}

func (p *Program) onSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		for range signals {
			p.loop.Notify(p.stop)
		}
	}()
}

// stop drains: for a while all goes on, then nothing new is taken and what was taken is finished.
func (p *Program) stop() {
	if p.stopping {
		return
	}
	p.stopping = true
	p.log.Info("draining")
	p.loop.After(stayMs, func() {
		p.listener.Sweep()
		p.listener.Close()
		p.clients.Drain()
		longest := 0.0
		for _, c := range p.cfg.Settings.Classes {
			longest = max(longest, c.Deadline.Seconds()*1000)
		}
		p.loop.After(longest+lastMs, p.loop.Stop)
		p.leaveWhenDone()
	})
}

func (p *Program) leaveWhenDone() {
	if p.clients.Count() == 0 {
		p.log.Info("drained")
		p.loop.Stop()
		return
	}
	p.loop.After(5, p.leaveWhenDone)
}
