package server

const (
	// drainNoticeMs is how long clients are accepted after SIGTERM: load balancers go on sending them for a while.
	drainNoticeMs = 500.0
	// handshakeMs is how long before the listener closes no connection is opened any more: one whose handshake has begun
	// has that time to be established and accepted.
	handshakeMs = 20.0
	// Connected clients have as long as the longest deadline of a request to finish, minDrainMs at least, and
	// drainMarginMs more.
	minDrainMs    = 3000.0
	drainMarginMs = 300.0
	// The platform sends SIGKILL so long after SIGTERM: the longest deadline of a request, maxKillDeadlineMs at most, and
	// killMarginMs more.
	maxKillDeadlineMs = 3000.0
	killMarginMs      = 700.0
	// finalResponseMarginMs is how long before the final deadline of a drain the requests that still arrive are answered.
	finalResponseMarginMs = 50.0
	// idlePollMs is the interval at which a draining gateway checks whether all clients have gone.
	idlePollMs = 5.0
)

// Stop starts a graceful shutdown; any goroutine may call it.
func (s *Server) Stop() { s.loop.Post(s.shutDown) }

// shutDown starts a graceful shutdown: new clients are accepted for drainNoticeMs, then the gateway drains. Where a
// sibling process may have taken over the listener the gateway drains at once.
//
// The gateway leaves the fleet at once: without a sibling, drainNoticeMs before it stops accepting clients. A further
// call, at a second SIGTERM, does nothing. SIGHUP still reloads the configuration.
func (s *Server) shutDown() {
	if s.shuttingDown {
		return
	}
	s.shuttingDown, s.shutdownStartedMs = true, s.loop.Clock.Now()
	s.log.Info("graceful shutdown started")
	if s.transport != nil {
		s.transport.Leave()
	}
	if s.shared != nil {
		s.drain()
		return
	}
	s.loop.After(drainNoticeMs-handshakeMs, s.clientListener.DropNewConnections)
	s.loop.After(drainNoticeMs, func() {
		s.clientListener.AcceptAll()
		s.drain()
	})
}

// drain accepts no more clients, and ends the event loop when those that are connected have gone, at drainEndMs at the
// latest. All requests are answered by then, or before SIGKILL where that may come first.
func (s *Server) drain() {
	// The minimum is for large responses, which have no deadline once they have begun.
	drainEndMs := s.loop.Clock.Now() + max(s.longestDeadlineMs(), minDrainMs) + drainMarginMs
	s.loop.At(drainEndMs, s.finish)
	s.core.SetFinalDeadline(min(drainEndMs, s.killTimeMs()) - finalResponseMarginMs)
	s.clientListener.Close()
	s.clients.Drain()
	s.finishWhenIdle()
}

// killTimeMs is the earliest time of SIGKILL. Deadlines of an operator's file may be above the platform's maximum.
func (s *Server) killTimeMs() float64 {
	deadlineMs := s.longestDeadlineMs()
	if s.config.Operator == nil {
		deadlineMs = min(deadlineMs, maxKillDeadlineMs)
	}
	return s.shutdownStartedMs + deadlineMs + killMarginMs
}

// longestDeadlineMs is the longest deadline of all classes of requests.
func (s *Server) longestDeadlineMs() float64 {
	longest := 0.0
	for _, class := range s.config.Settings.Classes {
		longest = max(longest, class.Deadline.Seconds()*1000)
	}
	return longest
}

// finishWhenIdle ends the event loop once no client is connected.
func (s *Server) finishWhenIdle() {
	if s.clients.Count() == 0 {
		s.finish()
		return
	}
	s.loop.After(idlePollMs, s.finishWhenIdle)
}

// finish ends the event loop.
func (s *Server) finish() {
	s.abandonedConnections = s.clients.Count()
	s.loop.Stop()
}
