package routing

import (
	"testing"
	"time"
)

func TestConcurrencyLimitFollowsAnswers(t *testing.T) {
	const inTime = 60 * ms // limitGrowthObjectiveShare of the class's 400 ms
	for _, test := range []struct {
		name      string
		limit     float64
		open      int // other open attempts at the host
		latencies []time.Duration
		want      float64
	}{
		{"an answer in time raises it", 4, 1, []time.Duration{inTime}, 4.25},
		{"an unused limit isn't raised", 4, 0, []time.Duration{inTime}, 4},
		{"a late answer lowers it", 5, 4, []time.Duration{inTime + ms}, 4},
		{"late answers lower it once in an interval", 5, 4, []time.Duration{inTime + ms, inTime + ms}, 4},
		{"it stays at 1", 1, 0, []time.Duration{inTime + ms}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			harness := newHarness(t, nil)
			harness.listGroup()
			router := harness.router
			host := router.hosts["a"]
			host.concurrencyLimit = test.limit
			host.openAttempts = make([]*attempt, test.open)
			for _, latency := range test.latencies {
				router.adjustConcurrencyLimit(host, latency, &router.settings.Classes[classAny])
			}
			if host.concurrencyLimit != test.want {
				t.Errorf("limit %v, want %v", host.concurrencyLimit, test.want)
			}
		})
	}
}
