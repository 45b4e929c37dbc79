package server

import (
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"merlinjunction/internal/eventloop"
)

// signalQueue holds the signals that wait until handleSignals takes them, which it begins to do once the event loop is
// set up. Of each kind one that waits stands for all that came: a SIGTERM is not lost behind a series of SIGHUPs.
type signalQueue struct {
	stop   chan os.Signal
	reload chan os.Signal
}

// newSignalQueue begins to queue signals. Without it they end the process.
func newSignalQueue() *signalQueue {
	q := &signalQueue{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(q.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(q.reload, syscall.SIGHUP)
	return q
}

// close ends the queue.
func (q *signalQueue) close() {
	signal.Stop(q.stop)
	signal.Stop(q.reload)
}

// Serve runs a gateway until SIGTERM or SIGINT, and until the graceful shutdown that follows has ended. SIGHUP reloads
// the configuration. Its errors are New's, and that of a failed event loop.
func Serve(config *Config, log *zap.Logger) error {
	signals := newSignalQueue() // first: signals may come during the start
	s, err := New(config, log, eventloop.SystemClock())
	if err != nil {
		return err
	}
	defer s.Close()
	go s.handleSignals(signals)
	return s.Run()
}

// handleSignals passes signals on to the event loop; it runs in a goroutine of its own.
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
