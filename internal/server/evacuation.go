package server

// evacuationNoticeMs is the time for which clients are still accepted after an evacuation has started. A load balancer
// notices the evacuation at its next health check, and sends new clients until then.
const evacuationNoticeMs = 500.0

// Evacuate makes the gateway not ready. After evacuationNoticeMs the gateway disconnects clients, including new ones, as
// they become idle, and those that don't a second later. The evacuation lasts until Rejoin or SIGTERM; the process keeps running.
func (s *Server) Evacuate() {
	if s.evacuated || s.shuttingDown {
		return
	}
	s.log.Info("evacuation started")
	s.evacuated = true
	s.evacuationTimer = s.loop.After(evacuationNoticeMs, s.clients.DrainBusy)
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
