package server

import (
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"merlinjunction/internal/eventloop"
)

// signalQueue holds signals until handleSignals reads them, which it starts to do once the event loop is set up. Signals
// to stop and signals to reload are queued separately. One queued signal stands for all of its kind that have arrived, so
// a SIGTERM is not lost behind a series of SIGHUPs.
type signalQueue struct {
	stop   chan os.Signal
	reload chan os.Signal
}

// newSignalQueue starts to queue signals, which would otherwise end the process.
func newSignalQueue() *signalQueue {
	q := &signalQueue{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(q.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(q.reload, syscall.SIGHUP)
	return q
}

// close stops the queueing of signals.
func (q *signalQueue) close() {
	signal.Stop(q.stop)
	signal.Stop(q.reload)
}

// Serve runs a gateway until SIGTERM or SIGINT, and returns when the graceful shutdown that follows has ended. SIGHUP
// reloads the configuration. Serve returns the errors of New and of a failed event loop.
func Serve(config *Config, log *zap.Logger) error {
	signals := newSignalQueue() // before New, because signals may arrive during the start
	s, err := New(config, log, eventloop.SystemClock())
	if err != nil {
		return err
	}
	defer s.Close()
	go s.handleSignals(signals)
	return s.Run()
}

// handleSignals passes signals to the event loop. It runs in its own goroutine.
func (s *Server) handleSignals(signals *signalQueue) {
	for {
		select {
		case <-signals.stop:
			s.loop.Post(s.shutDown)
		case <-signals.reload:
			s.loop.Post(func() { s.reload(maxReloadAttempts) })
		}
	}
}
