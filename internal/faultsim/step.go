package faultsim

// Step is one operation on the fleet at a time. A plan is a list of steps that leaves no choice open, so one seed gives
// one plan, in whichever engine.
type Step struct {
	At           float64 // ms since second 0
	Operation    Operation
	Target       int   // index of a gateway, or of a host if the operation concerns hosts
	Destinations []int // of Cut: gateways; of HostCut: hosts
	Undo         bool  // of Cut, HostCut, ChangeConditions, Starve and HostSlow: ends the fault
	ClockStepMs  float64
	SlowFactor   float64            // of HostSlow: the multiple of the usual time
	Conditions   *NetworkConditions // of ChangeConditions
	NewHost      bool               // of HostStart: another host in the place of this one; emulated engine only
}

// Operation is the kind of a Step.
type Operation int

// The operations. Those from HostDrain on concern hosts.
const (
	Start Operation = iota
	Kill
	Terminate
	Pause
	Resume
	Starve           // marks the begin of pauses that are too short to be detected one by one
	Cut              // datagrams from Target to Destinations
	ChangeConditions // of the network
	StepClock
	StartDuplicate
	HostDrain
	HostKill
	HostStart
	HostCut // connections from gateway Target to the hosts Destinations
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

// concernsHosts reports whether the operation is on a host, or on links to hosts.
func (o Operation) concernsHosts() bool { return o >= HostDrain }
