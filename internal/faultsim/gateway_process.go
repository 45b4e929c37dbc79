package faultsim

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"merlinjunction/internal/stubserver"
)

// gatewayProcess is one gateway with its addresses and relays, and its current process. It stays the same when a step ends
// the process and starts another one.
type gatewayProcess struct {
	index      int
	name       string
	udpAddress netip.AddrPort // listen address of its membership protocol, the same for each process
	relay      *datagramRelay
	hostRelays []*hostRelay // indexed by host
	discovery  *http.Server // nil: its configuration file lists the hosts
	duplicate  bool         // a second process under the name of another gateway

	clientAddress string // address of its client listener; empty: it has never served
	cmd           *exec.Cmd
	generation    int           // number of processes started so far
	exited        chan struct{} // closed when the process has exited; nil: no process was started
	expectedUp    bool          // it has served, and no step has ended it since
	paused        bool
	interruptions []time.Time // when a step killed, paused or resumed the process
}

const (
	startTimeout = 10 * time.Second
	stopTimeout  = 10 * time.Second
	// interruptionSlack covers the time between a step and its entry in interruptions.
	interruptionSlack = 50 * time.Millisecond
	// firstDuplicateIPByte is the last byte of the first duplicate's IP address.
	firstDuplicateIPByte = 200
)

// addGateway creates a gateway with its addresses, relays and discovery service. It starts no process.
func (r *processRun) addGateway(index int, duplicate bool) (*gatewayProcess, error) {
	gateway := &gatewayProcess{index: index, name: fmt.Sprintf("g%d", index), duplicate: duplicate}
	var err error
	if gateway.udpAddress, err = r.freeUDPAddress(gateway); err != nil {
		return nil, fmt.Errorf("gateway %s: cannot find a free UDP port: %w", gateway.name, err)
	}
	if gateway.relay, err = r.relays.add(index, gateway.udpAddress); err != nil {
		return nil, err
	}
	for _, host := range r.hosts.hosts {
		relay, err := newHostRelay(host.listener.Address)
		if err != nil {
			return nil, err
		}
		gateway.hostRelays = append(gateway.hostRelays, relay)
	}
	if r.experiment.Fleet.Discovery {
		if err := r.serveDiscovery(gateway); err != nil {
			return nil, err
		}
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if duplicate {
		r.duplicates = append(r.duplicates, gateway)
	} else {
		r.gateways = append(r.gateways, gateway)
	}
	return gateway, nil
}

// freeUDPAddress returns an address with a free port. The port is not in use until the gateway binds it, so the system could
// assign it to the next gateway as well. Each gateway therefore has an IP address of its own.
func (r *processRun) freeUDPAddress(gateway *gatewayProcess) (netip.AddrPort, error) {
	ip := r.ip.As4()
	ip[3] = byte(1 + gateway.index)
	if gateway.duplicate {
		ip[3] = byte(firstDuplicateIPByte + len(r.duplicates))
	}
	anyPort := netip.AddrPortFrom(netip.AddrFrom4(ip), 0)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(anyPort))
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer stubserver.CloseQuietly(conn)
	return conn.LocalAddr().(*net.UDPAddr).AddrPort(), nil
}

// serveDiscovery starts a stub discovery service that lists the hosts at the addresses of the gateway's own relays.
func (r *processRun) serveDiscovery(gateway *gatewayProcess) error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	handler := r.hosts.discoveryHandler(func(host int) string { return gateway.hostRelays[host].address() })
	gateway.discovery = &http.Server{Handler: handler, Addr: listener.Addr().String()}
	go func() { _ = gateway.discovery.Serve(listener) }() // Serve returns when the server is closed
	return nil
}

// startProcess starts a new process of a gateway and waits until it serves. initial marks a start before the plan
// begins. startProcess reports only such a start to the oracle; applyStep reports the steps of the plan.
func (r *processRun) startProcess(gateway *gatewayProcess, initial bool) error {
	path, err := r.writeConfig(gateway)
	if err != nil {
		return err
	}
	if err := gateway.awaitExit(); err != nil {
		return err
	}
	cmd := exec.Command(r.program, "serve", "--config", path)
	cmd.Env = append(os.Environ(), "LB_CONFIG=", "LB_LISTEN_FD=", "LB_MANAGEMENT=")
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	output, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := r.spawner.Start(cmd); err != nil {
		return fmt.Errorf("gateway %s: cannot start its process: %w", gateway.name, err)
	}
	exited, serving := make(chan struct{}), make(chan string, 1)
	r.mutex.Lock()
	gateway.cmd, gateway.exited = cmd, exited
	gateway.generation++
	if initial {
		r.oracle.Apply(&Step{Operation: Start, Target: gateway.index}, min(r.now(), 0))
	}
	r.mutex.Unlock()
	go r.readLog(gateway, output, serving)
	go func() {
		_ = cmd.Wait() // the exit status is not used: a step or the end of the run kills most processes
		close(exited)
	}()
	return r.awaitServing(gateway, cmd.Process, exited, serving)
}

// writeConfig writes the configuration file of a gateway's next process and returns its path.
func (r *processRun) writeConfig(gateway *gatewayProcess) (string, error) {
	name := fmt.Sprintf("%s-%d-%v.toml", gateway.name, gateway.generation, gateway.duplicate)
	path := filepath.Join(r.dir, name)
	r.mutex.Lock()
	text, err := r.renderConfig(gateway)
	r.mutex.Unlock()
	if err != nil {
		return "", err
	}
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// awaitExit waits until the previous process has exited, since a step may just have sent it SIGTERM.
func (g *gatewayProcess) awaitExit() error {
	if g.exited == nil {
		return nil
	}
	select {
	case <-g.exited:
		return nil
	case <-time.After(stopTimeout):
		return fmt.Errorf("gateway %s did not exit within %v", g.name, stopTimeout)
	}
}

// awaitServing waits until a gateway's process has logged the address of its client listener.
func (r *processRun) awaitServing(
	gateway *gatewayProcess, process *os.Process, exited <-chan struct{}, serving <-chan string,
) error {
	select {
	case address := <-serving:
		r.mutex.Lock()
		gateway.clientAddress, gateway.expectedUp, gateway.paused = address, true, false
		r.mutex.Unlock()
		return nil
	case <-exited:
		return fmt.Errorf("gateway %s exited before it served, its last output is %q", gateway.name, r.lastOutput(gateway))
	case <-time.After(startTimeout):
		_ = process.Kill() // an error means that the process has exited
		return fmt.Errorf("gateway %s did not serve within %v", gateway.name, startTimeout)
	}
}

// route returns the endpoint for a session, or false if no gateway is up. A session stays at one gateway while that is up.
func (r *processRun) route(session int) (gatewayEndpoint, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for offset := range r.gateways {
		gateway := r.gateways[(session+offset)%len(r.gateways)]
		if gateway.expectedUp && gateway.clientAddress != "" {
			return gatewayEndpoint{
				address:     gateway.clientAddress,
				process:     fmt.Sprintf("%s-%d ", gateway.name, gateway.generation),
				interrupted: func(since time.Time) bool { return r.wasInterrupted(gateway, since) },
			}, true
		}
	}
	return gatewayEndpoint{}, false
}

// wasInterrupted reports whether a step has killed, paused or resumed a gateway's process since a time, or the gateway is
// paused now.
func (r *processRun) wasInterrupted(gateway *gatewayProcess, since time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, at := range gateway.interruptions {
		if at.After(since.Add(-interruptionSlack)) {
			return true
		}
	}
	return gateway.paused
}

func (r *processRun) setPaused(gateway *gatewayProcess, paused bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	gateway.paused = paused
	gateway.interruptions = append(gateway.interruptions, time.Now())
}

// signal sends a signal to a gateway's process unless it has exited.
func (r *processRun) signal(gateway *gatewayProcess, signal syscall.Signal) {
	r.mutex.Lock()
	cmd, exited := gateway.cmd, gateway.exited
	r.mutex.Unlock()
	if cmd == nil {
		return
	}
	select {
	case <-exited:
	default:
		_ = cmd.Process.Signal(signal) // an error means that the process has just exited
	}
}

// closeGateway kills a gateway's process, and closes its relays to hosts and its discovery service.
func (r *processRun) closeGateway(gateway *gatewayProcess) {
	r.signal(gateway, syscall.SIGKILL)
	if gateway.exited != nil {
		<-gateway.exited
	}
	for _, relay := range gateway.hostRelays {
		relay.close()
	}
	if gateway.discovery != nil {
		stubserver.CloseQuietly(gateway.discovery)
	}
}
