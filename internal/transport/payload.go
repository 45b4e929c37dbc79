package transport

import (
	"math"

	"github.com/fxamacker/cbor/v2"

	"merlinjunction/fleet"
	"merlinjunction/membership"
)

// Payload is what a gateway tells of itself beside that it lives.
type Payload struct {
	Load float64 `cbor:"1,keyasint,omitempty"` // requests a second that it takes, rounded; 0: not told
}

// NewRoster is the gateways that share the hosts with this one: those that live, as far as its view tells. One that only this
// gateway can't reach counts too: it serves.
func NewRoster(self fleet.Gateway, members []membership.Member) *fleet.Roster {
	var peers []fleet.Gateway
	for _, m := range members {
		if m.State == membership.Alive || m.State == membership.Suspect || m.State == membership.Unreachable {
			peers = append(peers, fleet.Gateway{Name: m.Name, Zone: m.Zone, Load: ParsePayload(m.Payload).Load})
		}
	}
	return fleet.NewNamedRoster(self, peers)
}

// mostLoad bounds what is believed, requests a second.
const mostLoad = 1e6

// Bytes is the payload as members carry it.
func (p Payload) Bytes() []byte {
	text, err := encoding.Marshal(p)
	if err != nil || len(text) > membership.MaxPayload {
		return nil
	}
	return text
}

// ParsePayload reads a member's payload; what can't be read, or makes no sense, tells nothing.
func ParsePayload(text []byte) (p Payload) {
	if len(text) == 0 || cbor.Unmarshal(text, &p) != nil || !(p.Load >= 0 && p.Load <= mostLoad) || math.IsNaN(p.Load) {
		return Payload{}
	}
	return p
}
