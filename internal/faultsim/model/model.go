// Package model has the fault simulator's models of a gateway's environment on virtual time: database hosts with cores,
// a queue, a connection limit, a replicated log and slow start; discovery with a rate limit; and a driver that runs the
// program's own core (package proxy, with the decisions in routing and fleet) against them. The models follow the
// protocol pages. All times are milliseconds of virtual time, all rates are per second.
package model

import "math/rand/v2"

// Scheduler is the virtual clock. Functions that are scheduled for one time are called in the order of the At calls.
type Scheduler interface {
	// Now is the present time, ms.
	Now() float64
	// At calls a function at a time in ms.
	At(ms float64, call func())
}

// World is the state that all models of one run share.
type World struct {
	Scheduler
	Random           *rand.Rand
	LinkDelayMs      float64                      // one-way delay between a gateway and a host
	CrossZoneDelayMs float64                      // additional one-way delay between zones
	IsCut            func(gateway, host int) bool // whether the link between them loses everything
	Groups           []*Group
	Hosts            []*Host // including those that have ended
	SlowStart        SlowStart
	Counters         Counters

	CheckAccounting bool  // have each core's accounting checked after each of its steps
	AccountingError error // what the check found first
}

// SlowStart is how the capacity of a host grows after its start, as the gateways' settings describe it.
type SlowStart struct {
	MinShare         float64 // share of its capacity that a host has at its start
	WindowMs         float64 // until it has its full capacity
	OverloadMultiple float64 // multiple of its share of UsualRate above which a host in slow start is overloaded
	UsualRate        float64 // requests per second of one host when the load is spread evenly
	OverloadWindowMs float64 // over which the rate of arrivals counts
}

// CapacityShare is the share of its full capacity that a host has which started at a time; NaN stands for long ago.
func (s *SlowStart) CapacityShare(startedAt, now float64) float64 {
	if !(now-startedAt < s.WindowMs) {
		return 1
	}
	return s.MinShare + (1-s.MinShare)*max(0, now-startedAt)/s.WindowMs
}

// Counters count events over all hosts and gateways.
type Counters struct {
	Handshakes           int
	ConnsRefused         int // of connections
	Probes               int
	Polls                int // of discovery
	PollsRejected        int
	Misdirected          int // writes at a replica
	Overloads            int // of hosts in slow start
	StatementsAfterDrain int // statements at a host past the grace period of its drain
	DuplicateWrites      int // writes repeated past the deduplication window
	Statements           int
}

// Group is the hosts that hold the same data. At most one is the primary. Positions of its log are times.
type Group struct {
	Index   int
	Primary *Host // nil: none

	keys map[uint64]float64 // when each idempotency key was last used
}

// SetPrimary makes a host the primary of its group; nil: none. The previous primary retains the position it had applied.
func (g *Group) SetPrimary(host *Host) {
	if previous := g.Primary; previous != nil && previous != host {
		previous.appliedAsPrimary = previous.world.Now()
	}
	g.Primary = host
}

// Statement is a command from a gateway to a host: a request, or a health check where Probe is set.
type Statement struct {
	Probe   bool
	Write   bool
	Session int
	Key     uint64 // idempotency key of a write
}
