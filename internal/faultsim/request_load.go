package faultsim

import (
	"merlinjunction/internal/faultsim/model"
)

const (
	sessionsInUse = 20 // sessions of each gateway, from which its requests are drawn
	// eventualReadShare is the share of the reads that any replica may answer. The other reads must see the writes of
	// their session.
	eventualReadShare = 0.6
)

// arrive submits a request and schedules the next arrival of the Poisson process.
func (s *requestSimulation) arrive() {
	rate := s.emulation.experiment.Load.EmulatedRate
	if rate <= 0 {
		return
	}
	s.submitNext()
	s.At(s.Now()+s.random.ExpFloat64()*1000/rate, s.arrive)
}

// pickGateway draws the gateway of a request by traffic weight. It returns nil if no gateway gets requests.
func (s *requestSimulation) pickGateway() *model.Gateway {
	sum := 0.0
	for i, gateway := range s.gateways {
		if gateway.Up() && s.trafficWeights[i] > 0 {
			sum += s.trafficWeights[i]
		}
	}
	remaining := s.random.Float64() * sum
	for i, gateway := range s.gateways {
		if gateway.Up() && s.trafficWeights[i] > 0 {
			if remaining -= s.trafficWeights[i]; remaining < 0 {
				return gateway
			}
		}
	}
	return nil
}

// submitNext draws a request and submits it. The request counts as excused if no gateway gets requests.
func (s *requestSimulation) submitNext() {
	gateway := s.pickGateway()
	second := s.currentSecond()
	second.sent++
	s.counts.Sent++
	if gateway == nil {
		s.counts.Excused++
		return
	}
	// Sessions are sticky: each one belongs to one gateway.
	statement := &model.Statement{
		Session: gateway.Index*sessionsPerGateway + s.random.IntN(sessionsInUse),
		Key:     s.random.Uint64(),
	}
	group := s.random.IntN(len(s.world.Groups))
	class, deadlineMs := model.ClassEventualRead, model.EventualReadDeadlineMs
	switch {
	case s.random.Float64() < s.emulation.experiment.Load.WriteShare:
		class, deadlineMs = model.ClassWrite, model.WriteDeadlineMs
		statement.Write = true
	case s.random.Float64() > eventualReadShare:
		class, deadlineMs = model.ClassSessionRead, model.SessionReadDeadlineMs
	}
	if class != model.ClassEventualRead { // all data of a session is in one group
		group = statement.Session % len(s.world.Groups)
	}
	gateway.Submit(class, statement, group, deadlineMs, func(outcome model.Outcome, latencyMs float64, stale bool) {
		if outcome == model.Served {
			second.served++
		}
		s.countOutcome(outcome, latencyMs, stale && class == model.ClassSessionRead)
	})
}

// currentSecond returns the counts of the current second.
func (s *requestSimulation) currentSecond() *secondCounts {
	index := int(s.Now() / 1000)
	if s.seconds[index] == nil {
		s.seconds[index] = &secondCounts{}
	}
	return s.seconds[index]
}

// countOutcome counts the outcome of a request for its client.
func (s *requestSimulation) countOutcome(outcome model.Outcome, latencyMs float64, stale bool) {
	switch outcome {
	case model.Served:
		s.counts.Served++
		s.counts.recordLatency(int64(max(1, latencyMs*1000)))
		if stale {
			s.counts.Stale++
		}
	case model.Rejected:
		s.counts.Rejected++
	case model.Failed:
		s.counts.Failed++
	case model.Lost:
		s.counts.Lost++
	case model.Excused:
		s.counts.Excused++
	}
}
