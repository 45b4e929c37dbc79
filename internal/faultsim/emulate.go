package faultsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
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
	epochMs           = 1_764_000_000_000.0 // second 0 of virtual time
	sampleIntervalMs  = 500.0
	socketQueueLength = 2000 // datagrams that wait for a process that is stopped
	headerBytes       = 28   // of IP and UDP
)

// emulatedGateway is one gateway in the emulator.
type emulatedGateway struct {
	index         int
	name          string
	addr          netip.AddrPort
	node          Node // nil while it is down
	generation    int
	paused        bool
	inbox         []membership.Event
	clockOffsetMs float64 // its clock less the true one
	wakeAt        float64 // of the earliest wake in the queue
	duplicate     bool
	sentBytes     int // bytes
	sampledBytes  int // of them until the last sample
	startBytes    float64
	version       uint8
}

// Emulation is one run.
type Emulation struct {
	experiment   *Experiment
	options      Options
	rng          *rand.Rand
	network      *Network
	oracle       *Oracle
	nodes        []*emulatedGateway
	byAddr       map[netip.AddrPort]*emulatedGateway
	byName       map[string]int
	queue        eventQueue
	now          float64
	seeds        []netip.AddrPort
	buffer       []byte
	firstFaultMs float64            // of the first fault
	requests     *requestSimulation // hosts, requests; nil: none are played
	Result       *Result
	err          error
}

// Emulate plays an experiment on virtual time. One seed gives one result, to the last byte.
func Emulate(e *Experiment, o Options) (*Result, error) {
	steps, err := o.prepare(e, e.Fleet.Gateways, e.Hosts.Emulated, 0)
	if err != nil {
		return nil, err
	}
	n, seed := o.Gateways, o.Seed
	em := &Emulation{
		experiment: e, options: o, rng: rand.New(rand.NewPCG(seed, 1)), network: NewNetwork(e.Fleet.Zones, &e.Network),
		byAddr: map[netip.AddrPort]*emulatedGateway{}, byName: map[string]int{}, firstFaultMs: math.Inf(1),
		Result: &Result{Experiment: e.Name, Engine: "emulated", Seed: seed, Gateways: n},
	}
	em.oracle = NewOracle(n, em.network)
	if e.Hosts.Emulated > 0 {
		em.requests = newRequestSimulation(em)
	}
	if len(steps) > 0 {
		em.firstFaultMs = steps[0].At
	}
	begun := time.Now()
	em.play(n, steps)
	em.Result.Took = time.Since(begun)
	return em.Result, em.err
}

func emulatedAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7946)
}

func (em *Emulation) add(i int, twin bool) *emulatedGateway {
	n := &emulatedGateway{index: i, name: fmt.Sprintf("g%d", i), addr: emulatedAddr(i), duplicate: twin, version: membership.Version}
	if twin {
		n.addr = netip.AddrPortFrom(n.addr.Addr(), 7947)
	} else {
		em.nodes = append(em.nodes, n)
		em.byName[n.name] = i
		n.version = em.experiment.Fleet.version(i, em.Result.Gateways)
	}
	em.byAddr[n.addr] = n
	return n
}

func (em *Emulation) play(count int, steps []Step) {
	fleet := &em.experiment.Fleet
	for i := range min(fleet.Seeds, count) {
		em.seeds = append(em.seeds, emulatedAddr(i))
	}
	begin := -1000 * (fleet.Spread + fleet.Settle)
	em.now = begin
	for i := range count {
		em.add(i, false)
		em.queue.push(scheduledEvent{at: begin + 1000*fleet.Spread*float64(i)/float64(count), step: &Step{Do: Start, Who: i}})
	}
	for i := range steps {
		em.queue.push(scheduledEvent{at: steps[i].At, step: &steps[i]})
	}
	end, sample, quiet := em.experiment.Seconds*1000, begin+sampleIntervalMs, math.Inf(1)
	for len(em.queue.heap) > 0 && em.err == nil {
		h := em.queue.pop()
		for h.at >= sample && sample <= end {
			em.now = sample
			em.sample()
			sample += sampleIntervalMs
		}
		if quiet == math.Inf(1) && h.at >= min(em.firstFaultMs, end) {
			quiet = em.busiestRate(min(em.firstFaultMs, end))
			if em.requests != nil {
				em.requests.recordSteadyState()
			}
		}
		if h.at > end {
			break
		}
		em.now = h.at
		em.handle(&h)
	}
	em.now = end
	em.oracle.Finish(end)
	r := em.Result
	r.Measurements = em.oracle.Measurements()
	r.Measurements["bytes_s"] = quiet
	if em.requests != nil {
		em.requests.finish(r)
	}
	r.Verdicts = em.experiment.Expect.Judge(r.Measurements)
}

// busiestRate is what the busiest member sent a second from second 0 to the first fault; NaN where that is under a second.
func (em *Emulation) busiestRate(until float64) float64 {
	if until < 1000 {
		return math.NaN()
	}
	busiest := 0.0
	for _, n := range em.nodes {
		busiest = max(busiest, (float64(n.sentBytes)-n.startBytes)/until*1000)
	}
	return busiest
}

func (em *Emulation) handle(h *scheduledEvent) {
	switch {
	case h.call != nil:
		h.call()
	case h.step != nil:
		em.step(h.step)
	case h.node.node == nil || h.node.generation != h.generation:
	case h.message != nil:
		e := membership.Received{From: h.from, Message: *h.message}
		if h.node.paused {
			if len(h.node.inbox) < socketQueueLength {
				h.node.inbox = append(h.node.inbox, e)
			}
			return
		}
		em.run(h.node, append(h.node.inbox[:0], e))
	default:
		if h.at == h.node.wakeAt {
			h.node.wakeAt = math.Inf(1)
		}
		if !h.node.paused && h.node.node.Wake() <= em.localTime(h.node)+1e-6 {
			em.run(h.node, nil)
		} else {
			em.schedule(h.node)
		}
	}
}

func (em *Emulation) localTime(n *emulatedGateway) float64 { return epochMs + em.now + n.clockOffsetMs }

// run steps a gateway and carries out what it wants.
func (em *Emulation) run(n *emulatedGateway, events []membership.Event) {
	for _, a := range n.node.Step(em.localTime(n), events) {
		switch a := a.(type) {
		case membership.Send:
			em.send(n, &a)
		case membership.MemberChanged:
			em.trace(uint64(n.index), uint64(a.New), uint64(membership.IDOf(a.Member.Name)))
			if em.requests != nil && !n.duplicate {
				em.requests.viewChanged(n)
			}
			if of, ok := em.byName[a.Member.Name]; ok && !n.duplicate {
				before := em.oracle.FalseDeaths
				em.oracle.ObserveBelief(n.index, of, a.New, a.Cause, em.now)
				em.options.Log.Info("belief changed", zap.Float64("ms", em.now), zap.String("gateway", n.name), zap.String("member", a.Member.Name),
					zap.String("state", a.New.String()), zap.String("previous_state", a.Old.String()), zap.Uint64("incarnation", a.Member.Incarnation),
					zap.String("reason", a.Cause), zap.Bool("false_death", em.oracle.FalseDeaths > before))
			}
		case membership.StatusChanged:
			em.trace(uint64(n.index), uint64(a.Status)+100, 0)
			em.oracle.ObserveStatus(n.index, a.Status)
			em.options.Log.Info("status changed", zap.Float64("ms", em.now), zap.String("gateway", n.name), zap.String("status", a.Status.String()),
				zap.String("reason", a.Cause))
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

func (em *Emulation) schedule(n *emulatedGateway) {
	if n.paused || n.node == nil {
		return
	}
	at := max(n.node.Wake()-n.clockOffsetMs-epochMs, em.now)
	if at < n.wakeAt {
		n.wakeAt = at
		em.queue.push(scheduledEvent{at: at, node: n, generation: n.generation})
	}
}

func (em *Emulation) send(n *emulatedGateway, a *membership.Send) {
	text, err := transport.Encode(em.buffer[:0], &a.Message)
	if err == nil && len(text)+transport.SealBytes > membership.MaxDatagramBytes {
		err = fmt.Errorf("a %s of %d bytes is too large", a.Message.Kind, len(text)+transport.SealBytes)
	}
	if err != nil {
		em.err = err
		return
	}
	em.buffer = text
	n.sentBytes += len(text) + transport.SealBytes + headerBytes
	em.Result.Datagrams++
	to := em.byAddr[a.To]
	if to == nil {
		return
	}
	first, second := em.network.Send(em.rng, n.index, to.index)
	for _, delay := range []float64{first, second} {
		if delay >= 0 {
			msg := a.Message
			em.queue.push(scheduledEvent{at: em.now + delay, node: to, generation: to.generation, message: &msg, from: n.addr})
		}
	}
}

func (em *Emulation) sample() {
	sum, busiest := 0.0, 0.0
	for _, n := range em.nodes {
		if n.node != nil && !n.paused && n.node.Summary().Partial {
			em.oracle.ObservePartialView(n.index)
		}
		d := float64(n.sentBytes-n.sampledBytes) * 1000 / sampleIntervalMs
		n.sampledBytes = n.sentBytes
		sum += d
		busiest = max(busiest, d)
		if em.now <= 0 {
			n.startBytes = float64(n.sentBytes)
		}
	}
	em.Result.Series.add(em.now/1000, em.oracle, sum, busiest, em.options.Progress)
}
