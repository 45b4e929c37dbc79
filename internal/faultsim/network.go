package faultsim

import "math/rand/v2"

// link is one direction between two gateways, or between a gateway and a host.
type link struct {
	from, to int
}

// Network decides whether each datagram is lost, delayed or duplicated. It transmits nothing itself.
type Network struct {
	zones          int                  // number of zones
	conditions     []*NetworkConditions // the experiment's conditions, then those of active faults
	cuts           map[link]int         // by link: number of active faults that cut it
	unreachableIn  map[int]int          // by gateway: number of other gateways from which it can't receive
	unreachableOut map[int]int          // by gateway: number of other gateways to which it can't send
}

// NewNetwork returns a network without faults.
func NewNetwork(zones int, conditions *NetworkConditions) *Network {
	return &Network{
		zones:          zones,
		conditions:     []*NetworkConditions{conditions},
		cuts:           map[link]int{},
		unreachableIn:  map[int]int{},
		unreachableOut: map[int]int{},
	}
}

// Apply carries out a Step that concerns the network. It ignores other steps.
func (n *Network) Apply(step *Step) {
	switch step.Operation {
	case Cut:
		for _, to := range step.Destinations {
			if step.Undo {
				n.healLink(link{step.Target, to})
			} else {
				n.cutLink(link{step.Target, to})
			}
		}
	case ChangeConditions:
		if step.Undo {
			n.removeConditions(step.Conditions)
		} else {
			n.conditions = append(n.conditions, step.Conditions)
		}
	}
}

func (n *Network) cutLink(direction link) {
	if n.cuts[direction]++; n.cuts[direction] == 1 {
		n.unreachableOut[direction.from]++
		n.unreachableIn[direction.to]++
	}
}

func (n *Network) healLink(direction link) {
	if n.cuts[direction]--; n.cuts[direction] == 0 {
		delete(n.cuts, direction)
		n.unreachableOut[direction.from]--
		n.unreachableIn[direction.to]--
	}
}

func (n *Network) removeConditions(conditions *NetworkConditions) {
	for i, active := range n.conditions {
		if i > 0 && active == conditions {
			n.conditions = append(n.conditions[:i], n.conditions[i+1:]...)
			return
		}
	}
}

// IsCut reports whether all datagrams from one gateway to another are lost.
func (n *Network) IsCut(from, to int) bool { return len(n.cuts) > 0 && n.cuts[link{from, to}] > 0 }

// Delivery says how many copies of one datagram arrive, and after which delays.
type Delivery struct {
	copies int        // 0: lost; 2: duplicated
	delays [2]float64 // by copy, ms
}

// delaysMs returns the delays, in ms, of the copies that arrive.
func (d *Delivery) delaysMs() []float64 { return d.delays[:d.copies] }

func (d *Delivery) addCopy(delayMs float64) {
	d.delays[d.copies] = delayMs
	d.copies++
}

// DrawDelivery draws what happens to a datagram from one gateway to another. The losses of all active conditions
// are independent. Of the duplicate shares the largest applies, and of the delay ranges the latest.
func (n *Network) DrawDelivery(random *rand.Rand, from, to int) (delivery Delivery) {
	if n.IsCut(from, to) {
		return delivery
	}
	deliveredShare, duplicateShare := 1.0, 0.0
	delayRange := n.conditions[0].DelayMs
	for _, conditions := range n.conditions {
		deliveredShare *= 1 - conditions.LossShare
		duplicateShare = max(duplicateShare, conditions.DuplicateShare)
		if len(conditions.DelayMs) == 2 {
			delayRange = conditions.DelayMs
		}
	}
	if deliveredShare < 1 && random.Float64() >= deliveredShare {
		return delivery
	}
	delivery.addCopy(n.drawDelay(random, delayRange, from, to))
	if duplicateShare > 0 && random.Float64() < duplicateShare {
		delivery.addCopy(n.drawDelay(random, delayRange, from, to))
	}
	return delivery
}

// drawDelay draws a delay, in ms, from [least, most]. Between zones it adds the experiment's cross-zone delay.
func (n *Network) drawDelay(random *rand.Rand, delayRange []float64, from, to int) float64 {
	delayMs := delayRange[0] + (delayRange[1]-delayRange[0])*random.Float64()
	if n.zones > 1 && from%n.zones != to%n.zones {
		delayMs += n.conditions[0].CrossZoneDelayMs
	}
	return delayMs
}
