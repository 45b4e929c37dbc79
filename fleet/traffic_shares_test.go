package fleet

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// The fleet shares sum to 1 and are the same on every gateway. Each is the mean of the gateways' own shares weighted by
// their loads.
func TestTrafficShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gatewayCount, hostCount := rapid.IntRange(1, 40).Draw(t, "gateways"), rapid.IntRange(1, 12).Draw(t, "hosts")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		gateways := newGateways(gatewayCount, 2, func(int) float64 { return rng.ExpFloat64() + 0.1 })
		capacityShares := make([]float64, hostCount)
		for i := range capacityShares {
			capacityShares[i] = max(0.2, rng.Float64())
		}
		hosts := newHosts(hostCount, 2)
		ownSum := make([]float64, hostCount)
		totalLoad := 0.0
		var expected []float64
		for _, self := range gateways {
			fleetShares, ownShares := AssignSubsets(NewNamedRoster(self, gateways), hosts, 2).TrafficShares(capacityShares, 4)
			if expected == nil {
				expected = fleetShares
			}
			for host := range fleetShares {
				ownSum[host] += ownShares[host] * self.Load
				if math.Abs(fleetShares[host]-expected[host]) > 1e-9 {
					t.Fatalf("host %d: two gateways compute the fleet shares %v and %v", host, fleetShares[host], expected[host])
				}
			}
			totalLoad += self.Load
		}
		sum := 0.0
		for host := range ownSum {
			sum += expected[host]
			if math.Abs(ownSum[host]/totalLoad-expected[host]) > 1e-9 {
				t.Fatalf("host %d: the weighted mean of the gateways' own shares is %v, the fleet share is %v",
					host, ownSum[host]/totalLoad, expected[host])
			}
		}
		if math.Abs(sum-1) > 1e-9 {
			t.Fatalf("the fleet shares sum to %v, want 1", sum)
		}
	})
}
