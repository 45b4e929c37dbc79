package fleet

import "testing"

// Forty gateways limit their traffic to warming hosts, each by its own estimate of the others' traffic. The sum of their
// traffic stays below the overload threshold, even if half of them don't know a third of the fleet, or if the number of
// gateways that they assume is wrong by half.
func TestSlowStartLimitHoldsForSumOfGateways(t *testing.T) {
	const gatewayCount, hostCount, groupRate = 40, 6, 1200.0
	limit := SlowStartLimit{
		HostCount: hostCount, OverloadMultiple: 2.5, UsableShare: 0.8, OverloadWindowMs: 1000, AttemptsPerRequest: 1,
	}
	gateways := newGateways(gatewayCount, 0, nil)
	for name, rosterOf := range map[string]func(gateway int) *Roster{
		"exact": func(i int) *Roster { return NewNamedRoster(gateways[i], gateways) },
		"different views": func(i int) *Roster {
			if i%2 == 0 {
				return NewNamedRoster(gateways[i], gateways[:27])
			}
			return NewNamedRoster(gateways[i], gateways)
		},
		"half the count":           func(i int) *Roster { return NewNumberedRoster(i, gatewayCount/2, "") },
		"one and a half the count": func(i int) *Roster { return NewNumberedRoster(i, gatewayCount*3/2, "") },
		"alone":                    func(i int) *Roster { return NewNamedRoster(gateways[i], nil) },
	} {
		t.Run(name, func(t *testing.T) {
			capacityShares := []float64{0.2, 1, 1, 0.2, 1, 0.2}
			capacityShareOf := func(host int) float64 { return capacityShares[host] }
			rates := make([]float64, hostCount)
			for i := range gatewayCount {
				var group Group
				group.Update(rosterOf(i), newHosts(hostCount, 0), 2)
				inUse := group.InUse(0, capacityShareOf)
				weights := 0.0
				for host, used := range inUse {
					if used {
						weights += capacityShares[host]
					}
				}
				for host, used := range inUse {
					if !used {
						continue
					}
					share := capacityShares[host] / weights
					probability := 1.0
					if capacityShares[host] < 1 {
						fleetShare := group.FleetShare(0, host, share, 4, capacityShareOf)
						probability = limit.AdmitProbability(capacityShares[host], fleetShare, 0)
					}
					rates[host] += groupRate / gatewayCount * share * probability
				}
			}
			for host, rate := range rates {
				if overload := 2.5 * capacityShares[host] * groupRate / hostCount; capacityShares[host] < 1 && rate > overload {
					t.Errorf("host %d gets %.0f requests a second, want at most %.0f: above that it is overloaded",
						host, rate, overload)
				}
			}
		})
	}
}
