package faultsim

import (
	"errors"
	"fmt"
	"slices"
)

// Fault is one entry of an experiment's timeline. Times are seconds unless a name says ms.
type Fault struct {
	At           float64   `toml:"at"`
	Duration     float64   `toml:"for"` // until it is undone; 0: it is not
	Kind         FaultKind `toml:"do"`
	Target       string    `toml:"who"`     // see parseTarget
	Destination  string    `toml:"to"`      // of a cut; all other gateways by default
	OneWay       bool      `toml:"oneway"`  // of a cut: only from Target to Destination
	Reverse      bool      `toml:"from"`    // of a cut with OneWay: only from Destination to Target
	Spread       float64   `toml:"spread"`  // time over which the targets are affected, one after another
	RestartDelay float64   `toml:"after"`   // of a restart, roll or replacement: from the end to the start
	StopMs       float64   `toml:"stop_ms"` // of FaultStarve: length of a pause
	RunMs        float64   `toml:"run_ms"`  // of FaultStarve: time between pauses
	// StepMs is by how much FaultClock steps a clock, ms. For FaultHostSlow it is the multiple of the usual time.
	StepMs float64 `toml:"step_ms"`
	NetworkConditions
}

// FaultKind is the kind of a Fault, in the words of experiment files.
type FaultKind string

// The kinds of faults of gateways.
const (
	FaultKill      FaultKind = "kill"    // SIGKILL
	FaultStop      FaultKind = "stop"    // SIGTERM
	FaultStart     FaultKind = "start"   // a new process of a gateway that is down
	FaultRestart   FaultKind = "restart" // SIGKILL, and a start after RestartDelay
	FaultRoll      FaultKind = "roll"    // SIGTERM, and a start after RestartDelay
	FaultPause     FaultKind = "pause"   // SIGSTOP for Duration
	FaultStarve    FaultKind = "starve"  // stopped for StopMs and running for RunMs, alternately
	FaultJoin      FaultKind = "join"    // more gateways start
	FaultClock     FaultKind = "clock"   // the clock steps by StepMs
	FaultDuplicate FaultKind = "twin"    // another process under the same name
)

// The kinds of faults of the network.
const (
	FaultCut        FaultKind = "cut"      // links between gateways
	FaultHostCut    FaultKind = "host-cut" // connections from gateways to hosts, silently
	FaultConditions FaultKind = "weather"  // other conditions for Duration
)

// The kinds of faults of hosts.
const (
	FaultHostDrain   FaultKind = "drain"      // listed as draining
	FaultHostKill    FaultKind = "host-kill"  // connections are reset and refused
	FaultHostStart   FaultKind = "host-start" // a host that was killed starts again
	FaultHostReplace FaultKind = "replace"    // drained, and replaced by a new host after RestartDelay
	FaultHostSlow    FaultKind = "host-slow"  // all work takes StepMs times as long; emulated engine only
)

var faultKinds = []FaultKind{
	FaultKill, FaultStop, FaultStart, FaultRestart, FaultRoll,
	FaultPause, FaultStarve, FaultJoin, FaultClock, FaultDuplicate,
	FaultCut, FaultHostCut, FaultConditions,
	FaultHostDrain, FaultHostKill, FaultHostStart, FaultHostReplace, FaultHostSlow,
}

// needsDuration reports whether faults of the kind have to be undone.
func (k FaultKind) needsDuration() bool {
	switch k {
	case FaultPause, FaultStarve, FaultCut, FaultConditions, FaultHostCut:
		return true
	}
	return false
}

// check returns an error that names the key.
func (f *Fault) check() error {
	if !slices.Contains(faultKinds, f.Kind) {
		return fmt.Errorf("do: unknown word %q", f.Kind)
	}
	if err := f.checkValues(); err != nil {
		return err
	}
	if f.Target != "" {
		if _, err := parseTarget(f.Target); err != nil {
			return fmt.Errorf("who: %w", err)
		}
	}
	if f.Destination != "" && f.Destination != targetFar {
		if _, err := parseTarget(f.Destination); err != nil {
			return fmt.Errorf("to: %w", err)
		}
	}
	return f.NetworkConditions.check()
}

// checkValues checks that the values which the kind needs are given.
func (f *Fault) checkValues() error {
	switch {
	case !(f.At >= 0) || !(f.Duration >= 0) || !(f.Spread >= 0) || !(f.RestartDelay >= 0):
		return errors.New("at, for, spread or after: is negative")
	case f.Kind.needsDuration() && f.Duration == 0:
		return fmt.Errorf("for: a %s needs it", f.Kind)
	case f.Kind == FaultStarve && !(f.StopMs >= 1 && f.RunMs >= 1):
		return errors.New("stop_ms, run_ms: starve needs them")
	case f.Kind == FaultClock && f.StepMs == 0:
		return errors.New("step_ms: clock needs it")
	case f.Kind == FaultHostSlow && !(f.StepMs >= 1):
		return errors.New("step_ms: host-slow needs it, 1 or more")
	case f.Kind == FaultHostCut && f.Destination == "":
		return errors.New("to: host-cut needs it")
	case f.Target == "" && f.Kind != FaultConditions:
		return fmt.Errorf("who: a %s needs it", f.Kind)
	case f.Reverse && !f.OneWay:
		return errors.New("from: goes with oneway")
	}
	return nil
}
