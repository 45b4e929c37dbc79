package server

import (
	"fmt"
	"os"
	"runtime/debug"
	"strconv"

	"go.uber.org/zap"

	"merlinjunction/internal/eventloop"
)

// A new version takes over from an old one while both serve: they hold the same listening socket and share bans and each
// other's life and end through files. Together they are one gateway for every rule.

const (
	shareMs    = 100.0  // between looks at what other processes of this gateway have said
	releaseMs  = 200.0  // until the first client is accepted beside another process, which has noticed this one by then
	waitMostMs = 3000.0 // and so long at most, if no database host can be reached: refusals are better than silence
)

// ApplyInheritedListener takes in what the environment says of a handed-down listener.
func (c *Config) ApplyInheritedListener(env func(string) string) error {
	text := env("LB_LISTEN_FD")
	if text == "" {
		return nil
	}
	fd, err := strconv.Atoi(text)
	if err != nil || fd <= 2 {
		return fmt.Errorf("LB_LISTEN_FD: %q is no descriptor of a listener", text)
	}
	c.ListenFD = fd
	if c.StateDir = env("TMPDIR"); c.StateDir == "" {
		c.StateDir = os.TempDir()
	}
	return nil
}

// listen opens the clients' listener, or takes over the one that was handed down.
func (p *Server) listen() (err error) {
	if p.cfg.ListenFD == 0 {
		p.listener, err = p.loop.Listen(p.cfg.Listen, p.clients.Accept, p.crowded)
		return err
	}
	if p.listener, err = p.loop.ListenOn(p.cfg.ListenFD, p.clients.Accept, p.crowded); err != nil {
		return fmt.Errorf("LB_LISTEN_FD: %w", err)
	}
	p.held = true
	p.shared, err = openShared(p.log, p.cfg.StateDir, p.cfg.Name)
	return err
}

// takeOver accepts clients as soon as they can be served. Where nobody else serves them it does not wait.
func (p *Server) takeOver() {
	p.hear()
	start := p.loop.Clock.Now()
	var look func()
	look = func() {
		now := p.loop.Clock.Now()
		if !p.beside || p.ready() && now >= start+releaseMs || now >= start+waitMostMs {
			p.held = false
			p.listener.StartAccepting()
			p.log.Info("accepting", zap.Bool("beside another process", p.beside))
			return
		}
		p.loop.After(doneMs, look)
	}
	look()
}

// hear takes in what other processes of this gateway have said, and whether there are any, and does so again and again.
func (p *Server) hear() {
	p.learn()
	if live := p.shared.others(); live != p.beside {
		p.beside = live
		p.log.Info("another process of this gateway", zap.Bool("live", live))
		p.divide()
	}
	p.loop.After(shareMs, p.hear)
}

// learn applies the bans that others have spoken or taken back.
func (p *Server) learn() {
	if p.shared == nil {
		return
	}
	for id, w := range p.shared.news() {
		p.log.Info("heard", zap.String("host", id), zap.Bool("out", w.Out))
		if w.Out {
			p.core.RestoreExclusion(id, w.At)
		} else {
			p.core.Include(id)
		}
	}
}

// divide gives this process the gateway's limits, or half of them while another process lives: they hold for both
// together.
func (p *Server) divide() {
	part := 1
	if p.beside {
		part = 2
	}
	memory := p.cfg.MemoryMB << 20 / part
	debug.SetMemoryLimit(int64(heapShare * float64(memory)))
	p.loop.MaxBufferedBytes = int(bufferShare * float64(memory))
	p.clients.MaxClients = (p.free - p.conns) / part
	p.core.SetSiblingProcess(p.beside, p.conns/part)
}

// pass on a word on a host to the other processes.
func (p *Server) tell(id string, out bool) {
	if p.shared != nil {
		p.shared.say(id, word{Out: out, At: p.loop.Clock.Now()})
	}
}

func addrOf(l *eventloop.Listener) string {
	if l == nil {
		return ""
	}
	return l.Addr()
}
