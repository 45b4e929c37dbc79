package faultsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"merlinjunction/internal/transport"
	"merlinjunction/membership"
)

// Node is the membership protocol of one emulated gateway: membership.View or a baseline. It does no I/O.
type Node interface {
	// Step processes events at a time in ms since 1970 and returns the actions of the gateway.
	Step(ms float64, events []membership.Event) []membership.Action
	// Wake returns the time, in ms since 1970, of the next Step if no event comes earlier.
	Wake() float64
	// Summary returns the counts of members by state, and whether the view is partial.
	Summary() membership.Summary
}

// NodeFactory creates the Node of one gateway process. It returns an error if the configuration is invalid.
type NodeFactory func(config membership.Config, seed uint64) (Node, error)

// NewViewNode is the NodeFactory of membership.View, the protocol that the gateway's program uses.
func NewViewNode(config membership.Config, seed uint64) (Node, error) {
	return membership.New(config, seed)
}

const (
	epochMs          = 1_764_000_000_000.0 // second 0 of virtual time, in ms since 1970
	sampleIntervalMs = 500.0               // time between two entries of a result's series
	headerBytes      = 28                  // size of the IP and UDP headers
	minSteadyMs      = 1000.0              // shortest steady state for which a rate is computed
)

// Ports of emulated gateways. A duplicate process has the IP address of its gateway and another port.
const (
	emulatedPort          = 7946
	emulatedDuplicatePort = 7947
)

// Emulation is one run of the emulated engine. Times are in ms since second 0, the end of the fleet's settle period.
type Emulation struct {
	experiment   *Experiment
	options      Options
	random       *rand.Rand
	network      *Network
	oracle       *Oracle
	gateways     []*emulatedGateway
	byAddress    map[netip.AddrPort]*emulatedGateway
	indexByName  map[string]int
	queue        eventQueue
	now          float64 // the virtual time
	seeds        []netip.AddrPort
	buffer       []byte             // buffer for the encoding of a datagram
	firstFaultMs float64            // infinite if there are no faults
	requests     *requestSimulation // nil if the experiment has no emulated hosts
	result       *Result
	err          error
}

// Emulate runs an experiment on virtual time. The same seed gives the same result, byte for byte. It returns an error if
// the experiment can't be planned, a gateway's configuration is invalid, a gateway sends a datagram that is too large, or
// a check of Options.CheckAccounting fails.
func Emulate(experiment *Experiment, options Options) (*Result, error) {
	steps, err := options.prepare(experiment, experiment.Fleet.Gateways, hostSet{count: experiment.Hosts.EmulatedCount})
	if err != nil {
		return nil, err
	}
	emulation := newEmulation(experiment, options)
	if len(steps) > 0 {
		emulation.firstFaultMs = steps[0].At
	}
	begun := time.Now()
	emulation.run(options.Gateways, steps)
	emulation.result.Duration = time.Since(begun)
	if emulation.err == nil && emulation.requests != nil {
		emulation.err = emulation.requests.world.AccountingError
	}
	return emulation.result, emulation.err
}

func newEmulation(experiment *Experiment, options Options) *Emulation {
	emulation := &Emulation{
		experiment:   experiment,
		options:      options,
		random:       rand.New(rand.NewPCG(options.Seed, 1)),
		network:      NewNetwork(experiment.Fleet.Zones, &experiment.Network),
		byAddress:    map[netip.AddrPort]*emulatedGateway{},
		indexByName:  map[string]int{},
		firstFaultMs: math.Inf(1),
		result: &Result{
			Experiment: experiment.Name,
			Engine:     EngineEmulated,
			Seed:       options.Seed,
			Gateways:   options.Gateways,
		},
	}
	emulation.oracle = NewOracle(options.Gateways, emulation.network)
	if experiment.Hosts.EmulatedCount > 0 {
		emulation.requests = newRequestSimulation(emulation)
	}
	return emulation
}

func emulatedAddress(index int) netip.AddrPort {
	ip := netip.AddrFrom4([4]byte{10, byte(index >> 16), byte(index >> 8), byte(index)})
	return netip.AddrPortFrom(ip, emulatedPort)
}

// run schedules the starts of the gateways and the steps, processes all events and collects the result.
func (em *Emulation) run(gateways int, steps []Step) {
	em.schedulePlan(gateways, steps)
	steadyBytesPerSecond := em.processEvents()
	end := em.endMs()
	em.now = end
	em.oracle.Finish(end)
	result := em.result
	result.Measurements = em.oracle.Measurements()
	result.Measurements[FigureBytesPerSecond] = steadyBytesPerSecond
	if em.requests != nil {
		em.requests.finish(result)
	}
	result.Verdicts = em.experiment.Expect.Evaluate(result.Measurements)
}

func (em *Emulation) endMs() float64 { return em.experiment.Seconds * 1000 }

func (em *Emulation) schedulePlan(gateways int, steps []Step) {
	fleet := &em.experiment.Fleet
	for i := range min(fleet.Seeds, gateways) {
		em.seeds = append(em.seeds, emulatedAddress(i))
	}
	begin := -1000 * (fleet.Spread + fleet.Settle)
	em.now = begin
	for i := range gateways {
		em.addGateway(i, false)
		em.queue.push(scheduledEvent{
			at:   begin + 1000*fleet.Spread*float64(i)/float64(gateways),
			step: &Step{Operation: Start, Target: i},
		})
	}
	for i := range steps {
		em.queue.push(scheduledEvent{at: steps[i].At, step: &steps[i]})
	}
}

// processEvents processes the queue until the end of the experiment. It returns how many bytes per second the busiest
// gateway sent up to the first fault.
func (em *Emulation) processEvents() (steadyBytesPerSecond float64) {
	end := em.endMs()
	steadyUntil := min(em.firstFaultMs, end)
	nextSample := em.now + sampleIntervalMs
	steadyRecorded := false
	for len(em.queue.heap) > 0 && em.err == nil {
		event := em.queue.pop()
		for event.at >= nextSample && nextSample <= end {
			em.now = nextSample
			em.sample()
			nextSample += sampleIntervalMs
		}
		if !steadyRecorded && event.at >= steadyUntil {
			steadyRecorded = true
			steadyBytesPerSecond = em.busiestRate(steadyUntil)
			if em.requests != nil {
				em.requests.recordSteadyState()
			}
		}
		if event.at > end {
			break
		}
		em.now = event.at
		em.handle(&event)
	}
	if !steadyRecorded {
		return math.Inf(1)
	}
	return steadyBytesPerSecond
}

// busiestRate returns how many bytes per second the busiest gateway sent from second 0 to a time. It returns NaN if that
// is shorter than minSteadyMs.
func (em *Emulation) busiestRate(untilMs float64) float64 {
	if untilMs < minSteadyMs {
		return math.NaN()
	}
	busiest := 0.0
	for _, gateway := range em.gateways {
		busiest = max(busiest, (float64(gateway.sentBytes)-gateway.sentBytesAtSecondZero)/untilMs*1000)
	}
	return busiest
}

func (em *Emulation) handle(event *scheduledEvent) {
	gateway := event.gateway
	switch {
	case event.call != nil:
		event.call()
	case event.step != nil:
		em.applyStep(event.step)
	case gateway.node == nil || gateway.generation != event.generation:
		// The event was for a process that has ended.
	case event.message != nil:
		em.receive(gateway, membership.Received{From: event.from, Message: *event.message})
	default:
		em.wake(gateway, event.at)
	}
}

// trace adds values and the current time to the trace hash, which is FNV-1a over 64-bit words instead of bytes.
func (em *Emulation) trace(values ...uint64) {
	const fnvPrime = 0x100000001b3
	for _, value := range append(values, math.Float64bits(em.now)) {
		em.result.Trace = (em.result.Trace ^ value) * fnvPrime
	}
}

// send encodes and counts a datagram and schedules the arrival of each copy that the network delivers.
func (em *Emulation) send(sender *emulatedGateway, action *membership.Send) {
	encoded, err := transport.Encode(em.buffer[:0], &action.Message)
	size := len(encoded) + transport.SealOverhead
	if err == nil && size > membership.MaxDatagramBytes {
		err = fmt.Errorf("%s message has %d bytes, at most %d are allowed",
			action.Message.Kind, size, membership.MaxDatagramBytes)
	}
	if err != nil {
		em.err = err
		return
	}
	em.buffer = encoded
	sender.sentBytes += size + headerBytes
	em.result.Datagrams++
	receiver := em.byAddress[action.To]
	if receiver == nil {
		return
	}
	delivery := em.network.DrawDelivery(em.random, sender.index, receiver.index)
	for _, delayMs := range delivery.delaysMs() {
		message := action.Message
		em.queue.push(scheduledEvent{
			at:         em.now + delayMs,
			gateway:    receiver,
			generation: receiver.generation,
			message:    &message,
			from:       sender.address,
		})
	}
}

// sample adds an entry to the result's series and records the gateways that report a partial view.
func (em *Emulation) sample() {
	sum, busiest := 0.0, 0.0
	for _, gateway := range em.gateways {
		if gateway.node != nil && !gateway.paused && gateway.node.Summary().Partial {
			em.oracle.ObservePartialView(gateway.index)
		}
		rate := float64(gateway.sentBytes-gateway.sampledBytes) * 1000 / sampleIntervalMs
		gateway.sampledBytes = gateway.sentBytes
		sum += rate
		busiest = max(busiest, rate)
		if em.now <= 0 {
			gateway.sentBytesAtSecondZero = float64(gateway.sentBytes)
		}
	}
	traffic := trafficSample{bytesPerSecond: sum, busiestBytesPerSecond: busiest}
	em.result.Series.add(em.now/1000, em.oracle, traffic, em.options.Progress)
}
