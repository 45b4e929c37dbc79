package faultsim

import "math/rand/v2"

// Network is what the stand-in network does to each datagram: which links are cut, and the weather. It sends nothing itself.
type Network struct {
	zones   int
	weather []*NetworkConditions // the experiment's first, those of faults behind it
	cuts    map[[2]int]int
	in, out map[int]int // of how many others a gateway can't hear, or be heard by
}

// NewNetwork returns a network without faults.
func NewNetwork(zones int, w *NetworkConditions) *Network {
	return &Network{zones: zones, weather: []*NetworkConditions{w}, cuts: map[[2]int]int{}, in: map[int]int{}, out: map[int]int{}}
}

// Apply carries out a Step that concerns the network.
func (n *Network) Apply(s *Step) {
	switch s.Do {
	case Cut:
		for _, to := range s.To {
			link := [2]int{s.Who, to}
			if !s.Undo {
				if n.cuts[link]++; n.cuts[link] == 1 {
					n.out[s.Who]++
					n.in[to]++
				}
			} else if n.cuts[link]--; n.cuts[link] == 0 {
				delete(n.cuts, link)
				n.out[s.Who]--
				n.in[to]--
			}
		}
	case Change:
		if !s.Undo {
			n.weather = append(n.weather, s.Weather)
			return
		}
		for i, w := range n.weather {
			if i > 0 && w == s.Weather {
				n.weather = append(n.weather[:i], n.weather[i+1:]...)
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
	delay := n.weather[0].DelayMs
	for _, w := range n.weather {
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
			d += n.weather[0].FarMs
		}
		return d
	}
	first = draw()
	if twice > 0 && rng.Float64() < twice {
		second = draw()
	}
	return
}
