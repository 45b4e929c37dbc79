package transport

import (
	"merlinjunction/fleet"
	"merlinjunction/membership"
)

// NewRoster returns the gateways that share the hosts: this one and the members that serve according to its view of
// the fleet.
func NewRoster(self fleet.Gateway, members []membership.Member) *fleet.Roster {
	var peers []fleet.Gateway
	for _, m := range members {
		if isServing(m.State) {
			peers = append(peers, fleet.Gateway{Name: m.Name, Zone: m.Zone, Load: ParsePayload(m.Payload).Load})
		}
	}
	return fleet.NewNamedRoster(self, peers)
}

// isServing returns whether a member in a state counts as a gateway that serves. One that only this gateway can't reach
// does.
func isServing(state membership.State) bool {
	return state == membership.Alive || state == membership.Suspect || state == membership.Unreachable
}
