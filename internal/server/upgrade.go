package server

import (
	"os"
	"strconv"

	"go.uber.org/zap"
)

// During an upgrade the new and the old process of one gateway, which are siblings, serve at the same time. They hold the
// same listening socket, and share exclusions and their liveness through files. The limits of the gateway apply to both
// processes together.

const (
	// siblingPollMs is the interval at which the shared state is read.
	siblingPollMs = 100.0
	// takeoverPollMs is the interval at which a process with a sibling checks whether it can serve clients.
	takeoverPollMs = 5.0
	// takeoverDelayMs is the minimum time from the start until a process with a sibling accepts clients. The sibling has
	// noticed this process by then.
	takeoverDelayMs = 200.0
	// maxTakeoverWaitMs is the time from the start after which clients are accepted even if no host can be reached, because
	// a rejection is better than no response.
	maxTakeoverWaitMs = 3000.0

	// listenFDVariable is the environment variable with the descriptor of the inherited listener.
	listenFDVariable = "LB_LISTEN_FD"
	// firstInheritedFD is the lowest descriptor that may be inherited, above standard input, output and error.
	firstInheritedFD = 3
)

// ApplyInheritedListener reads from the environment the descriptor of the listener that the process has inherited, and
// the directory of the state that it shares with sibling processes. The error is a *ConfigError.
func (c *Config) ApplyInheritedListener(env func(string) string) error {
	text := env(listenFDVariable)
	if text == "" {
		return nil
	}
	fd, err := strconv.Atoi(text)
	if err != nil || fd < firstInheritedFD {
		return invalidKey(listenFDVariable, "%q is not a descriptor, expected a number of at least %d", text, firstInheritedFD)
	}
	c.ListenFD = fd
	if c.StateDir = env("TMPDIR"); c.StateDir == "" {
		c.StateDir = os.TempDir()
	}
	return nil
}

// acceptWhenReady starts to accept clients on the inherited listener. Without a sibling it does so at once, otherwise as
// soon as clients can be served, but not before takeoverDelayMs and not after maxTakeoverWaitMs.
func (s *Server) acceptWhenReady() {
	startMs := s.loop.Clock.Now()
	var check func()
	check = func() {
		now := s.loop.Clock.Now()
		if !s.hasSibling || s.ready() && now >= startMs+takeoverDelayMs || now >= startMs+maxTakeoverWaitMs {
			s.awaitingTakeover = false
			s.clientListener.StartAccepting()
			s.log.Info("accepting clients", zap.Bool("has_sibling", s.hasSibling))
			return
		}
		s.loop.After(takeoverPollMs, check)
	}
	check()
}

// pollSiblings reads the shared state at once and then every siblingPollMs.
func (s *Server) pollSiblings() {
	s.applySiblingExclusions()
	if alive := s.shared.siblingAlive(); alive != s.hasSibling {
		s.hasSibling = alive
		s.log.Info("sibling process changed", zap.Bool("alive", alive))
		s.divideLimits()
	}
	s.loop.After(siblingPollMs, s.pollSiblings)
}

// applySiblingExclusions applies the exclusions and inclusions by sibling processes since the last call.
func (s *Server) applySiblingExclusions() {
	if s.shared == nil {
		return
	}
	for id, received := range s.shared.exclusions.readNewer() {
		s.log.Info("exclusion received from sibling process",
			zap.String("host", id), zap.Bool("excluded", received.Excluded))
		if received.Excluded {
			s.core.RestoreExclusion(id, received.AtMs)
		} else {
			s.core.Include(id)
		}
	}
}

// publishExclusion passes an exclusion or inclusion to sibling processes.
func (s *Server) publishExclusion(id string, excluded bool) {
	if s.shared != nil {
		s.shared.exclusions.record(id, exclusion{Excluded: excluded, AtMs: s.loop.Clock.Now()})
	}
}

// divideLimits sets the limits of this process to those of the gateway, or to half of them while it has a sibling.
func (s *Server) divideLimits() {
	processes := 1
	if s.hasSibling {
		processes = 2
	}
	s.setMemoryLimits(s.config.memoryBytes() / processes)
	s.clients.MaxClients = (s.connectionBudget - s.hostConnectionLimit) / processes
	s.core.SetSiblingProcess(s.hasSibling, s.hostConnectionLimit/processes)
}
