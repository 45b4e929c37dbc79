package faultsim

import (
	"math"

	"merlinjunction/internal/faultsim/model"
)

const (
	// minRequestsPerSecond is the smallest number of requests for which the served share of a second counts.
	minRequestsPerSecond = 50
	// unfinishedSeconds is the number of seconds at the end of a run whose requests may not have ended.
	unfinishedSeconds = 3
)

// steadyState holds the measurements up to the first fault, or up to the end if there are no faults.
type steadyState struct {
	untilMs          float64
	counters         model.Counters
	primaryConns     []float64 // connections, by primary
	replicaConns     []float64 // connections, by replica
	gatewayHostConns []float64 // connections to hosts, by gateway that is up
}

// peakCounts are the largest counts in one second after the first fault.
type peakCounts struct {
	handshakes, probes, polls, misdirected int
}

// recordSteadyState records the counters and the numbers of open connections at the end of the steady state.
func (s *requestSimulation) recordSteadyState() {
	s.steady.counters, s.steady.untilMs = s.world.Counters, s.Now()
	for _, host := range s.hosts {
		conns := float64(host.Conns())
		if host.Group.Primary == host {
			s.steady.primaryConns = append(s.steady.primaryConns, conns)
		} else {
			s.steady.replicaConns = append(s.steady.replicaConns, conns)
		}
	}
	for _, gateway := range s.gateways {
		if gateway.Up() {
			s.steady.gatewayHostConns = append(s.steady.gatewayHostConns, float64(gateway.Conns()))
		}
	}
}

// closeSecond announces loads and records peaks at the end of each second.
func (s *requestSimulation) closeSecond() {
	s.announceLoads()
	if s.Now() > s.emulation.firstFaultMs {
		s.recordPeaks()
	}
	s.closedCounters = s.world.Counters
	s.At(s.Now()+1000, s.closeSecond)
}

func (s *requestSimulation) recordPeaks() {
	if s.peaks == nil {
		s.peaks = &peakCounts{}
	}
	now, before := &s.world.Counters, &s.closedCounters
	s.peaks.handshakes = max(s.peaks.handshakes, now.Handshakes-before.Handshakes)
	s.peaks.probes = max(s.peaks.probes, now.Probes-before.Probes)
	s.peaks.polls = max(s.peaks.polls, now.Polls-before.Polls)
	s.peaks.misdirected = max(s.peaks.misdirected, now.Misdirected-before.Misdirected)
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}

// finish adds the measurements of the requests and the hosts to a result.
func (s *requestSimulation) finish(result *Result) {
	counters, figures := &s.world.Counters, result.Measurements
	s.steady.measure(figures)
	if s.peaks != nil {
		s.peaks.measure(figures)
	}
	figures[FigureHandshakes] = float64(counters.Handshakes)
	figures[FigureMisdirected] = float64(counters.Misdirected)
	figures[FigureOverloads] = float64(counters.Overloads)
	figures[FigureStatementsAfterDrain] = float64(counters.StatementsAfterDrain)
	figures[FigureDuplicateWrites] = float64(counters.DuplicateWrites)
	s.counts.measure(result)
	figures[FigureRejectedShare] = float64(s.counts.Rejected) / float64(max(1, s.counts.Sent-s.counts.Excused))
	figures[FigureWorstSecond] = s.worstServedShare()
	s.emulation.trace(
		uint64(s.counts.Served),
		uint64(s.counts.Rejected),
		uint64(counters.Handshakes),
		uint64(counters.Statements),
		uint64(counters.Probes))
}

func (s *steadyState) measure(figures Measurements) {
	figures[FigureHostConnsMean] = mean(s.replicaConns)
	figures[FigureHostConnsSpread] = largest(s.replicaConns) / mean(s.replicaConns)
	figures[FigurePrimaryConns] = mean(s.primaryConns)
	figures[FigureGatewayConns] = mean(s.gatewayHostConns)
	if seconds := s.untilMs / 1000; seconds >= 1 {
		figures[FigureProbesPerSecond] = float64(s.counters.Probes) / seconds
		figures[FigureHandshakesPerSecond] = float64(s.counters.Handshakes) / seconds
		figures[FigurePollsPerSecond] = float64(s.counters.Polls) / seconds
	}
}

func (p *peakCounts) measure(figures Measurements) {
	figures[FigureHandshakesPeak] = float64(p.handshakes)
	figures[FigureProbesPeak] = float64(p.probes)
	figures[FigurePollsPeak] = float64(p.polls)
	figures[FigureMisdirectedPeak] = float64(p.misdirected)
}

// worstServedShare returns the smallest served share of the requests of one second. It is infinite if no second had enough
// requests.
func (s *requestSimulation) worstServedShare() float64 {
	worst := math.Inf(1)
	end := int(s.emulation.experiment.Seconds) - unfinishedSeconds
	for second, counts := range s.seconds { // the order does not matter for the minimum
		if counts.sent >= minRequestsPerSecond && second < end {
			worst = min(worst, float64(counts.served)/float64(counts.sent))
		}
	}
	return worst
}
