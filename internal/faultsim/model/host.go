package model

import (
	"encoding/binary"
	"math"

	"merlinjunction/internal/proxy"
	"merlinjunction/routing"
)

// HostConfig is what all hosts are like.
type HostConfig struct {
	Cores         int
	ReadMs        float64 // mean work of a read on one core of a warm host
	WriteMs       float64
	HandshakeMs   float64 // work of taking a connection
	Queue         int     // statements that wait; more are turned away
	Conns         int     // connections that it holds; more are refused
	LagMs         float64 // that a replica applies the log later
	DedupWindowMs float64 // that the key of a write is remembered
	DrainGraceMs  float64 // of a drain
}

// Host is a database host.
type Host struct {
	*HostConfig
	Index      int
	ID         string
	Zone       string
	Group      *Group
	StartedAt  float64 // NaN: long ago
	DrainAt    float64 // NaN: it doesn't
	NotifiedAt float64 // the list has said so since then; NaN: it hasn't
	Up         bool
	Slow       float64 // times as long as usual all work takes; 0 stands for 1

	world            *World
	conns            map[*conn]bool
	order            []*conn // of conns, oldest first
	busy             int
	queue            []job
	recent           []float64 // starts of statements while it is cold
	overloadedAt     float64
	appliedAsPrimary float64 // it had applied the log up to here when it ceased to be primary
}

type job struct {
	conn *conn
	work float64 // ms on a core
	do   func()
}

// AddHost adds a host that is up. started is NaN for one that is warm.
func (w *World) AddHost(cfg *HostConfig, id, zone string, g *Group, started float64) *Host {
	if g.keys == nil {
		g.keys = map[uint64]float64{}
	}
	h := &Host{HostConfig: cfg, Index: len(w.Hosts), ID: id, Zone: zone, Group: g, StartedAt: started, DrainAt: math.NaN(), NotifiedAt: math.NaN(), Up: true,
		world: w, conns: map[*conn]bool{}, overloadedAt: math.Inf(-1), appliedAsPrimary: math.Inf(-1)}
	w.Hosts = append(w.Hosts, h)
	return h
}

// Conns is how many connections it holds.
func (h *Host) Conns() int { return len(h.conns) }

// Kill ends the host: its connections are reset.
func (h *Host) Kill() {
	h.Up = false
	h.queue = nil
	for _, c := range append([]*conn(nil), h.order...) {
		c.reset()
	}
	if h.Group.Primary == h {
		h.Group.SetPrimary(nil)
	}
}

func (h *Host) capacityShare() float64 {
	return h.world.SlowStart.CapacityShare(h.StartedAt, h.world.Now())
}

// accept takes a new connection after a handshake, or refuses it.
func (h *Host) accept(c *conn) {
	if !h.Up || len(h.conns) >= h.HostConfig.Conns {
		h.world.Counters.Refusals++
		c.refuse()
		return
	}
	h.world.Counters.Handshakes++
	h.conns[c] = true
	h.order = append(h.order, c)
	h.enqueue(job{c, h.HandshakeMs, c.establish})
}

// enqueue puts work in line.
func (h *Host) enqueue(j job) {
	if h.busy < h.Cores {
		h.run(j)
		return
	}
	h.queue = append(h.queue, j)
}

func (h *Host) run(j job) {
	h.busy++
	slow := max(1, h.Slow)
	took := j.work * slow / h.capacityShare()
	h.world.At(h.world.Now()+took, func() {
		h.busy--
		if h.Up && !j.conn.closed {
			j.do()
		}
		for h.busy < h.Cores && len(h.queue) > 0 {
			next := h.queue[0]
			h.queue = h.queue[1:]
			if next.conn.closed { // nobody waits for it any more
				continue
			}
			h.run(next)
		}
	})
}

// statement takes a statement in. Work has an exponential spread round its mean.
func (h *Host) statement(c *conn, s *Statement) {
	w := h.world
	now := w.Now()
	if s.Probe {
		w.Counters.Probes++
		h.enqueue(job{c, 0.05, func() { c.answer(h.result(routing.OutcomeOK)) }})
		return
	}
	w.Counters.Statements++
	if now > h.NotifiedAt+h.DrainGraceMs+drainSlackMs {
		w.Counters.Drained++
	}
	h.checkOverload(now)
	switch {
	case now < h.overloadedAt+overloadedMs:
		c.answer(proxy.Response{Outcome: routing.OutcomeError})
	case len(h.queue) >= h.Queue:
		c.answer(h.result(routing.OutcomeRejected))
	case s.Write && h.Group.Primary != h:
		w.Counters.Misdirected++
		h.enqueue(job{c, 0.1, func() { c.answer(h.result(routing.OutcomeMisdirected)) }})
	default:
		mean := h.ReadMs
		if s.Write {
			mean = h.WriteMs
		}
		h.enqueue(job{c, mean * w.Rng.ExpFloat64(), func() { h.finish(c, s) }})
	}
}

const (
	drainSlackMs = 150.0  // what is told takes its time
	overloadedMs = 3000.0 // a host that was pushed over answers with errors so long
)

// checkOverload counts what comes to a host that is cold, and pushes it over where that is more than the rule allows: the settings'
// multiple of its warmth of an even part of the traffic in the time that they name, with three roots for chance.
func (h *Host) checkOverload(now float64) {
	w := h.world
	if !(now-h.StartedAt < w.SlowStart.WindowMs) || now < h.overloadedAt+overloadedMs {
		return
	}
	h.recent = append(h.recent, now)
	for now-h.recent[0] > w.SlowStart.OverloadWindowMs {
		h.recent = h.recent[1:]
	}
	n := w.SlowStart.OverloadMultiple * h.capacityShare() * w.SlowStart.UsualRate * w.SlowStart.OverloadWindowMs / 1000
	if float64(len(h.recent)) > n+3*math.Sqrt(n)+3 {
		w.Counters.Overloads++
		h.overloadedAt, h.recent = now, nil
	}
}

func (h *Host) finish(c *conn, s *Statement) {
	now := h.world.Now()
	if s.Write {
		if h.Group.Primary != h { // it lost its office meanwhile
			c.answer(h.result(routing.OutcomeMisdirected))
			return
		}
		if before, again := h.Group.keys[s.Key]; again && now-before > h.DedupWindowMs {
			h.world.Counters.Doubled++
		}
		h.Group.keys[s.Key] = now
	}
	c.answer(h.result(routing.OutcomeOK))
}

// applied is up to where it has applied the log, ms of virtual time.
func (h *Host) applied() float64 {
	if h.Group.Primary == h {
		return h.world.Now()
	}
	return max(h.appliedAsPrimary, h.world.Now()-h.LagMs)
}

// SetPrimary makes a host the primary of its group, or nobody. The one before it keeps what it had applied.
func (g *Group) SetPrimary(h *Host) {
	if old := g.Primary; old != nil && old != h {
		old.appliedAsPrimary = old.world.Now()
	}
	g.Primary = h
}

// result is an answer with what it tells of the host; its body is up to where the host has applied the log.
func (h *Host) result(o routing.Outcome) proxy.Response {
	role := routing.RoleReplica
	if h.Group.Primary == h {
		role = routing.RolePrimary
	}
	at := h.applied()
	return proxy.Response{Outcome: o, Role: role, PositionMs: Epoch + at, Body: binary.LittleEndian.AppendUint64(nil, math.Float64bits(at))}
}

// Epoch is second 0 of virtual time, in ms since 1970.
const Epoch = 1_764_000_000_000.0

// conn is a connection between a gateway and a host: proxy.Conn at one end.
type conn struct {
	gateway *Gateway
	host    *Host
	handler proxy.UpstreamHandler
	closed  bool // closed at either end
}

// deliverToHost carries something to the other end, unless the way is cut: then it is lost, and the connection is silent.
func (c *conn) deliverToHost(f func()) {
	w := c.host.world
	if w.IsCut(c.gateway.Index, c.host.Index) {
		return
	}
	way := w.LinkMs
	if c.gateway.Zone != c.host.Zone {
		way += w.FarMs
	}
	life := c.gateway.generation
	w.At(w.Now()+way, func() {
		if !c.closed && c.gateway.generation == life && !w.IsCut(c.gateway.Index, c.host.Index) {
			f()
		}
	})
}

// deliverToGateway is later, for what its core hears.
func (c *conn) deliverToGateway(f func()) {
	c.deliverToHost(func() { c.gateway.receive(f) })
}

func (c *conn) refuse() {
	c.deliverToGateway(func() { c.end(); c.handler.ConnectionClosed(errRefused) })
}

func (c *conn) establish() { c.deliverToGateway(func() { c.handler.Established() }) }

func (c *conn) answer(a proxy.Response) { c.deliverToGateway(func() { c.handler.ResponseReceived(a) }) }

// reset resets it from the host's side.
func (c *conn) reset() {
	c.forget()
	c.deliverToGateway(func() { c.end(); c.handler.ConnectionClosed(errReset) })
}

// Send sends a command; it is written at once.
func (c *conn) Send(command any, _ float64) {
	s := command.(*Statement)
	c.handler.RequestWritten()
	c.deliverToHost(func() {
		if c.host.Up {
			c.host.statement(c, s)
		}
	})
}

// Close ends it from the gateway's side; no word to the owner follows.
func (c *conn) Close() {
	c.end()
	c.forget()
}

func (c *conn) end() { c.closed = true }

func (c *conn) forget() {
	h := c.host
	if h.conns[c] {
		delete(h.conns, c)
		for i, o := range h.order {
			if o == c {
				h.order = append(h.order[:i], h.order[i+1:]...)
				break
			}
		}
	}
}
