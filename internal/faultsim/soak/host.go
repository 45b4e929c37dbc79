package soak

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"merlinjunction/internal/stubserver"
)

// hostFault is how a stub database host fails for some time.
type hostFault string

const (
	hostHealthy           hostFault = "healthy"
	hostRefusesConns      hostFault = "refuses"      // refuses new connections
	hostResetsConn        hostFault = "resets"       // executes a statement and then resets the connection
	hostHangs             hostFault = "hangs"        // answers no request until the fault ends
	hostClosesAfterAnswer hostFault = "closes-after" // closes the connection after an answer
	hostCutsAnswer        hostFault = "cuts-answers" // closes the connection between two messages of an answer
	hostSlow              hostFault = "slow"         // answers after slowAnswerDelay
	hostRejects           hostFault = "turns-away"   // answers requests with 53300
	hostReturnsErrors     hostFault = "errs"         // executes a statement and then answers with XX000
	hostSlowToAccept      hostFault = "slow-connect" // answers the startup message after a random delay
	hostRepeatsAnswer     hostFault = "repeats"      // sends an answer once more a moment later
)

// hostFaults are the faults that a run draws from.
var hostFaults = []hostFault{hostRefusesConns, hostResetsConn, hostHangs, hostClosesAfterAnswer, hostCutsAnswer, hostSlow,
	hostRejects, hostReturnsErrors, hostSlowToAccept, hostRepeatsAnswer}

// host is a stub database host.
type host struct {
	id       string
	group    int
	run      *run
	listener *stubserver.Listener

	mutex           sync.Mutex
	fault           hostFault
	faultEnded      chan struct{} // closed at the next change of fault
	primary         bool
	demotedAt       time.Time // when it last stopped being the primary; zero: never
	restartedAt     time.Time // when its last restart finished; zero: never restarted, up for a long time
	phase           string    // its phase in the endpoint list
	drainNotifiedAt time.Time // when the gateway was notified of its drain; zero: not yet
}

// The phases of a host in the endpoint list, under their names in the discovery protocol.
const (
	phaseActive   = "active"
	phaseDraining = "leaving"
)

func newHost(r *run, id string, group int, primary bool) *host {
	h := &host{
		id: id, group: group, run: r, fault: hostHealthy, faultEnded: make(chan struct{}), primary: primary, phase: phaseActive}
	h.listener = stubserver.NewListener(h.serve)
	return h
}

// setFault begins a fault. hostHealthy ends the present one.
func (h *host) setFault(next hostFault) error {
	h.mutex.Lock()
	previous := h.fault
	h.fault = next
	close(h.faultEnded)
	h.faultEnded = make(chan struct{})
	h.mutex.Unlock()
	switch {
	case next == hostRefusesConns:
		h.listener.Close()
	case previous == hostRefusesConns:
		return h.listener.Open()
	}
	return nil
}

// currentFault returns the present fault and a channel that is closed when it ends.
func (h *host) currentFault() (hostFault, <-chan struct{}) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.fault, h.faultEnded
}

// restart stands for a restart of the host's process: it resets all connections and accepts none for the downtime. The
// host keeps its ID, and its new start time in the endpoint list puts it into slow start.
func (h *host) restart(downtime time.Duration) error {
	h.listener.Close()
	h.listener.ResetConns()
	time.Sleep(downtime)
	h.mutex.Lock()
	h.restartedAt = time.Now()
	h.mutex.Unlock()
	return h.listener.Open()
}

func (h *host) isPrimary() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.primary
}

func (h *host) setPrimary(primary bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.primary && !primary {
		h.demotedAt = time.Now()
	}
	h.primary = primary
}

// appliedUpTo returns the time up to which the host has applied the commits of its group. A replica is behind by the
// replication lag. A demoted primary has applied at least the commits up to its demotion.
func (h *host) appliedUpTo() time.Time {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.primary {
		return time.Now()
	}
	lagging := time.Now().Add(-h.run.store.lag)
	if h.demotedAt.After(lagging) {
		return h.demotedAt
	}
	return lagging
}

// endpoint returns the host's entry of the endpoint list.
func (h *host) endpoint() stubserver.Endpoint {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	entry := stubserver.Endpoint{ID: h.id, Address: h.listener.Address(), Group: h.group, Phase: h.phase}
	if !h.restartedAt.IsZero() {
		entry.StartedMs = h.restartedAt.UnixMilli()
	}
	return entry
}

// drain marks the host as draining in the endpoint list. The discovery service records when the gateway is notified.
func (h *host) drain() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.phase = phaseDraining
}

// recordDrainNotified records when the gateway was notified of the host's drain. Only the first notification counts.
func (h *host) recordDrainNotified(at time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.phase == phaseDraining && h.drainNotifiedAt.IsZero() {
		h.drainNotifiedAt = at
	}
}

// serve answers the startup message and the statements of one connection until it ends.
func (h *host) serve(conn net.Conn) {
	if fault, faultEnded := h.currentFault(); fault == hostSlowToAccept {
		select {
		case <-faultEnded:
		case <-time.After(time.Duration(rand.IntN(400)) * time.Millisecond):
		}
	}
	out, err := stubserver.AcceptStartup(conn)
	if err != nil {
		return
	}
	session := &hostSession{host: h, conn: conn, out: out}
	session.serve()
}
