package server

import (
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"merlinjunction/internal/eventloop"
)

// signalQueueLength is how many signals wait at most until handleSignals takes them, which it begins to do once the
// event loop is set up. Signals beyond it are dropped.
const signalQueueLength = 4

// Serve runs a gateway until SIGTERM or SIGINT, and until the graceful shutdown that follows has ended. SIGHUP reloads
// the configuration. Its errors are New's, and that of a failed event loop.
func Serve(config *Config, log *zap.Logger) error {
	signals := make(chan os.Signal, signalQueueLength)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP) // first: without it they end the process
	s, err := New(config, log, eventloop.SystemClock())
	if err != nil {
		return err
	}
	defer s.Close()
	go s.handleSignals(signals)
	return s.Run()
}

// handleSignals passes signals on to the event loop; it runs in a goroutine of its own.
func (s *Server) handleSignals(signals <-chan os.Signal) {
	for received := range signals {
		if received == syscall.SIGHUP {
			s.loop.Notify(func() { s.reload(maxReloadAttempts) })
		} else {
			s.loop.Notify(s.shutDown)
		}
	}
}
