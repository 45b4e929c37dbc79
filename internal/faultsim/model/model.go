// Package model holds the fault simulator's models of a gateway's environment, which run on virtual time. A database host
// has cores, a queue, a connection limit, a replicated log and slow start. Discovery has a rate limit. A Gateway runs the
// program's own core (package proxy, which uses the decisions of routing and fleet) against them. The models follow the
// protocol pages. All times are milliseconds of virtual time, and all rates are per second.
package model

import "math/rand/v2"

// Scheduler is the virtual clock. It calls functions that are scheduled for the same time in the order of the At calls.
type Scheduler interface {
	// Now returns the current time in ms.
	Now() float64
	// At schedules a call of a function at the time ms.
	At(ms float64, call func())
}

// World is the state that all models of one run share.
type World struct {
	Scheduler
	Random           *rand.Rand
	LinkDelayMs      float64                      // one-way delay between a gateway and a host
	CrossZoneDelayMs float64                      // additional one-way delay between zones
	IsCut            func(gateway, host int) bool // reports whether the link between them loses all messages
	Groups           []*Group
	Hosts            []*Host // including those whose process has ended
	SlowStart        SlowStart
	Counters         Counters

	CheckAccounting bool  // check the accounting of each gateway's core after each of its steps
	AccountingError error // first error that the check found; nil: none
}

// SlowStart describes how the capacity of a host grows after its start. The gateways' settings state the same.
type SlowStart struct {
	MinShare         float64 // share of its full capacity that a host has at its start
	WindowMs         float64 // time from its start until a host has its full capacity
	OverloadMultiple float64 // a host in slow start is overloaded above this multiple of its capacity share of UsualRate
	UsualRate        float64 // requests per second at one host when the load is spread evenly
	OverloadWindowMs float64 // time over which arrivals are counted
}

// CapacityShare returns the share of its full capacity that a host has at the time now. startedAt is the time of its
// start; NaN means long ago.
func (s *SlowStart) CapacityShare(startedAt, now float64) float64 {
	if !(now-startedAt < s.WindowMs) {
		return 1
	}
	return s.MinShare + (1-s.MinShare)*max(0, now-startedAt)/s.WindowMs
}

// Counters count events over all hosts and gateways.
type Counters struct {
	Handshakes           int // connections that hosts accepted
	ConnsRefused         int // connections that hosts refused
	Probes               int // health checks
	Polls                int // polls of discovery
	PollsRejected        int
	Misdirected          int // writes misdirected to a replica
	Overloads            int // times that a host in slow start became overloaded
	StatementsAfterDrain int // statements that arrived after the grace period of the host's drain
	DuplicateWrites      int // writes repeated after the deduplication window
	Statements           int // requests that arrived at hosts
}

// Group is a set of hosts that hold the same data. At most one of them is the primary. Positions in its replicated log
// are times.
type Group struct {
	Index   int
	Primary *Host // nil: none

	keyUsedAt map[uint64]float64 // by idempotency key: when a write with it last completed
}

// SetPrimary makes a host the primary of its group, or leaves the group without a primary if host is nil. The previous
// primary keeps the log position that it has applied.
func (g *Group) SetPrimary(host *Host) {
	if previous := g.Primary; previous != nil && previous != host {
		previous.positionAtDemotion = previous.world.Now()
	}
	g.Primary = host
}

// Statement is a command from a gateway to a host. It is a health check if Probe is set, and a request otherwise.
type Statement struct {
	Probe   bool
	Write   bool
	Session int
	Key     uint64 // idempotency key of a write
}
