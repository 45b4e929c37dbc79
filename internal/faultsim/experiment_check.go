package faultsim

import (
	"errors"
	"fmt"
)

// complete sets defaults and checks all keys; the error names the first one that is wrong.
func (e *Experiment) complete() error {
	e.setDefaults()
	checks := []func() error{e.checkEngines, e.checkFleet, e.checkHosts, e.checkSelection, e.checkLoad}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	if err := e.Network.check(); err != nil {
		return fmt.Errorf("network.%w", err)
	}
	for i := range e.Faults {
		if err := e.Faults[i].check(); err != nil {
			return fmt.Errorf("fault %d: %w", i+1, err)
		}
	}
	return nil
}

// setDefault sets a value that is not given.
func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}

func (e *Experiment) setDefaults() {
	if len(e.Engines) == 0 {
		e.Engines = []string{EngineEmulated, EngineProcesses}
	}
	if len(e.Network.DelayMs) == 0 {
		e.Network.DelayMs = []float64{0.2, 1}
	}
	setDefault(&e.Fleet.Zones, 1)
	setDefault(&e.Fleet.Seeds, 3)
	setDefault(&e.Fleet.Processes, 5)
	setDefault(&e.Fleet.Settle, 5)
	setDefault(&e.Hosts.Count, 3)
	setDefault(&e.Hosts.Groups, 1)
	setDefault(&e.Hosts.Cores, 2)
	setDefault(&e.Hosts.MaxConns, 1000)
	setDefault(&e.Hosts.ReadMs, 4)
	setDefault(&e.Hosts.SlowStartMs, 10_000)
	setDefault(&e.Load.Clients, 2)
	setDefault(&e.Selection.Mode, SelectAllHosts)
	setDefault(&e.Selection.SubsetSize, 2)
	setDefault(&e.Selection.CountFactor, 1)
}

func (e *Experiment) checkEngines() error {
	for _, name := range e.Engines {
		if name != EngineEmulated && name != EngineProcesses {
			return fmt.Errorf("engines: unknown engine %q", name)
		}
	}
	return nil
}

func (e *Experiment) checkFleet() error {
	fleet := &e.Fleet
	switch {
	case e.Name == "":
		return errors.New("name: is missing")
	case !(e.Seconds > 0 && e.Seconds <= 100_000):
		return errors.New("seconds: 0 to 100,000 are needed")
	case fleet.Gateways < 1 || fleet.Gateways > 2000:
		return errors.New("fleet.gateways: 1 to 2,000 are needed")
	case fleet.Processes < 1 || fleet.Processes > 32:
		return errors.New("fleet.processes: 1 to 32 are needed")
	case fleet.Seeds < 1 || fleet.Seeds > 16 || fleet.Zones < 1 || fleet.Zones > 26:
		return errors.New("fleet.seeds, fleet.zones: out of range")
	case !isShare(fleet.OldVersionShare):
		return errors.New("fleet.old: is a share")
	}
	return nil
}

func (e *Experiment) checkHosts() error {
	hosts := &e.Hosts
	switch {
	case hosts.Count < 1 || hosts.Count > 20:
		return errors.New("hosts.count: 1 to 20 are needed")
	case hosts.EmulatedCount < 0 || hosts.EmulatedCount > 2000 ||
		hosts.Groups < 1 || hosts.Cores < 1 || hosts.MaxConns < 1:
		return errors.New("hosts.emulated, hosts.groups, hosts.cores or hosts.conns: out of range")
	case hosts.EmulatedCount > 0 && hosts.EmulatedCount < hosts.Groups:
		return errors.New("hosts.groups: each needs a host")
	case !(hosts.ReadMs > 0) || !(hosts.SlowStartMs > 0) || !(hosts.MaxFullListsPerSecond >= 0) || !(hosts.LagMs >= 0):
		return errors.New("hosts.read_ms, hosts.cold_ms, hosts.lists or hosts.lag_ms: out of range")
	}
	return nil
}

func (e *Experiment) checkSelection() error {
	selection := &e.Selection
	switch selection.Mode {
	case SelectAllHosts, SelectByNumber, SelectByMembers:
	default:
		return fmt.Errorf("choices.by: unknown word %q", selection.Mode)
	}
	if selection.SubsetSize < 1 || !(selection.CountFactor > 0 && selection.CountFactor <= 10) {
		return errors.New("choices.subset or choices.wrong: out of range")
	}
	return nil
}

func (e *Experiment) checkLoad() error {
	load := &e.Load
	switch {
	case !(load.EmulatedRate >= 0 && load.EmulatedRate <= 100_000) || !(load.HeavyGatewayFactor >= 0) ||
		!(load.IdleGatewayShare >= 0 && load.IdleGatewayShare < 1):
		return errors.New("load.emulated, load.heavy or load.idle: out of range")
	case !(load.Rate >= 0 && load.Rate <= 2000) || !isShare(load.WriteShare) || load.Clients < 1 || load.Clients > 64:
		return errors.New("load.rate, load.writes or load.clients: out of range")
	}
	return nil
}

// isShare reports whether a value is from 0 to 1; NaN is not.
func isShare(value float64) bool { return value >= 0 && value <= 1 }

// isDelayRange reports whether a pair is a least and a most delay in ms, of at most 10 s.
func isDelayRange(pair []float64) bool {
	return len(pair) == 2 && pair[0] >= 0 && pair[1] >= pair[0] && pair[1] <= 10_000
}

func (c *NetworkConditions) check() error {
	switch {
	case len(c.DelayMs) != 0 && !isDelayRange(c.DelayMs):
		return errors.New("delay_ms: is [least, most]")
	case !isShare(c.LossShare):
		return errors.New("loss: is a share")
	case !isShare(c.DuplicateShare):
		return errors.New("duplicate: is a share")
	case !(c.CrossZoneDelayMs >= 0 && c.CrossZoneDelayMs <= 10_000):
		return errors.New("far_ms: out of range")
	}
	return nil
}
