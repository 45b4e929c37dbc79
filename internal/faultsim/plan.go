package faultsim

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
)

// planner turns the faults of an experiment into steps. It tracks which gateways are up while it goes through them.
type planner struct {
	experiment *Experiment
	random     *rand.Rand
	up         []bool // by gateway
	hosts      hostSet
	steps      []Step
}

// Plan returns the steps of an experiment for a number of emulated gateways. An error says which fault finds no target,
// or that the steps take longer than the experiment.
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
		return nil, fmt.Errorf("seconds: the timeline needs %.1f", p.steps[len(p.steps)-1].At/1000)
	}
	return p.steps, nil
}

// faultOrder is the indices of the faults by their time.
func (e *Experiment) faultOrder() []int {
	order := make([]int, len(e.Faults))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(e.Faults[a].At, e.Faults[b].At) })
	return order
}

// hostZone is the zone of a host. Hosts are numbered through the groups of a zone first.
func (e *Experiment) hostZone(host int) int { return host / e.Hosts.Groups % e.Fleet.Zones }

// add adds a step at a time in seconds.
func (p *planner) add(at float64, step Step) {
	step.At = at * 1000
	p.steps = append(p.steps, step)
}

// spreadAt is the time, in seconds, at which a fault affects one of its targets.
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

// chooseGateways returns the gateways that a target selects among those that are up, or down for targetDown.
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
		return nil, fmt.Errorf("%q: %d of them are there", text, len(eligible))
	}
	return p.draw(eligible, count), nil
}

// chooseHosts returns the hosts that a target selects; ownZone is what targetFar excludes.
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
		return nil, fmt.Errorf("%q is no host: %d of them are there", text, len(eligible))
	}
	return p.draw(eligible, count), nil
}

func (p *planner) isEligibleHost(host int, selector *targetSelector, ownZone int) bool {
	zone := p.experiment.hostZone(host)
	if p.hosts.protected > 0 { // in the processes engine all hosts are of one group
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

// draw returns as many of the eligible; they are drawn at random unless all are wanted.
func (p *planner) draw(eligible []int, count int) []int {
	if count < len(eligible) {
		p.random.Shuffle(len(eligible), func(i, j int) { eligible[i], eligible[j] = eligible[j], eligible[i] })
	}
	return eligible[:count]
}
