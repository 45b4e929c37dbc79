package server

import "go.uber.org/zap"

const (
	// A configuration that can't be read at SIGHUP may be incompletely written, so reading it is retried every
	// reloadRetryMs, for a total of maxReloadAttempts attempts.
	reloadRetryMs     = 100.0
	maxReloadAttempts = 30
)

// reload reads the configuration again. It applies the address of discovery and, from an operator's file, the host list
// and the fleet's keys; all other changes need a restart. A configuration that can't be read changes nothing.
//
// Success is counted and logged once the configuration is read, before it is applied. Fleet keys that are rejected
// afterwards are logged separately.
func (s *Server) reload(attemptsLeft int) {
	s.reloadTimer.Stop()
	config, err := s.config.Reload()
	if err != nil {
		s.retryReload(attemptsLeft, err)
		return
	}
	s.reloadSuccesses++
	s.log.Info("configuration reloaded",
		zap.String("discovery", config.Discovery), zap.Int("hosts", len(config.KnownHosts)))
	if config.FileDiscovery != s.config.FileDiscovery && config.Discovery != "" {
		s.config.FileDiscovery, s.config.Discovery = config.FileDiscovery, config.Discovery
		s.followEndpointList()
	}
	s.reloadFleetKeys(config)
	if s.config.Operator != nil {
		s.reloadFileHosts(config.KnownHosts)
	}
}

// retryReload schedules the next attempt if one is left. It logs the first and the last failure.
func (s *Server) retryReload(attemptsLeft int, err error) {
	isLast := attemptsLeft == 1
	if attemptsLeft == maxReloadAttempts || isLast {
		s.log.Error("reload failed, keeping the previous configuration", zap.Error(err), zap.Bool("will_retry", !isLast))
	}
	if isLast {
		s.reloadFailures++
		return
	}
	s.reloadTimer = s.loop.After(reloadRetryMs, func() { s.reload(attemptsLeft - 1) })
}
