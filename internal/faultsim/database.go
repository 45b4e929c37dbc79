package faultsim

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"merlinjunction/internal/stubserver"
)

// Databases are the stub hosts of one group in the processes engine: the first is the primary, the others apply its log a
// little later. They speak the simple and the extended protocol as far as the gateway uses it, and count broken rules.
type Databases struct {
	mutex    sync.Mutex
	hosts    []*database
	lag      time.Duration
	rows     map[string][]version // by session, oldest first
	keysAt   map[string]time.Time // when each idempotency key was last used
	revision int                  // of the endpoint list
	changed  chan struct{}        // closed with the next revision
	counters Counters
}

// version is one committed write.
type version struct {
	value       int
	committedAt time.Time
}

// Counters are what the stub hosts counted.
type Counters struct {
	Served           map[string]int // statements, by host
	Doubled, Drained int            // writes that ran twice; statements after the grace period of a drain
	Cold             int            // how often a host in slow start was overloaded
	Conns            map[string]int // connections accepted, by host
}

// database is one stub host.
type database struct {
	id        string
	all       *Databases
	listener  *stubserver.Listener
	drainAt   time.Time   // zero: it doesn't drain
	startedAt time.Time   // zero: long ago
	recent    []time.Time // statements within the last overloadWindow, in slow start
}

// What the stub hosts and the configuration made for the gateways agree on.
const (
	drainGrace       = 2 * time.Second
	drainSlack       = 150 * time.Millisecond // an endpoint update takes its time
	dedupWindow      = 2 * time.Second
	slowStartWindow  = 5 * time.Second
	slowStartShare   = 0.2   // of its capacity that a host has at its start
	hostRate         = 400.0 // statements a second that a warm host is good for
	overloadMultiple = 2.5
	overloadWindow   = time.Second
)

func newDatabases(count int, lag time.Duration) (*Databases, error) {
	d := &Databases{
		lag: lag, rows: map[string][]version{}, keysAt: map[string]time.Time{}, changed: make(chan struct{}),
		counters: Counters{Served: map[string]int{}, Conns: map[string]int{}},
	}
	for i := range count {
		host := &database{id: fmt.Sprintf("h%d", i), all: d}
		host.listener = stubserver.NewListener(host.serve)
		d.hosts = append(d.hosts, host)
		if err := host.open(); err != nil {
			d.close()
			return nil, err
		}
	}
	return d, nil
}

func (h *database) open() error {
	if err := h.listener.Open(); err != nil {
		return fmt.Errorf("host %s: %w", h.id, err)
	}
	return nil
}

func (d *Databases) close() {
	for i := range d.hosts {
		d.kill(i)
	}
}

// kill ends a host without a word: its connections are reset.
func (d *Databases) kill(i int) {
	d.hosts[i].listener.Close()
	d.hosts[i].listener.ResetConns()
}

// start starts a host that was killed, at its old address and in slow start.
func (d *Databases) start(i int) error {
	host := d.hosts[i]
	if err := host.open(); err != nil {
		return err
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	host.startedAt, host.drainAt, host.recent = time.Now(), time.Time{}, nil
	d.publish()
	return nil
}

// drain lists a host as draining from now on.
func (d *Databases) drain(i int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.hosts[i].drainAt = time.Now()
	d.publish()
}

// publish makes a new revision of the endpoint list. The caller holds the lock.
func (d *Databases) publish() {
	d.revision++
	close(d.changed)
	d.changed = make(chan struct{})
}

// discovery serves the endpoint list as one gateway sees it: each host at the address of the gateway's own relay.
func (d *Databases) discovery(address func(host int) string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		stubserver.AwaitChange(r, func(since int) (bool, <-chan struct{}) {
			d.mutex.Lock()
			defer d.mutex.Unlock()
			return d.revision > since, d.changed
		})
		d.mutex.Lock()
		defer d.mutex.Unlock()
		var endpoints []stubserver.Endpoint
		for i, host := range d.hosts {
			endpoints = append(endpoints, host.endpoint(address(i)))
		}
		stubserver.WriteList(w, d.revision, endpoints)
	})
}

func (h *database) endpoint(address string) stubserver.Endpoint {
	endpoint := stubserver.Endpoint{ID: h.id, Address: address, Phase: "active"}
	if !h.drainAt.IsZero() {
		endpoint.Phase = "leaving"
	}
	if !h.startedAt.IsZero() {
		endpoint.StartedMs = h.startedAt.UnixMilli()
	}
	return endpoint
}

func (h *database) isPrimary() bool { return h == h.all.hosts[0] }

// countStatement counts a statement, and the rules that it breaks by coming now. The caller holds the lock.
func (h *database) countStatement(now time.Time) {
	counters := &h.all.counters
	counters.Served[h.id]++
	if !h.drainAt.IsZero() && now.Sub(h.drainAt) > drainGrace+drainSlack {
		counters.Drained++
	}
	if h.startedAt.IsZero() || now.Sub(h.startedAt) >= slowStartWindow {
		return
	}
	h.recent = append(h.recent, now)
	for now.Sub(h.recent[0]) > overloadWindow {
		h.recent = h.recent[1:]
	}
	capacity := slowStartShare + (1-slowStartShare)*now.Sub(h.startedAt).Seconds()/slowStartWindow.Seconds()
	if float64(len(h.recent)) > overloadMultiple*capacity*hostRate*overloadWindow.Seconds() {
		counters.Cold++
		h.recent = nil
	}
}

// write commits a value to a session's rows unless its key was used before. The caller holds the lock.
func (d *Databases) write(session, key string, value int, now time.Time) {
	usedAt, repeated := d.keysAt[key]
	if repeated && now.Sub(usedAt) > dedupWindow {
		d.counters.Doubled++
	}
	if !repeated {
		d.rows[session] = append(d.rows[session], version{value, now})
	}
	d.keysAt[key] = now
}

// read returns the largest value of a session that a host has applied. The caller holds the lock.
func (h *database) read(session string, now time.Time) int {
	largest := 0
	for _, v := range h.all.rows[session] {
		if h.isPrimary() || now.Sub(v.committedAt) >= h.all.lag {
			largest = max(largest, v.value)
		}
	}
	return largest
}

func (h *database) serve(conn net.Conn) {
	h.all.mutex.Lock()
	h.all.counters.Conns[h.id]++
	h.all.mutex.Unlock()
	out, err := stubserver.AcceptStartup(conn)
	if err != nil {
		return
	}
	session := &databaseSession{host: h, conn: conn, out: out}
	session.run()
}
