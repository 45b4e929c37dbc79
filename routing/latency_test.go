package routing

import (
	"testing"
	"time"
)

func TestDurationsShrinkWithTheShortestObjective(t *testing.T) {
	for _, test := range []struct{ shortestObjective, want time.Duration }{
		{time.Second, 100 * ms},
		{200 * ms, 100 * ms},
		{50 * ms, 25 * ms},
	} {
		t.Run(test.shortestObjective.String(), func(t *testing.T) {
			harness := newHarness(t, func(s *Settings) {
				s.Classes[classSession].LatencyObjective = test.shortestObjective
			})
			if scaled := harness.router.scaleToObjective(100 * ms); scaled != test.want {
				t.Errorf("100 ms scaled to %v, want %v", scaled, test.want)
			}
		})
	}
}

func TestLatencyEstimateFollowsAnswers(t *testing.T) {
	estimate := latencyEstimate{meanSeconds: 1, deviationSeconds: 0.5}
	estimate.observe(3, 0.5)
	if want := (latencyEstimate{meanSeconds: 2, deviationSeconds: 1.25}); estimate != want {
		t.Errorf("got %+v, want %+v", estimate, want)
	}
}
