package faultsim

import (
	"errors"
	"fmt"
	"slices"
)

// Fault is one entry of an experiment's timeline. Times are in seconds unless a name says ms.
type Fault struct {
	At           float64   `toml:"at"`      // time of the fault, since second 0
	Duration     float64   `toml:"for"`     // time until the fault is undone; 0: it is not undone
	Kind         FaultKind `toml:"do"`      // what the fault does
	Target       string    `toml:"who"`     // the gateways or hosts that are affected, in the syntax of parseTarget
	Destination  string    `toml:"to"`      // FaultCut: all other gateways by default; FaultHostCut: the hosts
	OneWay       bool      `toml:"oneway"`  // FaultCut: cuts only the direction from Target to Destination
	Reverse      bool      `toml:"from"`    // FaultCut with OneWay: cuts only the direction from Destination to Target
	Spread       float64   `toml:"spread"`  // time over which targets are affected, one after another; not for cuts
	RestartDelay float64   `toml:"after"`   // FaultRestart, FaultRoll, FaultHostReplace: time from the end to the new start
	StopMs       float64   `toml:"stop_ms"` // FaultStarve: length of each pause
	RunMs        float64   `toml:"run_ms"`  // FaultStarve: time between two pauses
	// For FaultClock, StepMs is the step of the clock in ms. For FaultHostSlow, it is not a time but the factor by which
	// all work takes longer.
	StepMs float64 `toml:"step_ms"`
	// NetworkConditions are the network conditions of FaultConditions.
	NetworkConditions
}

// FaultKind is the kind of a Fault. Its values are those of the key "do" in experiment files.
type FaultKind string

// The kinds of faults that affect gateways.
const (
	FaultKill      FaultKind = "kill"    // SIGKILL
	FaultStop      FaultKind = "stop"    // SIGTERM
	FaultStart     FaultKind = "start"   // starts a new process of a gateway that is down
	FaultRestart   FaultKind = "restart" // SIGKILL, and a new start after RestartDelay
	FaultRoll      FaultKind = "roll"    // SIGTERM, and a new start after RestartDelay
	FaultPause     FaultKind = "pause"   // SIGSTOP, and SIGCONT after Duration
	FaultStarve    FaultKind = "starve"  // alternately paused for StopMs and running for RunMs
	FaultJoin      FaultKind = "join"    // starts additional gateways
	FaultClock     FaultKind = "clock"   // steps the clock by StepMs
	FaultDuplicate FaultKind = "twin"    // starts another process under the same name
)

// The kinds of faults that affect the network.
const (
	FaultCut        FaultKind = "cut"      // cuts links between gateways
	FaultHostCut    FaultKind = "host-cut" // silently drops the traffic between gateways and hosts
	FaultConditions FaultKind = "weather"  // changes the network conditions for Duration
)

// The kinds of faults that affect hosts.
const (
	FaultHostDrain   FaultKind = "drain"      // discovery lists the host as draining
	FaultHostKill    FaultKind = "host-kill"  // connections are reset, and new ones are refused
	FaultHostStart   FaultKind = "host-start" // starts a host that was killed
	FaultHostReplace FaultKind = "replace"    // drains the host and replaces it after RestartDelay
	FaultHostSlow    FaultKind = "host-slow"  // all work takes StepMs times as long; emulated engine only
)

var faultKinds = []FaultKind{
	FaultKill, FaultStop, FaultStart, FaultRestart, FaultRoll,
	FaultPause, FaultStarve, FaultJoin, FaultClock, FaultDuplicate,
	FaultCut, FaultHostCut, FaultConditions,
	FaultHostDrain, FaultHostKill, FaultHostStart, FaultHostReplace, FaultHostSlow,
}

// needsDuration reports whether faults of the kind require Duration, after which they are undone.
func (k FaultKind) needsDuration() bool {
	switch k {
	case FaultPause, FaultStarve, FaultCut, FaultConditions, FaultHostCut:
		return true
	}
	return false
}

// check checks all values. The error names the first key whose value is invalid.
func (f *Fault) check() error {
	if !slices.Contains(faultKinds, f.Kind) {
		return fmt.Errorf("do: unknown fault kind %q, expected one of %v", f.Kind, faultKinds)
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

// checkValues checks the ranges of values, and that the values which the kind requires are set.
func (f *Fault) checkValues() error {
	switch {
	case !(f.At >= 0) || !(f.Duration >= 0) || !(f.Spread >= 0) || !(f.RestartDelay >= 0):
		return fmt.Errorf("at, for, spread, after: expected at least 0, got %v, %v, %v and %v",
			f.At, f.Duration, f.Spread, f.RestartDelay)
	case f.Kind.needsDuration() && f.Duration == 0:
		return fmt.Errorf("for: expected more than 0 for %s, got 0", f.Kind)
	case f.Kind == FaultStarve && !(f.StopMs >= 1 && f.RunMs >= 1):
		return fmt.Errorf("stop_ms, run_ms: expected at least 1 for %s, got %v and %v", f.Kind, f.StopMs, f.RunMs)
	case f.Kind == FaultClock && f.StepMs == 0:
		return fmt.Errorf("step_ms: expected a step other than 0 for %s, got 0", f.Kind)
	case f.Kind == FaultHostSlow && !(f.StepMs >= 1):
		return fmt.Errorf("step_ms: expected a factor of at least 1 for %s, got %v", f.Kind, f.StepMs)
	case f.Kind == FaultHostCut && f.Destination == "":
		return fmt.Errorf("to: expected hosts for %s, got none", f.Kind)
	case f.Target == "" && f.Kind != FaultConditions:
		return fmt.Errorf("who: expected a target for %s, got none", f.Kind)
	case f.Reverse && !f.OneWay:
		return errors.New("from: expected only together with oneway = true, got from = true without it")
	}
	return nil
}
