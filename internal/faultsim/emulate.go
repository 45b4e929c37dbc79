package faultsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"merlinjunction/internal/transport"
	"merlinjunction/membership"
)

// Node is what the emulator plays: membership.View, or a baseline.
type Node interface {
	Step(ms float64, events []membership.Event) []membership.Action
	Wake() float64
	Summary() membership.Summary
}

// Maker makes a gateway's Node.
type Maker func(cfg membership.Config, seed uint64) (Node, error)

// Designed makes the program's own Node.
func Designed(cfg membership.Config, seed uint64) (Node, error) { return membership.New(cfg, seed) }

const (
	epochMs     = 1_764_000_000_000.0 // second 0 of virtual time
	sampleMs    = 500.0
	socketQueue = 2000 // datagrams that wait for a process that is stopped
	headers     = 28   // of IP and UDP
)

// happening is an entry of the emulator's queue.
type happening struct {
	at    float64
	order uint64
	node  *emulated
	born  int // of the node's life; what belongs to an earlier one is void
	msg   *membership.Message
	from  netip.AddrPort
	step  *Step
	call  func()
}

// agenda is a heap of happenings by time, then by order of entry.
type agenda struct {
	list []happening
	made uint64
}

func (a *agenda) less(i, j int) bool {
	return a.list[i].at < a.list[j].at || a.list[i].at == a.list[j].at && a.list[i].order < a.list[j].order
}

func (a *agenda) push(h happening) {
	a.made++
	h.order = a.made
	a.list = append(a.list, h)
	for i := len(a.list) - 1; i > 0; {
		up := (i - 1) / 4
		if !a.less(i, up) {
			break
		}
		a.list[i], a.list[up] = a.list[up], a.list[i]
		i = up
	}
}

func (a *agenda) pop() happening {
	top := a.list[0]
	last := len(a.list) - 1
	a.list[0] = a.list[last]
	a.list[last] = happening{}
	a.list = a.list[:last]
	for i := 0; ; {
		least := i
		for c := 4*i + 1; c <= 4*i+4 && c < last; c++ {
			if a.less(c, least) {
				least = c
			}
		}
		if least == i {
			return top
		}
		a.list[i], a.list[least] = a.list[least], a.list[i]
		i = least
	}
}

// emulated is one gateway in the emulator.
type emulated struct {
	index   int
	name    string
	addr    netip.AddrPort
	node    Node // nil while it is down
	born    int
	paused  bool
	inbox   []membership.Event
	clock   float64 // its clock less the true one
	wakeAt  float64 // of the earliest wake in the queue
	twin    bool
	sent    int // bytes
	sampled int // of them until the last sample
	steady  float64
	version uint8
}

// Emulation is one run.
type Emulation struct {
	e       *Experiment
	opt     Options
	rng     *rand.Rand
	net     *Network
	truth   *Oracle
	nodes   []*emulated
	byAddr  map[netip.AddrPort]*emulated
	byName  map[string]int
	agenda  agenda
	now     float64
	seeds   []netip.AddrPort
	buf     []byte
	first   float64  // of the first fault
	service *service // hosts, requests; nil: none are played
	Result  *Result
	err     error
}

// Result is what a run gives.
type Result struct {
	Experiment string         `json:"experiment"`
	Engine     string         `json:"engine"`
	Seed       uint64         `json:"seed"`
	Gateways   int            `json:"gateways"`
	Figures    Figures        `json:"figures"`
	Verdicts   []Verdict      `json:"verdicts"`
	Series     Series         `json:"series"`
	Datagrams  int            `json:"datagrams"`
	Trace      uint64         `json:"trace"` // a hash over all that the gateways did, in order
	Took       time.Duration  `json:"-"`
	Hosts      map[string]int `json:"hosts,omitempty"`
	Latency    []float64      `json:"latency,omitempty"` // ms at each percentile from 0 to 100
}

// Series are figures over time, one entry each sampleMs.
type Series struct {
	Seconds   []float64 `json:"seconds"`
	Up        []float64 `json:"up"`
	Believed  []float64 `json:"believed"`
	Wrong     []float64 `json:"wrong"`  // beliefs
	Doubts    []float64 `json:"doubts"` // false ones so far
	BytesMean []float64 `json:"bytes_mean"`
	BytesMost []float64 `json:"bytes_most"`
}

// add takes a sample: what is so, what all gateways together sent a second and the busiest one.
func (s *Series) add(seconds float64, t *Oracle, bytes, busiest float64, progress func(float64, int, float64, int)) {
	up, believed := t.Alive()
	if progress != nil {
		progress(seconds, up, believed, t.wrong)
	}
	s.Seconds = append(s.Seconds, seconds)
	s.Up = append(s.Up, float64(up))
	s.Believed = append(s.Believed, believed)
	s.Wrong = append(s.Wrong, float64(t.wrong))
	s.Doubts = append(s.Doubts, float64(t.FalseDoubts))
	s.BytesMean = append(s.BytesMean, bytes/float64(max(1, up)))
	s.BytesMost = append(s.BytesMost, busiest)
}

// Options of a run.
type Options struct {
	Seed     uint64
	Gateways int                                                      // 0: as the file says
	Choices  *Choices                                                 // in place of the file's
	Make     Maker                                                    // emulated: nil is Designed
	Progress func(seconds float64, up int, believed float64, bad int) // hears now and then how it goes; may be nil
	Log      *zap.Logger                                              // every step and change of state; nil: none
}

// prepare fills in what is not given, and plans the run; usual is the file's number of gateways.
func (o *Options) prepare(e *Experiment, usual, hosts, stays int) ([]Step, error) {
	if o.Gateways == 0 {
		o.Gateways = usual
	}
	if o.Make == nil {
		o.Make = Designed
	}
	if o.Choices == nil {
		o.Choices = &e.Choices
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	steps, err := e.plan(o.Gateways, hosts, stays, o.Seed)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", e.Path, err)
	}
	return steps, nil
}

// Emulate plays an experiment on virtual time. One seed gives one result, to the last byte.
func Emulate(e *Experiment, o Options) (*Result, error) {
	steps, err := o.prepare(e, e.Fleet.Gateways, e.Hosts.Emulated, 0)
	if err != nil {
		return nil, err
	}
	n, seed := o.Gateways, o.Seed
	em := &Emulation{
		e: e, opt: o, rng: rand.New(rand.NewPCG(seed, 1)), net: NewNetwork(e.Fleet.Zones, &e.Network),
		byAddr: map[netip.AddrPort]*emulated{}, byName: map[string]int{}, first: math.Inf(1),
		Result: &Result{Experiment: e.Name, Engine: "emulated", Seed: seed, Gateways: n},
	}
	em.truth = NewOracle(n, em.net)
	if e.Hosts.Emulated > 0 {
		em.service = newService(em)
	}
	if len(steps) > 0 {
		em.first = steps[0].At
	}
	begun := time.Now()
	em.play(n, steps)
	em.Result.Took = time.Since(begun)
	return em.Result, em.err
}

func emulatedAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7946)
}

func (em *Emulation) add(i int, twin bool) *emulated {
	n := &emulated{index: i, name: fmt.Sprintf("g%d", i), addr: emulatedAddr(i), twin: twin, version: membership.Version}
	if twin {
		n.addr = netip.AddrPortFrom(n.addr.Addr(), 7947)
	} else {
		em.nodes = append(em.nodes, n)
		em.byName[n.name] = i
		n.version = em.e.Fleet.version(i, em.Result.Gateways)
	}
	em.byAddr[n.addr] = n
	return n
}

func (em *Emulation) play(count int, steps []Step) {
	fleet := &em.e.Fleet
	for i := range min(fleet.Seeds, count) {
		em.seeds = append(em.seeds, emulatedAddr(i))
	}
	begin := -1000 * (fleet.Spread + fleet.Settle)
	em.now = begin
	for i := range count {
		em.add(i, false)
		em.agenda.push(happening{at: begin + 1000*fleet.Spread*float64(i)/float64(count), step: &Step{Do: Start, Who: i}})
	}
	for i := range steps {
		em.agenda.push(happening{at: steps[i].At, step: &steps[i]})
	}
	end, sample, quiet := em.e.Seconds*1000, begin+sampleMs, math.Inf(1)
	for len(em.agenda.list) > 0 && em.err == nil {
		h := em.agenda.pop()
		for h.at >= sample && sample <= end {
			em.now = sample
			em.sample()
			sample += sampleMs
		}
		if quiet == math.Inf(1) && h.at >= min(em.first, end) {
			quiet = em.steady(min(em.first, end))
			if em.service != nil {
				em.service.calm()
			}
		}
		if h.at > end {
			break
		}
		em.now = h.at
		em.happen(&h)
	}
	em.now = end
	em.truth.Finish(end)
	r := em.Result
	r.Figures = em.truth.Figures()
	r.Figures["bytes_s"] = quiet
	if em.service != nil {
		em.service.finish(r)
	}
	r.Verdicts = em.e.Expect.Judge(r.Figures)
}

// steady is what the busiest member sent a second from second 0 to the first fault; NaN where that is under a second.
func (em *Emulation) steady(until float64) float64 {
	if until < 1000 {
		return math.NaN()
	}
	busiest := 0.0
	for _, n := range em.nodes {
		busiest = max(busiest, (float64(n.sent)-n.steady)/until*1000)
	}
	return busiest
}

func (em *Emulation) happen(h *happening) {
	switch {
	case h.call != nil:
		h.call()
	case h.step != nil:
		em.step(h.step)
	case h.node.node == nil || h.node.born != h.born:
	case h.msg != nil:
		e := membership.Received{From: h.from, Message: *h.msg}
		if h.node.paused {
			if len(h.node.inbox) < socketQueue {
				h.node.inbox = append(h.node.inbox, e)
			}
			return
		}
		em.run(h.node, append(h.node.inbox[:0], e))
	default:
		if h.at == h.node.wakeAt {
			h.node.wakeAt = math.Inf(1)
		}
		if !h.node.paused && h.node.node.Wake() <= em.clockOf(h.node)+1e-6 {
			em.run(h.node, nil)
		} else {
			em.schedule(h.node)
		}
	}
}

func (em *Emulation) clockOf(n *emulated) float64 { return epochMs + em.now + n.clock }

// run steps a gateway and carries out what it wants.
func (em *Emulation) run(n *emulated, events []membership.Event) {
	for _, a := range n.node.Step(em.clockOf(n), events) {
		switch a := a.(type) {
		case membership.Send:
			em.send(n, &a)
		case membership.MemberChanged:
			em.trace(uint64(n.index), uint64(a.New), uint64(membership.IDOf(a.Member.Name)))
			if em.service != nil && !n.twin {
				em.service.viewChanged(n)
			}
			if of, ok := em.byName[a.Member.Name]; ok && !n.twin {
				before := em.truth.FalseDeaths
				em.truth.Sees(n.index, of, a.New, a.Cause, em.now)
				em.opt.Log.Info("sees", zap.Float64("ms", em.now), zap.String("who", n.name), zap.String("of", a.Member.Name),
					zap.String("state", a.New.String()), zap.String("was", a.Old.String()), zap.Uint64("incarnation", a.Member.Incarnation),
					zap.String("cause", a.Cause), zap.Bool("false death", em.truth.FalseDeaths > before))
			}
		case membership.StatusChanged:
			em.trace(uint64(n.index), uint64(a.Status)+100, 0)
			em.truth.Stands(n.index, a.Status)
			em.opt.Log.Info("stands", zap.Float64("ms", em.now), zap.String("who", n.name), zap.String("standing", a.Status.String()),
				zap.String("cause", a.Cause))
		}
	}
	n.inbox = n.inbox[:0]
	em.schedule(n)
}

func (em *Emulation) trace(values ...uint64) {
	for _, v := range append(values, math.Float64bits(em.now)) {
		em.Result.Trace = (em.Result.Trace ^ v) * 0x100000001b3
	}
}

func (em *Emulation) schedule(n *emulated) {
	if n.paused || n.node == nil {
		return
	}
	at := max(n.node.Wake()-n.clock-epochMs, em.now)
	if at < n.wakeAt {
		n.wakeAt = at
		em.agenda.push(happening{at: at, node: n, born: n.born})
	}
}

func (em *Emulation) send(n *emulated, a *membership.Send) {
	text, err := transport.Encode(em.buf[:0], &a.Message)
	if err == nil && len(text)+transport.SealSize > membership.MaxDatagramBytes {
		err = fmt.Errorf("a %s of %d bytes is too large", a.Message.Kind, len(text)+transport.SealSize)
	}
	if err != nil {
		em.err = err
		return
	}
	em.buf = text
	n.sent += len(text) + transport.SealSize + headers
	em.Result.Datagrams++
	to := em.byAddr[a.To]
	if to == nil {
		return
	}
	first, second := em.net.Send(em.rng, n.index, to.index)
	for _, delay := range []float64{first, second} {
		if delay >= 0 {
			msg := a.Message
			em.agenda.push(happening{at: em.now + delay, node: to, born: to.born, msg: &msg, from: n.addr})
		}
	}
}

func (em *Emulation) start(n *emulated) {
	n.born++
	n.paused, n.inbox, n.wakeAt = false, nil, math.Inf(1)
	boot := rand.New(rand.NewPCG(em.opt.Seed, uint64(n.index)<<20|uint64(n.born)<<1|uint64(len(n.name)&1))).Uint64() | 1
	if n.twin {
		boot = em.rng.Uint64() | 1
	}
	cfg := membership.Config{Name: n.name, Addr: n.addr, Zone: em.e.Fleet.zone(n.index), BootID: boot,
		Seeds: em.seeds, Version: n.version}
	if n.node, em.err = em.opt.Make(cfg, em.rng.Uint64()); em.err == nil {
		em.run(n, nil)
	}
	if em.service != nil && !n.twin && em.err == nil {
		em.err = em.service.start(n.index)
	}
}

func (em *Emulation) step(s *Step) {
	var n *emulated
	if s.Do >= HostDrain {
		if em.service != nil {
			em.opt.Log.Info("step", zap.Float64("ms", em.now), zap.String("do", s.Do.String()), zap.Int("who", s.Who), zap.Bool("undo", s.Undo))
			em.service.step(s)
		}
		return
	}
	if s.Do != Change {
		if s.Who == len(em.nodes) {
			em.add(s.Who, false)
		}
		n = em.nodes[s.Who]
	}
	if s.Do == Term && n.node != nil {
		em.run(n, []membership.Event{membership.Leave{}})
	}
	em.opt.Log.Info("step", zap.Float64("ms", em.now), zap.String("do", s.Do.String()), zap.Int("who", s.Who), zap.Bool("undo", s.Undo))
	em.net.Apply(s)
	em.truth.Apply(s, em.now)
	switch s.Do {
	case Start:
		em.start(n)
	case Kill, Term:
		n.node = nil
		if em.service != nil {
			em.service.end(s.Who, s.Do == Term)
		}
	case Pause, Resume:
		if n.paused = s.Do == Pause; !n.paused && n.node != nil {
			em.run(n, slices.Clone(n.inbox))
		}
		if em.service != nil {
			em.service.gates[s.Who].Pause(n.paused)
		}
	case Clock:
		n.clock += s.StepMs
		em.run(n, nil)
	case Twin:
		em.start(em.add(s.Who, true))
	}
}

func (em *Emulation) sample() {
	sum, busiest := 0.0, 0.0
	for _, n := range em.nodes {
		if n.node != nil && !n.paused && n.node.Summary().Partial {
			em.truth.SeesPart(n.index)
		}
		d := float64(n.sent-n.sampled) * 1000 / sampleMs
		n.sampled = n.sent
		sum += d
		busiest = max(busiest, d)
		if em.now <= 0 {
			n.steady = float64(n.sent)
		}
	}
	em.Result.Series.add(em.now/1000, em.truth, sum, busiest, em.opt.Progress)
}
