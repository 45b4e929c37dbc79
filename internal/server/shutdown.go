package server

const (
	// drainNoticeMs is the time for which clients are still accepted after SIGTERM, because load balancers keep sending
	// new clients for a while.
	drainNoticeMs = 500.0
	// handshakeMs is the time before the listener closes during which no new TCP handshake begins. A connection whose
	// handshake has begun earlier has this time to be established and accepted.
	handshakeMs = 20.0
	// Connected clients have the following time to finish: the longest deadline of a request, but at least minDrainMs,
	// plus drainMarginMs.
	minDrainMs    = 3000.0
	drainMarginMs = 300.0
	// The platform sends SIGKILL this long after SIGTERM: the longest deadline of a request, but at most
	// maxKillDeadlineMs, plus killMarginMs.
	maxKillDeadlineMs = 3000.0
	killMarginMs      = 700.0
	// finalResponseMarginMs is the time from the final deadline to the end of the drain or to SIGKILL, whichever comes
	// first. All requests, including those that still arrive, are answered by the final deadline.
	finalResponseMarginMs = 50.0
	// idlePollMs is the interval at which a draining gateway checks whether all clients have disconnected.
	idlePollMs = 5.0
)

// Stop starts a graceful shutdown; any goroutine may call it.
func (s *Server) Stop() { s.loop.Post(s.shutDown) }

// shutDown starts a graceful shutdown: new clients are accepted for drainNoticeMs, then the gateway drains. With an
// inherited listener, which a sibling process may have taken over, the gateway drains at once.
//
// The gateway leaves the fleet at once, so without an inherited listener it leaves drainNoticeMs before it stops accepting
// clients. A further call, at a second SIGTERM, does nothing. SIGHUP still reloads the configuration.
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

// drain stops accepting clients, and ends the event loop when all connected clients have disconnected, at drainEndMs at
// the latest. All requests are answered by then, or before SIGKILL if that may come first.
func (s *Server) drain() {
	// The minimum is for large responses, which have no deadline once they have begun.
	drainEndMs := s.loop.Clock.Now() + max(s.longestDeadlineMs(), minDrainMs) + drainMarginMs
	s.loop.At(drainEndMs, s.finish)
	s.core.SetFinalDeadline(min(drainEndMs, s.killTimeMs()) - finalResponseMarginMs)
	s.clientListener.Close()
	s.clients.Drain()
	s.finishWhenIdle()
}

// killTimeMs returns the earliest time of SIGKILL. The platform's maximum does not apply to an operator's file, which may
// set longer deadlines.
func (s *Server) killTimeMs() float64 {
	deadlineMs := s.longestDeadlineMs()
	if s.config.Operator == nil {
		deadlineMs = min(deadlineMs, maxKillDeadlineMs)
	}
	return s.shutdownStartedMs + deadlineMs + killMarginMs
}

// longestDeadlineMs returns the longest deadline of all classes of requests.
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
