package peer

import (
	"math"

	"github.com/fxamacker/cbor/v2"

	"merlinjunction/membership"
)

// Payload is what a gateway tells of itself beside that it lives.
type Payload struct {
	Load float64 `cbor:"1,keyasint,omitempty"` // requests a second that it takes, rounded; 0: not told
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

// ReadPayload reads a member's payload; what can't be read, or makes no sense, tells nothing.
func ReadPayload(text []byte) (p Payload) {
	if len(text) == 0 || cbor.Unmarshal(text, &p) != nil || !(p.Load >= 0 && p.Load <= mostLoad) || math.IsNaN(p.Load) {
		return Payload{}
	}
	return p
}
