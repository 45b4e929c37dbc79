package eventloop

import (
	"fmt"
	"math"
	"sync"

	"golang.org/x/sys/unix"
)

const (
	eventsAtOnce  = 256
	readSize      = 64 << 10
	readsAtOnce   = 4      // of one connection in a round, so that none starves the others
	longestWaitMs = 1000.0 // of a round without events
)

// A watcher is told of the events of its descriptor.
type watcher interface{ ready(events uint32) }

type registration struct {
	w     watcher
	stamp int32 // tells a descriptor from an earlier one of the same number
}

// heldUpMs is how long a round may take before HeldUp hears of it.
const heldUpMs = 25.0

// Loop gathers what is ready, round by round. All but Notify must be called from the loop's own goroutine.
type Loop struct {
	*Timers
	epoll            int
	wake             int // eventfd
	fds              map[int32]registration
	stamp            int32
	soon             []func() // for the next round
	scratch          []byte
	stopped          bool
	held             int              // bytes in the buffers of all connections
	MaxBufferedBytes int              // and how many they may be; 0: any number
	OnDelay          func(ms float64) // a round took long; may be nil

	mu     sync.Mutex
	posted []func() // from other goroutines
}

// New returns a Loop on a clock.
func New(clock *Clock) (*Loop, error) {
	ep, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
	}
	ev, err := unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK)
	if err != nil {
		unix.Close(ep)
		return nil, fmt.Errorf("eventfd: %w", err)
	}
	l := &Loop{
		Timers: &Timers{Clock: clock}, epoll: ep, wake: ev, fds: map[int32]registration{},
		scratch: make([]byte, readSize),
	}
	return l, l.add(ev, l, unix.EPOLLIN)
}

// Notify runs fn in the loop's next round; any goroutine may call it.
func (l *Loop) Notify(fn func()) {
	l.mu.Lock()
	l.posted = append(l.posted, fn)
	l.mu.Unlock()
	_, _ = unix.Write(l.wake, []byte{1, 0, 0, 0, 0, 0, 0, 0}) // fails only when it is set already
}

// ready takes in what other goroutines had to say.
func (l *Loop) ready(uint32) {
	var count [8]byte
	_, _ = unix.Read(l.wake, count[:])
	l.mu.Lock()
	posted := l.posted
	l.posted = nil
	l.mu.Unlock()
	for _, fn := range posted {
		fn()
	}
}

// NextRound runs fn in the next round, which starts without waiting.
func (l *Loop) NextRound(fn func()) { l.soon = append(l.soon, fn) }

// Stop ends Run after the present round.
func (l *Loop) Stop() { l.stopped = true }

// Run gathers all that is ready, calls step once, and starts again until Stop.
func (l *Loop) Run(step func()) error {
	events := make([]unix.EpollEvent, eventsAtOnce)
	for !l.stopped {
		n, err := unix.EpollWait(l.epoll, events, l.waitFor())
		if err != nil && err != unix.EINTR {
			return fmt.Errorf("epoll: %w", err)
		}
		start := l.Clock.Now()
		soon := l.soon
		l.soon = nil
		for _, fn := range soon {
			fn()
		}
		for _, e := range events[:max(n, 0)] {
			if r, ok := l.fds[e.Fd]; ok && r.stamp == e.Pad {
				r.w.ready(e.Events)
			}
		}
		l.Fire()
		step()
		if took := l.Clock.Now() - start; took > heldUpMs && l.OnDelay != nil {
			l.OnDelay(took)
		}
	}
	return nil
}

// Close gives the loop's own descriptors back.
func (l *Loop) Close() {
	unix.Close(l.wake)
	unix.Close(l.epoll)
}

func (l *Loop) waitFor() int {
	if len(l.soon) > 0 {
		return 0
	}
	at, ok := l.Next()
	if !ok {
		return longestWaitMs
	}
	return int(math.Ceil(min(max(0, at-l.Clock.Now()), longestWaitMs)))
}

func (l *Loop) add(fd int, w watcher, events uint32) error {
	l.stamp++
	l.fds[int32(fd)] = registration{w, l.stamp}
	e := unix.EpollEvent{Events: events, Fd: int32(fd), Pad: l.stamp}
	if err := unix.EpollCtl(l.epoll, unix.EPOLL_CTL_ADD, fd, &e); err != nil {
		delete(l.fds, int32(fd))
		return fmt.Errorf("epoll: %w", err)
	}
	return nil
}

func (l *Loop) change(fd int, events uint32) {
	e := unix.EpollEvent{Events: events, Fd: int32(fd), Pad: l.fds[int32(fd)].stamp}
	_ = unix.EpollCtl(l.epoll, unix.EPOLL_CTL_MOD, fd, &e) // fails only for a descriptor that is not there
}

// drop forgets a descriptor and closes it.
func (l *Loop) drop(fd int) {
	delete(l.fds, int32(fd))
	unix.Close(fd)
}
