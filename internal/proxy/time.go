package proxy

import (
	"math"
	"time"

	"merlinjunction/routing"
)

// toDuration converts milliseconds to the router's time, rounded to the microsecond.
func toDuration(ms float64) time.Duration {
	return time.Duration(math.Round(ms*1000)) * time.Microsecond
}

// toMs converts the router's time to milliseconds.
func toMs(d time.Duration) float64 { return d.Seconds() * 1000 }

// maxUnixMs is the first time, in milliseconds since 1970, that a time.Duration can't represent.
const maxUnixMs = math.MaxInt64 / 1e6

// position converts a time in milliseconds since 1970 to a routing.Position. It returns 0 (unknown) if the time is out of
// range.
func (c *Core) position(unixMs float64) routing.Position {
	inRange := unixMs > 0 && unixMs < maxUnixMs // false for NaN
	if !inRange {
		return 0
	}
	return max(0, toDuration(unixMs)-c.settings.PositionEpoch)
}
