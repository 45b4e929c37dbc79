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

// gateway is one process, or the place of one.
type gateway struct {
	index         int
	name          string
	udpAddress    netip.AddrPort // of its UDP socket, the same after each start
	relay         *relayEndpoint
	hostRelays    []*hostRelay
	discovery     *http.Server
	clientAddress string // the clients' address
	cmd           *exec.Cmd
	generation    int
	ended         chan struct{}
	up            bool
	paused        bool
	duplicate     bool
	disturbances  []time.Time // when something was done to it
}

// upWithin is how long a gateway may take to start and to end.
const (
	startTimeout = 10 * time.Second
	stopTimeout  = 10 * time.Second
)

// add makes a gateway's place: its addresses, relays and discovery.
func (r *processRun) add(i int, duplicate bool) (*gateway, error) {
	g := &gateway{index: i, name: fmt.Sprintf("g%d", i), duplicate: duplicate}
	// An address of its own: a port that was free a moment ago may be given to the next one.
	const firstDuplicate = 200 // last byte of the address
	ip := r.ip.As4()
	ip[3] = byte(1 + i)
	if duplicate {
		ip[3] = byte(firstDuplicate + len(r.duplicates))
	}
	probe, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(netip.AddrFrom4(ip), 0)))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", g.name, err)
	}
	g.udpAddress = probe.LocalAddr().(*net.UDPAddr).AddrPort()
	stubserver.CloseQuietly(probe)
	if g.relay, err = r.relays.add(i, g.udpAddress); err != nil {
		return nil, err
	}
	for h := range r.databases.hosts {
		l, err := newHostRelay(r.databases.hosts[h].listener.Address)
		if err != nil {
			return nil, err
		}
		g.hostRelays = append(g.hostRelays, l)
	}
	if r.experiment.Fleet.Discovery {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		handler := r.databases.discovery(func(h int) string { return g.hostRelays[h].addr() })
		g.discovery = &http.Server{Handler: handler, Addr: listener.Addr().String()}
		go func() { _ = g.discovery.Serve(listener) }()
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if duplicate {
		r.duplicates = append(r.duplicates, g)
	} else {
		r.gateways = append(r.gateways, g)
	}
	return g, nil
}

// start starts a gateway's process and waits until it serves.
func (r *processRun) start(program string, g *gateway, first bool) error {
	path := filepath.Join(r.dir, fmt.Sprintf("%s-%d-%v.toml", g.name, g.generation, g.duplicate))
	r.mutex.Lock()
	text, err := r.config(g)
	r.mutex.Unlock()
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	if old := g.ended; old != nil { // SIGTERM: it has its time to end
		select {
		case <-old:
		case <-time.After(stopTimeout):
			return fmt.Errorf("%s did not end within %v", g.name, stopTimeout)
		}
	}
	cmd := exec.Command(program, "serve", "--config", path)
	cmd.Env = append(os.Environ(), "LB_CONFIG=", "LB_LISTEN_FD=", "LB_MANAGEMENT=")
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	started := make(chan error)
	r.spawn <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return fmt.Errorf("%s: %w", g.name, err)
	}
	ended, serving := make(chan struct{}), make(chan string, 1)
	r.mutex.Lock()
	g.cmd, g.ended = cmd, ended
	g.generation++
	if first { // no fault
		r.oracle.Apply(&Step{Do: Start, Who: g.index}, min(r.now(), 0))
	}
	r.mutex.Unlock()
	go r.readLog(g, out, serving)
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	select {
	case addr := <-serving:
		r.mutex.Lock()
		g.clientAddress, g.up, g.paused = addr, true, false
		r.mutex.Unlock()
		return nil
	case <-ended:
		return fmt.Errorf("%s did not start: %s", g.name, r.lastOutput(g))
	case <-time.After(startTimeout):
		_ = cmd.Process.Kill()
		return fmt.Errorf("%s did not serve within %v", g.name, startTimeout)
	}
}

// target is where a front would send a session's request now: to one gateway as long as it is up.
func (r *processRun) target(session int) (target, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for k := range r.gateways {
		g := r.gateways[(session+k)%len(r.gateways)]
		if !g.up || g.clientAddress == "" {
			continue
		}
		return target{address: g.clientAddress, process: fmt.Sprintf("%s-%d ", g.name, g.generation), disturbed: func(since time.Time) bool {
			r.mutex.Lock()
			defer r.mutex.Unlock()
			for _, m := range g.disturbances {
				if m.After(since.Add(-50 * time.Millisecond)) {
					return true
				}
			}
			return g.paused
		}}, true
	}
	return target{}, false
}

func (r *processRun) setPaused(g *gateway, on bool) {
	r.mutex.Lock()
	g.paused = on
	g.disturbances = append(g.disturbances, time.Now())
	r.mutex.Unlock()
}

func (r *processRun) signal(g *gateway, s syscall.Signal) {
	r.mutex.Lock()
	cmd, ended := g.cmd, g.ended
	r.mutex.Unlock()
	if cmd == nil {
		return
	}
	select {
	case <-ended:
	default:
		_ = cmd.Process.Signal(s)
	}
}

func (r *processRun) end(g *gateway) {
	r.signal(g, syscall.SIGKILL)
	if g.ended != nil {
		<-g.ended
	}
	for _, l := range g.hostRelays {
		l.close()
	}
	if g.discovery != nil {
		stubserver.CloseQuietly(g.discovery)
	}
}
