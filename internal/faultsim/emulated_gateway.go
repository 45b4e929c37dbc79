package faultsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"

	"go.uber.org/zap"

	"merlinjunction/membership"
)

const (
	// socketQueueLength is the number of datagrams that a paused process's socket holds. Later ones are lost.
	socketQueueLength = 2000
	// wakeToleranceMs allows for rounding in the conversion between the emulation's time and a gateway's clock.
	wakeToleranceMs = 1e-6
)

// emulatedGateway is one gateway of the emulated engine. It remains when its process ends, and can run several processes in
// turn.
type emulatedGateway struct {
	index                 int
	name                  string
	address               netip.AddrPort
	node                  Node // nil while no process runs
	generation            int  // number of processes started so far
	paused                bool
	inbox                 []membership.Event // datagrams that arrived during the present pause
	clockOffsetMs         float64            // offset of its clock from the emulation's time
	wakeAt                float64            // time of its earliest wake-up in the queue; infinite: none
	duplicate             bool               // it is a second process under the name of another gateway
	messageVersion        uint8
	sentBytes             int     // with IP and UDP headers
	sampledBytes          int     // sentBytes at the last sample
	sentBytesAtSecondZero float64 // sentBytes at second 0
}

// addGateway adds a gateway, or a duplicate of one, without starting its process.
func (em *Emulation) addGateway(index int, duplicate bool) *emulatedGateway {
	gateway := &emulatedGateway{
		index:          index,
		name:           fmt.Sprintf("g%d", index),
		address:        emulatedAddress(index),
		duplicate:      duplicate,
		messageVersion: membership.Version,
	}
	if duplicate {
		gateway.address = netip.AddrPortFrom(gateway.address.Addr(), emulatedDuplicatePort)
	} else {
		em.gateways = append(em.gateways, gateway)
		em.indexByName[gateway.name] = index
		gateway.messageVersion = em.experiment.Fleet.messageVersion(index, em.result.Gateways)
	}
	em.byAddress[gateway.address] = gateway
	return gateway
}

// startGateway starts a new process of a gateway.
func (em *Emulation) startGateway(gateway *emulatedGateway) {
	gateway.generation++
	gateway.paused, gateway.inbox, gateway.wakeAt = false, nil, math.Inf(1)
	config := membership.Config{
		Name:    gateway.name,
		Addr:    gateway.address,
		Zone:    em.experiment.Fleet.zone(gateway.index),
		BootID:  em.bootID(gateway),
		Seeds:   em.seeds,
		Version: gateway.messageVersion,
	}
	if gateway.node, em.err = em.options.NewNode(config, em.random.Uint64()); em.err == nil {
		em.stepNode(gateway, nil)
	}
	if em.requests != nil && !gateway.duplicate && em.err == nil {
		em.err = em.requests.startGateway(gateway.index)
	}
}

// bootID returns a number that identifies the present process of a gateway. It is never 0.
func (em *Emulation) bootID(gateway *emulatedGateway) uint64 {
	if gateway.duplicate {
		return em.random.Uint64() | 1
	}
	process := uint64(gateway.index)<<20 | uint64(gateway.generation)<<1 | uint64(len(gateway.name)&1)
	return rand.New(rand.NewPCG(em.options.Seed, process)).Uint64() | 1
}

// localTime returns the time on a gateway's clock, in ms since 1970.
func (em *Emulation) localTime(gateway *emulatedGateway) float64 {
	return epochMs + em.now + gateway.clockOffsetMs
}

// receive passes a datagram to a gateway's process. While that is paused, the datagram is queued.
func (em *Emulation) receive(gateway *emulatedGateway, datagram membership.Received) {
	if !gateway.paused {
		em.stepNode(gateway, append(gateway.inbox[:0], datagram))
		return
	}
	if len(gateway.inbox) < socketQueueLength {
		gateway.inbox = append(gateway.inbox, datagram)
	}
}

// wake handles a wake-up that was scheduled for a time. It steps the node only if it is due, since the node may have asked
// for a later wake-up in the meantime.
func (em *Emulation) wake(gateway *emulatedGateway, at float64) {
	if at == gateway.wakeAt {
		gateway.wakeAt = math.Inf(1)
	}
	if !gateway.paused && gateway.node.Wake() <= em.localTime(gateway)+wakeToleranceMs {
		em.stepNode(gateway, nil)
	} else {
		em.scheduleWake(gateway)
	}
}

// stepNode steps a gateway's node and carries out its actions.
func (em *Emulation) stepNode(gateway *emulatedGateway, events []membership.Event) {
	for _, action := range gateway.node.Step(em.localTime(gateway), events) {
		switch action := action.(type) {
		case membership.Send:
			em.send(gateway, &action)
		case membership.MemberChanged:
			em.memberChanged(gateway, &action)
		case membership.StatusChanged:
			em.statusChanged(gateway, &action)
		}
	}
	gateway.inbox = gateway.inbox[:0]
	em.scheduleWake(gateway)
}

// memberChanged records that a node reports a changed belief about a member.
func (em *Emulation) memberChanged(gateway *emulatedGateway, change *membership.MemberChanged) {
	em.trace(uint64(gateway.index), uint64(change.New), uint64(membership.IDOf(change.Member.Name)))
	if gateway.duplicate {
		return
	}
	if em.requests != nil {
		em.requests.viewChanged(gateway)
	}
	member, ok := em.indexByName[change.Member.Name]
	if !ok {
		return
	}
	falseDeaths := em.oracle.FalseDeaths
	em.oracle.ObserveBelief(gateway.index, member, change.New, change.Cause, em.now)
	em.options.logBelief(em.now, gateway.name, change.Member.Name, change.New.String(), change.Cause,
		zap.String("previous_state", change.Old.String()),
		zap.Uint64("incarnation", change.Member.Incarnation),
		zap.Bool("false_death", em.oracle.FalseDeaths > falseDeaths))
}

// statusChanged records that a node reports a changed status of its own gateway.
func (em *Emulation) statusChanged(gateway *emulatedGateway, change *membership.StatusChanged) {
	const statusTraceBase = 100 // larger than all member states, so that a status and a state differ in the trace
	em.trace(uint64(gateway.index), uint64(change.Status)+statusTraceBase, 0)
	em.oracle.ObserveStatus(gateway.index, change.Status)
	em.options.logStatus(em.now, gateway.name, change.Status.String(), change.Cause)
}

// scheduleWake schedules the node's next wake-up unless the queue has one that is as early.
func (em *Emulation) scheduleWake(gateway *emulatedGateway) {
	if gateway.paused || gateway.node == nil {
		return
	}
	at := max(gateway.node.Wake()-gateway.clockOffsetMs-epochMs, em.now)
	if at < gateway.wakeAt {
		gateway.wakeAt = at
		em.queue.push(scheduledEvent{at: at, gateway: gateway, generation: gateway.generation})
	}
}
