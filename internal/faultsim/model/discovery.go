package model

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"merlinjunction/fleet"
	"merlinjunction/internal/proxy"
	"merlinjunction/routing"
)

// Discovery tells gateways the list of hosts. It answers so many first calls a second, and turns the others away.
type Discovery struct {
	world   *World
	Rate    float64 // whole lists a second; 0: any number
	Blind   bool    // it does not tell when hosts started
	version int
	entries []proxy.Host
	left    float64 // whole lists that it can still write
	at      float64
	waiting []*Watch
}

// NewDiscovery is one whose list is empty.
func (w *World) NewDiscovery(rate float64) *Discovery { return &Discovery{world: w, Rate: rate} }

// Publish takes the hosts' state into the list and tells those that wait.
func (d *Discovery) Publish() {
	d.version++
	d.entries = d.entries[:0]
	for _, h := range d.world.Hosts {
		if !h.Up {
			continue
		}
		phase, started := routing.StateReady, time.Duration(0)
		if !math.IsNaN(h.DrainAt) {
			if phase = routing.StateDraining; math.IsNaN(h.NotifiedAt) {
				h.NotifiedAt = d.world.Now()
			}
		}
		if !math.IsNaN(h.StartedAt) && !d.Blind {
			started = time.Duration((Epoch + h.StartedAt) * float64(time.Millisecond))
		}
		d.entries = append(d.entries, proxy.Host{Address: strconv.Itoa(h.Index), Endpoint: routing.Endpoint{ID: h.ID, Group: h.Group.Index, Zone: h.Zone,
			Primary: h.Group.Primary == h, State: phase, StartedAt: started}})
	}
	list := d.waiting
	d.waiting = nil
	for _, w := range list {
		w.answer()
	}
}

// Watch is one gateway's calls, when as package fleet decides.
type Watch struct {
	d     *Discovery
	g     *Gateway
	calls fleet.PollPolicy
	rng   *rand.Rand
	since int
	life  int
	turn  int // of the call that is out
}

func (d *Discovery) watch(g *Gateway, set routing.Settings, seed uint64) *Watch {
	w := &Watch{d: d, g: g, rng: rand.New(rand.NewPCG(seed, 5)), since: -1, life: g.generation,
		calls: fleet.PollPolicy{SlotSchedule: set.Schedule(), DrainGraceMs: float64(set.DrainGrace / time.Millisecond)}}
	w.after(0, w.ask)
	return w
}

func (w *Watch) after(ms float64, f func()) {
	s := w.d.world
	s.At(s.Now()+ms, func() {
		if w.g.generation == w.life {
			f()
		}
	})
}

func (w *Watch) ask() {
	d := w.d
	wait, patience := w.calls.NextPoll(w.since >= 0)
	w.turn++
	turn, asked := w.turn, d.world.Now()
	d.world.Counters.Polls++
	w.after(patience, func() {
		if w.turn == turn {
			w.turn++
			w.after(w.calls.TimedOut(asked, d.world.Now(), w.rng.Float64()), w.ask)
		}
	})
	w.after(d.world.LinkMs, func() {
		switch {
		case w.turn != turn:
		case w.since < 0 && !d.room():
			d.world.Counters.PollsRejected++
			w.after(d.world.LinkMs, w.failed)
		case d.version > w.since:
			w.answer()
		default:
			d.waiting = append(d.waiting, w)
			w.after(wait, func() {
				if w.turn == turn {
					w.answer()
				}
			})
		}
	})
}

func (d *Discovery) room() bool {
	if d.Rate <= 0 {
		return true
	}
	now := d.world.Now()
	d.left = min(d.Rate, d.left+(now-d.at)*d.Rate/1000)
	d.at = now
	if d.left < 1 {
		return false
	}
	d.left--
	return true
}

// answer writes the list as it is now.
func (w *Watch) answer() {
	for i, o := range w.d.waiting {
		if o == w {
			w.d.waiting = append(w.d.waiting[:i], w.d.waiting[i+1:]...)
			break
		}
	}
	w.turn++
	changed := w.d.version > w.since
	version := w.d.version
	list := append([]proxy.Host(nil), w.d.entries...)
	w.after(w.d.world.LinkMs, func() {
		_, told := w.calls.Answered(w.d.world.Now())
		w.since = version
		if changed {
			w.g.receive(func() { w.g.core.UpdateHostsNotifiedAt(true, list, told) })
		}
		w.ask()
	})
}

func (w *Watch) failed() {
	w.turn++
	w.after(w.calls.Failed(w.d.world.Now(), w.rng.Float64()), w.ask)
}
