package faultsim

import (
	"merlinjunction/internal/faultsim/model"
)

// arrive sends the next request and enters the one behind it.
func (s *requestSimulation) arrive() {
	load := &s.emulation.experiment.Load
	if load.Emulated <= 0 {
		return
	}
	s.submitNext()
	s.At(s.Now()+s.rng.ExpFloat64()*1000/load.Emulated, s.arrive)
}

// pickGateway is the gateway that a request comes to: by weight, among those that take any.
func (s *requestSimulation) pickGateway() *model.Gateway {
	sum := 0.0
	for i, g := range s.gateways {
		if g.Up() && s.trafficWeights[i] > 0 {
			sum += s.trafficWeights[i]
		}
	}
	x := s.rng.Float64() * sum
	for i, g := range s.gateways {
		if g.Up() && s.trafficWeights[i] > 0 {
			if x -= s.trafficWeights[i]; x < 0 {
				return g
			}
		}
	}
	return nil
}

func (s *requestSimulation) submitNext() {
	g := s.pickGateway()
	at := int(s.Now() / 1000)
	if s.seconds[at] == nil {
		s.seconds[at] = &[2]int{}
	}
	sec := s.seconds[at]
	sec[0]++
	s.tally.Sent++
	if g == nil {
		s.tally.Excused++
		return
	}
	// A session keeps to its gateway: its number holds that one's.
	st := &model.Statement{Session: g.Index*sessionsPerGateway + s.rng.IntN(20), Key: s.rng.Uint64()}
	group := s.rng.IntN(len(s.world.Groups))
	class, left := 0, 1000.0
	switch {
	case s.rng.Float64() < s.emulation.experiment.Load.Writes:
		class, left, st.Write = 2, 2000, true
	case s.rng.Float64() > eventualReadShare:
		class, left = 1, 600
	}
	if class == 1 || class == 2 { // a session's data is in one group
		group = st.Session % len(s.world.Groups)
	}
	g.Submit(class, st, group, left, func(end model.Outcome, ms float64, stale bool) {
		switch end {
		case model.Served:
			s.tally.Served++
			sec[1]++
			_ = s.tally.Latency.RecordValue(int64(max(1, ms*1000)))
			if stale && class == 1 {
				s.tally.Stale++
			}
		case model.Rejected:
			s.tally.Refused++
		case model.Failed:
			s.tally.Failed++
		case model.Lost:
			s.tally.Lost++
		case model.Excused:
			s.tally.Excused++
		}
	})
}
