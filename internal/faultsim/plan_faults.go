package faultsim

import (
	"fmt"
	"slices"
)

// defaultReplaceDelay is the time, in seconds, from the drain of a host to its replacement if RestartDelay is not set.
const defaultReplaceDelay = 3

// addConditions adds a change of the network conditions for the fault's duration.
func (p *planner) addConditions(fault *Fault) {
	conditions := fault.NetworkConditions
	p.add(fault.At, Step{Operation: ChangeConditions, Conditions: &conditions})
	p.add(fault.At+fault.Duration, Step{Operation: ChangeConditions, Conditions: &conditions, Undo: true})
}

// addJoin adds the starts of additional gateways. A share as target is a share of the gateways so far.
func (p *planner) addJoin(fault *Fault) error {
	selector, err := parseTarget(fault.Target)
	count := selector.number(len(p.up), -1)
	if err != nil || count <= 0 {
		return fmt.Errorf("who: expected a number or share of gateways that join, got %q", fault.Target)
	}
	for position := range count {
		p.add(fault.spreadAt(position, count), Step{Operation: Start, Target: len(p.up)})
		p.up = append(p.up, true)
	}
	return nil
}

// addHostFault adds the steps of a fault that affects hosts. It adds none if the experiment has no hosts for the engine.
func (p *planner) addHostFault(fault *Fault) error {
	if p.hosts.count == 0 {
		return nil
	}
	hosts, err := p.chooseHosts(fault.Target, -1)
	if err != nil {
		return fmt.Errorf("who: %w", err)
	}
	for position, host := range hosts {
		p.addOneHostFault(fault, host, fault.spreadAt(position, len(hosts)))
	}
	return nil
}

// addOneHostFault adds the steps of a fault for one host. The first step is at a time in seconds.
func (p *planner) addOneHostFault(fault *Fault, host int, at float64) {
	switch fault.Kind {
	case FaultHostDrain:
		p.add(at, Step{Operation: HostDrain, Target: host})
	case FaultHostKill:
		p.add(at, Step{Operation: HostKill, Target: host})
		if fault.Duration > 0 {
			p.add(at+fault.Duration, Step{Operation: HostStart, Target: host})
		}
	case FaultHostStart:
		p.add(at, Step{Operation: HostStart, Target: host})
	case FaultHostSlow:
		p.add(at, Step{Operation: HostSlow, Target: host, SlowFactor: fault.StepMs})
		if fault.Duration > 0 {
			p.add(at+fault.Duration, Step{Operation: HostSlow, Target: host, Undo: true})
		}
	case FaultHostReplace:
		delay := fault.RestartDelay
		if delay == 0 {
			delay = defaultReplaceDelay
		}
		p.add(at, Step{Operation: HostDrain, Target: host})
		p.add(at+delay, Step{Operation: HostKill, Target: host})
		p.add(at+delay, Step{Operation: HostStart, Target: host, NewHost: true})
	}
}

// addHostCut adds cuts of the links from gateways to hosts. It adds none if the experiment has no hosts for the engine.
func (p *planner) addHostCut(fault *Fault, gateways []int) error {
	if p.hosts.count == 0 {
		return nil
	}
	for _, gateway := range gateways {
		hosts, err := p.chooseHosts(fault.Destination, gateway%p.experiment.Fleet.Zones)
		if err != nil {
			return fmt.Errorf("to: %w", err)
		}
		p.add(fault.At, Step{Operation: HostCut, Target: gateway, Destinations: hosts})
		p.add(fault.At+fault.Duration, Step{Operation: HostCut, Target: gateway, Destinations: hosts, Undo: true})
	}
	return nil
}

// addGatewayFault adds the steps of a fault for one gateway. The first step is at a time in seconds.
func (p *planner) addGatewayFault(fault *Fault, gateway int, at float64) {
	switch fault.Kind {
	case FaultKill:
		p.up[gateway] = false
		p.add(at, Step{Operation: Kill, Target: gateway})
	case FaultStop:
		p.up[gateway] = false
		p.add(at, Step{Operation: Terminate, Target: gateway})
	case FaultStart:
		p.up[gateway] = true
		p.add(at, Step{Operation: Start, Target: gateway})
	case FaultRestart:
		p.add(at, Step{Operation: Kill, Target: gateway})
		p.add(at+fault.RestartDelay, Step{Operation: Start, Target: gateway})
	case FaultRoll:
		p.add(at, Step{Operation: Terminate, Target: gateway})
		p.add(at+fault.RestartDelay, Step{Operation: Start, Target: gateway})
	case FaultPause:
		p.add(at, Step{Operation: Pause, Target: gateway})
		p.add(at+fault.Duration, Step{Operation: Resume, Target: gateway})
	case FaultStarve:
		p.addStarvation(fault, gateway, at)
	case FaultClock:
		p.add(at, Step{Operation: StepClock, Target: gateway, ClockStepMs: fault.StepMs})
	case FaultDuplicate:
		p.add(at, Step{Operation: StartDuplicate, Target: gateway})
	}
}

// addStarvation adds pauses of StopMs, each followed by RunMs in which the gateway runs, for the fault's duration.
func (p *planner) addStarvation(fault *Fault, gateway int, at float64) {
	p.add(at, Step{Operation: Starve, Target: gateway})
	cycle := (fault.StopMs + fault.RunMs) / 1000
	for elapsed := 0.0; elapsed+cycle <= fault.Duration; elapsed += cycle {
		p.add(at+elapsed, Step{Operation: Pause, Target: gateway})
		p.add(at+elapsed+fault.StopMs/1000, Step{Operation: Resume, Target: gateway})
	}
	p.add(at+fault.Duration, Step{Operation: Starve, Target: gateway, Undo: true})
}

// addCut adds cuts of the links between the targets and other gateways, in one direction or in both.
func (p *planner) addCut(fault *Fault, gateways []int) error {
	others, err := p.cutDestinations(fault, gateways)
	if err != nil {
		return err
	}
	if len(others) == 0 {
		return fmt.Errorf("to: expected gateways besides the targets, %q selects none", fault.Destination)
	}
	if !fault.Reverse {
		p.addLinkCuts(fault, gateways, others)
	}
	if !fault.OneWay || fault.Reverse {
		p.addLinkCuts(fault, others, gateways)
	}
	return nil
}

// cutDestinations returns the gateways from which the fault's targets are cut off.
func (p *planner) cutDestinations(fault *Fault, gateways []int) ([]int, error) {
	isTarget := func(gateway int) bool { return slices.Contains(gateways, gateway) }
	if fault.Destination != "" {
		others, err := p.chooseGateways(fault.Destination)
		return slices.DeleteFunc(others, isTarget), err
	}
	var others []int
	for gateway := range p.up {
		if !isTarget(gateway) {
			others = append(others, gateway)
		}
	}
	return others, nil
}

// addLinkCuts adds cuts of the links in one direction for the fault's duration.
func (p *planner) addLinkCuts(fault *Fault, from, to []int) {
	for _, gateway := range from {
		p.add(fault.At, Step{Operation: Cut, Target: gateway, Destinations: to})
		p.add(fault.At+fault.Duration, Step{Operation: Cut, Target: gateway, Destinations: to, Undo: true})
	}
}
