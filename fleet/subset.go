package fleet

import (
	"math"
	"slices"
)

// slack is how much more than an even part of all subsets a host may be in. Less moves more subsets when a gateway
// comes or goes, more lets hosts differ more.
const slack = 0.1

// SubsetAssignment holds which hosts of one group each gateway prefers: its subset, and beyond it the others for when members of
// that fail. It is worked out anew when the gateways or the hosts change.
type SubsetAssignment struct {
	roster *Roster
	hosts  []Host
	keys   []uint64
	want   int     // a subset's size as it was asked for
	size   int     // and as it is
	picks  []int32 // size of them for each peer
	orders [][]int // by peer; nil: not worked out yet
}

// AssignSubsets deals subsets of a group's hosts: every gateway gets size of them (all, where there are no more, or size is 0),
// every host is in a tenth more of the subsets than an even part at the most. Gateways are dealt to in the order of their
// keys, all their first picks before any second one; each takes the host it prefers most, of its own zone before others,
// that still has room. One gateway more or less moves little: only where a bound is reached.
func AssignSubsets(r *Roster, hosts []Host, size int) *SubsetAssignment {
	d := &SubsetAssignment{roster: r, hosts: slices.Clone(hosts), keys: make([]uint64, len(hosts)), want: size, size: len(hosts)}
	for i, h := range hosts {
		d.keys[i] = keyOf(h.ID)
	}
	if size > 0 {
		d.size = min(size, len(hosts))
	}
	if r.self < 0 || d.size == len(hosts) {
		d.size = len(hosts)
		return d
	}
	d.orders = make([][]int, len(r.peers))
	d.picks = make([]int32, len(r.peers)*d.size)
	taken := make([]int, len(hosts))
	for round := range d.size {
		most := int(math.Ceil(float64((round+1)*len(r.peers)) / float64(len(hosts)) * (1 + slack)))
		for _, p := range r.order {
			mine := d.picks[p*d.size:][:round]
			best := -1
			for _, free := range []bool{true, false} { // where none with room is left, any other
				for h := range hosts {
					if (taken[h] < most || !free) && !slices.Contains(mine, int32(h)) && (best < 0 || d.prefers(p, h, best)) {
						best = h
					}
				}
				if best >= 0 {
					break
				}
			}
			d.picks[p*d.size+round] = int32(best)
			taken[best]++
		}
	}
	return d
}

// prefers tells whether a peer prefers one host to another, whatever the others do.
func (d *SubsetAssignment) prefers(p, a, b int) bool {
	if na, nb := d.near(p, a), d.near(p, b); na != nb {
		return na
	}
	sa, sb := score(d.roster.keys[p], d.keys[a]), score(d.roster.keys[p], d.keys[b])
	return sa > sb || sa == sb && a < b
}

func (d *SubsetAssignment) near(p, h int) bool {
	zone := d.roster.peers[p].Zone
	return zone != "" && zone == d.hosts[h].Zone
}

// order is all hosts in the order in which a peer prefers them, its subset first.
func (d *SubsetAssignment) order(p int) []int {
	if d.orders[p] == nil {
		order := make([]int, 0, len(d.hosts))
		for _, h := range d.picks[p*d.size:][:d.size] {
			order = append(order, int(h))
		}
		for h := range d.hosts {
			if !slices.Contains(order[:d.size], h) {
				order = append(order, h)
			}
		}
		slices.SortFunc(order[d.size:], func(a, b int) int {
			if d.prefers(p, a, b) {
				return -1
			}
			return 1
		})
		d.orders[p] = order
	}
	return d.orders[p]
}

// PreferenceOrder is the order in which this gateway prefers the hosts, as indices: the first Size of them are its subset. Where
// nobody knows which gateway this is, or all get all, all are as good.
func (d *SubsetAssignment) PreferenceOrder() []int {
	if d.orders != nil {
		return d.order(d.roster.self)
	}
	order := make([]int, len(d.hosts))
	for i := range order {
		order[i] = i
	}
	return order
}

// SubsetSize is how many hosts are in a subset.
func (d *SubsetAssignment) SubsetSize() int { return d.size }

// SubsetCounts is in how many subsets each host is.
func (d *SubsetAssignment) SubsetCounts() []int {
	n := make([]int, len(d.hosts))
	for _, h := range d.picks {
		n[h]++
	}
	if d.orders == nil {
		for h := range n {
			n[h] = d.roster.size
		}
	}
	return n
}
