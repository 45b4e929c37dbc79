package membership

import "net/netip"

// Event is an input of Step: Received, Leave or SetPayload.
type Event interface{ event() }

// Received is the arrival of a message from an address.
type Received struct {
	From    netip.AddrPort
	Message Message
}

// Leave makes this member leave the fleet. It notifies other members, and answers no messages afterwards.
type Leave struct{}

// SetPayload changes this member's payload. A payload longer than MaxPayloadBytes is ignored.
type SetPayload struct{ Payload []byte }

func (Received) event()   {}
func (Leave) event()      {}
func (SetPayload) event() {}
