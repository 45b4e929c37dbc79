package fleet

import (
	"math"
	"slices"
)

// maxSubsetImbalance bounds by how much the number of subsets that contain a host may exceed the mean, as a share of the
// mean. A smaller bound moves more hosts between subsets when a gateway joins or leaves; a larger bound allows larger
// differences between the hosts.
const maxSubsetImbalance = 0.1

// SubsetAssignment holds in which order each gateway prefers the hosts of one group: first the hosts of its subset, then
// the other hosts, which it uses if hosts of the subset fail. It is recomputed when the gateways or the hosts change.
type SubsetAssignment struct {
	roster           *Roster
	hosts            []Host
	hostHashes       []uint64
	requestedSize    int     // size that AssignSubsets was called with
	subsetSize       int     // number of hosts in each subset
	subsets          []int32 // hosts of all subsets: subsetSize for each gateway
	preferenceOrders [][]int // by gateway, each computed on first use; nil slice if every gateway uses all hosts
}

// AssignSubsets assigns a subset of a group's hosts to every gateway. A subset has size hosts, or all hosts if there are
// no more than that, size is 0 or this gateway's index is unknown. maxSubsetImbalance bounds the number of subsets that
// contain a host. A gateway exceeds the bound only if it finds no host below it.
//
// Gateways pick hosts in the order of their hashes, and all gateways make their first pick before any makes its second.
// Each picks the host that it prefers most among the hosts below the bound, and it prefers hosts of its own zone. A
// gateway that joins or leaves changes few subsets: only those where a bound is reached.
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
			host := s.pickHost(gateway, round, subsetCounts, maxCount)
			s.subsets[gateway*s.subsetSize+round] = int32(host)
			subsetCounts[host]++
		}
	}
	return s
}

// pickHost returns the host that a gateway prefers most among the hosts that it has not picked yet and that are in fewer
// than maxCount subsets. If there is no such host, it returns the most preferred host among those in maxCount or more.
func (s *SubsetAssignment) pickHost(gateway, round int, subsetCounts []int, maxCount int) int {
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

// subsetOf returns the subset of a gateway, as indices of hosts.
func (s *SubsetAssignment) subsetOf(gateway int) []int32 {
	return s.subsets[gateway*s.subsetSize:][:s.subsetSize]
}

// prefers reports whether a gateway prefers a host to another one. The subsets of other gateways don't matter here.
func (s *SubsetAssignment) prefers(gateway, host, other int) bool {
	if hostInZone, otherInZone := s.sameZone(gateway, host), s.sameZone(gateway, other); hostInZone != otherInZone {
		return hostInZone
	}
	gatewayHash := s.roster.gatewayHashes[gateway]
	hostScore := rendezvousScore(gatewayHash, s.hostHashes[host])
	otherScore := rendezvousScore(gatewayHash, s.hostHashes[other])
	return hostScore > otherScore || hostScore == otherScore && host < other
}

// sameZone reports whether a gateway and a host are known to be in the same zone. If both zones are unknown they are not,
// unlike in the selection weights of package routing.
func (s *SubsetAssignment) sameZone(gateway, host int) bool {
	zone := s.roster.gateways[gateway].Zone
	return zone != "" && zone == s.hosts[host].Zone
}

// preferenceOrderOf returns all hosts in a gateway's order of preference, its subset first.
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

// PreferenceOrder returns the indices of all hosts in this gateway's order of preference. The first SubsetSize hosts are
// its subset. If every gateway uses all hosts, or this gateway's index is unknown, the order has no meaning.
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

// SubsetSize returns the number of hosts in a subset.
func (s *SubsetAssignment) SubsetSize() int { return s.subsetSize }

// SubsetCounts returns for each host, by index, the number of subsets that contain it.
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
