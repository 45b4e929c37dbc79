package eventloop

import (
	"fmt"
	"math"
	"sync"

	"golang.org/x/sys/unix"
)

const (
	maxEventsPerRound = 256
	scratchBytes      = 64 << 10 // maximum size of one read from a descriptor
	maxWaitMs         = 1000.0   // maximum time that a round waits for an event
	delayThresholdMs  = 25.0     // duration of a round, without its wait, above which OnDelay is called
)

// watcher handles the epoll events of a descriptor.
type watcher interface{ ready(events uint32) }

// registration holds the watcher of a descriptor. The generation distinguishes the descriptor from an earlier one with the
// same number, whose events may still be among the events of the round.
type registration struct {
	watcher    watcher
	generation int32
}

// Loop waits for events and handles them round by round.
type Loop struct {
	*Timers
	// MaxBufferedBytes limits the size of the buffers of all connections together; 0: no limit.
	MaxBufferedBytes int
	// OnDelay, if set, is called after a round that took longer than delayThresholdMs, with its duration without the wait.
	OnDelay func(ms float64)

	epollFD       int
	wakeFD        int // an eventfd that Post writes to
	registrations map[int32]registration
	generation    int32    // generation of the last registration
	nextRound     []func() // functions to be called in the next round
	scratch       []byte   // read buffer; its contents are valid within one call
	stopped       bool
	bufferedBytes int // size of the data in the buffers of all connections

	postedMutex sync.Mutex
	posted      []func() // functions passed to Post that have not run yet
}

// New returns a Loop that uses a clock. It fails if the system has no free descriptors.
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
	_, _ = unix.Write(l.wakeFD, one) // fails only if a wake-up is already pending
}

// ready handles the wake-up events: it runs the functions that were posted.
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

// Wake makes the next round start without waiting, so that its step function processes changes made in this round.
func (l *Loop) Wake() { l.NextRound(func() {}) }

// Stop ends Run after the current round.
func (l *Loop) Stop() { l.stopped = true }

// Run handles events until Stop is called. It calls step at the end of each round. It returns an error if epoll fails.
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

// runNextRound runs the functions that NextRound queued for this round.
func (l *Loop) runNextRound() {
	functions := l.nextRound
	l.nextRound = nil
	for _, fn := range functions {
		fn()
	}
}

// handleEvents passes events to the watchers of their descriptors. It ignores events of descriptors that were closed
// during the round.
func (l *Loop) handleEvents(events []unix.EpollEvent) {
	for _, event := range events {
		r, ok := l.registrations[event.Fd]
		if ok && r.generation == event.Pad {
			r.watcher.ready(event.Events)
		}
	}
}

// waitMs returns how long the next round may wait for an event, in whole milliseconds.
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

// register starts to watch a descriptor for events. If it fails, the caller still owns the descriptor.
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
	_ = unix.EpollCtl(l.epollFD, unix.EPOLL_CTL_MOD, fd, &event) // fails only if the descriptor is not registered
}

// unregisterAndClose closes a descriptor. Its remaining events of the round are ignored.
func (l *Loop) unregisterAndClose(fd int) {
	delete(l.registrations, int32(fd))
	closeFD(fd)
}
