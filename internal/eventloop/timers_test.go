package eventloop

import "testing"

func TestTimersFireInOrderOnAManualClock(t *testing.T) {
	nowMs := 100.0
	timers := &Timers{Clock: ManualClock(&nowMs)}
	var fired []byte
	add := func(afterMs float64, name byte) *Timer {
		return timers.After(afterMs, func() { fired = append(fired, name) })
	}
	add(5, 'b')
	add(5, 'c')
	stopped := add(4, 'x')
	add(1, 'a')
	stopped.Stop()
	stopped.Stop()
	var none *Timer
	none.Stop()
	timers.Fire()
	nowMs = 104
	timers.Fire()
	if atMs, ok := timers.Next(); string(fired) != "a" || atMs != 105 || !ok {
		t.Fatalf("fired %q, next timer at %v ms; want \"a\" and 105", fired, atMs)
	}
	nowMs = 105
	if count := timers.Fire(); count != 2 || string(fired) != "abc" {
		t.Errorf("last call fired %d timers, all fired %q; want 2 and \"abc\"", count, fired)
	}
}
