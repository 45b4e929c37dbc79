package faultsim

import (
	"net/netip"

	"merlinjunction/membership"
)

// scheduledEvent is an entry of the emulated engine's queue. It is a function call if call is set, a step of the plan if
// step is set, a datagram for a gateway if message is set, or else a wake-up of a gateway.
type scheduledEvent struct {
	at         float64 // ms since second 0
	order      uint64  // number of the event in the order of entry
	gateway    *emulatedGateway
	generation int // generation of the gateway's process; an event for an earlier process is dropped
	message    *membership.Message
	from       netip.AddrPort // sender's address of the message
	step       *Step
	call       func()
}

// heapArity is the number of children of a node in the queue's heap.
const heapArity = 4

// eventQueue is a four-ary heap of events, ordered by time. Events of the same time keep their order of entry, so that one
// seed gives one result.
type eventQueue struct {
	heap    []scheduledEvent
	entered uint64 // number of events pushed so far
}

func (q *eventQueue) less(i, j int) bool {
	if q.heap[i].at != q.heap[j].at {
		return q.heap[i].at < q.heap[j].at
	}
	return q.heap[i].order < q.heap[j].order
}

func (q *eventQueue) push(event scheduledEvent) {
	q.entered++
	event.order = q.entered
	q.heap = append(q.heap, event)
	for i := len(q.heap) - 1; i > 0; {
		parent := (i - 1) / heapArity
		if !q.less(i, parent) {
			break
		}
		q.heap[i], q.heap[parent] = q.heap[parent], q.heap[i]
		i = parent
	}
}

// pop removes and returns the earliest event. The queue must not be empty.
func (q *eventQueue) pop() scheduledEvent {
	earliest := q.heap[0]
	last := len(q.heap) - 1
	q.heap[0] = q.heap[last]
	q.heap[last] = scheduledEvent{}
	q.heap = q.heap[:last]
	for i := 0; ; {
		least := i
		for child := heapArity*i + 1; child <= heapArity*i+heapArity && child < last; child++ {
			if q.less(child, least) {
				least = child
			}
		}
		if least == i {
			return earliest
		}
		q.heap[i], q.heap[least] = q.heap[least], q.heap[i]
		i = least
	}
}
