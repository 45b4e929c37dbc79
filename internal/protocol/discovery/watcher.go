// Package discovery follows the endpoint list over HTTP/1.1. It first requests the whole list and then sends one watch
// request (long poll) after another. fleet.PollPolicy decides when a request is sent; this package sends it.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"

	"go.uber.org/zap"

	"merlinjunction/fleet"
	"merlinjunction/internal/eventloop"
	"merlinjunction/internal/proxy"
)

// listPath is the path of the endpoint list.
const listPath = "/v1/servers"

var (
	errTimeout            = errors.New("the poll timed out without a response")
	errUnexpectedResponse = errors.New("response received while no request was in flight")
)

// UpdateFunc receives the whole endpoint list (complete is true) or the hosts that have changed. The update counts as
// notified since notifiedAtMs on the loop's clock, which may be earlier than the call.
type UpdateFunc func(complete bool, hosts []proxy.Host, notifiedAtMs float64)

// Config configures how a Watcher polls.
type Config struct {
	GatewayCount  int     // number of gateways in the fleet
	GatewayNumber int     // number of this gateway in the fleet, from 1; 0 if unknown
	DrainGraceMs  float64 // drain grace period, in milliseconds
	Seed          uint64  // seed of the random delays
	// Pushed means that an agent on this gateway's machine holds the list. Otherwise all gateways poll one discovery
	// service.
	Pushed   bool
	Revision int64 // revision of the list that is already known, or NoRevision
}

// Watcher keeps one request to discovery in flight and passes each update of the endpoint list to an UpdateFunc. It runs
// on the event loop and implements eventloop.Handler.
type Watcher struct {
	loop     *eventloop.Loop
	log      *zap.Logger
	address  string
	onUpdate UpdateFunc
	rng      *rand.Rand
	policy   fleet.PollPolicy

	conn               *eventloop.Conn  // nil while no connection is open
	pollTimer          *eventloop.Timer // next poll, or timeout of the poll in flight
	addressChangeTimer *eventloop.Timer // starts polling at another address
	firstPollAtMs      float64
	lastPollAtMs       float64
	revision           int64 // revision of the known list, or NoRevision
	awaitingResponse   bool
	// lastEntryError is the last logged error about an invalid entry. It is never cleared, so the same error isn't
	// logged again even if the entry has been valid in the meantime.
	lastEntryError string
}

// Watch starts to follow the list at an address. If a list is already known, the first poll is delayed as
// fleet.PollPolicy says, so that the gateways of a fleet that start together don't all poll at once.
func Watch(loop *eventloop.Loop, log *zap.Logger, address string, config Config, onUpdate UpdateFunc) *Watcher {
	w := &Watcher{
		loop:     loop,
		log:      log,
		address:  address,
		onUpdate: onUpdate,
		rng:      rand.New(rand.NewPCG(config.Seed, config.Seed)),
		policy: fleet.PollPolicy{
			SlotSchedule: fleet.SlotSchedule{GatewayCount: config.GatewayCount, Slot: config.GatewayNumber - 1},
			DrainGraceMs: config.DrainGraceMs,
			Pushed:       config.Pushed,
		},
		revision: config.Revision,
	}
	w.policy.Started(loop.Clock.Now())
	if w.revision < 0 {
		w.poll()
	} else {
		w.firstPollAtMs = loop.Clock.Now() + w.policy.FirstDelay(true, w.rng.Float64())
		w.pollTimer = loop.At(w.firstPollAtMs, w.poll)
	}
	return w
}

// SetSchedule replaces the number of gateways in the fleet and this gateway's slot.
func (w *Watcher) SetSchedule(schedule fleet.SlotSchedule) { w.policy.SlotSchedule = schedule }

// FirstPollLaterThan reports whether discovery has not answered yet and the first poll is more than ms milliseconds away.
func (w *Watcher) FirstPollLaterThan(ms float64) bool {
	return !w.policy.HasAnswer() && w.firstPollAtMs > w.loop.Clock.Now()+ms
}

// SetAddress follows the list at another address, after a random delay that differs between gateways. The known list
// stays in use until the new address has sent a complete one, because revisions may be numbered differently there.
func (w *Watcher) SetAddress(address string) {
	w.addressChangeTimer.Stop()
	w.addressChangeTimer = w.loop.After(w.policy.AddressChangeDelay(w.rng.Float64()), func() {
		w.address, w.revision = address, NoRevision
		w.policy.AddressChanged(w.loop.Clock.Now())
		w.disconnect()
		w.poll()
	})
}

// Address returns the address at which the list is followed.
func (w *Watcher) Address() string { return w.address }

// poll sends a request. It opens a connection if there is none.
func (w *Watcher) poll() {
	w.lastPollAtMs = w.loop.Clock.Now()
	if w.conn == nil {
		var err error
		if w.conn, err = w.loop.Dial(w.address, maxBodyBytes, w); err != nil {
			w.retry(err)
			return
		}
	}
	isWatch := w.revision >= 0
	watchMs, timeoutMs := w.policy.NextPoll(isWatch)
	path := listPath
	if isWatch {
		path += fmt.Sprintf("?since=%d&timeout_ms=%d", w.revision, int(watchMs))
	}
	w.awaitingResponse = true
	w.conn.Write([]byte("GET " + path + " HTTP/1.1\r\nHost: " + w.address + "\r\nAccept: application/json\r\n\r\n"))
	w.pollTimer.Stop()
	w.pollTimer = w.loop.After(timeoutMs, func() { w.retry(errTimeout) })
}

// retry closes the connection and polls again after a backoff. The known list stays in use.
func (w *Watcher) retry(cause error) {
	w.log.Debug("discovery poll failed", zap.String("address", w.address), zap.Error(cause))
	now, draw := w.loop.Clock.Now(), w.rng.Float64()
	if !w.awaitingResponse {
		// No poll is in flight that may have missed updates. The policy counts updates as possibly missed only from now on.
		w.lastPollAtMs = now
	}
	w.disconnect()
	w.pollTimer.Stop()
	w.pollTimer = w.loop.After(w.backoff(cause, now, draw), w.poll)
}

// backoff returns the time until the next poll, in milliseconds. Every cause other than a timeout or a rejection counts as
// a lost connection: the end of the connection, a malformed response, invalid JSON, and a list without a valid entry.
func (w *Watcher) backoff(cause error, now, draw float64) float64 {
	var rejected *statusError
	switch {
	case errors.Is(cause, errTimeout):
		return w.policy.TimedOut(w.lastPollAtMs, now, draw)
	case errors.As(cause, &rejected):
		return w.policy.Failed(now, draw)
	}
	return w.policy.ConnectionLost(w.lastPollAtMs, now, draw)
}

// disconnect closes the connection and thereby ends the request in flight.
func (w *Watcher) disconnect() {
	if w.conn != nil {
		w.conn.Close()
		w.conn = nil
	}
	w.awaitingResponse = false
}

// Connected implements eventloop.Handler. It does nothing, because poll has already written the request.
func (w *Watcher) Connected() {}

// Flushed implements eventloop.Handler.
func (w *Watcher) Flushed() {}

// Ended implements eventloop.Handler. It polls again, because the connection has ended.
func (w *Watcher) Ended(err error) { w.retry(err) }

// Data implements eventloop.Handler. It handles a response once it is complete and schedules the next poll.
func (w *Watcher) Data() {
	if !w.awaitingResponse {
		w.retry(errUnexpectedResponse)
		return
	}
	resp, err := parseResponse(w.conn.In())
	if err != nil {
		w.retry(err)
		return
	}
	if resp == nil {
		return
	}
	previousRevision := w.revision
	if err := w.handleResponse(resp); err != nil {
		w.retry(err)
		return
	}
	w.awaitingResponse = false
	w.conn.Consume(resp.size)
	if resp.closesAfter {
		w.disconnect()
	}
	w.pollTimer.Stop()
	delayMs := w.policy.IdleDelay(w.revision != previousRevision, w.lastPollAtMs, w.loop.Clock.Now())
	if delayMs > 0 {
		w.pollTimer = w.loop.After(delayMs, w.poll)
		return
	}
	w.poll()
}

// handleResponse passes the hosts of a response's document to onUpdate. The error is a *statusError if the poll was
// rejected, an *EntryError if no entry is valid, or an error of the JSON decoder.
func (w *Watcher) handleResponse(resp *response) error {
	if resp.status != http.StatusOK {
		if mayBeUnknownRevision(resp.status) {
			w.revision = NoRevision
		}
		return &statusError{Status: resp.status}
	}
	var document Document
	if err := json.Unmarshal(resp.body, &document); err != nil {
		return err
	}
	hosts, err := document.Hosts()
	if err != nil {
		w.logEntryError(err)
		if len(hosts) == 0 {
			return err
		}
		// A host whose entry is invalid must not count as removed. The drawback is that hosts that were really removed stay
		// in use until a complete list without an invalid entry arrives.
		document.Complete = false
	}
	isFirst, notifiedAtMs := w.policy.Answered(w.loop.Clock.Now())
	w.revision = document.Revision
	if document.Complete || len(hosts) > 0 || isFirst {
		w.onUpdate(document.Complete, hosts, notifiedAtMs)
	}
	return nil
}

// mayBeUnknownRevision reports whether a status may mean that discovery no longer knows the revision, so that the next
// poll must request the whole list. That is every 4xx status except 429 (too many requests) and 408 (request timeout).
func mayBeUnknownRevision(status int) bool {
	return status/100 == 4 && status != http.StatusTooManyRequests && status != http.StatusRequestTimeout
}

// logEntryError logs an error about an invalid entry unless it is the same as the last one, because discovery sends the
// same list repeatedly.
func (w *Watcher) logEntryError(err error) {
	if w.lastEntryError == err.Error() {
		return
	}
	w.lastEntryError = err.Error()
	w.log.Warn("endpoint list has an invalid entry", zap.String("address", w.address), zap.Error(err))
}
