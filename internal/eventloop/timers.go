package eventloop

import "container/heap"

// notQueued is the index of a timer that has fired or was stopped.
const notQueued = -1

// Timer calls a function once, at or after its due time.
type Timer struct {
	dueMs    float64
	sequence uint64 // order of creation, for timers that are due at the same time
	index    int    // position in the queue, or notQueued
	callback func()
	timers   *Timers
}

// Stop cancels a timer. It does nothing on nil and on a timer that has fired or was stopped.
func (t *Timer) Stop() {
	if t != nil && t.index != notQueued {
		heap.Remove(&t.timers.queue, t.index)
	}
}

// Timers holds the timers of one clock. Timers that are due at the same time fire in the order of their creation.
type Timers struct {
	Clock   *Clock
	queue   timerQueue
	created uint64
}

// At calls a function in the first round at or after a time.
func (t *Timers) At(ms float64, callback func()) *Timer {
	t.created++
	timer := &Timer{dueMs: ms, sequence: t.created, callback: callback, timers: t}
	heap.Push(&t.queue, timer)
	return timer
}

// After calls a function in the first round after some milliseconds.
func (t *Timers) After(ms float64, callback func()) *Timer { return t.At(t.Clock.Now()+ms, callback) }

// WakeAt ensures that a round runs at or after a time, unless the returned Timer is stopped before.
func (t *Timers) WakeAt(ms float64) *Timer { return t.At(ms, func() {}) }

// Fire calls the functions of the timers that are due, including timers that are created by these functions, and returns
// the number of timers that fired.
func (t *Timers) Fire() int {
	now, fired := t.Clock.Now(), 0
	for len(t.queue) > 0 && t.queue[0].dueMs <= now {
		timer := heap.Pop(&t.queue).(*Timer)
		timer.callback()
		fired++
	}
	return fired
}

// Next returns the due time of the next timer. It returns false if there is no timer.
func (t *Timers) Next() (ms float64, ok bool) {
	if len(t.queue) == 0 {
		return 0, false
	}
	return t.queue[0].dueMs, true
}

// timerQueue implements heap.Interface, with the next timer first.
type timerQueue []*Timer

func (q timerQueue) Len() int { return len(q) }

func (q timerQueue) Less(i, j int) bool {
	return q[i].dueMs < q[j].dueMs || q[i].dueMs == q[j].dueMs && q[i].sequence < q[j].sequence
}

func (q timerQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

func (q *timerQueue) Push(x any) {
	timer := x.(*Timer)
	timer.index = len(*q)
	*q = append(*q, timer)
}

func (q *timerQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	last.index = notQueued
	return last
}
