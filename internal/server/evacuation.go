package server

// evacuationNoticeMs is how long clients are still accepted after an evacuation has started: a load balancer notices it
// at its next health check, and sends new clients until then.
const evacuationNoticeMs = 500.0

// Evacuate makes the gateway not ready and, after evacuationNoticeMs, disconnects clients as they become idle, new ones
// too. The process goes on until Rejoin or SIGTERM.
func (s *Server) Evacuate() {
	if s.evacuated || s.shuttingDown {
		return
	}
	s.log.Info("evacuation started")
	s.evacuated = true
	s.evacuationTimer = s.loop.After(evacuationNoticeMs, s.clients.Drain)
}

// Rejoin ends an evacuation: the gateway accepts clients again.
func (s *Server) Rejoin() {
	if !s.evacuated {
		return
	}
	s.log.Info("evacuation ended")
	s.evacuated = false
	s.evacuationTimer.Stop()
	if !s.shuttingDown {
		s.clients.StopDraining()
	}
}
