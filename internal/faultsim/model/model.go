// Package model has the fault simulator's models of what surrounds a gateway on virtual time: database hosts with cores, a
// queue, a connection table, a log and a warm-up; discovery with a bounded rate; and a driver that plays the program's
// own core (package proxy, with the decisions in routing and fleet) against them. It is written from the protocol pages.
// All times are milliseconds, all rates a second.
package model

import "math/rand/v2"

// Scheduler is the virtual time. What is entered for the same time happens in the order of entry.
type Scheduler interface {
	Now() float64
	At(ms float64, f func())
}

// World is what all models of one run share.
type World struct {
	Scheduler
	Rng       *rand.Rand
	LinkMs    float64                      // one way between a gateway and a host
	FarMs     float64                      // added between zones
	IsCut     func(gateway, host int) bool // nothing goes between them
	Groups    []*Group
	Hosts     []*Host // all that ever were
	SlowStart SlowStart
	Counters  Counters
}

// SlowStart is how hosts warm up, and what the gateways are told of it.
type SlowStart struct {
	MinShare         float64 // of its capacity that a host has at its start
	WindowMs         float64 // until it has all
	OverloadMultiple float64 // times its warmth of Usual, that pushes a host over that warms up
	UsualRate        float64 // requests a second that a warm host is made for: an even part of the traffic
	OverloadWindowMs float64 // over so long
}

// CapacityShare is the share of its capacity that a host has that started at a time; NaN stands for long ago.
func (w *SlowStart) CapacityShare(started, now float64) float64 {
	if !(now-started < w.WindowMs) {
		return 1
	}
	return w.MinShare + (1-w.MinShare)*max(0, now-started)/w.WindowMs
}

// Counters are what was counted over all hosts and gateways.
type Counters struct {
	Handshakes, Refusals, Probes, Polls, PollsRejected int
	Misdirected                                        int // writes at a replica
	Overloads                                          int // cold hosts pushed over
	Drained, Doubled                                   int // the rules
	Statements                                         int
}

// Group is the hosts that hold the same data: one is primary. Its log is kept as the times of the sessions' last writes.
type Group struct {
	Index   int
	Primary *Host // nil: none at present
	keys    map[uint64]float64
}

// Statement is a command on its way: a request, or a probe where Probe is set.
type Statement struct {
	Probe   bool
	Write   bool
	Session int
	Key     uint64 // of a write
}
