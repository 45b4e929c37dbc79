package faultsim

import (
	"errors"
	"fmt"
)

// complete sets defaults and checks all values. The error names the first key whose value is invalid.
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

// setDefault replaces a zero value, which means that the key is not set, by a default.
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
			return fmt.Errorf("engines: expected %s or %s, got %q", EngineEmulated, EngineProcesses, name)
		}
	}
	return nil
}

func (e *Experiment) checkFleet() error {
	fleet := &e.Fleet
	switch {
	case e.Name == "":
		return errors.New("name: expected a text, got none")
	case !(e.Seconds > 0 && e.Seconds <= 100_000):
		return fmt.Errorf("seconds: expected more than 0 and at most 100,000, got %v", e.Seconds)
	case fleet.Gateways < 1 || fleet.Gateways > 2000:
		return fmt.Errorf("fleet.gateways: expected 1 to 2,000, got %d", fleet.Gateways)
	case fleet.Processes < 1 || fleet.Processes > 32:
		return fmt.Errorf("fleet.processes: expected 1 to 32, got %d", fleet.Processes)
	case fleet.Seeds < 1 || fleet.Seeds > 16 || fleet.Zones < 1 || fleet.Zones > 26:
		return fmt.Errorf("fleet.seeds, fleet.zones: expected 1 to 16 and 1 to 26, got %d and %d", fleet.Seeds, fleet.Zones)
	case !isShare(fleet.OldVersionShare):
		return fmt.Errorf("fleet.old: expected a share from 0 to 1, got %v", fleet.OldVersionShare)
	}
	return nil
}

func (e *Experiment) checkHosts() error {
	hosts := &e.Hosts
	switch {
	case hosts.Count < 1 || hosts.Count > 20:
		return fmt.Errorf("hosts.count: expected 1 to 20, got %d", hosts.Count)
	case hosts.EmulatedCount < 0 || hosts.EmulatedCount > 2000 ||
		hosts.Groups < 1 || hosts.Cores < 1 || hosts.MaxConns < 1:
		return fmt.Errorf("hosts.emulated: expected 0 to 2,000, got %d; "+
			"hosts.groups, hosts.cores, hosts.conns: expected at least 1, got %d, %d and %d",
			hosts.EmulatedCount, hosts.Groups, hosts.Cores, hosts.MaxConns)
	case hosts.EmulatedCount > 0 && hosts.EmulatedCount < hosts.Groups:
		return fmt.Errorf("hosts.groups: expected at most hosts.emulated (%d), since each group has a host, got %d",
			hosts.EmulatedCount, hosts.Groups)
	case !(hosts.ReadMs > 0) || !(hosts.SlowStartMs > 0) || !(hosts.MaxFullListsPerSecond >= 0) || !(hosts.LagMs >= 0):
		return fmt.Errorf("hosts.read_ms, hosts.cold_ms: expected more than 0, got %v and %v; "+
			"hosts.lists, hosts.lag_ms: expected at least 0, got %v and %v",
			hosts.ReadMs, hosts.SlowStartMs, hosts.MaxFullListsPerSecond, hosts.LagMs)
	}
	return nil
}

func (e *Experiment) checkSelection() error {
	selection := &e.Selection
	switch selection.Mode {
	case SelectAllHosts, SelectByNumber, SelectByMembers:
	default:
		return fmt.Errorf("choices.by: expected %s, %s or %s, got %q",
			SelectAllHosts, SelectByNumber, SelectByMembers, selection.Mode)
	}
	if selection.SubsetSize < 1 || !(selection.CountFactor > 0 && selection.CountFactor <= 10) {
		return fmt.Errorf("choices.subset: expected at least 1, got %d; "+
			"choices.wrong: expected more than 0 and at most 10, got %v", selection.SubsetSize, selection.CountFactor)
	}
	return nil
}

func (e *Experiment) checkLoad() error {
	load := &e.Load
	switch {
	case !(load.EmulatedRate >= 0 && load.EmulatedRate <= 100_000) || !(load.HeavyGatewayFactor >= 0) ||
		!(load.IdleGatewayShare >= 0 && load.IdleGatewayShare < 1):
		return fmt.Errorf("load.emulated: expected 0 to 100,000, got %v; load.heavy: expected at least 0, got %v; "+
			"load.idle: expected a share of at least 0 and less than 1, got %v",
			load.EmulatedRate, load.HeavyGatewayFactor, load.IdleGatewayShare)
	case !(load.Rate >= 0 && load.Rate <= 2000) || !isShare(load.WriteShare) || load.Clients < 1 || load.Clients > 64:
		return fmt.Errorf("load.rate: expected 0 to 2,000, got %v; load.writes: expected a share from 0 to 1, got %v; "+
			"load.clients: expected 1 to 64, got %d", load.Rate, load.WriteShare, load.Clients)
	}
	return nil
}

// isShare reports whether a value is from 0 to 1. NaN is not a share.
func isShare(value float64) bool { return value >= 0 && value <= 1 }

// isDelayRange reports whether a pair is [least, most] of delays from 0 to 10,000 ms.
func isDelayRange(pair []float64) bool {
	return len(pair) == 2 && pair[0] >= 0 && pair[1] >= pair[0] && pair[1] <= 10_000
}

func (c *NetworkConditions) check() error {
	switch {
	case len(c.DelayMs) != 0 && !isDelayRange(c.DelayMs):
		return fmt.Errorf("delay_ms: expected [least, most] from 0 to 10,000, got %v", c.DelayMs)
	case !isShare(c.LossShare):
		return fmt.Errorf("loss: expected a share from 0 to 1, got %v", c.LossShare)
	case !isShare(c.DuplicateShare):
		return fmt.Errorf("duplicate: expected a share from 0 to 1, got %v", c.DuplicateShare)
	case !(c.CrossZoneDelayMs >= 0 && c.CrossZoneDelayMs <= 10_000):
		return fmt.Errorf("far_ms: expected 0 to 10,000, got %v", c.CrossZoneDelayMs)
	}
	return nil
}
