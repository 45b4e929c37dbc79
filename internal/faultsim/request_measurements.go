package faultsim

import (
	"math"
)

// recordSteadyState takes down how things are before the first fault, or at the end.
func (s *requestSimulation) recordSteadyState() {
	s.steadyCounters, s.steadyUntil = s.world.Counters, s.Now()
	for _, h := range s.hosts {
		if h.Group.Primary != h {
			s.steadyReplicaConns = append(s.steadyReplicaConns, float64(h.Conns()))
		} else {
			s.steadyPrimaryConns = append(s.steadyPrimaryConns, float64(h.Conns()))
		}
	}
	for _, g := range s.gateways {
		if g.Up() {
			s.steadyGatewayConns = append(s.steadyGatewayConns, float64(g.Conns()))
		}
	}
}

func mean(list []float64) float64 {
	sum := 0.0
	for _, v := range list {
		sum += v
	}
	return sum / float64(len(list))
}

// leastWindow is how many requests a second needs for its share of served ones to count.
const minRequestsPerSecond = 50

func (s *requestSimulation) finish(r *Result) {
	b, f := &s.world.Counters, r.Measurements
	f["conns_host_mean"], f["conns_host_spread"] = mean(s.steadyReplicaConns), most(s.steadyReplicaConns)/mean(s.steadyReplicaConns)
	f["conns_primary"] = mean(s.steadyPrimaryConns)
	f["conns_gateway"] = mean(s.steadyGatewayConns)
	if secs := s.steadyUntil / 1000; secs >= 1 {
		f["probes_s"], f["handshakes_s"] = float64(s.steadyCounters.Probes)/secs, float64(s.steadyCounters.Handshakes)/secs
		f["calls_s"] = float64(s.steadyCounters.Polls) / secs
	}
	for name, v := range s.peaks {
		f[name] = v
	}
	f["handshakes"], f["misdirected"] = float64(b.Handshakes), float64(b.Misdirected)
	f["cold"], f["drained"], f["doubled"] = float64(b.Overloads), float64(b.StatementsAfterDrain), float64(b.DuplicateWrites)
	s.tally.measure(r, f)
	f["refused_share"] = float64(s.tally.Refused) / float64(max(1, s.tally.Sent-s.tally.Excused))
	worst := math.Inf(1)
	for at, n := range s.seconds { // in any order: the least is the same
		if n[0] >= minRequestsPerSecond && at < int(s.emulation.experiment.Seconds)-3 {
			worst = min(worst, float64(n[1])/float64(n[0]))
		}
	}
	f["worst_second"] = worst
	s.emulation.trace(uint64(s.tally.Served), uint64(s.tally.Refused), uint64(b.Handshakes), uint64(b.Statements), uint64(b.Probes))
}
