package model

import (
	"math/rand/v2"
	"slices"
	"time"

	"merlinjunction/fleet"
	"merlinjunction/internal/proxy"
	"merlinjunction/routing"
)

// noRevision is the revision of a Watcher that has not received an endpoint list.
const noRevision = -1

// Watcher polls a Discovery for one process of a gateway. fleet.PollPolicy determines the times of the polls.
type Watcher struct {
	discovery  *Discovery
	gateway    *Gateway
	policy     fleet.PollPolicy
	random     *rand.Rand
	revision   int // of the gateway's endpoint list; noRevision: it has none
	generation int // generation of the gateway's process that it polls for
	pollNumber int // number of the outstanding poll; answers and time-outs of earlier polls are ignored
}

// startWatcher returns a Watcher that makes its first poll at once.
func (d *Discovery) startWatcher(gateway *Gateway, settings routing.Settings, seed uint64) *Watcher {
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

// poll sends a poll. It is for the full list until the gateway has one, and a watch for a newer revision afterwards.
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

// pollArrived handles a poll on the side of discovery. A poll for the full list is rejected above the rate limit. Any other
// poll is answered at once if the list is newer than the gateway's. Otherwise it is held as a watch, which is answered at
// the next Publish or after waitMs.
func (w *Watcher) pollArrived(number int, waitMs float64) {
	discovery := w.discovery
	switch {
	case w.revision == noRevision && !discovery.takeToken():
		discovery.world.Counters.PollsRejected++
		w.after(discovery.world.LinkDelayMs, w.pollFailed)
	case discovery.revision > w.revision:
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

// answer ends the outstanding poll with the current revision of the list.
func (w *Watcher) answer() {
	discovery := w.discovery
	if i := slices.Index(discovery.waiting, w); i >= 0 {
		discovery.waiting = append(discovery.waiting[:i], discovery.waiting[i+1:]...)
	}
	w.pollNumber++
	updated := discovery.revision > w.revision
	revision := discovery.revision
	hosts := append([]proxy.Host(nil), discovery.hosts...)
	w.after(discovery.world.LinkDelayMs, func() {
		_, notifiedAt := w.policy.Answered(discovery.world.Now())
		w.revision = revision
		if updated {
			w.gateway.receive(func() { w.gateway.core.UpdateHostsNotifiedAt(true, hosts, notifiedAt) })
		}
		w.poll()
	})
}

// pollFailed ends the outstanding poll with an error and schedules the next one.
func (w *Watcher) pollFailed() {
	w.pollNumber++
	w.after(w.policy.Failed(w.discovery.world.Now(), w.random.Float64()), w.poll)
}
