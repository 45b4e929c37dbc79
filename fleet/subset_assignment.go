package fleet

import (
	"math"
	"slices"
)

// maxSubsetImbalance is the share by which the number of subsets with a host may exceed the mean. A smaller one moves
// more hosts between subsets when a gateway comes or goes, a larger one lets the hosts' numbers differ more.
const maxSubsetImbalance = 0.1

// SubsetAssignment holds which hosts of one group each gateway prefers: its subset, followed by the others for when
// hosts of the subset fail. It is computed anew when the gateways or the hosts change.
type SubsetAssignment struct {
	roster           *Roster
	hosts            []Host
	hostHashes       []uint64
	requestedSize    int
	subsetSize       int
	subsets          []int32 // hosts of all subsets: subsetSize for each gateway
	preferenceOrders [][]int // by gateway, nil until computed; nil as a whole if every gateway uses all hosts
}

// AssignSubsets assigns a subset of a group's hosts to every gateway: size of them, or all if there are no more or size
// is 0. No host is in more subsets than maxSubsetImbalance above the mean allows.
//
// Gateways pick in the order of their hashes, all first picks before any second pick. Each picks the host that it
// prefers most, hosts of its own zone before others, among those below the bound. One gateway more or less changes few
// subsets: only those where a bound is reached.
func AssignSubsets(roster *Roster, hosts []Host, size int) *SubsetAssignment {
	s := &SubsetAssignment{
		roster: roster, hosts: slices.Clone(hosts), hostHashes: make([]uint64, len(hosts)),
		requestedSize: size, subsetSize: len(hosts),
	}
	for i, host := range hosts {
		s.hostHashes[i] = hashName(host.ID)
	}
	if size > 0 {
		s.subsetSize = min(size, len(hosts))
	}
	if roster.selfIndex < 0 || s.subsetSize == len(hosts) {
		s.subsetSize = len(hosts)
		return s
	}
	s.preferenceOrders = make([][]int, len(roster.gateways))
	s.subsets = make([]int32, len(roster.gateways)*s.subsetSize)
	subsetCounts := make([]int, len(hosts))
	for round := range s.subsetSize {
		mean := float64((round+1)*len(roster.gateways)) / float64(len(hosts))
		maxCount := int(math.Ceil(mean * (1 + maxSubsetImbalance)))
		for _, gateway := range roster.assignmentOrder {
			host := s.pick(gateway, round, subsetCounts, maxCount)
			s.subsets[gateway*s.subsetSize+round] = int32(host)
			subsetCounts[host]++
		}
	}
	return s
}

// pick is the host that a gateway prefers most among those that it has not picked and that are in fewer than maxCount
// subsets. If there is none, it is picked among those at the bound.
func (s *SubsetAssignment) pick(gateway, round int, subsetCounts []int, maxCount int) int {
	picked := s.subsetOf(gateway)[:round]
	best := -1
	for _, belowBound := range []bool{true, false} {
		for host := range s.hosts {
			if belowBound && subsetCounts[host] >= maxCount || slices.Contains(picked, int32(host)) {
				continue
			}
			if best < 0 || s.prefers(gateway, host, best) {
				best = host
			}
		}
		if best >= 0 {
			break
		}
	}
	return best
}

// subsetOf is a gateway's subset, as indices of hosts.
func (s *SubsetAssignment) subsetOf(gateway int) []int32 {
	return s.subsets[gateway*s.subsetSize:][:s.subsetSize]
}

// prefers reports whether a gateway prefers one host to another, regardless of the other gateways.
func (s *SubsetAssignment) prefers(gateway, host, other int) bool {
	if hostNear, otherNear := s.sameZone(gateway, host), s.sameZone(gateway, other); hostNear != otherNear {
		return hostNear
	}
	gatewayHash := s.roster.gatewayHashes[gateway]
	hostScore := rendezvousScore(gatewayHash, s.hostHashes[host])
	otherScore := rendezvousScore(gatewayHash, s.hostHashes[other])
	return hostScore > otherScore || hostScore == otherScore && host < other
}

// sameZone reports whether a gateway and a host are known to be in one zone. Two unknown zones aren't, unlike in the
// selection weights of package routing.
func (s *SubsetAssignment) sameZone(gateway, host int) bool {
	zone := s.roster.gateways[gateway].Zone
	return zone != "" && zone == s.hosts[host].Zone
}

// preferenceOrderOf is all hosts in a gateway's order of preference, its subset first.
func (s *SubsetAssignment) preferenceOrderOf(gateway int) []int {
	if s.preferenceOrders[gateway] != nil {
		return s.preferenceOrders[gateway]
	}
	order := make([]int, 0, len(s.hosts))
	for _, host := range s.subsetOf(gateway) {
		order = append(order, int(host))
	}
	for host := range s.hosts {
		if !slices.Contains(order[:s.subsetSize], host) {
			order = append(order, host)
		}
	}
	slices.SortFunc(order[s.subsetSize:], func(a, b int) int {
		if s.prefers(gateway, a, b) {
			return -1
		}
		return 1
	})
	s.preferenceOrders[gateway] = order
	return order
}

// PreferenceOrder is all hosts, as indices, in this gateway's order of preference: the first SubsetSize of them are its
// subset. If every gateway uses all hosts, or this gateway's index is unknown, the order has no meaning.
func (s *SubsetAssignment) PreferenceOrder() []int {
	if s.preferenceOrders != nil {
		return s.preferenceOrderOf(s.roster.selfIndex)
	}
	order := make([]int, len(s.hosts))
	for i := range order {
		order[i] = i
	}
	return order
}

// SubsetSize is how many hosts a subset has.
func (s *SubsetAssignment) SubsetSize() int { return s.subsetSize }

// SubsetCounts is how many subsets each host is in, by index.
func (s *SubsetAssignment) SubsetCounts() []int {
	counts := make([]int, len(s.hosts))
	for _, host := range s.subsets {
		counts[host]++
	}
	if s.preferenceOrders == nil {
		for host := range counts {
			counts[host] = s.roster.size
		}
	}
	return counts
}
