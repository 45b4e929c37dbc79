package faultsim

// Step is one operation on the fleet at a time. A plan is a list of steps. All random choices are made during planning, so
// one seed gives one plan in either engine.
type Step struct {
	At           float64 // ms since second 0
	Operation    Operation
	Target       int                // index of a gateway; for HostDrain, HostKill, HostStart and HostSlow index of a host
	Destinations []int              // for Cut: indices of gateways; for HostCut: indices of hosts
	Undo         bool               // for Cut, HostCut, ChangeConditions, Starve and HostSlow: ends the fault
	ClockStepMs  float64            // for StepClock
	SlowFactor   float64            // for HostSlow: the factor by which all work takes longer
	Conditions   *NetworkConditions // for ChangeConditions
	NewHost      bool               // for HostStart: a host with a new ID replaces this one; emulated engine only
}

// Operation is the kind of a Step.
type Operation int

// The operations. HostDrain and all that follow it concern hosts.
const (
	Start Operation = iota
	Kill
	Terminate
	Pause
	Resume
	Starve           // marks the beginning of pauses that are too short to be detected one by one
	Cut              // datagrams from gateway Target to the gateways Destinations are lost
	ChangeConditions // changes the network conditions
	StepClock
	StartDuplicate
	HostDrain
	HostKill
	HostStart
	HostCut // connections from gateway Target to the hosts Destinations are cut
	HostSlow
)

var operationNames = [...]string{
	Start:            "start",
	Kill:             "kill",
	Terminate:        "stop",
	Pause:            "pause",
	Resume:           "resume",
	Starve:           "starve",
	Cut:              "cut",
	ChangeConditions: "network-conditions",
	StepClock:        "clock",
	StartDuplicate:   "duplicate",
	HostDrain:        "drain",
	HostKill:         "host-kill",
	HostStart:        "host-start",
	HostCut:          "host-cut",
	HostSlow:         "host-slow",
}

func (o Operation) String() string { return operationNames[o] }

// concernsHosts reports whether the operation affects a host or links to hosts.
func (o Operation) concernsHosts() bool { return o >= HostDrain }
