package soak

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"merlinjunction/internal/faultsim"
	"merlinjunction/internal/stubserver"
)

const (
	// SIGKILL is sent this long after the first SIGTERM: the longest deadline of the classes, capped at maxKillDeadlineMs,
	// plus killMargin.
	maxKillDeadlineMs = 3000.0
	killMargin        = 700 * time.Millisecond
	// halfWrittenTime is how long the configuration file stays half written.
	halfWrittenTime = 150 * time.Millisecond
	// leakCheckTimeout bounds the wait until the gateway has closed the descriptors that it opened for its clients.
	leakCheckTimeout = 12 * time.Second
	// spareDescriptors is the number of descriptors that a gateway without clients may have open in addition to those from
	// before the first client: its connection to discovery, and one connection that is being replaced. checkLeak also allows
	// one per host if the gateway polls the hosts for their role.
	spareDescriptors = 2
)

// run is the state of one run.
type run struct {
	seed       uint64
	deployment *deployment
	plan       *plan
	dir        string
	recorder   *recorder
	store      *store
	hosts      []*host
	discovery  *discovery
	gateway    *gateway

	mutex          sync.Mutex
	acks           map[string][]ack // by session; see recordAcknowledgedWrite
	discoveryIndex int              // index of the discovery address in the configuration file
	stopped        chan struct{}    // closed once all signals of the shutdown are sent
	leakViolation  string           // set by checkLeak
	stepErrors     error
}

// firstSurgeClient is the number of the first client of a surge. It is larger than the numbers of all other clients.
const firstSurgeClient = 1000

// ack is a write that was acknowledged to its client, with the time of the acknowledgement.
type ack struct {
	write *request
	at    time.Time
}

// Result is the outcome of a run.
type Result struct {
	Seed       uint64
	Deployment string   // summary of the drawn deployment
	Faults     string   // summary of the drawn faults and signals
	Figures    string   // counts of requests by outcome, attempts, and the gateway's peak use of descriptors and memory
	Violations []string // rules of the service that were broken; empty: none
}

// Run executes the run of a seed with the gateway program at a path. It returns an error if the run could not be carried
// out; broken rules are in the Result instead.
func Run(program string, seed uint64) (*Result, error) {
	d := newDraw(seed)
	deployed := drawDeployment(d)
	dir, err := os.MkdirTemp("", "soak-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }() // after an error the files remain in the system's temporary directory
	r := &run{
		seed:       seed,
		deployment: deployed,
		plan:       drawPlan(d, deployed),
		dir:        dir,
		recorder:   newRecorder(),
		store:      newStore(time.Duration(deployed.ReplicationLagMs * float64(time.Millisecond))),
		acks:       map[string][]ack{},
		stopped:    make(chan struct{}),
	}
	spawner := faultsim.NewSpawner()
	defer spawner.Close()
	defer r.close()
	if err := r.start(spawner, program); err != nil {
		return nil, err
	}
	r.execute(d)
	if r.stepErrors != nil {
		return nil, r.stepErrors
	}
	return &Result{
		Seed: seed, Deployment: deployed.summary(), Faults: r.plan.summary(), Figures: r.figures(), Violations: r.checkRules(),
	}, nil
}

// start starts the hosts, discovery and the gateway.
func (r *run) start(spawner *faultsim.Spawner, program string) error {
	for i := range r.deployment.Groups * r.deployment.HostsPerGroup {
		group := i / r.deployment.HostsPerGroup
		h := newHost(r, fmt.Sprintf("h%d", i), group, i%r.deployment.HostsPerGroup == 0)
		if err := h.listener.Open(); err != nil {
			return err
		}
		r.hosts = append(r.hosts, h)
	}
	var err error
	if r.discovery, err = newDiscovery(r); err != nil {
		return err
	}
	r.discovery.notifiedOnPublish = r.deployment.PushedLists && !r.deployment.Extended && !r.plan.delaysLists
	r.gateway, err = startGateway(spawner, program, r.dir, r.deployment, r.discovery.address(0))
	return err
}

// close kills the gateway if it still runs, and closes discovery and the hosts.
func (r *run) close() {
	if r.gateway != nil && r.gateway.running() {
		r.gateway.kill()
	}
	if r.discovery != nil {
		r.discovery.close()
	}
	for _, h := range r.hosts {
		h.listener.Close()
		h.listener.CloseConns()
	}
}

// execute runs the clients and the steps of the plan until the gateway's process has ended.
func (r *run) execute(d draw) {
	startedAt := time.Now()
	stopLoad := make(chan struct{})
	endLoad := sync.OnceFunc(func() { close(stopLoad) })
	var clients, steps sync.WaitGroup
	for i := range r.deployment.Connections {
		c := r.newClient(i, newDraw(d.Uint64()))
		clients.Go(func() { c.sendLoop(stopLoad) })
	}
	for _, next := range r.plan.steps {
		time.Sleep(time.Until(startedAt.Add(next.at)))
		if r.plan.leakCheck && next.at == r.plan.stopAt {
			endLoad()
			clients.Wait()
			r.checkLeak()
		}
		steps.Go(func() { r.addStepError(next.action(r)) })
	}
	<-r.stopped
	r.awaitProcessEnd()
	endLoad()
	clients.Wait()
	steps.Wait()
}

func (r *run) newClient(number int, d draw) *client {
	c := &client{run: r, draw: d, number: number, behavior: oneOf(d, clientBehaviors...), group: d.IntN(r.deployment.Groups)}
	if r.plan.hostsHangAtStop && d.chance(0.5) { // keeps connections open while the hosts hang
		c.behavior = clientOverlaps
	}
	for i := range max(maxPipeline, maxOverlap) {
		c.sessions = append(c.sessions, fmt.Sprintf("s%d-%d", number, i))
	}
	return c
}

// addStepError adds the error of a step to stepErrors. A nil error has no effect.
func (r *run) addStepError(err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.stepErrors = errors.Join(r.stepErrors, err)
}

// sendStopSignals sends the signals of the shutdown, with a pause after each.
func (r *run) sendStopSignals(signals []syscall.Signal, gap time.Duration) {
	defer close(r.stopped)
	for _, sent := range signals {
		r.gateway.signal(sent)
		time.Sleep(gap)
	}
}

// awaitProcessEnd waits until the gateway's process ends. It kills the process once the time that the platform grants for
// a shutdown has passed.
func (r *run) awaitProcessEnd() {
	longest := time.Duration(min(r.deployment.LongestDeadlineMs, maxKillDeadlineMs) * float64(time.Millisecond))
	select {
	case <-r.gateway.ended:
	case <-time.After(time.Until(r.gateway.sigtermTime().Add(longest + killMargin))):
		r.gateway.kill()
	}
}

// checkLeak waits until the gateway has no more descriptors open than it needs without clients, and records a violation
// if that takes longer than leakCheckTimeout.
func (r *run) checkLeak() {
	allowed := r.gateway.baseFDs + spareDescriptors
	if r.deployment.Extended && !r.deployment.HealthChecks { // the gateway polls each host for its role
		allowed += len(r.hosts)
	}
	for end := time.Now().Add(leakCheckTimeout); r.gateway.countFDs() > allowed; time.Sleep(sampleInterval) {
		if time.Now().After(end) {
			r.leakViolation = fmt.Sprintf("%d descriptors open without clients, %d before the first client, %d hosts",
				r.gateway.countFDs(), r.gateway.baseFDs, len(r.hosts))
			return
		}
	}
}

// reload writes the configuration file and sends SIGHUP. With movesDiscovery, the file names the other discovery address.
// With halfWritten, reload first writes only half of the file, sends SIGHUP and waits for halfWrittenTime.
func (r *run) reload(movesDiscovery, halfWritten bool) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if movesDiscovery {
		r.discoveryIndex = 1 - r.discoveryIndex
	}
	text := []byte(r.deployment.config(r.discovery.address(r.discoveryIndex)))
	if halfWritten {
		if err := os.WriteFile(r.gateway.configPath, text[:len(text)/2], 0o600); err != nil {
			return err
		}
		r.gateway.signal(syscall.SIGHUP)
		time.Sleep(halfWrittenTime)
	}
	if err := os.WriteFile(r.gateway.configPath, text, 0o600); err != nil {
		return err
	}
	r.gateway.signal(syscall.SIGHUP)
	return nil
}

const (
	surgeClients  = 6
	surgeRequests = 10  // per client, each on a new connection
	surgePauseMs  = 0.3 // between the requests of a client
)

// surge runs clients that open connections in quick succession. On each connection a client sends a request right after
// the startup message, without waiting for the answer to it.
func (r *run) surge() {
	var clients sync.WaitGroup
	for i := range surgeClients {
		c := r.newClient(firstSurgeClient+i, newDraw(r.seed+uint64(i)))
		c.behavior = clientReconnects
		clients.Go(func() { c.sendSurge(surgeRequests) })
	}
	clients.Wait()
}

// floodConnections opens connections on which nothing is sent, up to count or until the gateway accepts no more. It
// closes them when the gateway's process has ended.
func (r *run) floodConnections(count int) {
	var conns []net.Conn
	for range count {
		conn, err := net.DialTimeout("tcp4", r.gateway.address, 200*time.Millisecond)
		if err != nil {
			break
		}
		conns = append(conns, conn)
	}
	<-r.gateway.ended
	for _, conn := range conns {
		stubserver.CloseQuietly(conn)
	}
}

// setMinValue sets the smallest value that a read may return under the consistency of its class: the largest one of its
// session that was acknowledged by now or, for a bounded read, at least the maximum age ago. It is called before the request
// is sent.
func (r *run) setMinValue(sent *request) {
	now := time.Now()
	acknowledgedBy := now
	switch sent.class.Consistency {
	case consistencySession, consistencyFresh:
	case consistencyBounded:
		acknowledgedBy = now.Add(-time.Duration(sent.class.MaxAgeMs * float64(time.Millisecond)))
	default:
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, known := range r.acks[sent.session] {
		if !known.at.After(acknowledgedBy) && known.write.value > sent.minValue {
			sent.minValue, sent.minValueWrite = known.write.value, known.write
		}
	}
}

// recordAcknowledgedWrite records a write that was acknowledged to its client. Other requests have no effect.
func (r *run) recordAcknowledgedWrite(answered *request) {
	if answered.outcome != served || !answered.class.isWrite() {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.acks[answered.session] = append(r.acks[answered.session], ack{answered, answered.answeredAt})
}
