package faultsim

import (
	"merlinjunction/membership"
)

// believedUp reports whether a viewer that holds a member in the state believes that it is up.
func believedUp(state membership.State) bool {
	return state == membership.Alive || state == membership.Suspect
}

// isWrong reports whether a viewer's belief about a member contradicts the facts. Beliefs by and about gateways that are
// not observable are never wrong.
func (o *Oracle) isWrong(viewer, member int) bool {
	viewing, viewed := &o.gateways[viewer], &o.gateways[member]
	if viewer == member || !viewing.up || !viewing.isObservable() || !viewed.isObservable() {
		return false
	}
	return believedUp(o.beliefs[viewer][member]) != viewed.up
}

// addToWrongCounts adds sign, which is 1 or -1, to all counts of wrong beliefs that include one belief.
func (o *Oracle) addToWrongCounts(viewer, member, sign int) {
	o.wrongBeliefs += sign
	o.gateways[viewer].wrongBeliefsBy += sign
	o.gateways[member].wrongBeliefsOf += sign
}

// changeFacts changes the facts about one gateway and updates the counts of wrong beliefs by and about it.
func (o *Oracle) changeFacts(index int, now float64, apply func(*observedGateway)) {
	o.recordWrong(now)
	o.addToWrongCountsAround(index, -1)
	apply(&o.gateways[index])
	o.addToWrongCountsAround(index, 1)
}

// addToWrongCountsAround adds sign to the counts for each wrong belief by or about one gateway.
func (o *Oracle) addToWrongCountsAround(index, sign int) {
	for other := range o.gateways {
		if o.isWrong(index, other) {
			o.addToWrongCounts(index, other, sign)
		}
		if o.isWrong(other, index) {
			o.addToWrongCounts(other, index, sign)
		}
	}
}

// setBelief changes one belief and updates the counts of wrong beliefs.
func (o *Oracle) setBelief(viewer, member int, state membership.State, now float64) {
	wasWrong := o.isWrong(viewer, member)
	o.recordWrong(now)
	o.beliefs[viewer][member] = state
	isWrong := o.isWrong(viewer, member)
	switch {
	case isWrong && !wasWrong:
		o.addToWrongCounts(viewer, member, 1)
	case wasWrong && !isWrong:
		o.addToWrongCounts(viewer, member, -1)
	}
	o.recordWrong(now)
}

// recordWrong records the present time as the last one with a wrong belief, if any belief is wrong.
func (o *Oracle) recordWrong(now float64) {
	if o.wrongBeliefs > 0 {
		o.lastWrongAt = max(o.lastWrongAt, now)
	}
}

// CountUp returns the number of gateways that are up, and the mean number that an observable gateway believes to be up,
// which includes itself.
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
