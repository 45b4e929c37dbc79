package transport

import (
	"math"

	"github.com/fxamacker/cbor/v2"

	"merlinjunction/membership"
)

// Payload is what a gateway publishes of itself to the other members of its fleet.
type Payload struct {
	Load float64 `cbor:"1,keyasint,omitempty"` // requests a second that it accepts, rounded; 0: unknown
}

// maxLoad bounds the load that is accepted of a member, in requests a second.
const maxLoad = 1e6

// Bytes returns the payload as a membership record carries it; nil where it can't be encoded.
func (p Payload) Bytes() []byte {
	data, err := encodeMode.Marshal(p)
	if err != nil || len(data) > membership.MaxPayloadBytes {
		return nil
	}
	return data
}

// ParsePayload reads a member's payload. One that can't be decoded, or is out of range, gives an empty Payload.
func ParsePayload(data []byte) Payload {
	var payload Payload
	if len(data) == 0 || cbor.Unmarshal(data, &payload) != nil || !isValidLoad(payload.Load) {
		return Payload{}
	}
	return payload
}

func isValidLoad(load float64) bool { return !math.IsNaN(load) && load >= 0 && load <= maxLoad }
