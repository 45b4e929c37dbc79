package transport

import (
	"errors"

	"github.com/fxamacker/cbor/v2"
)

// body is the body of a datagram: CBOR (RFC 8949) with numbers for keys. A newer version can add keys, which an older
// one ignores; a message that an older version must not read names the least version that may in Needs.
type body struct {
	Kind        uint8    `cbor:"1,keyasint"`
	Version     uint8    `cbor:"2,keyasint,omitempty"`
	Needs       uint8    `cbor:"3,keyasint,omitempty"`
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

// rumor is a membership.Rumor in a body.
type rumor struct {
	Subject     uint64   `cbor:"1,keyasint"`
	Incarnation uint64   `cbor:"2,keyasint"`
	State       uint8    `cbor:"3,keyasint"`
	Accusers    []uint64 `cbor:"4,keyasint,omitempty"`
	BootTag     uint32   `cbor:"5,keyasint,omitempty"`
}

// record is a membership.Record in a body.
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

// Limits on what is decoded, whatever a sender claims.
const (
	maxBuckets     = 64
	maxRumors      = 128
	maxRecords     = 64
	maxAccusers    = 8 // of a rumor
	maxIncarnation = 1 << 62

	maxArrayElements = 128 // of any array: the largest of the limits above
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

// mustMode panics where the constant options above are wrong.
func mustMode[T any](mode T, err error) T {
	if err != nil {
		panic(err)
	}
	return mode
}

// ErrUnsupportedVersion is returned for a message that only a newer version can read.
var ErrUnsupportedVersion = errors.New("the message needs a newer version")
