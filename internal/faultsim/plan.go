package faultsim

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
)

// Step is something that is done to the fleet at a time. A plan is a list of them: whoever plays it needs to choose nothing
// any more, so one seed gives one plan in both engines.
type Step struct {
	At         float64 // ms since second 0
	Do         Operation
	Who        int
	To         []int // of Cut and Join: the others
	Undo       bool  // of Cut and Change
	StepMs     float64
	Conditions *NetworkConditions
	Last       bool // the last step of its fault
	Fresh      bool // of HostStart: another host in the place of this one (emulated)
}

// Operation is the kind of a Step.
type Operation int

// The operations.
const (
	Start Operation = iota
	Kill
	Term
	Pause
	Resume
	Starve           // pauses that are too short to be told one by one; Undo ends them
	Cut              // datagrams from Who to To; also connections of clients and hosts are left alone
	ChangeConditions // of the network's conditions
	Clock
	StartDuplicate
	HostDrain
	HostKill
	HostStart
	HostCut // connections from gateway Who to the hosts To
	HostSlow
)

func (d Operation) String() string {
	return [...]string{"start", "kill", "stop", "pause", "resume", "starve", "cut", "weather", "clock", "twin", "drain", "host-kill",
		"host-start", "host-cut", "host-slow"}[d]
}

// selection is a parsed Fault.Who.
type selection struct {
	name  int // of one; -1
	count int // -1
	share float64
	zone  int // -1
	word  string
}

func parseWho(text string) (s selection, err error) {
	s = selection{name: -1, count: -1, zone: -1}
	rest, isZone := strings.CutPrefix(text, "zone ")
	switch {
	case text == "all" || text == "down":
		s.word = text
	case isZone:
		s.zone, err = strconv.Atoi(rest)
	case strings.HasPrefix(text, "g") || strings.HasPrefix(text, "h"):
		s.name, err = strconv.Atoi(text[1:])
	case strings.HasSuffix(text, "%"):
		s.share, err = strconv.ParseFloat(text[:len(text)-1], 64)
		s.share /= 100
		if !(s.share > 0 && s.share <= 1) {
			err = fmt.Errorf("%q is no share", text)
		}
	default:
		s.count, err = strconv.Atoi(text)
	}
	if err != nil || s.name < -1 || s.count < -1 || s.zone < -1 {
		err = fmt.Errorf("%q names nobody: a name (g3), a number, a share (30%%), a zone (zone 1), all or down are known", text)
	}
	return s, err
}

// number is how many a selection stands for: a share is of so many, a word without a number stands for all.
func (s *selection) number(of, all int) int {
	switch {
	case s.count >= 0:
		return s.count
	case s.share > 0:
		return int(math.Round(s.share * float64(of)))
	}
	return all
}

// planner keeps what is up while it goes through the timeline.
type planner struct {
	e     *Experiment
	rng   *rand.Rand
	up    []bool
	zones int
	hosts int // that are there, numbered through the groups, then the zones
	stays int // the first so many hosts are never chosen at random
	steps []Step
}

// Plan is the timeline of an experiment for n emulated gateways. The error says which fault finds nobody.
func (e *Experiment) Plan(n int, seed uint64) ([]Step, error) {
	return e.plan(n, e.Hosts.Emulated, 0, seed)
}

func (e *Experiment) plan(n, hosts, stays int, seed uint64) ([]Step, error) {
	p := &planner{e: e, rng: rand.New(rand.NewPCG(seed, 0x9e3779b9)), up: make([]bool, n), zones: e.Fleet.Zones, hosts: hosts, stays: stays}
	for i := range p.up {
		p.up[i] = true
	}
	order := make([]int, len(e.Fault))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(e.Fault[a].At, e.Fault[b].At) })
	for _, i := range order {
		from := len(p.steps)
		if err := p.fault(&e.Fault[i]); err != nil {
			return nil, fmt.Errorf("fault %d: %w", i+1, err)
		}
		last := from
		for k := from; k < len(p.steps); k++ {
			if p.steps[k].At >= p.steps[last].At {
				last = k
			}
		}
		if last < len(p.steps) { // else it is for the other engine
			p.steps[last].Last = true
		}
	}
	slices.SortStableFunc(p.steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	if len(p.steps) > 0 && p.steps[len(p.steps)-1].At > e.Seconds*1000 {
		return nil, fmt.Errorf("seconds: the timeline needs %.1f", p.steps[len(p.steps)-1].At/1000)
	}
	return p.steps, nil
}

// choose finds whom a word stands for among those that are up (or down).
func (p *planner) choose(text string) ([]int, error) {
	s, err := parseWho(text)
	if err != nil {
		return nil, err
	}
	var among []int
	for i, up := range p.up {
		if up != (s.word == "down") && (s.zone < 0 || i%p.zones == s.zone) && (s.name < 0 || i == s.name) {
			among = append(among, i)
		}
	}
	n := s.number(len(p.up), len(among))
	if n == 0 || n > len(among) {
		return nil, fmt.Errorf("%q: %d of them are there", text, len(among))
	}
	return p.draw(among, n), nil
}

// draw takes n of them, at random where that is not all.
func (p *planner) draw(among []int, n int) []int {
	if n < len(among) {
		p.rng.Shuffle(len(among), func(a, b int) { among[a], among[b] = among[b], among[a] })
	}
	return among[:n]
}

// hostZone is the zone of host i: hosts are numbered through the groups first.
func (e *Experiment) hostZone(i int) int { return i / e.Hosts.Groups % e.Fleet.Zones }

// chooseHosts finds which hosts a word stands for; far is every zone but one's own.
func (p *planner) chooseHosts(text string, own int) ([]int, error) {
	var s selection
	var err error
	if text != "far" {
		if s, err = parseWho(text); err != nil {
			return nil, err
		}
	} else {
		s = selection{name: -1, count: -1, zone: -1}
	}
	random := s.count >= 0 || s.share > 0
	var among []int
	for i := range p.hosts {
		zone := p.e.hostZone(i)
		if p.stays > 0 { // among processes all hosts are of one group
			zone = i % p.zones
		}
		if (s.name < 0 || i == s.name) && (s.zone < 0 || zone == s.zone) && (text != "far" || zone != own) && (!random || i >= p.stays) {
			among = append(among, i)
		}
	}
	n := s.number(len(among), len(among))
	if s.share > 0 {
		n = max(1, n)
	}
	if n == 0 || n > len(among) || s.word == "down" {
		return nil, fmt.Errorf("%q is no host: %d of them are there", text, len(among))
	}
	return p.draw(among, n), nil
}

// hostFault is something done to hosts, one after another over its spread.
func (p *planner) hostFault(f *Fault) error {
	if p.hosts == 0 {
		return nil // this engine has none here
	}
	who, err := p.chooseHosts(f.Who, -1)
	if err != nil {
		return fmt.Errorf("who: %w", err)
	}
	for k, i := range who {
		at := f.At + f.Spread*float64(k)/float64(len(who))
		switch f.Do {
		case "drain":
			p.add(at, Step{Do: HostDrain, Who: i})
		case "host-kill":
			p.add(at, Step{Do: HostKill, Who: i})
			if f.For > 0 {
				p.add(at+f.For, Step{Do: HostStart, Who: i})
			}
		case "host-start":
			p.add(at, Step{Do: HostStart, Who: i})
		case "host-slow":
			p.add(at, Step{Do: HostSlow, Who: i, StepMs: f.StepMs})
			if f.For > 0 {
				p.add(at+f.For, Step{Do: HostSlow, Who: i, Undo: true})
			}
		case "replace":
			after := f.After
			if after == 0 {
				after = 3
			}
			p.add(at, Step{Do: HostDrain, Who: i})
			p.add(at+after, Step{Do: HostKill, Who: i})
			p.add(at+after, Step{Do: HostStart, Who: i, Fresh: true})
		}
	}
	return nil
}

func (p *planner) add(at float64, s Step) {
	s.At = at * 1000
	p.steps = append(p.steps, s)
}

// fault adds the steps of one fault.
func (p *planner) fault(f *Fault) error {
	switch f.Do {
	case "weather":
		conditions := f.NetworkConditions
		p.add(f.At, Step{Do: ChangeConditions, Conditions: &conditions})
		p.add(f.At+f.For, Step{Do: ChangeConditions, Conditions: &conditions, Undo: true})
		return nil
	case "join":
		return p.join(f)
	case "drain", "host-kill", "host-start", "host-slow", "replace":
		return p.hostFault(f)
	}
	who, err := p.choose(f.Who)
	if err != nil {
		return err
	}
	switch f.Do {
	case "cut":
		return p.cut(f, who)
	case "host-cut":
		return p.hostCut(f, who)
	}
	for k, i := range who {
		p.gatewayFault(f, i, f.At+f.Spread*float64(k)/float64(len(who)))
	}
	return nil
}

// join adds gateways that were not there before.
func (p *planner) join(f *Fault) error {
	s, err := parseWho(f.Who)
	n := s.number(len(p.up), -1)
	if err != nil || n <= 0 {
		return fmt.Errorf("who: %q is no number to join", f.Who)
	}
	for i := range n {
		p.add(f.At+f.Spread*float64(i)/float64(n), Step{Do: Start, Who: len(p.up)})
		p.up = append(p.up, true)
	}
	return nil
}

// hostCut cuts connections from gateways to hosts.
func (p *planner) hostCut(f *Fault, who []int) error {
	if p.hosts == 0 { // this engine has none here
		return nil
	}
	for _, i := range who {
		to, err := p.chooseHosts(f.To, i%p.zones)
		if err != nil {
			return fmt.Errorf("to: %w", err)
		}
		p.add(f.At, Step{Do: HostCut, Who: i, To: to})
		p.add(f.At+f.For, Step{Do: HostCut, Who: i, To: to, Undo: true})
	}
	return nil
}

// gatewayFault adds what happens to gateway i from a time on, in seconds.
func (p *planner) gatewayFault(f *Fault, i int, at float64) {
	switch f.Do {
	case "kill":
		p.up[i] = false
		p.add(at, Step{Do: Kill, Who: i})
	case "stop":
		p.up[i] = false
		p.add(at, Step{Do: Term, Who: i})
	case "start":
		p.up[i] = true
		p.add(at, Step{Do: Start, Who: i})
	case "restart":
		p.add(at, Step{Do: Kill, Who: i})
		p.add(at+f.After, Step{Do: Start, Who: i})
	case "roll":
		p.add(at, Step{Do: Term, Who: i})
		p.add(at+f.After, Step{Do: Start, Who: i})
	case "pause":
		p.add(at, Step{Do: Pause, Who: i})
		p.add(at+f.For, Step{Do: Resume, Who: i})
	case "starve":
		p.starve(f, i, at)
	case "clock":
		p.add(at, Step{Do: Clock, Who: i, StepMs: f.StepMs})
	case "twin":
		p.add(at, Step{Do: StartDuplicate, Who: i})
	}
}

// starve pauses a gateway for short times, again and again.
func (p *planner) starve(f *Fault, i int, at float64) {
	p.add(at, Step{Do: Starve, Who: i})
	cycle := (f.StopMs + f.RunMs) / 1000
	for t := 0.0; t+cycle <= f.For; t += cycle {
		p.add(at+t, Step{Do: Pause, Who: i})
		p.add(at+t+f.StopMs/1000, Step{Do: Resume, Who: i})
	}
	p.add(at+f.For, Step{Do: Starve, Who: i, Undo: true})
}

func (p *planner) cut(f *Fault, who []int) error {
	var to []int
	if f.To == "" {
		for i := range p.up {
			if !slices.Contains(who, i) {
				to = append(to, i)
			}
		}
	} else {
		var err error
		if to, err = p.choose(f.To); err != nil {
			return err
		}
		to = slices.DeleteFunc(to, func(i int) bool { return slices.Contains(who, i) })
	}
	if len(to) == 0 {
		return fmt.Errorf("to: %q: nobody is cut off", f.To)
	}
	link := func(from []int, to []int) {
		for _, i := range from {
			p.add(f.At, Step{Do: Cut, Who: i, To: to})
			p.add(f.At+f.For, Step{Do: Cut, Who: i, To: to, Undo: true})
		}
	}
	if !f.From {
		link(who, to)
	}
	if !f.OneWay || f.From {
		link(to, who)
	}
	return nil
}
