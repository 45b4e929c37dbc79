package faultsim

import "math/rand/v2"

// Network decides what becomes of each datagram: which links are cut, loss, delay and duplication. It sends nothing itself.
type Network struct {
	zones                         int
	conditions                    []*NetworkConditions // the experiment's first, those of faults behind it
	cuts                          map[[2]int]int
	unreachableIn, unreachableOut map[int]int // of how many others a gateway can't hear, or be heard by
}

// NewNetwork returns a network without faults.
func NewNetwork(zones int, w *NetworkConditions) *Network {
	return &Network{zones: zones, conditions: []*NetworkConditions{w}, cuts: map[[2]int]int{}, unreachableIn: map[int]int{}, unreachableOut: map[int]int{}}
}

// Apply carries out a Step that concerns the network.
func (n *Network) Apply(s *Step) {
	switch s.Do {
	case Cut:
		for _, to := range s.To {
			link := [2]int{s.Who, to}
			if !s.Undo {
				if n.cuts[link]++; n.cuts[link] == 1 {
					n.unreachableOut[s.Who]++
					n.unreachableIn[to]++
				}
			} else if n.cuts[link]--; n.cuts[link] == 0 {
				delete(n.cuts, link)
				n.unreachableOut[s.Who]--
				n.unreachableIn[to]--
			}
		}
	case ChangeConditions:
		if !s.Undo {
			n.conditions = append(n.conditions, s.Conditions)
			return
		}
		for i, w := range n.conditions {
			if i > 0 && w == s.Conditions {
				n.conditions = append(n.conditions[:i], n.conditions[i+1:]...)
				return
			}
		}
	}
}

// IsCut tells whether nothing goes from one gateway to another.
func (n *Network) IsCut(from, to int) bool { return len(n.cuts) > 0 && n.cuts[[2]int{from, to}] > 0 }

// Send decides what becomes of a datagram: it arrives after so many milliseconds, perhaps twice, or never (negative).
func (n *Network) Send(rng *rand.Rand, from, to int) (first, second float64) {
	first, second = -1, -1
	if n.IsCut(from, to) {
		return
	}
	kept, twice := 1.0, 0.0
	delay := n.conditions[0].DelayMs
	for _, w := range n.conditions {
		kept *= 1 - w.Loss
		twice = max(twice, w.Duplicate)
		if len(w.DelayMs) == 2 {
			delay = w.DelayMs
		}
	}
	if kept < 1 && rng.Float64() >= kept {
		return
	}
	draw := func() float64 {
		d := delay[0] + (delay[1]-delay[0])*rng.Float64()
		if n.zones > 1 && from%n.zones != to%n.zones {
			d += n.conditions[0].FarMs
		}
		return d
	}
	first = draw()
	if twice > 0 && rng.Float64() < twice {
		second = draw()
	}
	return
}
