package fleet

// TrafficShares computes two shares for each host, by index: the share of the group's traffic that the host gets from
// the whole fleet, and the share of this gateway's traffic to the group that the host gets. The input is the same on all
// gateways: the assignment, the hosts' capacity shares (0 to 1) and the gateways' loads.
//
// Each gateway is assumed to use the hosts that its Aperture would use if hosts were warming up but none failed or was
// full, and to distribute its requests over them in proportion to their capacity shares. A host in the gateway's own zone
// counts zoneWeight times. Each result sums to 1 if any host has capacity.
//
// A host in few subsets gets little of the group's traffic, even if it gets most requests of the gateways that use it.
// If each gateway multiplies its requests to a host by a limit divided by the host's fleet share, the fleet's sum meets
// the limit.
func (s *SubsetAssignment) TrafficShares(
	capacityShares []float64, zoneWeight float64,
) (fleetShares, ownShares []float64) {
	fleetShares, ownShares = make([]float64, len(s.hosts)), make([]float64, len(s.hosts))
	if s.preferenceOrders == nil { // every gateway uses all hosts
		sum := 0.0
		for _, share := range capacityShares {
			sum += share
		}
		for host, share := range capacityShares {
			if share > 0 {
				fleetShares[host], ownShares[host] = share/sum, share/sum
			}
		}
		return fleetShares, ownShares
	}
	weights := make([]float64, len(s.hosts))
	for gateway := range s.roster.gateways {
		sum := s.expectedWeights(gateway, capacityShares, zoneWeight, weights)
		for host, weight := range weights {
			if weight > 0 {
				fleetShares[host] += weight / sum * s.roster.loads[gateway] / s.roster.totalLoad
				if gateway == s.roster.selfIndex {
					ownShares[host] = weight / sum
				}
			}
		}
	}
	return fleetShares, ownShares
}

// expectedWeights sets the weights by which a gateway is expected to distribute its requests, and returns their sum. The
// weight of a host that the gateway is not expected to use is 0.
func (s *SubsetAssignment) expectedWeights(
	gateway int, capacityShares []float64, zoneWeight float64, weights []float64,
) float64 {
	capacity, sum := 0.0, 0.0
	clear(weights)
	use := func(host int) {
		capacity += capacityShares[host]
		weights[host] = capacityShares[host]
		if s.sameZone(gateway, host) {
			weights[host] *= zoneWeight
		}
		sum += weights[host]
	}
	for _, host := range s.subsetOf(gateway) {
		use(int(host))
	}
	if capacity < float64(s.subsetSize) {
		for _, host := range s.preferenceOrderOf(gateway)[s.subsetSize:] {
			if capacity >= float64(s.subsetSize) {
				break
			}
			use(host)
		}
	}
	return sum
}
