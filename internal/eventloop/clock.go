// Package eventloop is the program's one event loop: epoll, the clock, timers and buffered connections that never
// block. It knows nothing of what is spoken on them.
package eventloop

import (
	"container/heap"
	"time"
)

// Clock tells the time in milliseconds since 1970 and never goes back. It is the only source of time.
type Clock struct{ read func() float64 }

// SystemClock counts on from the wall clock's time at the start by the monotonic clock.
func SystemClock() *Clock {
	start := time.Now()
	base := float64(start.UnixMicro()) / 1000
	return &Clock{func() float64 { return base + float64(time.Since(start).Microseconds())/1000 }}
}

// ManualClock stands still at *now until a test sets it on.
func ManualClock(now *float64) *Clock { return &Clock{func() float64 { return *now }} }

// VirtualClock reads the time, in milliseconds since 1970, from whoever plays it.
func VirtualClock(read func() float64) *Clock { return &Clock{read} }

// Now is the time in milliseconds.
func (c *Clock) Now() float64 { return c.read() }

// Timer calls a function once.
type Timer struct {
	at    float64
	order uint64
	index int
	fn    func()
	owner *Timers
}

// Stop takes back a timer that has not fired; on nil and on others it does nothing.
func (t *Timer) Stop() {
	if t != nil && t.index >= 0 {
		heap.Remove(&t.owner.queue, t.index)
	}
}

// Timers holds the timers of one clock.
type Timers struct {
	Clock *Clock
	queue timerQueue
	made  uint64
}

// At calls fn in the first round at or after a time.
func (t *Timers) At(ms float64, fn func()) *Timer {
	t.made++
	timer := &Timer{at: ms, order: t.made, fn: fn, owner: t}
	heap.Push(&t.queue, timer)
	return timer
}

// After calls fn when some milliseconds have passed.
func (t *Timers) After(ms float64, fn func()) *Timer { return t.At(t.Clock.Now()+ms, fn) }

// Fire runs what is due and tells how many timers that were.
func (t *Timers) Fire() int {
	now, fired := t.Clock.Now(), 0
	for len(t.queue) > 0 && t.queue[0].at <= now {
		timer := heap.Pop(&t.queue).(*Timer)
		timer.fn()
		fired++
	}
	return fired
}

// Next is the time of the next timer, and whether there is one.
func (t *Timers) Next() (float64, bool) {
	if len(t.queue) == 0 {
		return 0, false
	}
	return t.queue[0].at, true
}

type timerQueue []*Timer

func (q timerQueue) Len() int { return len(q) }
func (q timerQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q timerQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}
func (q *timerQueue) Push(x any) {
	t := x.(*Timer)
	t.index = len(*q)
	*q = append(*q, t)
}
func (q *timerQueue) Pop() any {
	old := *q
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	t.index = -1
	return t
}
