package model

import (
	"encoding/binary"
	"math"

	"merlinjunction/internal/proxy"
	"merlinjunction/routing"
)

// Epoch is the start of virtual time, in ms since 1970.
const Epoch = 1_764_000_000_000.0

// Work that does not depend on the configuration, in ms on one core.
const (
	probeWorkMs        = 0.05 // answering a health check
	misdirectionWorkMs = 0.1  // rejecting a write at a replica
)

// HostConfig is the configuration that all hosts of an experiment share.
type HostConfig struct {
	Cores         int
	ReadMs        float64 // mean work of a read, on one core at full capacity
	WriteMs       float64 // mean work of a write, on one core at full capacity
	HandshakeMs   float64 // work of accepting a connection, on one core at full capacity
	QueueLimit    int     // statements that may wait for a core; more are rejected
	MaxConns      int     // connections that may be open; more are refused
	LagMs         float64 // replication lag
	DedupWindowMs float64 // how long the idempotency key of a write is remembered
	DrainGraceMs  float64 // how long a draining host may still be used after the gateways are notified
}

// Host is the model of a database host. Times are ms of virtual time.
type Host struct {
	*HostConfig
	Index      int // index in World.Hosts, which is also its address
	ID         string
	Zone       string
	Group      *Group
	StartedAt  float64 // NaN: long ago
	DrainAt    float64 // when it began to drain; NaN: it does not drain
	NotifiedAt float64 // when the endpoint list first showed its drain; NaN: not yet
	Up         bool
	SlowFactor float64 // factor by which all work takes longer than usual; 0 means 1

	world               *World
	conns               map[*conn]bool
	connOrder           []*conn // the keys of conns, oldest first
	busyCores           int
	queue               []job
	slowStartStatements []float64 // times of the arrivals within the overload window, during slow start
	overloadedAt        float64   // when it last became overloaded; -Inf: never
	positionAtDemotion  float64   // its log position when it ceased to be the primary; -Inf: it never did
}

// job is work for one core of a host.
type job struct {
	conn   *conn
	workMs float64 // on one core at full capacity
	done   func()  // called when the work is done, if the host is up and the connection open
}

// AddHost adds a running host. startedAt is when it started; NaN means long ago.
func (w *World) AddHost(config *HostConfig, id, zone string, group *Group, startedAt float64) *Host {
	if group.keyUsedAt == nil {
		group.keyUsedAt = map[uint64]float64{}
	}
	host := &Host{
		HostConfig:         config,
		Index:              len(w.Hosts),
		ID:                 id,
		Zone:               zone,
		Group:              group,
		StartedAt:          startedAt,
		DrainAt:            math.NaN(),
		NotifiedAt:         math.NaN(),
		Up:                 true,
		world:              w,
		conns:              map[*conn]bool{},
		overloadedAt:       math.Inf(-1),
		positionAtDemotion: math.Inf(-1),
	}
	w.Hosts = append(w.Hosts, host)
	return host
}

// Conns returns the number of open connections to the host.
func (h *Host) Conns() int { return len(h.conns) }

// Kill ends the host's process. Its connections are reset. If it was the primary, its group has no primary any longer.
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

// accept accepts a new connection, which is established after the work of a handshake. It refuses the connection if the
// host is down or has reached its connection limit.
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

// enqueue runs work on an idle core, or appends it to the queue if all cores are busy.
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

// runQueued runs work from the queue on all idle cores. It drops the work of closed connections.
func (h *Host) runQueued() {
	for h.busyCores < h.Cores && len(h.queue) > 0 {
		next := h.queue[0]
		h.queue = h.queue[1:]
		if !next.conn.closed {
			h.run(next)
		}
	}
}

// receiveStatement executes or rejects a statement. The work of a request is exponentially distributed.
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
	drainSlackMs    = 150.0  // tolerance after the grace period, for the delay of a watch event
	overloadErrorMs = 3000.0 // how long an overloaded host answers with errors
)

func (h *Host) isOverloaded(now float64) bool { return now < h.overloadedAt+overloadErrorMs }

// checkOverload counts a statement at a host in slow start. The host becomes overloaded if more statements arrive within
// the overload window than OverloadMultiple times its capacity share of the usual rate allows. As arrivals are random, the
// limit has a margin of three standard deviations and three statements.
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

// complete answers a request whose work is done. A write is committed only if the host is still the primary; otherwise it
// is answered as misdirected.
func (h *Host) complete(client *conn, statement *Statement) {
	now := h.world.Now()
	if statement.Write {
		if h.Group.Primary != h {
			client.answer(h.response(routing.OutcomeMisdirected))
			return
		}
		previous, repeated := h.Group.keyUsedAt[statement.Key]
		if repeated && now-previous > h.DedupWindowMs {
			h.world.Counters.DuplicateWrites++
		}
		h.Group.keyUsedAt[statement.Key] = now
	}
	client.answer(h.response(routing.OutcomeOK))
}

// appliedPosition returns the position up to which the host has applied the log, in ms of virtual time. A replica is one
// replication lag behind, but never behind the position that it had as the primary.
func (h *Host) appliedPosition() float64 {
	if h.Group.Primary == h {
		return h.world.Now()
	}
	return max(h.positionAtDemotion, h.world.Now()-h.LagMs)
}

// response returns an answer with the host's role and log position. Its body is the log position too.
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
