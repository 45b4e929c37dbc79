package server

import (
	"go.uber.org/zap"

	"merlinjunction/internal/frontend/management"
	"merlinjunction/internal/proxy"
)

// A front hears that clients are sent away when it asks next, and sends new ones for a while yet.
const awayMs = 500.0

// TakesClients tells whether clients are taken now.
func (p *Server) TakesClients() bool { return !p.stopping && !p.held && p.ready() }

// Telemetry is what has been counted since this process started.
func (p *Server) Telemetry() management.Telemetry {
	t := management.Telemetry{
		Replies: map[string]proxy.ReplyCounts{}, Stats: p.core.Stats(),
		ReloadFailure: p.reloads[0], ReloadSuccess: p.reloads[1],
	}
	for i, n := range p.core.ReplyCounts() {
		t.Replies[p.cfg.Settings.Classes[i].Name] = n
	}
	if t.Fleet = p.Fleet(); t.Fleet != nil {
		t.Fleet.Members = nil
	}
	return t
}

// Exclude takes a database host out of use.
func (p *Server) Exclude(id string) bool {
	p.learn()
	known := p.core.Exclude(id, p.loop.Clock.Now())
	if known {
		p.tell(id, true)
	}
	p.log.Info("exclude", zap.String("host", id), zap.Bool("known", known))
	return known
}

// Include uses a database host again.
func (p *Server) Include(id string) bool {
	p.learn()
	known := p.core.Include(id)
	if known {
		p.tell(id, false)
	}
	p.log.Info("include", zap.String("host", id), zap.Bool("known", known))
	return known
}

// Evacuate sends the clients away: from now on the empty query says no. Those that the front still sends meanwhile are
// served; then connections close as they become idle, new ones too. The gateway itself stays.
func (p *Server) Evacuate() {
	if p.away || p.stopping {
		return
	}
	p.log.Info("evacuating")
	p.away = true
	p.leaving = p.loop.After(awayMs, p.clients.Drain)
}

// Rejoin takes clients again.
func (p *Server) Rejoin() {
	if !p.away {
		return
	}
	p.log.Info("rejoining")
	p.away = false
	p.leaving.Stop()
	if !p.stopping {
		p.clients.StopDraining()
	}
}
