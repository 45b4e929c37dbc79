package membership

import "net/netip"

// Event is an input of Step: Received, Leave or SetPayload.
type Event interface{ event() }

// Received is a message that arrived from an address.
type Received struct {
	From    netip.AddrPort
	Message Message
}

// Leave makes this member leave the fleet: it notifies the others and answers nobody afterwards.
type Leave struct{}

// SetPayload changes this member's payload, up to MaxPayloadBytes; a longer one is ignored.
type SetPayload struct{ Payload []byte }

func (Received) event()   {}
func (Leave) event()      {}
func (SetPayload) event() {}
