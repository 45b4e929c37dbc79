package fleet

import (
	"cmp"
	"math"
	"slices"
)

// slack is how much more than an even part of all subsets a host may be in. Less moves more subsets when a gateway
// comes or goes, more lets hosts differ more.
const slack = 0.1

// Dealing holds, for each gateway, the order in which it prefers the hosts of one group: its subset first, then the
// others, for when members of it fail. It is worked out anew when the gateways or the hosts change.
type Dealing struct {
	roster *Roster
	hosts  []Host
	want   int     // a subset's size as it was asked for
	size   int     // and as it is
	orders [][]int // by peer; the first size of each are its subset
}

// Deal deals subsets of a group's hosts: every gateway gets size of them (all, where there are no more), every host is
// in the subsets of a tenth more than an even part at the most. Gateways are dealt to in the order of their keys, all
// their first picks before any second one; each takes the host it prefers most, of its own zone before others, that
// still has room. One gateway more or less moves little: only where a bound is reached.
func Deal(r *Roster, hosts []Host, size int) *Dealing {
	d := &Dealing{roster: r, hosts: hosts, want: size, size: max(1, min(size, len(hosts))), orders: make([][]int, len(r.peers))}
	if len(hosts) == 0 {
		return d
	}
	keys := make([]uint64, len(hosts))
	for i, h := range hosts {
		keys[i] = keyOf(h.ID)
	}
	scores := make([]uint64, len(hosts))
	for p, peer := range r.peers {
		order := make([]int, len(hosts))
		for i := range hosts {
			order[i], scores[i] = i, score(r.keys[p], keys[i])
		}
		slices.SortFunc(order, func(a, b int) int {
			return cmp.Or(cmp.Compare(near(peer, hosts[b]), near(peer, hosts[a])), cmp.Compare(scores[b], scores[a]), cmp.Compare(a, b))
		})
		d.orders[p] = order
	}
	taken := make([]int, len(hosts))
	for round := range d.size {
		most := int(math.Ceil(float64((round+1)*len(r.peers)) / float64(len(hosts)) * (1 + slack)))
		for _, p := range r.order {
			order := d.orders[p]
			at := round
			for i := round; i < len(order); i++ {
				if taken[order[i]] < most {
					at = i
					break
				}
			}
			pick := order[at]
			copy(order[round+1:at+1], order[round:at])
			order[round] = pick
			taken[pick]++
		}
	}
	return d
}

func near(p Peer, h Host) int {
	if p.Zone != "" && p.Zone == h.Zone {
		return 1
	}
	return 0
}

// Order is the order in which this gateway prefers the hosts, as indices: the first Size of them are its subset. Where
// nobody knows which gateway this is, all hosts are as good.
func (d *Dealing) Order() []int {
	if d.roster.self < 0 {
		order := make([]int, len(d.hosts))
		for i := range order {
			order[i] = i
		}
		return order
	}
	return d.orders[d.roster.self]
}

// Size is how many hosts are in a subset.
func (d *Dealing) Size() int {
	if d.roster.self < 0 {
		return len(d.hosts)
	}
	return d.size
}

// Holders is in how many subsets a host is.
func (d *Dealing) Holders(host int) int {
	n := 0
	for _, order := range d.orders {
		if slices.Contains(order[:d.size], host) {
			n++
		}
	}
	return n
}
