package fleet

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxAssignedGateways is the largest fleet for which subsets are computed. In a larger fleet every gateway uses all
// hosts.
const maxAssignedGateways = 10_000

// equivalentLoadFactor is the factor within which two loads count as the same.
const equivalentLoadFactor = 1.25

// Gateway describes one gateway of the fleet.
type Gateway struct {
	Name string
	Zone string  // "" if unknown
	Load float64 // received requests a second; 0: unknown, the mean of the known loads is assumed
}

// Roster is the set of gateways that share the hosts. It is immutable; a new one is created when the fleet changes.
type Roster struct {
	gateways        []Gateway // sorted by name
	gatewayHashes   []uint64
	loads           []float64 // requests a second, all above 0
	assignmentOrder []int     // indices of gateways in the order in which they pick hosts: by hash
	totalLoad       float64
	size            int    // number of gateways; more than len(gateways) if subsets are not computed
	selfIndex       int    // index of this gateway; -1: unknown
	allLoadsKnown   bool   // no load was replaced by the mean
	namesHash       uint64 // hash of the gateways' names and zones
}

// NewNumberedRoster returns the roster of a fleet of which only the number of gateways and the index of this gateway are
// known. The index is 0 to count-1, or -1 if it is unknown. A count below 1 is taken as 1. If the index is not below the
// count, the fleet is assumed to have index+1 gateways. Only this gateway's zone is known, so it prefers hosts of its
// zone while the other gateways are assumed to have no zone.
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

// NewNamedRoster returns the roster of a fleet whose members are known. It contains self and the peers. A peer with the
// name of self is ignored, and of several peers with the same name only the first is used.
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

// newRoster returns a roster of gateways that are sorted by name.
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

// setLoads sets the gateways' loads. An unknown load is assumed to be the mean of the known loads.
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

// hashNames returns a hash of the gateways' names and zones. Subset assignments depend on no other attribute of gateways.
func hashNames(gateways []Gateway) uint64 {
	hash := xxhash.New()
	for _, gateway := range gateways {
		_, _ = fmt.Fprintf(hash, "%q %q ", gateway.Name, gateway.Zone)
	}
	return hash.Sum64()
}

// Size returns the number of gateways, including this one.
func (r *Roster) Size() int { return r.size }

// Index returns this gateway's index among all gateways sorted by name: 0 to Size()-1, or -1 if it is unknown.
func (r *Roster) Index() int { return r.selfIndex }

// TrafficShare returns this gateway's share of the fleet's traffic. The share is proportional to its load, or even if
// this gateway's index is unknown.
func (r *Roster) TrafficShare() float64 {
	if r.selfIndex < 0 {
		return 1 / float64(r.size)
	}
	return r.loads[r.selfIndex] / r.totalLoad
}

// QuotaScale returns which multiple of its even share of a host's limit a gateway may use if it sends ratio times the
// fleet's mean share of traffic to that host. While any load is unknown, the gateway may have far more traffic than the
// others, so it may use at most its even share.
func (r *Roster) QuotaScale(ratio float64) float64 {
	if r.allLoadsKnown {
		return ratio
	}
	return min(1, ratio)
}

// Equivalent reports whether two rosters lead to the same decisions, because they have the same gateways with about the
// same loads.
func (r *Roster) Equivalent(other *Roster) bool {
	return r.selfIndex == other.selfIndex && r.size == other.size &&
		slices.EqualFunc(r.gateways, other.gateways, equivalentGateways)
}

func equivalentGateways(a, b Gateway) bool {
	return a.Name == b.Name && a.Zone == b.Zone && (a.Load > 0) == (b.Load > 0) &&
		a.Load <= equivalentLoadFactor*b.Load && b.Load <= equivalentLoadFactor*a.Load
}
