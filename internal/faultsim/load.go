package faultsim

import (
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	sessionCount    = 64
	readDeadline    = 600 * time.Millisecond
	writeDeadline   = 2 * time.Second
	lateAnswerLimit = 500 * time.Millisecond // how long the load generator waits for an answer after its deadline

	maxLatencyMicroseconds = 60_000_000
	latencyDigits          = 3 // number of significant digits in the histogram
)

// arrival is one request of the load.
type arrival struct {
	at      time.Duration // intended send time, from second 0
	session int
	write   bool
	value   int // value that a write stores
}

// drawArrivals draws the requests of a whole run from a seed. They arrive as a Poisson process, with random sessions.
func (l *Load) drawArrivals(seconds float64, seed uint64) []arrival {
	if l.Rate <= 0 {
		return nil
	}
	random := rand.New(rand.NewPCG(seed, 3))
	var arrivals []arrival
	for elapsed := 0.0; ; {
		elapsed += random.ExpFloat64() / l.Rate
		if elapsed >= seconds {
			return arrivals
		}
		arrivals = append(arrivals, arrival{
			at:      secondsToDuration(elapsed),
			session: random.IntN(sessionCount),
			write:   random.Float64() < l.WriteShare,
			value:   len(arrivals) + 1,
		})
	}
}

func secondsToDuration(seconds float64) time.Duration { return time.Duration(seconds * 1e9) }

func millisecondsToDuration(ms float64) time.Duration { return time.Duration(ms * 1e6) }

// RequestCounts counts requests by their outcome for the clients.
type RequestCounts struct {
	Sent     int
	Served   int
	Rejected int
	Failed   int
	Lost     int                     // no answer although no fault affected the gateway
	Excused  int                     // the gateway was killed, stopped or paused during the request, or no gateway was up
	Stale    int                     // served reads that missed a write which the same process had acknowledged before
	Latency  *hdrhistogram.Histogram // latency of the served requests from the intended send time, µs
}

func newRequestCounts() RequestCounts {
	return RequestCounts{Latency: hdrhistogram.New(1, maxLatencyMicroseconds, latencyDigits)}
}

// recordLatency records the latency of a served request. The histogram returns an error for a latency above its range, which
// recordLatency ignores: the percentiles don't include that request.
func (c *RequestCounts) recordLatency(microseconds int64) {
	_ = c.Latency.RecordValue(microseconds)
}

// latencyMs returns the latency at a percentile, in ms.
func (c *RequestCounts) latencyMs(percentile float64) float64 {
	return float64(c.Latency.ValueAtQuantile(percentile)) / 1000
}

// measure adds the figures that both engines measure to a result.
func (c *RequestCounts) measure(result *Result) {
	figures := result.Measurements
	figures[FigureLost] = float64(c.Lost)
	figures[FigureStale] = float64(c.Stale)
	figures[FigureServedShare] = float64(c.Served) / float64(max(1, c.Sent-c.Excused))
	figures[FigureP99Ms] = c.latencyMs(99)
	for percentile := range 101 {
		result.Latency = append(result.Latency, c.latencyMs(float64(percentile)))
	}
}
