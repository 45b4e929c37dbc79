package faultsim

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"merlinjunction/internal/stubserver"
)

// StubHosts are the stub hosts of one group in the processes engine. The first one is the primary; the others apply its
// log after a lag. They implement the parts of the simple and the extended protocol that the gateway uses, and count
// violations of the rules.
type StubHosts struct {
	mutex    sync.Mutex
	hosts    []*stubHost
	lag      time.Duration
	rows     map[string][]rowVersion // by session, oldest first
	keysAt   map[string]time.Time    // when each idempotency key was last used
	revision int                     // of the endpoint list
	changed  chan struct{}           // closed with the next revision
	counters HostCounters
}

// rowVersion is one committed write.
type rowVersion struct {
	value       int
	committedAt time.Time
}

// HostCounters count events over all stub hosts.
type HostCounters struct {
	Served               map[string]int // statements, by host
	Conns                map[string]int // connections accepted, by host
	DuplicateWrites      int            // writes that ran again past the deduplication window
	StatementsAfterDrain int            // statements past the grace period of their host's drain
	Overloads            int            // of hosts in slow start
}

// stubHost is one stub host.
type stubHost struct {
	id        string
	all       *StubHosts
	listener  *stubserver.Listener
	drainAt   time.Time   // zero: it is not draining
	startedAt time.Time   // zero: long ago
	recent    []time.Time // statements within the last overloadWindow, in slow start
}

// The rules that the stub hosts check. The gateways are configured with the same values.
const (
	drainGrace       = 2 * time.Second
	drainSlack       = 150 * time.Millisecond // for the delay of a watch event
	dedupWindow      = 2 * time.Second
	slowStartWindow  = 5 * time.Second
	slowStartShare   = 0.2   // share of its capacity that a host has at its start
	hostRate         = 400.0 // statements per second that a host handles at full capacity
	overloadMultiple = 2.5
	overloadWindow   = time.Second
)

// newStubHosts starts hosts of one group with a replication lag.
func newStubHosts(count int, lag time.Duration) (*StubHosts, error) {
	s := &StubHosts{
		lag:      lag,
		rows:     map[string][]rowVersion{},
		keysAt:   map[string]time.Time{},
		changed:  make(chan struct{}),
		counters: HostCounters{Served: map[string]int{}, Conns: map[string]int{}},
	}
	for i := range count {
		host := &stubHost{id: fmt.Sprintf("h%d", i), all: s}
		host.listener = stubserver.NewListener(host.serve)
		s.hosts = append(s.hosts, host)
		if err := host.open(); err != nil {
			s.close()
			return nil, err
		}
	}
	return s, nil
}

func (h *stubHost) open() error {
	if err := h.listener.Open(); err != nil {
		return fmt.Errorf("host %s: %w", h.id, err)
	}
	return nil
}

func (s *StubHosts) close() {
	for i := range s.hosts {
		s.kill(i)
	}
}

// kill ends a host: its connections are reset, and new ones are refused.
func (s *StubHosts) kill(i int) {
	s.hosts[i].listener.Close()
	s.hosts[i].listener.ResetConns()
}

// start starts a host that was killed, at its old address and in slow start.
func (s *StubHosts) start(i int) error {
	host := s.hosts[i]
	if err := host.open(); err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	host.startedAt, host.drainAt, host.recent = time.Now(), time.Time{}, nil
	s.publish()
	return nil
}

// drain publishes that a host is draining.
func (s *StubHosts) drain(i int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.hosts[i].drainAt = time.Now()
	s.publish()
}

// publish makes a new revision of the endpoint list and answers the waiting watches. The caller holds the lock.
func (s *StubHosts) publish() {
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
}

// discovery serves the endpoint list as one gateway sees it: each host at the address of the gateway's own relay.
func (s *StubHosts) discovery(address func(host int) string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		stubserver.AwaitChange(r, func(since int) (bool, <-chan struct{}) {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			return s.revision > since, s.changed
		})
		s.mutex.Lock()
		defer s.mutex.Unlock()
		var endpoints []stubserver.Endpoint
		for i, host := range s.hosts {
			endpoints = append(endpoints, host.endpoint(address(i)))
		}
		stubserver.WriteList(w, s.revision, endpoints)
	})
}

func (h *stubHost) endpoint(address string) stubserver.Endpoint {
	endpoint := stubserver.Endpoint{ID: h.id, Address: address, Phase: "active"}
	if !h.drainAt.IsZero() {
		endpoint.Phase = "leaving"
	}
	if !h.startedAt.IsZero() {
		endpoint.StartedMs = h.startedAt.UnixMilli()
	}
	return endpoint
}

func (h *stubHost) isPrimary() bool { return h == h.all.hosts[0] }

// countStatement counts a statement, and the rules that it violates at this time. The caller holds the lock.
func (h *stubHost) countStatement(now time.Time) {
	counters := &h.all.counters
	counters.Served[h.id]++
	if !h.drainAt.IsZero() && now.Sub(h.drainAt) > drainGrace+drainSlack {
		counters.StatementsAfterDrain++
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
		counters.Overloads++
		h.recent = nil
	}
}

// write commits a value to a session's rows unless its key was used before. The caller holds the lock.
func (s *StubHosts) write(session, key string, value int, now time.Time) {
	usedAt, repeated := s.keysAt[key]
	if repeated && now.Sub(usedAt) > dedupWindow {
		s.counters.DuplicateWrites++
	}
	if !repeated {
		s.rows[session] = append(s.rows[session], rowVersion{value, now})
	}
	s.keysAt[key] = now
}

// read returns the largest value of a session that a host has applied. The caller holds the lock.
func (h *stubHost) read(session string, now time.Time) int {
	largest := 0
	for _, row := range h.all.rows[session] {
		if h.isPrimary() || now.Sub(row.committedAt) >= h.all.lag {
			largest = max(largest, row.value)
		}
	}
	return largest
}

// serve answers one connection until it ends.
func (h *stubHost) serve(conn net.Conn) {
	h.all.mutex.Lock()
	h.all.counters.Conns[h.id]++
	h.all.mutex.Unlock()
	out, err := stubserver.AcceptStartup(conn)
	if err != nil {
		return
	}
	session := &hostSession{host: h, conn: conn, out: out}
	session.run()
}
