package fleet

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxAssignedGateways is the largest fleet for which subsets are computed; in a larger one every gateway uses all
// hosts.
const maxAssignedGateways = 10_000

// equivalentLoadFactor is the factor within which two loads are taken for the same.
const equivalentLoadFactor = 1.25

// Gateway is one gateway of the fleet.
type Gateway struct {
	Name string
	Zone string  // "" if unknown
	Load float64 // requests a second that it receives; 0: unknown, assumed to be the mean
}

// Roster is the set of gateways that share the hosts. It is immutable; a change of the fleet makes a new one.
type Roster struct {
	gateways        []Gateway // sorted by name
	gatewayHashes   []uint64
	loads           []float64 // requests a second, all above 0
	assignmentOrder []int     // indices of gateways in the order in which they pick hosts: by hash
	totalLoad       float64
	size            int  // len(gateways), or more if subsets are not computed
	selfIndex       int  // of this gateway; -1: unknown
	allLoadsKnown   bool // none was replaced by the mean
	namesHash       uint64
}

// NewNumberedRoster is a fleet of which only the number of gateways is known, and the index of this one: 0 to count-1,
// or -1 if it is unknown. A count under 1 counts as 1; an index past the count makes the fleet that much larger. Only
// this gateway's zone is known, so it prefers hosts of its zone while the others are assumed to have no zone.
func NewNumberedRoster(index, count int, zone string) *Roster {
	count = max(1, count, index+1)
	if index < 0 || count > maxAssignedGateways {
		return &Roster{selfIndex: -1, size: count, totalLoad: 1}
	}
	gateways := make([]Gateway, count)
	for i := range gateways {
		gateways[i].Name = fmt.Sprintf("%06d", i)
	}
	gateways[index].Zone = zone
	return newRoster(index, gateways)
}

// NewNamedRoster is a fleet whose members are known. self is added if it is not among them and replaces the member of
// its name if it is; of several members of one name the first counts.
func NewNamedRoster(self Gateway, peers []Gateway) *Roster {
	gateways := append([]Gateway{self}, peers...)
	slices.SortStableFunc(gateways, func(a, b Gateway) int { return cmp.Compare(a.Name, b.Name) })
	gateways = slices.CompactFunc(gateways, func(a, b Gateway) bool { return a.Name == b.Name })
	selfIndex, _ := slices.BinarySearchFunc(gateways, self.Name, func(g Gateway, name string) int {
		return cmp.Compare(g.Name, name)
	})
	gateways[selfIndex] = self
	return newRoster(selfIndex, gateways)
}

// newRoster takes gateways sorted by name.
func newRoster(selfIndex int, gateways []Gateway) *Roster {
	r := &Roster{
		gateways: gateways, selfIndex: selfIndex, size: len(gateways), namesHash: hashNames(gateways),
		gatewayHashes: make([]uint64, len(gateways)), assignmentOrder: make([]int, len(gateways)),
	}
	for i, gateway := range gateways {
		r.gatewayHashes[i] = hashName(gateway.Name)
		r.assignmentOrder[i] = i
	}
	r.setLoads()
	slices.SortFunc(r.assignmentOrder, func(a, b int) int {
		return cmp.Or(cmp.Compare(r.gatewayHashes[a], r.gatewayHashes[b]), cmp.Compare(a, b))
	})
	return r
}

// setLoads sets the gateways' loads; an unknown one is assumed to be the mean of the known ones.
func (r *Roster) setLoads() {
	known, sum := 0, 0.0
	for _, gateway := range r.gateways {
		if gateway.Load > 0 {
			known++
			sum += gateway.Load
		}
	}
	r.allLoadsKnown = known == len(r.gateways)
	mean := 1.0
	if known > 0 {
		mean = sum / float64(known)
	}
	r.loads = make([]float64, len(r.gateways))
	for i, gateway := range r.gateways {
		r.loads[i] = gateway.Load
		if !(gateway.Load > 0) {
			r.loads[i] = mean
		}
		r.totalLoad += r.loads[i]
	}
}

// hashNames is a hash over names and zones; subset assignments depend on nothing else of the gateways.
func hashNames(gateways []Gateway) uint64 {
	hash := xxhash.New()
	for _, gateway := range gateways {
		_, _ = fmt.Fprintf(hash, "%q %q ", gateway.Name, gateway.Zone)
	}
	return hash.Sum64()
}

// Size is the number of gateways, this one included.
func (r *Roster) Size() int { return r.size }

// Index is this gateway's index among all, by name: 0 to Size()-1, or -1 if it is unknown.
func (r *Roster) Index() int { return r.selfIndex }

// TrafficShare is this gateway's share of the fleet's traffic: by its load, or an even share if its index is unknown.
func (r *Roster) TrafficShare() float64 {
	if r.selfIndex < 0 {
		return 1 / float64(r.size)
	}
	return r.loads[r.selfIndex] / r.totalLoad
}

// QuotaScale is the multiple of its even share of a limit on a host that a gateway may use, if it sends ratio times the
// fleet's mean share of traffic to that host. While any load is unknown the gateway may have far more traffic than the
// others, so it gets at most its even share.
func (r *Roster) QuotaScale(ratio float64) float64 {
	if r.allLoadsKnown {
		return ratio
	}
	return min(1, ratio)
}

// Equivalent reports whether two rosters lead to the same decisions: the same gateways with about the same loads.
func (r *Roster) Equivalent(other *Roster) bool {
	return r.selfIndex == other.selfIndex && r.size == other.size &&
		slices.EqualFunc(r.gateways, other.gateways, equivalentGateways)
}

func equivalentGateways(a, b Gateway) bool {
	return a.Name == b.Name && a.Zone == b.Zone && (a.Load > 0) == (b.Load > 0) &&
		a.Load <= equivalentLoadFactor*b.Load && b.Load <= equivalentLoadFactor*a.Load
}
