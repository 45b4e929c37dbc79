package model

import (
	"encoding/binary"
	"math"

	"merlinjunction/internal/proxy"
	"merlinjunction/routing"
)

// Epoch is second 0 of virtual time, in ms since 1970.
const Epoch = 1_764_000_000_000.0

// Work on one core that does not depend on the configuration, ms.
const (
	probeWorkMs        = 0.05
	misdirectionWorkMs = 0.1 // of rejecting a write at a replica
)

// HostConfig is what all hosts of an experiment have in common.
type HostConfig struct {
	Cores         int
	ReadMs        float64 // mean work of a read on one core at full capacity
	WriteMs       float64 // mean work of a write on one core at full capacity
	HandshakeMs   float64 // work of accepting a connection
	QueueLimit    int     // statements that wait for a core; more are rejected
	MaxConns      int     // more connections are refused
	LagMs         float64 // replication lag
	DedupWindowMs float64 // how long the idempotency key of a write is remembered
	DrainGraceMs  float64 // how long a draining host may still be used once its drain is notified
}

// Host is the model of a database host. Times are ms of virtual time.
type Host struct {
	*HostConfig
	Index      int // its position in World.Hosts, which is its address
	ID         string
	Zone       string
	Group      *Group
	StartedAt  float64 // NaN: long ago
	DrainAt    float64 // when it began to drain; NaN: it does not
	NotifiedAt float64 // when the list first showed its drain; NaN: not yet
	Up         bool
	SlowFactor float64 // multiple of the usual time that all work takes; 0 stands for 1

	world               *World
	conns               map[*conn]bool
	connOrder           []*conn // the keys of conns, oldest first
	busyCores           int
	queue               []job
	slowStartStatements []float64 // arrivals within the overload window, during slow start
	overloadedAt        float64
	appliedAsPrimary    float64 // position of its log when it ceased to be the primary
}

// job is work for one core of a host.
type job struct {
	conn   *conn
	workMs float64 // at full capacity
	done   func()
}

// AddHost adds a host that is up. startedAt is NaN for one that has been up for long.
func (w *World) AddHost(config *HostConfig, id, zone string, group *Group, startedAt float64) *Host {
	if group.keys == nil {
		group.keys = map[uint64]float64{}
	}
	host := &Host{
		HostConfig:       config,
		Index:            len(w.Hosts),
		ID:               id,
		Zone:             zone,
		Group:            group,
		StartedAt:        startedAt,
		DrainAt:          math.NaN(),
		NotifiedAt:       math.NaN(),
		Up:               true,
		world:            w,
		conns:            map[*conn]bool{},
		overloadedAt:     math.Inf(-1),
		appliedAsPrimary: math.Inf(-1),
	}
	w.Hosts = append(w.Hosts, host)
	return host
}

// Conns is the number of its connections.
func (h *Host) Conns() int { return len(h.conns) }

// Kill ends the host's process: its connections are reset, and its group has no primary if it was the primary.
func (h *Host) Kill() {
	h.Up = false
	h.queue = nil
	for _, conn := range append([]*conn(nil), h.connOrder...) {
		conn.reset()
	}
	if h.Group.Primary == h {
		h.Group.SetPrimary(nil)
	}
}

func (h *Host) capacityShare() float64 {
	return h.world.SlowStart.CapacityShare(h.StartedAt, h.world.Now())
}

// accept accepts a new connection after a handshake, or refuses it.
func (h *Host) accept(client *conn) {
	if !h.Up || len(h.conns) >= h.MaxConns {
		h.world.Counters.ConnsRefused++
		client.refuse()
		return
	}
	h.world.Counters.Handshakes++
	h.conns[client] = true
	h.connOrder = append(h.connOrder, client)
	h.enqueue(job{client, h.HandshakeMs, client.establish})
}

// enqueue runs work on an idle core, or appends it to the queue.
func (h *Host) enqueue(work job) {
	if h.busyCores < h.Cores {
		h.run(work)
		return
	}
	h.queue = append(h.queue, work)
}

func (h *Host) run(work job) {
	h.busyCores++
	slowFactor := max(1, h.SlowFactor)
	durationMs := work.workMs * slowFactor / h.capacityShare()
	h.world.At(h.world.Now()+durationMs, func() {
		h.busyCores--
		if h.Up && !work.conn.closed {
			work.done()
		}
		h.runQueued()
	})
}

// runQueued runs work from the queue on all idle cores. Work of closed connections is dropped.
func (h *Host) runQueued() {
	for h.busyCores < h.Cores && len(h.queue) > 0 {
		next := h.queue[0]
		h.queue = h.queue[1:]
		if !next.conn.closed {
			h.run(next)
		}
	}
}

// receiveStatement executes a statement or rejects it. The work of a request is exponentially distributed.
func (h *Host) receiveStatement(client *conn, statement *Statement) {
	world := h.world
	now := world.Now()
	if statement.Probe {
		world.Counters.Probes++
		h.enqueue(job{client, probeWorkMs, func() { client.answer(h.response(routing.OutcomeOK)) }})
		return
	}
	world.Counters.Statements++
	if now > h.NotifiedAt+h.DrainGraceMs+drainSlackMs {
		world.Counters.StatementsAfterDrain++
	}
	h.checkOverload(now)
	switch {
	case h.isOverloaded(now):
		client.answer(proxy.Response{Outcome: routing.OutcomeError})
	case len(h.queue) >= h.QueueLimit:
		client.answer(h.response(routing.OutcomeRejected))
	case statement.Write && h.Group.Primary != h:
		world.Counters.Misdirected++
		h.enqueue(job{client, misdirectionWorkMs, func() { client.answer(h.response(routing.OutcomeMisdirected)) }})
	default:
		meanMs := h.ReadMs
		if statement.Write {
			meanMs = h.WriteMs
		}
		h.enqueue(job{client, meanMs * world.Random.ExpFloat64(), func() { h.complete(client, statement) }})
	}
}

const (
	drainSlackMs = 150.0  // beyond the grace period, for the delay of a watch event
	overloadedMs = 3000.0 // how long an overloaded host answers with errors
)

func (h *Host) isOverloaded(now float64) bool { return now < h.overloadedAt+overloadedMs }

// checkOverload counts a statement at a host in slow start. The host is overloaded where more arrive within the
// overload window than OverloadMultiple times its capacity share of the usual rate allows, with a margin of three
// standard deviations and three statements for random arrivals.
func (h *Host) checkOverload(now float64) {
	slowStart := &h.world.SlowStart
	if !(now-h.StartedAt < slowStart.WindowMs) || h.isOverloaded(now) {
		return
	}
	h.slowStartStatements = append(h.slowStartStatements, now)
	for now-h.slowStartStatements[0] > slowStart.OverloadWindowMs {
		h.slowStartStatements = h.slowStartStatements[1:]
	}
	allowed := slowStart.OverloadMultiple * h.capacityShare() * slowStart.UsualRate * slowStart.OverloadWindowMs / 1000
	if float64(len(h.slowStartStatements)) > allowed+3*math.Sqrt(allowed)+3 {
		h.world.Counters.Overloads++
		h.overloadedAt = now
		h.slowStartStatements = nil
	}
}

// complete ends a request's work: a write is committed if the host is still the primary.
func (h *Host) complete(client *conn, statement *Statement) {
	now := h.world.Now()
	if statement.Write {
		if h.Group.Primary != h {
			client.answer(h.response(routing.OutcomeMisdirected))
			return
		}
		previous, repeated := h.Group.keys[statement.Key]
		if repeated && now-previous > h.DedupWindowMs {
			h.world.Counters.DuplicateWrites++
		}
		h.Group.keys[statement.Key] = now
	}
	client.answer(h.response(routing.OutcomeOK))
}

// appliedPosition is the position up to which the host has applied the log, ms of virtual time.
func (h *Host) appliedPosition() float64 {
	if h.Group.Primary == h {
		return h.world.Now()
	}
	return max(h.appliedAsPrimary, h.world.Now()-h.LagMs)
}

// response is an answer with the host's role and its log position, which is also the body.
func (h *Host) response(outcome routing.Outcome) proxy.Response {
	role := routing.RoleReplica
	if h.Group.Primary == h {
		role = routing.RolePrimary
	}
	position := h.appliedPosition()
	return proxy.Response{
		Outcome:    outcome,
		Role:       role,
		PositionMs: Epoch + position,
		Body:       binary.LittleEndian.AppendUint64(nil, math.Float64bits(position)),
	}
}
