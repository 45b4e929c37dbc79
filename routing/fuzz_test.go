package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// world plays a legal host against a Router and watches the rules that show from outside.
type world struct {
	t        *testing.T
	r        *Router
	rng      *rand.Rand
	set      Settings
	now      time.Duration
	nextID   uint64
	requests map[uint64]*fuzzRequest
	told     map[string]time.Duration // when a member was said to drain or be gone
}

type fuzzRequest struct {
	class    Class
	deadline time.Duration
	attempts int
	out      map[int]string // attempts that are out, and their members
	done     bool           // answered, or told as done in an earlier step
	mayRun   bool
	maybeAt  time.Duration
	sentAt   time.Duration
}

// FuzzRouter draws random legal sequences of events from a seed and holds the Router to: one final answer, in
// time; no overlap; no repeat of an effect that may have happened, outside its window; nothing past a drain.
func FuzzRouter(f *testing.F) {
	for seed := range uint64(40) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 7))
		set := settings()
		set.StalenessCheck = StalenessCheck(rng.IntN(3))
		set.SessionTokensCarried, set.SubscribeToEndpoints, set.CancelAllowed = rng.IntN(2) == 0, rng.IntN(2) == 0, rng.IntN(2) == 0
		set.HealthChecksAllowed = rng.IntN(2) == 0
		r, err := New(set, seed)
		if err != nil {
			t.Fatal(err)
		}
		w := &world{
			t: t, r: r, rng: rng, set: set, now: time.Hour,
			requests: map[uint64]*fuzzRequest{}, told: map[string]time.Duration{},
		}
		w.run()
	})
}

func (w *world) run() {
	w.step(w.list(true))
	for range 1500 {
		w.now += time.Duration(w.rng.IntN(8)) * ms
		var events []Event
		if w.rng.IntN(40) == 0 {
			events = append(events, w.list(false))
		}
		if w.rng.IntN(3) > 0 {
			events = append(events, w.request())
		}
		if w.rng.IntN(10) == 0 {
			events = append(events, HealthCheckResult{Host: member0(w.rng.IntN(5)), Role: Role(w.rng.IntN(3)), Position: w.now})
		}
		w.step(append(events, w.results()...)...)
	}
	for range 300 {
		w.now += 10 * ms
		w.step(w.results()...)
	}
	for id, q := range w.requests {
		if !q.done {
			w.t.Errorf("request %d has no answer", id)
		}
	}
}

func member0(i int) string { return fmt.Sprintf("m%d", i) }

func (w *world) list(full bool) EndpointUpdate {
	l := EndpointUpdate{Full: full}
	for i := range 5 {
		if !full && w.rng.IntN(3) > 0 {
			continue
		}
		m := Endpoint{ID: member0(i), Group: i % 2, State: StateReady}
		if !full {
			m.State = EndpointState(w.rng.IntN(3))
		}
		if w.rng.IntN(3) == 0 {
			m.StartedAt = w.now
		}
		l.Endpoints = append(l.Endpoints, m)
		if m.State == StateReady {
			delete(w.told, m.ID)
		} else if _, ok := w.told[m.ID]; !ok {
			w.told[m.ID] = w.now
		}
	}
	return l
}

func (w *world) request() Request {
	w.nextID++
	class := w.rng.IntN(len(w.set.Classes))
	left := time.Duration(1+w.rng.IntN(1500)) * ms
	w.requests[w.nextID] = &fuzzRequest{class: w.set.Classes[class], deadline: w.now + left, out: map[int]string{}}
	return Request{
		ID: w.nextID, Class: class, Tenant: -1, Group: w.rng.IntN(3), Session: member0(w.rng.IntN(9)), TimeLeft: left,
		ClientRetry: w.rng.IntN(4) == 0, SinceLastWrite: time.Duration(w.rng.IntN(900)) * ms,
	}
}

// results ends some of the attempts that are out, in the order of their requests.
func (w *world) results() []Event {
	var events []Event
	for id := uint64(1); id <= w.nextID; id++ {
		q := w.requests[id]
		for n := range q.attempts {
			m, out := q.out[n]
			if !out || w.now < q.deadline && w.rng.IntN(12) > 0 {
				continue
			}
			o := Outcome(w.rng.IntN(int(OutcomeCancelled) + 1))
			if w.now >= q.deadline {
				o = OutcomeTimeout
			}
			delete(q.out, n)
			if !neverRan(o) && o != OutcomeOK && !q.mayRun {
				q.mayRun, q.maybeAt = true, q.sentAt
			}
			q.done = q.done || o == OutcomeOK
			events = append(events, AttemptResult{
				Request: id, Attempt: n, Host: m, Outcome: o, RequestDone: q.done, Role: Role(w.rng.IntN(3)), Position: w.now,
			})
		}
		if !q.done && w.rng.IntN(400) == 0 {
			q.done = true
			events = append(events, ClientGone{id})
		}
	}
	return events
}

func (w *world) step(events ...Event) {
	for _, a := range w.r.Step(w.now, events) {
		switch a := a.(type) {
		case Attempt:
			w.onAttempt(a)
		case Reject:
			q := w.answer(a.Request)
			if q.class.Idempotency != Idempotent && (q.mayRun || len(q.out) > 0) {
				w.t.Fatalf("request %d may have run and was refused", a.Request)
			}
		case Fail:
			w.answer(a.Request)
		case CancelAttempt:
			if !w.set.CancelAllowed || a.Attempt >= w.requests[a.Request].attempts {
				w.t.Fatalf("cancel %+v", a)
			}
		case HealthCheck:
			if !w.set.HealthChecksAllowed {
				w.t.Fatal("a probe where none is allowed")
			}
		}
	}
}

func (w *world) answer(id uint64) *fuzzRequest {
	q := w.requests[id]
	switch {
	case q.done:
		w.t.Fatalf("request %d has two answers", id)
	case w.now > q.deadline+20*ms:
		w.t.Fatalf("request %d answered %v late", id, w.now-q.deadline)
	}
	q.done = true
	return q
}

func (w *world) onAttempt(a Attempt) {
	q := w.requests[a.Request]
	told, listed := w.told[a.Host]
	switch {
	case q.done:
		w.t.Fatalf("request %d is done and was sent", a.Request)
	case len(q.out) > 0:
		w.t.Fatalf("request %d has two attempts out", a.Request)
	case q.attempts >= w.set.MaxAttempts:
		w.t.Fatalf("request %d has too many attempts", a.Request)
	case q.mayRun && q.class.Idempotency == NotIdempotent:
		w.t.Fatalf("request %d may have run and was sent again", a.Request)
	case q.mayRun && q.class.Idempotency == IdempotentWithKey && w.now-q.maybeAt >= q.class.DedupWindow:
		w.t.Fatalf("request %d was sent again past its window", a.Request)
	case listed && w.now > told+w.set.DrainGrace:
		w.t.Fatalf("%s got something %v after it was told to drain", a.Host, w.now-told)
	}
	q.out[q.attempts] = a.Host
	q.attempts++
	q.sentAt = w.now
}
