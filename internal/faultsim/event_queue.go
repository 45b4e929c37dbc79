package faultsim

import (
	"net/netip"

	"merlinjunction/membership"
)

// scheduledEvent is an entry of the emulator's queue.
type scheduledEvent struct {
	at         float64
	order      uint64
	node       *emulatedGateway
	generation int // of the gateway's process: what belongs to an earlier one is dropped
	message    *membership.Message
	from       netip.AddrPort
	step       *Step
	call       func()
}

// eventQueue is a four-way heap of events by time, then by order of entry.
type eventQueue struct {
	heap    []scheduledEvent
	entered uint64
}

func (a *eventQueue) less(i, j int) bool {
	return a.heap[i].at < a.heap[j].at || a.heap[i].at == a.heap[j].at && a.heap[i].order < a.heap[j].order
}

func (a *eventQueue) push(h scheduledEvent) {
	a.entered++
	h.order = a.entered
	a.heap = append(a.heap, h)
	for i := len(a.heap) - 1; i > 0; {
		up := (i - 1) / 4
		if !a.less(i, up) {
			break
		}
		a.heap[i], a.heap[up] = a.heap[up], a.heap[i]
		i = up
	}
}

func (a *eventQueue) pop() scheduledEvent {
	top := a.heap[0]
	last := len(a.heap) - 1
	a.heap[0] = a.heap[last]
	a.heap[last] = scheduledEvent{}
	a.heap = a.heap[:last]
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
		a.heap[i], a.heap[least] = a.heap[least], a.heap[i]
		i = least
	}
}
