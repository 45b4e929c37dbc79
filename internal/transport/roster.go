package transport

import (
	"merlinjunction/fleet"
	"merlinjunction/membership"
)

// NewRoster returns the roster of the gateways that share the hosts: this one and the members that are serving according
// to its view of the fleet.
func NewRoster(self fleet.Gateway, members []membership.Member) *fleet.Roster {
	var peers []fleet.Gateway
	for _, m := range members {
		if isServing(m.State) {
			peers = append(peers, fleet.Gateway{Name: m.Name, Zone: m.Zone, Load: ParsePayload(m.Payload).Load})
		}
	}
	return fleet.NewNamedRoster(self, peers)
}

// isServing reports whether a member in a state counts as a serving gateway. An unreachable member does, because only
// this gateway can't reach it.
func isServing(state membership.State) bool {
	return state == membership.Alive || state == membership.Suspect || state == membership.Unreachable
}
