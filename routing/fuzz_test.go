package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// A fuzzDriver acts as an embedding program that fulfils its part of the contract. It checks the invariants
// of the Router that are visible from outside.
type fuzzDriver struct {
	t               *testing.T
	router          *Router
	rng             *rand.Rand
	settings        Settings
	now             time.Duration
	lastID          uint64
	requests        map[uint64]*fuzzRequest
	drainNotifiedAt map[string]time.Duration // when a host was first listed as draining or gone
}

// A fuzzRequest holds the driver's state of a request.
type fuzzRequest struct {
	class          Class
	deadline       time.Duration
	attempts       int
	openAttempts   map[int]string // hosts of the open attempts, by attempt number
	done           bool           // it has its final answer, or its client is gone
	mayHaveRun     bool
	uncertainSince time.Duration
	sentAt         time.Duration // when the last attempt was sent
}

// FuzzRouter derives random legal sequences of events from a seed and checks that the Router gives each
// request one final answer in time, opens at most one attempt at a time, never resends a request that may
// have run unless it is idempotent or within its deduplication window, and sends no request after a drain.
func FuzzRouter(f *testing.F) {
	for seed := range uint64(40) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 7))
		settings := testSettings()
		settings.StalenessCheck = StalenessCheck(rng.IntN(3))
		settings.SessionTokensCarried = rng.IntN(2) == 0
		settings.SubscribeToEndpoints = rng.IntN(2) == 0
		settings.CancelAllowed = rng.IntN(2) == 0
		settings.HealthChecksAllowed = rng.IntN(2) == 0
		router, err := New(settings, seed)
		if err != nil {
			t.Fatal(err)
		}
		driver := &fuzzDriver{
			t: t, router: router, rng: rng, settings: settings, now: time.Hour,
			requests: map[uint64]*fuzzRequest{}, drainNotifiedAt: map[string]time.Duration{},
		}
		driver.run()
	})
}

// run plays random events, then lets all requests end.
func (d *fuzzDriver) run() {
	d.step(d.endpointUpdate(true))
	for range 1500 {
		d.now += time.Duration(d.rng.IntN(8)) * ms
		var events []Event
		if d.rng.IntN(40) == 0 {
			events = append(events, d.endpointUpdate(false))
		}
		if d.rng.IntN(3) > 0 {
			events = append(events, d.newRequest())
		}
		if d.rng.IntN(10) == 0 {
			host, role := hostName(d.rng.IntN(5)), Role(d.rng.IntN(3))
			events = append(events, HealthCheckResult{Host: host, Role: role, Position: d.now})
		}
		d.step(append(events, d.results()...)...)
	}
	for range 300 {
		d.now += 10 * ms
		d.step(d.results()...)
	}
	for id, request := range d.requests {
		if !request.done {
			d.t.Errorf("request %d has no final answer", id)
		}
	}
}

// hostName returns the ID of the host with a number.
func hostName(number int) string { return fmt.Sprintf("m%d", number) }

// endpointUpdate returns the full list of five ready hosts, or random changes to it.
func (d *fuzzDriver) endpointUpdate(full bool) EndpointUpdate {
	update := EndpointUpdate{Full: full}
	for number := range 5 {
		if !full && d.rng.IntN(3) > 0 {
			continue
		}
		endpoint := Endpoint{ID: hostName(number), Group: number % 2, State: StateReady}
		if !full {
			endpoint.State = EndpointState(d.rng.IntN(3))
		}
		if d.rng.IntN(3) == 0 {
			endpoint.StartedAt = d.now
		}
		update.Endpoints = append(update.Endpoints, endpoint)
		if endpoint.State == StateReady {
			delete(d.drainNotifiedAt, endpoint.ID)
		} else if _, known := d.drainNotifiedAt[endpoint.ID]; !known {
			d.drainNotifiedAt[endpoint.ID] = d.now
		}
	}
	return update
}

// newRequest returns a random request.
func (d *fuzzDriver) newRequest() Request {
	d.lastID++
	class := d.rng.IntN(len(d.settings.Classes))
	timeLeft := time.Duration(1+d.rng.IntN(1500)) * ms
	d.requests[d.lastID] = &fuzzRequest{
		class: d.settings.Classes[class], deadline: d.now + timeLeft, openAttempts: map[int]string{},
	}
	return Request{
		ID: d.lastID, Class: class, Tenant: -1, Group: d.rng.IntN(3), Session: hostName(d.rng.IntN(9)),
		TimeLeft: timeLeft, ClientRetry: d.rng.IntN(4) == 0,
		SinceLastWrite: time.Duration(d.rng.IntN(900)) * ms,
	}
}

// results ends some of the open attempts and reports them in the order of their requests.
func (d *fuzzDriver) results() []Event {
	var events []Event
	for id := uint64(1); id <= d.lastID; id++ {
		request := d.requests[id]
		for number := range request.attempts {
			host, open := request.openAttempts[number]
			if !open || d.now < request.deadline && d.rng.IntN(12) > 0 {
				continue
			}
			outcome := Outcome(d.rng.IntN(int(OutcomeCancelled) + 1))
			if d.now >= request.deadline {
				outcome = OutcomeTimeout
			}
			delete(request.openAttempts, number)
			if !outcome.ProvesNotRun() && outcome != OutcomeOK && !request.mayHaveRun {
				request.mayHaveRun, request.uncertainSince = true, request.sentAt
			}
			request.done = request.done || outcome == OutcomeOK
			events = append(events, AttemptResult{
				Request: id, Attempt: number, Host: host, Outcome: outcome, RequestDone: request.done,
				Role: Role(d.rng.IntN(3)), Position: d.now,
			})
		}
		if !request.done && d.rng.IntN(400) == 0 {
			request.done = true
			events = append(events, ClientGone{id})
		}
	}
	return events
}

// step passes events to the Router and checks its actions.
func (d *fuzzDriver) step(events ...Event) {
	for _, action := range d.router.Step(d.now, events) {
		switch action := action.(type) {
		case Attempt:
			d.onAttempt(action)
		case Reject:
			request := d.answer(action.Request)
			uncertain := request.mayHaveRun || len(request.openAttempts) > 0
			if request.class.Idempotency != Idempotent && uncertain {
				d.t.Fatalf("request %d was rejected although it may have run", action.Request)
			}
		case Fail:
			d.answer(action.Request)
		case CancelAttempt:
			if !d.settings.CancelAllowed || action.Attempt >= d.requests[action.Request].attempts {
				d.t.Fatalf("%+v names an attempt that wasn't sent, or cancelling is not allowed", action)
			}
		case HealthCheck:
			if !d.settings.HealthChecksAllowed {
				d.t.Fatal("a health check although health checks are not allowed")
			}
		}
	}
}

// answer records the final answer of a request and returns the request.
func (d *fuzzDriver) answer(id uint64) *fuzzRequest {
	request := d.requests[id]
	switch {
	case request.done:
		d.t.Fatalf("request %d got a second final answer", id)
	case d.now > request.deadline+20*ms:
		d.t.Fatalf("request %d was answered %v after its deadline, want at most 20 ms", id, d.now-request.deadline)
	}
	request.done = true
	return request
}

// onAttempt checks that an attempt is allowed and records it as open.
func (d *fuzzDriver) onAttempt(attempt Attempt) {
	request := d.requests[attempt.Request]
	class := request.class
	drainNotifiedAt, draining := d.drainNotifiedAt[attempt.Host]
	switch {
	case request.done:
		d.t.Fatalf("request %d was sent after its final answer", attempt.Request)
	case len(request.openAttempts) > 0:
		d.t.Fatalf("request %d has two open attempts", attempt.Request)
	case request.attempts >= d.settings.MaxAttempts:
		d.t.Fatalf("request %d was sent more than %d times", attempt.Request, d.settings.MaxAttempts)
	case request.mayHaveRun && class.Idempotency == NotIdempotent:
		d.t.Fatalf("request %d is not idempotent and was sent again although it may have run", attempt.Request)
	case request.mayHaveRun && class.Idempotency == IdempotentWithKey &&
		d.now-request.uncertainSince >= class.DedupWindow:
		d.t.Fatalf("request %d was sent again after its deduplication window", attempt.Request)
	case draining && d.now > drainNotifiedAt+d.settings.DrainGrace:
		d.t.Fatalf("host %s got a request %v after it was listed as draining", attempt.Host, d.now-drainNotifiedAt)
	}
	request.openAttempts[request.attempts] = attempt.Host
	request.attempts++
	request.sentAt = d.now
}
