package model

import (
	"math/rand/v2"
	"slices"
	"time"

	"merlinjunction/fleet"
	"merlinjunction/internal/proxy"
	"merlinjunction/routing"
)

// noRevision is the revision of a Watcher that has received no list.
const noRevision = -1

// Watcher polls a Discovery for one process of a gateway, at the times that fleet.PollPolicy decides.
type Watcher struct {
	discovery  *Discovery
	gateway    *Gateway
	policy     fleet.PollPolicy
	random     *rand.Rand
	revision   int // of the list that the gateway has; noRevision: none
	generation int // of the gateway's process
	pollNumber int // of the outstanding poll; answers and time-outs of earlier polls are void
}

func (d *Discovery) watch(gateway *Gateway, settings routing.Settings, seed uint64) *Watcher {
	watcher := &Watcher{
		discovery:  d,
		gateway:    gateway,
		random:     rand.New(rand.NewPCG(seed, 5)),
		revision:   noRevision,
		generation: gateway.generation,
		policy: fleet.PollPolicy{
			SlotSchedule: settings.Schedule(),
			DrainGraceMs: float64(settings.DrainGrace / time.Millisecond),
		},
	}
	watcher.after(0, watcher.poll)
	return watcher
}

// after calls a function after a delay in ms, unless the gateway's process has ended by then.
func (w *Watcher) after(delayMs float64, call func()) {
	world := w.discovery.world
	world.At(world.Now()+delayMs, func() {
		if w.gateway.generation == w.generation {
			call()
		}
	})
}

// poll sends a poll: for the full list at first, later a watch for a newer version.
func (w *Watcher) poll() {
	world := w.discovery.world
	waitMs, timeoutMs := w.policy.NextPoll(w.revision != noRevision)
	w.pollNumber++
	number, polledAt := w.pollNumber, world.Now()
	world.Counters.Polls++
	w.after(timeoutMs, func() {
		if w.pollNumber == number {
			w.pollNumber++
			w.after(w.policy.TimedOut(polledAt, world.Now(), w.random.Float64()), w.poll)
		}
	})
	w.after(world.LinkDelayMs, func() {
		if w.pollNumber == number {
			w.pollArrived(number, waitMs)
		}
	})
}

// pollArrived is what discovery does with a poll: it rejects it, answers it, or holds it as a watch for at most waitMs.
func (w *Watcher) pollArrived(number int, waitMs float64) {
	discovery := w.discovery
	switch {
	case w.revision == noRevision && !discovery.takeToken():
		discovery.world.Counters.PollsRejected++
		w.after(discovery.world.LinkDelayMs, w.failed)
	case discovery.version > w.revision:
		w.answer()
	default:
		discovery.waiting = append(discovery.waiting, w)
		w.after(waitMs, func() {
			if w.pollNumber == number {
				w.answer()
			}
		})
	}
}

// answer ends the outstanding poll with the list in its present version.
func (w *Watcher) answer() {
	discovery := w.discovery
	if i := slices.Index(discovery.waiting, w); i >= 0 {
		discovery.waiting = append(discovery.waiting[:i], discovery.waiting[i+1:]...)
	}
	w.pollNumber++
	updated := discovery.version > w.revision
	version := discovery.version
	hosts := append([]proxy.Host(nil), discovery.hosts...)
	w.after(discovery.world.LinkDelayMs, func() {
		_, notifiedAt := w.policy.Answered(discovery.world.Now())
		w.revision = version
		if updated {
			w.gateway.receive(func() { w.gateway.core.UpdateHostsNotifiedAt(true, hosts, notifiedAt) })
		}
		w.poll()
	})
}

// failed ends the outstanding poll with an error.
func (w *Watcher) failed() {
	w.pollNumber++
	w.after(w.policy.Failed(w.discovery.world.Now(), w.random.Float64()), w.poll)
}
