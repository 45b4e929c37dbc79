package faultsim

import (
	"merlinjunction/membership"
)

// believedUp reports whether a state means that the viewer still counts on the member.
func believedUp(state membership.State) bool {
	return state == membership.Alive || state == membership.Suspect
}

// isWrong reports whether a viewer's belief of a member contradicts the facts. Beliefs by and of gateways that are not
// observable are never wrong.
func (o *Oracle) isWrong(viewer, member int) bool {
	viewing, viewed := &o.gateways[viewer], &o.gateways[member]
	if viewer == member || !viewing.up || !viewing.isObservable() || !viewed.isObservable() {
		return false
	}
	return believedUp(o.beliefs[viewer][member]) != viewed.up
}

// countWrong adds a number, 1 or -1, to the counts of wrong beliefs.
func (o *Oracle) countWrong(viewer, member, sign int) {
	o.wrongBeliefs += sign
	o.gateways[viewer].wrongBy += sign
	o.gateways[member].wrongOf += sign
}

// change changes the facts of one gateway and counts anew the wrong beliefs by and of it.
func (o *Oracle) change(index int, now float64, apply func(*observedGateway)) {
	o.recordWrong(now)
	o.countWrongAround(index, -1)
	apply(&o.gateways[index])
	o.countWrongAround(index, 1)
}

func (o *Oracle) countWrongAround(index, sign int) {
	for other := range o.gateways {
		if o.isWrong(index, other) {
			o.countWrong(index, other, sign)
		}
		if o.isWrong(other, index) {
			o.countWrong(other, index, sign)
		}
	}
}

// setBelief changes one belief and updates the counts of wrong ones.
func (o *Oracle) setBelief(viewer, member int, state membership.State, now float64) {
	wasWrong := o.isWrong(viewer, member)
	o.recordWrong(now)
	o.beliefs[viewer][member] = state
	isWrong := o.isWrong(viewer, member)
	switch {
	case isWrong && !wasWrong:
		o.countWrong(viewer, member, 1)
	case wasWrong && !isWrong:
		o.countWrong(viewer, member, -1)
	}
	o.recordWrong(now)
}

// recordWrong records that beliefs were wrong until now, if any were.
func (o *Oracle) recordWrong(now float64) {
	if o.wrongBeliefs > 0 {
		o.lastWrongAt = max(o.lastWrongAt, now)
	}
}

// CountUp returns how many gateways are up, and how many an observable gateway believes to be up on average, itself
// included.
func (o *Oracle) CountUp() (up int, believed float64) {
	sum, viewers := 0, 0
	for viewer := range o.gateways {
		if !o.gateways[viewer].up {
			continue
		}
		up++
		if !o.gateways[viewer].isObservable() {
			continue
		}
		viewers++
		sum++
		for member, state := range o.beliefs[viewer] {
			if member != viewer && believedUp(state) {
				sum++
			}
		}
	}
	if viewers > 0 {
		believed = float64(sum) / float64(viewers)
	}
	return up, believed
}
