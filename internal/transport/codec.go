package transport

import (
	"errors"

	"github.com/fxamacker/cbor/v2"
)

// body is the body of a datagram, encoded as CBOR (RFC 8949) with integer keys. A newer version can add keys, which older
// versions ignore. A message that older versions must not read gives the lowest version that may read it in MinVersion.
type body struct {
	Kind        uint8    `cbor:"1,keyasint"`
	Version     uint8    `cbor:"2,keyasint,omitempty"`
	MinVersion  uint8    `cbor:"3,keyasint,omitempty"`
	From        uint64   `cbor:"4,keyasint"`
	BootID      uint64   `cbor:"5,keyasint"`
	Incarnation uint64   `cbor:"6,keyasint"`
	Seq         uint32   `cbor:"7,keyasint,omitempty"`
	Attempt     uint8    `cbor:"8,keyasint,omitempty"`
	Target      uint64   `cbor:"9,keyasint,omitempty"`
	Addr        []byte   `cbor:"10,keyasint,omitempty"`
	Digest      uint64   `cbor:"11,keyasint,omitempty"`
	Buckets     []uint64 `cbor:"12,keyasint,omitempty"`
	Rumors      []rumor  `cbor:"13,keyasint,omitempty"`
	Records     []record `cbor:"14,keyasint,omitempty"`
}

// rumor is the encoding of a membership.Rumor in a body.
type rumor struct {
	Subject     uint64   `cbor:"1,keyasint"`
	Incarnation uint64   `cbor:"2,keyasint"`
	State       uint8    `cbor:"3,keyasint"`
	Accusers    []uint64 `cbor:"4,keyasint,omitempty"`
	BootTag     uint32   `cbor:"5,keyasint,omitempty"`
}

// record is the encoding of a membership.Record in a body.
type record struct {
	Name           string `cbor:"1,keyasint"`
	Addr           []byte `cbor:"2,keyasint"`
	Zone           string `cbor:"3,keyasint,omitempty"`
	Version        uint8  `cbor:"4,keyasint"`
	BootID         uint64 `cbor:"5,keyasint"`
	Incarnation    uint64 `cbor:"6,keyasint"`
	State          uint8  `cbor:"7,keyasint"`
	Payload        []byte `cbor:"8,keyasint,omitempty"`
	PayloadVersion uint64 `cbor:"9,keyasint,omitempty"`
}

// Limits on decoded messages. They hold for any input, so a sender can't make the decoder exceed them.
const (
	maxBuckets     = 64
	maxRumors      = 128
	maxRecords     = 64
	maxAccusers    = 8 // accusers of one rumor
	maxIncarnation = 1 << 62

	maxArrayElements = 128 // elements of any array: the largest of the limits above
	maxMapPairs      = 64
	maxNestedLevels  = 6
)

var (
	encodeMode = mustMode(cbor.EncOptions{}.EncMode())
	decodeMode = mustMode(cbor.DecOptions{
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		MaxNestedLevels:  maxNestedLevels,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		UTF8:             cbor.UTF8RejectInvalid,
	}.DecMode())
)

// mustMode returns a CBOR mode. It panics if the constant options above are invalid.
func mustMode[T any](mode T, err error) T {
	if err != nil {
		panic(err)
	}
	return mode
}

// ErrUnsupportedVersion is the error for a message that only a newer protocol version can read.
var ErrUnsupportedVersion = errors.New("message requires a newer protocol version")
