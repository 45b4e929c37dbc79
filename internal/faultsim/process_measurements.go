package faultsim

import (
	"fmt"
	"time"
)

// measureSteadyTraffic records the send rate of the busiest gateway between second 0 and a time in ms. It records nothing
// if that time is below minSteadyMs.
func (r *processRun) measureSteadyTraffic(untilMs float64) {
	if untilMs < minSteadyMs {
		return
	}
	r.steadyBytesPerSecond = 0
	for gateway, sent := range r.relays.sentBytes() {
		rate := float64(sent-r.bytesAtSecondZero[gateway]) / untilMs * 1000
		r.steadyBytesPerSecond = max(r.steadyBytesPerSecond, rate)
	}
}

// sampleUntil adds an entry to the result's series in each sample interval until stop is closed.
func (r *processRun) sampleUntil(stop <-chan struct{}) {
	ticker := time.NewTicker(sampleIntervalMs * time.Millisecond)
	defer ticker.Stop()
	previous := map[int]int{}
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		sent := r.relays.sentBytes()
		var traffic trafficSample
		for gateway, bytes := range sent {
			rate := float64(bytes-previous[gateway]) * 1000 / sampleIntervalMs
			traffic.bytesPerSecond += rate
			traffic.busiestBytesPerSecond = max(traffic.busiestBytesPerSecond, rate)
		}
		previous = sent
		r.mutex.Lock()
		r.result.Series.add(r.now()/1000, r.oracle, traffic, r.options.Progress)
		r.mutex.Unlock()
	}
}

// finish checks for crashed gateways, collects the measurements and evaluates the experiment's expectations.
func (r *processRun) finish() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.checkCrashes()
	r.oracle.Finish(r.now())
	figures := r.oracle.Measurements()
	r.result.Measurements = figures
	figures[FigureHeldUpMs] = float64(r.holdUps.between(r.secondZero, time.Now()).Milliseconds())
	figures[FigureBytesPerSecond] = r.steadyBytesPerSecond
	if r.loadGenerator.counts.Sent > 0 {
		r.measureRequests(figures)
	}
	r.result.Verdicts = r.experiment.Expect.Evaluate(figures)
}

// checkCrashes records an error if a gateway's process exited although no step of the plan ended it. The caller holds the
// lock.
func (r *processRun) checkCrashes() {
	for _, gateway := range r.gateways {
		if !gateway.expectedUp {
			continue
		}
		select {
		case <-gateway.exited:
			if r.err == nil {
				r.err = fmt.Errorf("gateway %s crashed, its last output is %q", gateway.name, r.lastOutput(gateway))
			}
		default:
		}
	}
}

// measureRequests adds the figures that the load generator and the stub hosts counted.
func (r *processRun) measureRequests(figures Measurements) {
	counts := &r.loadGenerator.counts
	counts.measure(r.result)
	figures[FigureP50Ms] = counts.latencyMs(50)
	figures[FigureSent] = float64(counts.Sent)
	figures[FigureServed] = float64(counts.Served)
	figures[FigureRejected] = float64(counts.Rejected)
	figures[FigureFailed] = float64(counts.Failed)
	figures[FigureExcused] = float64(counts.Excused)
	r.hosts.mutex.Lock()
	defer r.hosts.mutex.Unlock()
	counters := &r.hosts.counters
	figures[FigureDuplicateWrites] = float64(counters.DuplicateWrites)
	figures[FigureStatementsAfterDrain] = float64(counters.StatementsAfterDrain)
	figures[FigureOverloads] = float64(counters.Overloads)
	r.result.Hosts = counters.Statements
}
