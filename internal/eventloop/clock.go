package eventloop

import "time"

// Clock returns the time in milliseconds since 1970, which never decreases. It is the program's only source of time.
type Clock struct{ read func() float64 }

// SystemClock returns a Clock that reads the wall clock once, when it is created, and adds the time that has elapsed since
// then by the monotonic clock, in whole microseconds.
func SystemClock() *Clock {
	start := time.Now()
	startMs := float64(start.UnixMicro()) / 1000
	return &Clock{func() float64 { return startMs + float64(time.Since(start).Microseconds())/1000 }}
}

// ManualClock returns a Clock whose time is *nowMs, which a test advances.
func ManualClock(nowMs *float64) *Clock { return &Clock{func() float64 { return *nowMs }} }

// VirtualClock returns a Clock that reads the time from a simulation, in milliseconds since 1970.
func VirtualClock(read func() float64) *Clock { return &Clock{read} }

// Now returns the time in milliseconds.
func (c *Clock) Now() float64 { return c.read() }
