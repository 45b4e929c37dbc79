package faultsim

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"os"
	"runtime"
	"sync"
	"time"
)

// processRun is one run of the processes engine.
type processRun struct {
	experiment           *Experiment
	options              Options
	dir                  string
	ip                   netip.Addr // of this run's gateways, so that nothing else binds their ports
	mutex                sync.Mutex // guards truth, gateways' lives and samples
	oracle               *Oracle
	relays               *Relays
	databases            *Databases
	gateways             []*gateway
	client               *client
	startedAt            time.Time // second 0
	spawn                chan func()
	err                  error
	steadyBytesPerSecond float64
	bytesAtStart         map[int]int
	result               *Result
	duplicates           []*gateway
}

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
	defer func() { _ = os.RemoveAll(dir) }() // in the system's folder for temporary files: left behind at worst
	network := NewNetwork(e.Fleet.Zones, &e.Network)
	r := &processRun{experiment: e, options: o, dir: dir, oracle: NewOracle(n, network), relays: newRelays(network, o.Seed), spawn: make(chan func()),
		steadyBytesPerSecond: math.NaN(), result: &Result{Experiment: e.Name, Engine: "processes", Seed: o.Seed, Gateways: n}}
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
func (r *processRun) spawner() {
	runtime.LockOSThread()
	for f := range r.spawn {
		f()
	}
}

func (r *processRun) now() float64 { return float64(time.Since(r.startedAt).Microseconds()) / 1000 }

func (r *processRun) play(program string, n int, steps []Step) error {
	var err error
	if r.databases, err = newDatabases(r.experiment.Hosts.Count, time.Duration(r.experiment.Hosts.LagMs*1e6)); err != nil {
		return err
	}
	fleet := &r.experiment.Fleet
	r.startedAt = time.Now().Add(time.Duration((fleet.Spread + fleet.Settle) * 1e9))
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
			errs[i] = r.start(program, r.gateways[i], true)
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
		r.client.play(r.startedAt, r.experiment.Load.draw(r.experiment.Seconds, r.options.Seed), stop)
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
func (r *processRun) timeline(program string, steps []Step) error {
	var ends sync.WaitGroup
	defer ends.Wait()
	first := math.Inf(1)
	if len(steps) > 0 {
		first = steps[0].At
	}
	time.Sleep(time.Until(r.startedAt))
	r.bytesAtStart = r.relays.sent()
	if len(steps) == 0 {
		time.Sleep(time.Duration(r.experiment.Seconds * 1e9))
		r.measureSteadyTraffic(r.experiment.Seconds * 1000)
		return nil
	}
	for i := range steps {
		s := &steps[i]
		time.Sleep(time.Until(r.startedAt.Add(time.Duration(s.At * 1e6))))
		if i == 0 {
			r.measureSteadyTraffic(first)
		}
		if err := r.step(program, s, &ends); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(r.startedAt.Add(time.Duration(r.experiment.Seconds * 1e9))))
	return nil
}

func (r *processRun) measureSteadyTraffic(ms float64) {
	if ms < 1000 {
		return
	}
	r.steadyBytesPerSecond = 0
	for i, b := range r.relays.sent() {
		r.steadyBytesPerSecond = max(r.steadyBytesPerSecond, float64(b-r.bytesAtStart[i])/ms*1000)
	}
}

func (r *processRun) sampler(stop <-chan struct{}) {
	tick := time.NewTicker(sampleIntervalMs * time.Millisecond)
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
			d := float64(b-before[i]) * 1000 / sampleIntervalMs
			sum += d
			busiest = max(busiest, d)
		}
		before = sent
		r.mutex.Lock()
		r.result.Series.add(r.now()/1000, r.oracle, sum, busiest, r.options.Progress)
		r.mutex.Unlock()
	}
}

// finish collects the measurements. A gateway that ended by itself is a crash.
func (r *processRun) finish() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, g := range r.gateways {
		if g.up {
			select {
			case <-g.ended:
				if r.err == nil {
					r.err = fmt.Errorf("%s crashed: %s", g.name, r.lastOutput(g))
				}
			default:
			}
		}
	}
	r.oracle.Finish(r.now())
	f := r.oracle.Measurements()
	f["bytes_s"] = r.steadyBytesPerSecond
	if y := &r.client.tally; y.Sent > 0 {
		y.measure(r.result, f)
		f["p50_ms"] = float64(y.Latency.ValueAtQuantile(50)) / 1000
		f["sent"], f["served"], f["refused"], f["failed"], f["excused"] = float64(y.Sent), float64(y.Served), float64(y.Refused),
			float64(y.Failed), float64(y.Excused)
		r.databases.mutex.Lock()
		b := &r.databases.counters
		f["doubled"], f["drained"], f["cold"] = float64(b.Doubled), float64(b.Drained), float64(b.Cold)
		r.result.Hosts = b.Served
		r.databases.mutex.Unlock()
	}
	r.result.Measurements = f
	r.result.Verdicts = r.experiment.Expect.Judge(f)
}

// close ends all that was started, by process.
func (r *processRun) close() {
	r.mutex.Lock()
	gates := append(append([]*gateway(nil), r.gateways...), r.duplicates...)
	r.mutex.Unlock()
	for _, g := range gates {
		r.end(g)
	}
	close(r.spawn)
	if r.databases != nil {
		r.databases.close()
	}
	r.relays.close()
}
