package faultsim

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"os"
	"sync"
	"time"
)

// errClockSteps rejects an experiment with clock faults, which the processes engine does not support.
var errClockSteps = errors.New(
	"the processes engine does not support clock faults: stepping a process's clock needs privileges that it does not request")

// processRun is one run of the processes engine.
type processRun struct {
	experiment           *Experiment
	options              Options
	program              string     // path of the gateway program
	dir                  string     // directory of the gateways' configuration files
	ip                   netip.Addr // loopback network of the gateways' UDP addresses; its last byte is set for each gateway
	relays               *DatagramRelays
	hosts                *StubHosts
	loadGenerator        *loadGenerator
	secondZero           time.Time // start of the plan, after the fleet has settled
	spawner              *Spawner
	holdUps              *holdUpMonitor
	steadyBytesPerSecond float64     // sent by the busiest gateway before the first fault; NaN: not measured
	bytesAtSecondZero    map[int]int // bytes sent before second 0, by gateway

	// mutex guards the fields below, and the fields of the gateways that change after their creation.
	mutex      sync.Mutex
	oracle     *Oracle
	gateways   []*gatewayProcess
	duplicates []*gatewayProcess
	result     *Result
	err        error // first error of a background goroutine, or else the first crash
}

// RunProcesses runs an experiment with real processes of the gateway program at a path. It signals only processes that
// it started. If the calling process is killed, the kernel kills them. An error means that the experiment can't be planned
// for this engine, or that a gateway did not start, did not exit or crashed.
func RunProcesses(experiment *Experiment, program string, options Options) (*Result, error) {
	hosts := hostSet{count: experiment.Hosts.Count, protected: 1}
	steps, err := options.prepare(experiment, experiment.Fleet.Processes, hosts)
	if err != nil {
		return nil, err
	}
	for _, step := range steps {
		if step.Operation == StepClock {
			return nil, fmt.Errorf("%s: %w", experiment.Path, errClockSteps)
		}
	}
	dir, err := os.MkdirTemp("", "faultsim-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }() // a directory that remains is in the system's temporary directory
	run := newProcessRun(experiment, program, dir, options)
	startedAt := time.Now()
	err = run.execute(steps)
	run.shutDown()
	run.result.Duration = time.Since(startedAt)
	if err == nil {
		err = run.err
	}
	return run.result, err
}

func newProcessRun(experiment *Experiment, program, dir string, options Options) *processRun {
	network := NewNetwork(experiment.Fleet.Zones, &experiment.Network)
	return &processRun{
		experiment:           experiment,
		options:              options,
		program:              program,
		dir:                  dir,
		ip:                   randomLoopback(),
		relays:               newDatagramRelays(network, options.Seed),
		spawner:              NewSpawner(),
		holdUps:              newHoldUpMonitor(),
		steadyBytesPerSecond: math.NaN(),
		oracle:               NewOracle(options.Gateways, network),
		result: &Result{
			Experiment: experiment.Name,
			Engine:     EngineProcesses,
			Seed:       options.Seed,
			Gateways:   options.Gateways,
		},
	}
}

// randomLoopback returns a random loopback address with the last byte 0, which each gateway replaces by its own. Random
// addresses keep concurrent runs from binding each other's ports.
func randomLoopback() netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(64 + rand.IntN(64)), byte(rand.IntN(250)), 0})
}

// now returns the time in ms since second 0.
func (r *processRun) now() float64 { return float64(time.Since(r.secondZero).Microseconds()) / 1000 }

// sleepUntil waits until a time in seconds since second 0.
func (r *processRun) sleepUntil(seconds float64) {
	time.Sleep(time.Until(r.secondZero.Add(secondsToDuration(seconds))))
}

// execute starts the hosts and gateways, carries out the steps while sending the load, and collects the result.
func (r *processRun) execute(steps []Step) error {
	var err error
	lag := millisecondsToDuration(r.experiment.Hosts.LagMs)
	if r.hosts, err = newStubHosts(r.experiment.Hosts.Count, lag); err != nil {
		return err
	}
	r.hosts.holdUps = r.holdUps
	if err := r.startGateways(); err != nil {
		return err
	}
	r.loadGenerator = newLoadGenerator(r.route)
	r.loadGenerator.holdUps = r.holdUps
	stop := make(chan struct{})
	var background sync.WaitGroup
	background.Add(2)
	go func() {
		defer background.Done()
		arrivals := r.experiment.Load.drawArrivals(r.experiment.Seconds, r.options.Seed)
		r.loadGenerator.sendRequests(r.secondZero, arrivals, stop)
	}()
	go func() {
		defer background.Done()
		r.sampleUntil(stop)
	}()
	err = r.executeSteps(steps)
	close(stop)
	background.Wait()
	r.finish()
	return err
}

// startGateways starts all gateways, evenly distributed over the fleet's spread, and waits until they serve.
func (r *processRun) startGateways() error {
	fleet, count := &r.experiment.Fleet, r.options.Gateways
	r.secondZero = time.Now().Add(secondsToDuration(fleet.Spread + fleet.Settle))
	for i := range count {
		if _, err := r.addGateway(i, false); err != nil {
			return err
		}
	}
	var starting sync.WaitGroup
	errs := make([]error, count)
	for i := range count {
		starting.Add(1)
		go func() {
			defer starting.Done()
			time.Sleep(secondsToDuration(fleet.Spread * float64(i) / float64(count)))
			errs[i] = r.startProcess(r.gateways[i], true)
		}()
	}
	starting.Wait()
	return errors.Join(errs...)
}

// executeSteps carries out the steps at their times and waits for the end of the experiment.
func (r *processRun) executeSteps(steps []Step) error {
	var starting sync.WaitGroup
	defer starting.Wait()
	r.sleepUntil(0)
	r.bytesAtSecondZero = r.relays.sentBytes()
	if len(steps) == 0 {
		r.sleepUntil(r.experiment.Seconds)
		r.measureSteadyTraffic(r.experiment.Seconds * 1000)
		return nil
	}
	for i := range steps {
		step := &steps[i]
		time.Sleep(time.Until(r.secondZero.Add(millisecondsToDuration(step.At))))
		if i == 0 {
			r.measureSteadyTraffic(step.At)
		}
		if err := r.applyStep(step, &starting); err != nil {
			return err
		}
	}
	r.sleepUntil(r.experiment.Seconds)
	return nil
}

// shutDown kills all processes and closes the hosts and relays.
func (r *processRun) shutDown() {
	r.mutex.Lock()
	gateways := append(append([]*gatewayProcess(nil), r.gateways...), r.duplicates...)
	r.mutex.Unlock()
	for _, gateway := range gateways {
		r.closeGateway(gateway)
	}
	r.spawner.Close()
	r.holdUps.stop()
	if r.hosts != nil {
		r.hosts.close()
	}
	r.relays.close()
}
