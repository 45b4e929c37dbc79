package server

import (
	"fmt"
	"os"
	"runtime/debug"
	"strconv"

	"go.uber.org/zap"
)

// During an upgrade the new and the old process of one gateway serve side by side: they hold the same listening socket,
// and share exclusions and their liveness through files. The limits of the gateway hold for both together.

const (
	// siblingPollMs is the interval at which the shared state is read.
	siblingPollMs = 100.0
	// takeoverPollMs is the interval at which a process beside a sibling checks whether it can serve clients.
	takeoverPollMs = 5.0
	// takeoverDelayMs is the time from the start until clients are accepted beside a sibling, which has noticed this
	// process by then.
	takeoverDelayMs = 200.0
	// maxTakeoverWaitMs is when clients are accepted although no host can be reached: a rejection is better than none.
	maxTakeoverWaitMs = 3000.0

	// listenFDVariable is the environment variable with the descriptor of the inherited listener.
	listenFDVariable = "LB_LISTEN_FD"
	// firstInheritedFD is the lowest descriptor that may be inherited, above standard input, output and error.
	firstInheritedFD = 3
)

// ApplyInheritedListener reads from the environment which listener the process has inherited, and where the state that
// it shares with sibling processes lies. The error is a *ConfigError.
func (c *Config) ApplyInheritedListener(env func(string) string) error {
	text := env(listenFDVariable)
	if text == "" {
		return nil
	}
	fd, err := strconv.Atoi(text)
	if err != nil || fd < firstInheritedFD {
		return &ConfigError{Key: listenFDVariable, Err: fmt.Errorf("%q is no descriptor of a listener", text)}
	}
	c.ListenFD = fd
	if c.StateDir = env("TMPDIR"); c.StateDir == "" {
		c.StateDir = os.TempDir()
	}
	return nil
}

// acceptWhenReady starts to accept clients on the inherited listener: at once without a sibling, else as soon as they
// can be served.
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

// pollSiblings reads the shared state, now and every siblingPollMs.
func (s *Server) pollSiblings() {
	s.applySiblingExclusions()
	if alive := s.shared.siblingAlive(); alive != s.hasSibling {
		s.hasSibling = alive
		s.log.Info("sibling process changed", zap.Bool("alive", alive))
		s.divideLimits()
	}
	s.loop.After(siblingPollMs, s.pollSiblings)
}

// applySiblingExclusions applies what sibling processes have excluded or included since the last call.
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

// publishExclusion passes an exclusion or inclusion on to sibling processes.
func (s *Server) publishExclusion(id string, excluded bool) {
	if s.shared != nil {
		s.shared.exclusions.record(id, exclusion{Excluded: excluded, AtMs: s.loop.Clock.Now()})
	}
}

// divideLimits gives this process the gateway's limits, or half of them while it has a sibling.
func (s *Server) divideLimits() {
	processes := 1
	if s.hasSibling {
		processes = 2
	}
	memoryBytes := s.config.memoryBytes() / processes
	debug.SetMemoryLimit(heapLimitBytes(memoryBytes))
	s.loop.MaxBufferedBytes = bufferLimitBytes(memoryBytes)
	s.clients.MaxClients = (s.connectionBudget - s.hostConnectionLimit) / processes
	s.core.SetSiblingProcess(s.hasSibling, s.hostConnectionLimit/processes)
}
