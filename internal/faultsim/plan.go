package faultsim

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
)

// planner converts the faults of an experiment to steps. It goes through them in order of time and tracks which gateways
// are up.
type planner struct {
	experiment *Experiment
	random     *rand.Rand
	up         []bool // by gateway: whether it is up
	hosts      hostSet
	steps      []Step
}

// Plan returns the steps of an experiment for a number of emulated gateways. It returns an error if a fault can't select
// its targets, or if a step is later than the end of the experiment.
func (e *Experiment) Plan(gateways int, seed uint64) ([]Step, error) {
	return e.plan(gateways, hostSet{count: e.Hosts.EmulatedCount}, seed)
}

func (e *Experiment) plan(gateways int, hosts hostSet, seed uint64) ([]Step, error) {
	p := &planner{
		experiment: e,
		random:     rand.New(rand.NewPCG(seed, 0x9e3779b9)),
		up:         slices.Repeat([]bool{true}, gateways),
		hosts:      hosts,
	}
	for _, index := range e.faultOrder() {
		if err := p.addFault(&e.Faults[index]); err != nil {
			return nil, fmt.Errorf("fault %d: %w", index+1, err)
		}
	}
	slices.SortStableFunc(p.steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	if len(p.steps) > 0 && p.steps[len(p.steps)-1].At > e.Seconds*1000 {
		return nil, fmt.Errorf("seconds: expected at least %.1f, the time of the last step, got %v",
			p.steps[len(p.steps)-1].At/1000, e.Seconds)
	}
	return p.steps, nil
}

// faultOrder returns the indices of the faults in order of their times.
func (e *Experiment) faultOrder() []int {
	order := make([]int, len(e.Faults))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(e.Faults[a].At, e.Faults[b].At) })
	return order
}

// hostZone returns the number of an emulated host's zone. Consecutive hosts are in the same zone until it has one host of
// each group.
func (e *Experiment) hostZone(host int) int { return host / e.Hosts.Groups % e.Fleet.Zones }

// add adds a step at a time in seconds since second 0.
func (p *planner) add(at float64, step Step) {
	step.At = at * 1000
	p.steps = append(p.steps, step)
}

// spreadAt returns the time, in seconds, at which a fault affects the target at a position among its targets.
func (f *Fault) spreadAt(position, targets int) float64 {
	return f.At + f.Spread*float64(position)/float64(targets)
}

// addFault adds the steps of one fault.
func (p *planner) addFault(fault *Fault) error {
	switch fault.Kind {
	case FaultConditions:
		p.addConditions(fault)
		return nil
	case FaultJoin:
		return p.addJoin(fault)
	case FaultHostDrain, FaultHostKill, FaultHostStart, FaultHostSlow, FaultHostReplace:
		return p.addHostFault(fault)
	}
	gateways, err := p.chooseGateways(fault.Target)
	if err != nil {
		return err
	}
	switch fault.Kind {
	case FaultCut:
		return p.addCut(fault, gateways)
	case FaultHostCut:
		return p.addHostCut(fault, gateways)
	}
	for position, gateway := range gateways {
		p.addGatewayFault(fault, gateway, fault.spreadAt(position, len(gateways)))
	}
	return nil
}

// chooseGateways returns the gateways that a target selects. Only gateways that are up are eligible; for targetDown, only
// those that are down.
func (p *planner) chooseGateways(text string) ([]int, error) {
	selector, err := parseTarget(text)
	if err != nil {
		return nil, err
	}
	var eligible []int
	for i, up := range p.up {
		inZone := selector.zone < 0 || i%p.experiment.Fleet.Zones == selector.zone
		if up != (selector.word == targetDown) && inZone && (selector.index < 0 || i == selector.index) {
			eligible = append(eligible, i)
		}
	}
	count := selector.number(len(p.up), len(eligible))
	if count == 0 || count > len(eligible) {
		return nil, fmt.Errorf("target %q selects %d of %d eligible gateways", text, count, len(eligible))
	}
	return p.draw(eligible, count), nil
}

// chooseHosts returns the hosts that a target selects. targetFar selects all hosts outside ownZone.
func (p *planner) chooseHosts(text string, ownZone int) ([]int, error) {
	selector := targetSelector{index: -1, count: -1, zone: -1, word: text}
	if text != targetFar {
		var err error
		if selector, err = parseTarget(text); err != nil {
			return nil, err
		}
	}
	var eligible []int
	for host := range p.hosts.count {
		if p.isEligibleHost(host, &selector, ownZone) {
			eligible = append(eligible, host)
		}
	}
	count := selector.number(len(eligible), len(eligible))
	if selector.share > 0 {
		count = max(1, count)
	}
	if count == 0 || count > len(eligible) || selector.word == targetDown {
		return nil, fmt.Errorf("target %q selects %d of %d eligible hosts (%q is for gateways only)",
			text, count, len(eligible), targetDown)
	}
	return p.draw(eligible, count), nil
}

// isEligibleHost reports whether a target allows a host. Targets that are drawn at random don't allow protected hosts.
func (p *planner) isEligibleHost(host int, selector *targetSelector, ownZone int) bool {
	zone := p.experiment.hostZone(host)
	if p.hosts.protected > 0 { // only in the processes engine, where all hosts are in one group
		zone = host % p.experiment.Fleet.Zones
	}
	switch {
	case selector.index >= 0 && host != selector.index:
		return false
	case selector.zone >= 0 && zone != selector.zone:
		return false
	case selector.word == targetFar && zone == ownZone:
		return false
	}
	return !selector.isRandom() || host >= p.hosts.protected
}

// draw returns count of the eligible gateways or hosts. They are drawn at random unless all are selected.
func (p *planner) draw(eligible []int, count int) []int {
	if count < len(eligible) {
		p.random.Shuffle(len(eligible), func(i, j int) { eligible[i], eligible[j] = eligible[j], eligible[i] })
	}
	return eligible[:count]
}
