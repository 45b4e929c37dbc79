package faultsim

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"merlinjunction/membership"
)

// rig is one run of the processes engine.
type rig struct {
	e      *Experiment
	opt    Options
	dir    string
	ip     netip.Addr // of this run's gateways, so that nothing else binds their ports
	mu     sync.Mutex // guards truth, gateways' lives and samples
	truth  *Oracle
	relays *Relays
	data   *Databases
	gates  []*gateway
	client *client
	begin  time.Time // second 0
	spawn  chan func()
	err    error
	quiet  float64
	steady map[int]int
	result *Result
	twins  []*gateway
}

// gateway is one process, or the place of one.
type gateway struct {
	index  int
	name   string
	own    netip.AddrPort // of its UDP socket, the same after each start
	front  *front
	links  []*link
	disco  *http.Server
	listen string // the clients' address
	cmd    *exec.Cmd
	life   int
	ended  chan struct{}
	up     bool
	paused bool
	twin   bool
	marks  []time.Time // when something was done to it
}

// upWithin is how long a gateway may take to start and to end.
const (
	upWithin   = 10 * time.Second
	downWithin = 10 * time.Second
)

// Processes plays an experiment with real processes of the program at a path. It ends only what it started, and what it
// started ends with it.
func Processes(e *Experiment, program string, o Options) (*Result, error) {
	steps, err := o.prepare(e, e.Fleet.Processes, e.Hosts.Count, 1)
	if err != nil {
		return nil, err
	}
	n := o.Gateways
	for _, s := range steps {
		if s.Do == Clock {
			return nil, fmt.Errorf("%s: the clocks of processes can't be stepped without rights that this engine does not ask for", e.Path)
		}
	}
	dir, err := os.MkdirTemp("", "faultsim-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	network := NewNetwork(e.Fleet.Zones, &e.Network)
	r := &rig{e: e, opt: o, dir: dir, truth: NewOracle(n, network), relays: newRelays(network, o.Seed), spawn: make(chan func()),
		quiet: math.NaN(), result: &Result{Experiment: e.Name, Engine: "processes", Seed: o.Seed, Gateways: n}}
	r.ip = netip.AddrFrom4([4]byte{127, byte(64 + rand.IntN(64)), byte(rand.IntN(250)), 0})
	go r.spawner()
	begun := time.Now()
	err = r.play(program, n, steps)
	r.close()
	r.result.Took = time.Since(begun)
	if err == nil {
		err = r.err
	}
	return r.result, err
}

// spawner starts processes from one thread that lives as long as the run: the system ends a child with the thread that
// started it.
func (r *rig) spawner() {
	runtime.LockOSThread()
	for f := range r.spawn {
		f()
	}
}

func (r *rig) now() float64 { return float64(time.Since(r.begin).Microseconds()) / 1000 }

func (r *rig) play(program string, n int, steps []Step) error {
	var err error
	if r.data, err = newDatabases(r.e.Hosts.Count, time.Duration(r.e.Hosts.LagMs*1e6)); err != nil {
		return err
	}
	fleet := &r.e.Fleet
	r.begin = time.Now().Add(time.Duration((fleet.Spread + fleet.Settle) * 1e9))
	for i := range n {
		if _, err := r.add(i, false); err != nil {
			return err
		}
	}
	var starting sync.WaitGroup
	errs := make([]error, n)
	for i := range n {
		starting.Add(1)
		go func() {
			defer starting.Done()
			time.Sleep(time.Duration(fleet.Spread * float64(i) / float64(n) * 1e9))
			errs[i] = r.start(program, r.gates[i], true)
		}()
	}
	starting.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	r.client = newClient(r.target)
	stop := make(chan struct{})
	var playing sync.WaitGroup
	playing.Add(2)
	go func() {
		defer playing.Done()
		r.client.play(r.begin, r.e.Load.draw(r.e.Seconds, r.opt.Seed), stop)
	}()
	go func() {
		defer playing.Done()
		r.sampler(stop)
	}()
	err = r.timeline(program, steps)
	close(stop)
	playing.Wait()
	r.finish()
	return err
}

// timeline carries out the steps at their times and waits for the end.
func (r *rig) timeline(program string, steps []Step) error {
	var ends sync.WaitGroup
	defer ends.Wait()
	first := math.Inf(1)
	if len(steps) > 0 {
		first = steps[0].At
	}
	time.Sleep(time.Until(r.begin))
	r.steady = r.relays.sent()
	if len(steps) == 0 {
		time.Sleep(time.Duration(r.e.Seconds * 1e9))
		r.measureQuiet(r.e.Seconds * 1000)
		return nil
	}
	for i := range steps {
		s := &steps[i]
		time.Sleep(time.Until(r.begin.Add(time.Duration(s.At * 1e6))))
		if i == 0 {
			r.measureQuiet(first)
		}
		if err := r.step(program, s, &ends); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(r.begin.Add(time.Duration(r.e.Seconds * 1e9))))
	return nil
}

func (r *rig) measureQuiet(ms float64) {
	if ms < 1000 {
		return
	}
	r.quiet = 0
	for i, b := range r.relays.sent() {
		r.quiet = max(r.quiet, float64(b-r.steady[i])/ms*1000)
	}
}

func (r *rig) step(program string, s *Step, ends *sync.WaitGroup) error {
	r.opt.Log.Info("step", zap.Float64("ms", r.now()), zap.String("do", s.Do.String()), zap.Int("who", s.Who), zap.Bool("undo", s.Undo))
	switch s.Do {
	case HostDrain:
		r.data.drain(s.Who)
		return nil
	case HostKill:
		r.data.kill(s.Who)
		return nil
	case HostStart:
		return r.data.start(s.Who)
	case HostCut:
		for _, h := range s.To {
			r.gates[s.Who].links[h].setCut(!s.Undo)
		}
		return nil
	case Cut, Change:
		r.relays.apply(s)
	}
	r.mu.Lock()
	if s.Do == Start && s.Who == len(r.gates) {
		r.mu.Unlock()
		if _, err := r.add(s.Who, false); err != nil {
			return err
		}
		r.mu.Lock()
	}
	r.truth.Apply(s, r.now())
	var g *gateway
	if s.Do != Change {
		g = r.gates[s.Who]
		if s.Do == Kill || s.Do == Pause || s.Do == Resume {
			g.marks = append(g.marks, time.Now())
		}
	}
	r.mu.Unlock()
	switch s.Do {
	case Start:
		ends.Add(1)
		go func() {
			defer ends.Done()
			if err := r.start(program, g, false); err != nil {
				r.fail(err)
			}
		}()
	case Kill:
		r.signal(g, syscall.SIGKILL)
		r.mu.Lock()
		g.up = false
		r.mu.Unlock()
	case Term:
		r.mu.Lock()
		g.up = false
		r.mu.Unlock()
		r.signal(g, syscall.SIGTERM)
	case Pause:
		r.setPaused(g, true)
		r.signal(g, syscall.SIGSTOP)
	case Resume:
		r.signal(g, syscall.SIGCONT)
		r.setPaused(g, false)
	case Twin:
		t, err := r.add(s.Who, true)
		if err != nil {
			return err
		}
		return r.start(program, t, false)
	}
	return nil
}

func (r *rig) fail(err error) {
	r.mu.Lock()
	if r.err == nil {
		r.err = err
	}
	r.mu.Unlock()
}

func (r *rig) setPaused(g *gateway, on bool) {
	r.mu.Lock()
	g.paused = on
	g.marks = append(g.marks, time.Now())
	r.mu.Unlock()
}

func (r *rig) signal(g *gateway, s syscall.Signal) {
	r.mu.Lock()
	cmd, ended := g.cmd, g.ended
	r.mu.Unlock()
	if cmd == nil {
		return
	}
	select {
	case <-ended:
	default:
		_ = cmd.Process.Signal(s)
	}
}

// add makes a gateway's place: its addresses, relays and discovery.
func (r *rig) add(i int, twin bool) (*gateway, error) {
	g := &gateway{index: i, name: fmt.Sprintf("g%d", i), twin: twin}
	// An address of its own: a port that was free a moment ago may be given to the next one.
	ip := r.ip.As4()
	if ip[3] = byte(1 + i); twin {
		ip[3] = byte(200 + len(r.twins))
	}
	probe, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(netip.AddrFrom4(ip), 0)))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", g.name, err)
	}
	g.own = probe.LocalAddr().(*net.UDPAddr).AddrPort()
	probe.Close()
	if g.front, err = r.relays.add(i, g.own); err != nil {
		return nil, err
	}
	for h := range r.data.hosts {
		l, err := newLink(func() string {
			r.data.mu.Lock()
			defer r.data.mu.Unlock()
			return r.data.hosts[h].addr
		})
		if err != nil {
			return nil, err
		}
		g.links = append(g.links, l)
	}
	if r.e.Fleet.Discovery {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		g.disco = &http.Server{Handler: r.data.discovery(func(h int) string { return g.links[h].addr() }), Addr: ln.Addr().String()}
		go func() { _ = g.disco.Serve(ln) }()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if twin {
		r.twins = append(r.twins, g)
	} else {
		r.gates = append(r.gates, g)
	}
	return g, nil
}

// config is a gateway's operator's file.
func (r *rig) config(g *gateway) string {
	var b strings.Builder
	choices, told := "", len(r.gates)
	if w := r.opt.Choices.Wrong; w > 1 { // the program refuses a number past the count
		told = int(math.Round(w * float64(told)))
	}
	switch c := r.opt.Choices; c.By {
	case "members":
		choices = fmt.Sprintf("subset = %d\n", c.Subset)
	case "number":
		choices = fmt.Sprintf("subset = %d\nindex = %d\n", c.Subset, g.index+1)
	}
	fmt.Fprintf(&b, "name = %q\nlisten = \"127.0.0.1:0\"\nmanagement = \"127.0.0.1:0\"\ndescribe_class = \"read\"\n", g.name)
	if g.disco != nil {
		fmt.Fprintf(&b, "discovery = %q\n", g.disco.Addr)
	}
	var seeds []string
	for i := range min(r.e.Fleet.Seeds, len(r.gates)) {
		seeds = append(seeds, fmt.Sprintf("%q", r.gates[i].front.addr))
	}
	fmt.Fprintf(&b, `
[fleet]
name = "laboratory"
listen = %q
advertise = %q
zone = %q
message_version = %d
seeds = [%s]
keys = ["the laboratory's key, not a secret"]
networks = ["127.0.0.0/8"]

[hosts]
position_parameter = "replay_position"

[rules]
gateways = %d
%sdrain_grace_ms = %d
cold_share = %v
cold_ms = %d
tip_multiple = %v
tip_ms = %d

[[database]]
name = "main"
group = 0

[[class]]
name = "read"
need = "any"
effect = "safe"
aim_ms = 200
deadline_ms = %d

[[class]]
name = "own"
need = "session"
effect = "safe"
aim_ms = 200
deadline_ms = %d

[[class]]
name = "write"
need = "write"
effect = "keyed"
repeat_window_ms = %d
aim_ms = 600
deadline_ms = %d

[[statement]]
pattern = '''(?i)^insert into setpoints values \('(?P<session>[^']*)', '(?P<key>[^']*)\x27'''
class = "write"

[[statement]]
pattern = '''(?i)^select v from setpoints where greenhouse = '(?P<session>[^']*)\x27'''
class = "own"
`, g.own.String(), g.front.addr.String(), r.e.Fleet.zone(g.index), r.e.Fleet.version(g.index, r.result.Gateways), strings.Join(seeds, ", "), told, choices,
		drainGrace.Milliseconds(), coldShare, coldFor.Milliseconds(), tipMultiple, tipWindow.Milliseconds(),
		readDeadline.Milliseconds(), readDeadline.Milliseconds(), keyWindow.Milliseconds(), writeDeadline.Milliseconds())
	for h, l := range g.links {
		if g.disco == nil {
			fmt.Fprintf(&b, "\n[[host]]\nid = \"h%d\"\naddress = %q\ngroup = 0\nprimary = %v\n", h, l.addr(), h == 0)
		}
	}
	return b.String()
}

// start starts a gateway's process and waits until it serves.
func (r *rig) start(program string, g *gateway, first bool) error {
	path := filepath.Join(r.dir, fmt.Sprintf("%s-%d-%v.toml", g.name, g.life, g.twin))
	r.mu.Lock()
	text := r.config(g)
	r.mu.Unlock()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	if old := g.ended; old != nil { // SIGTERM: it has its time to end
		select {
		case <-old:
		case <-time.After(downWithin):
			return fmt.Errorf("%s did not end within %v", g.name, downWithin)
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
	r.mu.Lock()
	g.cmd, g.ended = cmd, ended
	g.life++
	if first { // no fault
		r.truth.Apply(&Step{Do: Start, Who: g.index}, min(r.now(), 0))
	}
	r.mu.Unlock()
	go r.follow(g, out, serving)
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	select {
	case addr := <-serving:
		r.mu.Lock()
		g.listen, g.up, g.paused = addr, true, false
		r.mu.Unlock()
		return nil
	case <-ended:
		return fmt.Errorf("%s did not start: %s", g.name, r.lastWords(g))
	case <-time.After(upWithin):
		_ = cmd.Process.Kill()
		return fmt.Errorf("%s did not serve within %v", g.name, upWithin)
	}
}

func (r *rig) lastWords(g *gateway) string {
	text, _ := os.ReadFile(filepath.Join(r.dir, g.name+".last"))
	return strings.TrimSpace(string(text))
}

// follow reads a process's log and tells the truth what it says of the others and of itself.
func (r *rig) follow(g *gateway, out io.Reader, serving chan<- string) {
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var l struct {
			Ts       float64 `json:"ts"`
			Msg      string  `json:"msg"`
			Listen   string  `json:"listen"`
			Member   string  `json:"member"`
			State    string  `json:"state"`
			Cause    string  `json:"cause"`
			Standing string  `json:"standing"`
			Part     bool    `json:"part"`
			Level    string  `json:"level"`
		}
		if err := json.Unmarshal(lines.Bytes(), &l); err != nil {
			_ = os.WriteFile(filepath.Join(r.dir, g.name+".last"), lines.Bytes(), 0o600)
			r.opt.Log.Info("says", zap.String("who", g.name), zap.ByteString("text", lines.Bytes()))
			continue
		}
		r.mu.Lock()
		ms := l.Ts - float64(r.begin.UnixMicro())/1000
		switch l.Msg {
		case "serving":
			serving <- l.Listen
		case "fleet: member":
			var of int
			if _, err := fmt.Sscanf(l.Member, "g%d", &of); err == nil && !g.twin {
				r.truth.Sees(g.index, of, stateOf(l.State), l.Cause, max(ms, -1000*(r.e.Fleet.Spread+r.e.Fleet.Settle)))
			}
			r.opt.Log.Info("sees", zap.Float64("ms", ms), zap.String("who", g.name), zap.String("of", l.Member), zap.String("state", l.State),
				zap.String("cause", l.Cause))
		case "fleet: standing":
			r.truth.Stands(g.index, standingOf(l.Standing))
			r.opt.Log.Info("stands", zap.Float64("ms", ms), zap.String("who", g.name), zap.String("standing", l.Standing), zap.String("cause", l.Cause))
		case "fleet: only a part is seen":
			if l.Part {
				r.truth.SeesPart(g.index)
			}
		default:
			r.opt.Log.Info("says", zap.Float64("ms", ms), zap.String("who", g.name), zap.ByteString("text", lines.Bytes()))
		}
		r.mu.Unlock()
	}
}

func stateOf(word string) membership.State {
	for s := membership.Alive; s <= membership.Left; s++ {
		if s.String() == word {
			return s
		}
	}
	return 0
}

func standingOf(word string) membership.Status {
	for s := membership.StatusJoining; s < membership.StatusLeft; s++ {
		if s.String() == word {
			return s
		}
	}
	return membership.StatusLeft
}

// target is where a front would send a session's request now: to one gateway as long as it is up.
func (r *rig) target(session int) (target, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k := range r.gates {
		g := r.gates[(session+k)%len(r.gates)]
		if !g.up || g.listen == "" {
			continue
		}
		return target{addr: g.listen, life: fmt.Sprintf("%s-%d ", g.name, g.life), disturbed: func(since time.Time) bool {
			r.mu.Lock()
			defer r.mu.Unlock()
			for _, m := range g.marks {
				if m.After(since.Add(-50 * time.Millisecond)) {
					return true
				}
			}
			return g.paused
		}}, true
	}
	return target{}, false
}

func (r *rig) sampler(stop <-chan struct{}) {
	tick := time.NewTicker(sampleMs * time.Millisecond)
	defer tick.Stop()
	before := map[int]int{}
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		sent := r.relays.sent()
		sum, busiest := 0.0, 0.0
		for i, b := range sent {
			d := float64(b-before[i]) * 1000 / sampleMs
			sum += d
			busiest = max(busiest, d)
		}
		before = sent
		r.mu.Lock()
		r.result.Series.add(r.now()/1000, r.truth, sum, busiest, r.opt.Progress)
		r.mu.Unlock()
	}
}

// finish closes the books. A gateway that ended by itself is a crash.
func (r *rig) finish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, g := range r.gates {
		if g.up {
			select {
			case <-g.ended:
				if r.err == nil {
					r.err = fmt.Errorf("%s crashed: %s", g.name, r.lastWords(g))
				}
			default:
			}
		}
	}
	r.truth.Finish(r.now())
	f := r.truth.Figures()
	f["bytes_s"] = r.quiet
	if y := &r.client.tally; y.Sent > 0 {
		y.figures(r.result, f)
		f["p50_ms"] = float64(y.Latency.ValueAtQuantile(50)) / 1000
		f["sent"], f["served"], f["refused"], f["failed"], f["excused"] = float64(y.Sent), float64(y.Served), float64(y.Refused),
			float64(y.Failed), float64(y.Excused)
		r.data.mu.Lock()
		b := &r.data.books
		f["doubled"], f["drained"], f["cold"] = float64(b.Doubled), float64(b.Drained), float64(b.Cold)
		r.result.Hosts = b.Served
		r.data.mu.Unlock()
	}
	r.result.Figures = f
	r.result.Verdicts = r.e.Expect.Judge(f)
}

// close ends all that was started, by process.
func (r *rig) close() {
	r.mu.Lock()
	gates := append(append([]*gateway(nil), r.gates...), r.twins...)
	r.mu.Unlock()
	for _, g := range gates {
		r.end(g)
	}
	close(r.spawn)
	if r.data != nil {
		r.data.close()
	}
	r.relays.close()
}

func (r *rig) end(g *gateway) {
	r.signal(g, syscall.SIGKILL)
	if g.ended != nil {
		<-g.ended
	}
	for _, l := range g.links {
		l.close()
	}
	if g.disco != nil {
		g.disco.Close()
	}
}
