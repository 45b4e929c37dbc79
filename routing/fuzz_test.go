package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// world plays a legal host against a Router and watches the rules that show from outside.
type fuzzDriver struct {
	t               *testing.T
	router          *Router
	rng             *rand.Rand
	settings        Settings
	now             time.Duration
	nextID          uint64
	requests        map[uint64]*fuzzRequest
	drainNotifiedAt map[string]time.Duration // when a member was said to drain or be gone
}

type fuzzRequest struct {
	class          Class
	deadline       time.Duration
	attempts       int
	openAttempts   map[int]string // attempts that are out, and their members
	done           bool           // answered, or told as done in an earlier step
	mayHaveRun     bool
	uncertainSince time.Duration
	sentAt         time.Duration
}

// FuzzRouter draws random legal sequences of events from a seed and holds the Router to: one final answer, in
// time; no overlap; no repeat of an effect that may have happened, outside its window; nothing past a drain.
func FuzzRouter(f *testing.F) {
	for seed := range uint64(40) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 7))
		set := testSettings()
		set.StalenessCheck = StalenessCheck(rng.IntN(3))
		set.SessionTokensCarried, set.SubscribeToEndpoints, set.CancelAllowed = rng.IntN(2) == 0, rng.IntN(2) == 0, rng.IntN(2) == 0
		set.HealthChecksAllowed = rng.IntN(2) == 0
		r, err := New(set, seed)
		if err != nil {
			t.Fatal(err)
		}
		w := &fuzzDriver{
			t: t, router: r, rng: rng, settings: set, now: time.Hour,
			requests: map[uint64]*fuzzRequest{}, drainNotifiedAt: map[string]time.Duration{},
		}
		w.run()
	})
}

func (w *fuzzDriver) run() {
	w.step(w.endpointUpdate(true))
	for range 1500 {
		w.now += time.Duration(w.rng.IntN(8)) * ms
		var events []Event
		if w.rng.IntN(40) == 0 {
			events = append(events, w.endpointUpdate(false))
		}
		if w.rng.IntN(3) > 0 {
			events = append(events, w.newRequest())
		}
		if w.rng.IntN(10) == 0 {
			events = append(events, HealthCheckResult{Host: hostName(w.rng.IntN(5)), Role: Role(w.rng.IntN(3)), Position: w.now})
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

func hostName(i int) string { return fmt.Sprintf("m%d", i) }

func (w *fuzzDriver) endpointUpdate(full bool) EndpointUpdate {
	l := EndpointUpdate{Full: full}
	for i := range 5 {
		if !full && w.rng.IntN(3) > 0 {
			continue
		}
		m := Endpoint{ID: hostName(i), Group: i % 2, State: StateReady}
		if !full {
			m.State = EndpointState(w.rng.IntN(3))
		}
		if w.rng.IntN(3) == 0 {
			m.StartedAt = w.now
		}
		l.Endpoints = append(l.Endpoints, m)
		if m.State == StateReady {
			delete(w.drainNotifiedAt, m.ID)
		} else if _, ok := w.drainNotifiedAt[m.ID]; !ok {
			w.drainNotifiedAt[m.ID] = w.now
		}
	}
	return l
}

func (w *fuzzDriver) newRequest() Request {
	w.nextID++
	class := w.rng.IntN(len(w.settings.Classes))
	left := time.Duration(1+w.rng.IntN(1500)) * ms
	w.requests[w.nextID] = &fuzzRequest{class: w.settings.Classes[class], deadline: w.now + left, openAttempts: map[int]string{}}
	return Request{
		ID: w.nextID, Class: class, Tenant: -1, Group: w.rng.IntN(3), Session: hostName(w.rng.IntN(9)), TimeLeft: left,
		ClientRetry: w.rng.IntN(4) == 0, SinceLastWrite: time.Duration(w.rng.IntN(900)) * ms,
	}
}

// results ends some of the attempts that are out, in the order of their requests.
func (w *fuzzDriver) results() []Event {
	var events []Event
	for id := uint64(1); id <= w.nextID; id++ {
		q := w.requests[id]
		for n := range q.attempts {
			m, out := q.openAttempts[n]
			if !out || w.now < q.deadline && w.rng.IntN(12) > 0 {
				continue
			}
			o := Outcome(w.rng.IntN(int(OutcomeCancelled) + 1))
			if w.now >= q.deadline {
				o = OutcomeTimeout
			}
			delete(q.openAttempts, n)
			if !o.provesNotRun() && o != OutcomeOK && !q.mayHaveRun {
				q.mayHaveRun, q.uncertainSince = true, q.sentAt
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

func (w *fuzzDriver) step(events ...Event) {
	for _, a := range w.router.Step(w.now, events) {
		switch a := a.(type) {
		case Attempt:
			w.onAttempt(a)
		case Reject:
			q := w.answer(a.Request)
			if q.class.Idempotency != Idempotent && (q.mayHaveRun || len(q.openAttempts) > 0) {
				w.t.Fatalf("request %d may have run and was refused", a.Request)
			}
		case Fail:
			w.answer(a.Request)
		case CancelAttempt:
			if !w.settings.CancelAllowed || a.Attempt >= w.requests[a.Request].attempts {
				w.t.Fatalf("cancel %+v", a)
			}
		case HealthCheck:
			if !w.settings.HealthChecksAllowed {
				w.t.Fatal("a probe where none is allowed")
			}
		}
	}
}

func (w *fuzzDriver) answer(id uint64) *fuzzRequest {
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

func (w *fuzzDriver) onAttempt(a Attempt) {
	q := w.requests[a.Request]
	told, listed := w.drainNotifiedAt[a.Host]
	switch {
	case q.done:
		w.t.Fatalf("request %d is done and was sent", a.Request)
	case len(q.openAttempts) > 0:
		w.t.Fatalf("request %d has two attempts out", a.Request)
	case q.attempts >= w.settings.MaxAttempts:
		w.t.Fatalf("request %d has too many attempts", a.Request)
	case q.mayHaveRun && q.class.Idempotency == NotIdempotent:
		w.t.Fatalf("request %d may have run and was sent again", a.Request)
	case q.mayHaveRun && q.class.Idempotency == IdempotentWithKey && w.now-q.uncertainSince >= q.class.DedupWindow:
		w.t.Fatalf("request %d was sent again past its window", a.Request)
	case listed && w.now > told+w.settings.DrainGrace:
		w.t.Fatalf("%s got something %v after it was told to drain", a.Host, w.now-told)
	}
	q.openAttempts[q.attempts] = a.Host
	q.attempts++
	q.sentAt = w.now
}
