package eventloop

import (
	"fmt"
	"math"
	"sync"

	"golang.org/x/sys/unix"
)

const (
	maxEventsPerRound = 256
	scratchBytes      = 64 << 10 // read from a descriptor at once, at most
	maxWaitMs         = 1000.0   // of a round for an event
	delayThresholdMs  = 25.0     // of a round without the wait, above which OnDelay is called
)

// watcher handles the epoll events of its descriptor.
type watcher interface{ ready(events uint32) }

// registration is a descriptor's watcher. The generation tells it from an earlier descriptor of the same number, whose
// events may still be among those of the round.
type registration struct {
	watcher    watcher
	generation int32
}

// Loop waits for events and handles them round by round.
type Loop struct {
	*Timers
	// MaxBufferedBytes bounds the buffers of all connections together; 0: no bound.
	MaxBufferedBytes int
	// OnDelay, where set, is called after a round that took long, with its time without the wait.
	OnDelay func(ms float64)

	epollFD       int
	wakeFD        int // an eventfd that Post writes to
	registrations map[int32]registration
	generation    int32    // of the last registration
	nextRound     []func() // to be called in the next round
	scratch       []byte   // for reading, within one call
	stopped       bool
	bufferedBytes int // in the buffers of all connections

	postedMutex sync.Mutex
	posted      []func() // by other goroutines
}

// New returns a Loop on a clock. It fails where the system has no descriptors for it.
func New(clock *Clock) (*Loop, error) {
	epollFD, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
	}
	wakeFD, err := unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK)
	if err != nil {
		closeFD(epollFD)
		return nil, fmt.Errorf("eventfd: %w", err)
	}
	l := &Loop{
		Timers:        &Timers{Clock: clock},
		epollFD:       epollFD,
		wakeFD:        wakeFD,
		registrations: map[int32]registration{},
		scratch:       make([]byte, scratchBytes),
	}
	return l, l.register(wakeFD, l, unix.EPOLLIN)
}

// Post runs a function in the loop's next round. Any goroutine may call it.
func (l *Loop) Post(fn func()) {
	l.postedMutex.Lock()
	l.posted = append(l.posted, fn)
	l.postedMutex.Unlock()
	one := []byte{1, 0, 0, 0, 0, 0, 0, 0}
	_, _ = unix.Write(l.wakeFD, one) // fails only where a wake-up is pending already
}

// ready runs the functions that other goroutines have posted.
func (l *Loop) ready(uint32) {
	var count [8]byte
	_, _ = unix.Read(l.wakeFD, count[:]) // resets the eventfd
	l.postedMutex.Lock()
	posted := l.posted
	l.posted = nil
	l.postedMutex.Unlock()
	for _, fn := range posted {
		fn()
	}
}

// NextRound runs a function in the next round, which starts without waiting.
func (l *Loop) NextRound(fn func()) { l.nextRound = append(l.nextRound, fn) }

// Wake makes the next round start without waiting, so that its step function sees what was changed in this one.
func (l *Loop) Wake() { l.NextRound(func() {}) }

// Stop ends Run after the present round.
func (l *Loop) Stop() { l.stopped = true }

// Run handles events until Stop, and calls step at the end of each round. It fails where epoll does.
func (l *Loop) Run(step func()) error {
	events := make([]unix.EpollEvent, maxEventsPerRound)
	for !l.stopped {
		count, err := unix.EpollWait(l.epollFD, events, l.waitMs())
		if err != nil && err != unix.EINTR {
			return fmt.Errorf("epoll: %w", err)
		}
		startMs := l.Clock.Now()
		l.runNextRound()
		l.handleEvents(events[:max(count, 0)])
		l.Fire()
		step()
		if elapsedMs := l.Clock.Now() - startMs; elapsedMs > delayThresholdMs && l.OnDelay != nil {
			l.OnDelay(elapsedMs)
		}
	}
	return nil
}

// runNextRound runs the functions that were meant for this round.
func (l *Loop) runNextRound() {
	functions := l.nextRound
	l.nextRound = nil
	for _, fn := range functions {
		fn()
	}
}

// handleEvents passes events to the watchers of their descriptors, except where a descriptor was closed meanwhile.
func (l *Loop) handleEvents(events []unix.EpollEvent) {
	for _, event := range events {
		r, ok := l.registrations[event.Fd]
		if ok && r.generation == event.Pad {
			r.watcher.ready(event.Events)
		}
	}
}

// waitMs is how long the next round may wait for an event, in whole milliseconds.
func (l *Loop) waitMs() int {
	if len(l.nextRound) > 0 {
		return 0
	}
	dueMs, ok := l.Next()
	if !ok {
		return maxWaitMs
	}
	return int(math.Ceil(min(max(0, dueMs-l.Clock.Now()), maxWaitMs)))
}

// Close closes the loop's own descriptors.
func (l *Loop) Close() {
	closeFD(l.wakeFD)
	closeFD(l.epollFD)
}

// register starts to watch a descriptor for events. On an error the caller still owns the descriptor.
func (l *Loop) register(fd int, w watcher, events uint32) error {
	l.generation++
	l.registrations[int32(fd)] = registration{w, l.generation}
	event := unix.EpollEvent{Events: events, Fd: int32(fd), Pad: l.generation}
	if err := unix.EpollCtl(l.epollFD, unix.EPOLL_CTL_ADD, fd, &event); err != nil {
		delete(l.registrations, int32(fd))
		return fmt.Errorf("epoll: %w", err)
	}
	return nil
}

// setInterest changes the events that a descriptor is watched for.
func (l *Loop) setInterest(fd int, events uint32) {
	event := unix.EpollEvent{Events: events, Fd: int32(fd), Pad: l.registrations[int32(fd)].generation}
	_ = unix.EpollCtl(l.epollFD, unix.EPOLL_CTL_MOD, fd, &event) // fails only for a descriptor that is not registered
}

// unregisterAndClose closes a descriptor; events of it that are still to come are ignored.
func (l *Loop) unregisterAndClose(fd int) {
	delete(l.registrations, int32(fd))
	closeFD(fd)
}
