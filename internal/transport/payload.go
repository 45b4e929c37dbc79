package transport

import (
	"math"

	"github.com/fxamacker/cbor/v2"

	"merlinjunction/membership"
)

// Payload is the data about itself that a gateway announces to the other members of its fleet.
type Payload struct {
	Load float64 `cbor:"1,keyasint,omitempty"` // accepted requests a second, rounded; 0: unknown
}

// maxLoad is the highest load in requests a second that is accepted from a member.
const maxLoad = 1e6

// Bytes returns the payload in the encoding of membership records, or nil if it can't be encoded.
func (p Payload) Bytes() []byte {
	data, err := encodeMode.Marshal(p)
	if err != nil || len(data) > membership.MaxPayloadBytes {
		return nil
	}
	return data
}

// ParsePayload decodes a member's payload. It returns an empty Payload if the data can't be decoded or a value is out of
// range.
func ParsePayload(data []byte) Payload {
	var payload Payload
	if len(data) == 0 || cbor.Unmarshal(data, &payload) != nil || !isValidLoad(payload.Load) {
		return Payload{}
	}
	return payload
}

func isValidLoad(load float64) bool { return !math.IsNaN(load) && load >= 0 && load <= maxLoad }
