// Package transport carries a fleet's messages: it encodes them, proves where they come from, and drives a membership.View on
// the program's loop. What the messages say is decided in membership.
package transport

import (
	"errors"
	"fmt"
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"merlinjunction/membership"
)

// The body of a datagram is CBOR (RFC 8949) with numbers for keys, so that a newer version can add keys that an older one
// passes over. A newer version that must not be read by an older one raises Needs.
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

type rumor struct {
	Subject     uint64   `cbor:"1,keyasint"`
	Incarnation uint64   `cbor:"2,keyasint"`
	State       uint8    `cbor:"3,keyasint"`
	Accusers    []uint64 `cbor:"4,keyasint,omitempty"`
	BootTag     uint32   `cbor:"5,keyasint,omitempty"`
}

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

// Limits on what is read, whatever a sender claims.
const (
	mostBuckets = 64
	mostRumors  = 128
	mostRecords = 64
	mostBy      = 8
)

var (
	encoding = must(cbor.EncOptions{}.EncMode())
	decoding = must(cbor.DecOptions{
		MaxArrayElements: 128, MaxMapPairs: 64, MaxNestedLevels: 6, DupMapKey: cbor.DupMapKeyEnforcedAPF,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden, UTF8: cbor.UTF8RejectInvalid,
	}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // constant options are wrong
	}
	return v
}

// ErrFuture is a message that says that it can't be understood by this version.
var ErrUnsupportedVersion = errors.New("the message needs a newer version")

// Encode appends a message's body.
func Encode(to []byte, m *membership.Message) ([]byte, error) {
	b := body{
		Kind: uint8(m.Kind), Version: m.Version, From: uint64(m.From), BootID: m.BootID, Incarnation: m.Incarnation, Seq: m.Seq,
		Attempt: m.Attempt, Target: uint64(m.Target), Digest: m.Digest, Buckets: m.Buckets,
	}
	b.Addr = addrBytes(m.Addr)
	if len(m.Rumors) > 0 {
		b.Rumors = make([]rumor, len(m.Rumors))
	}
	for i, r := range m.Rumors {
		b.Rumors[i] = rumor{uint64(r.Subject), r.Incarnation, uint8(r.State), nil, r.BootTag}
		for _, id := range r.Accusers {
			b.Rumors[i].Accusers = append(b.Rumors[i].Accusers, uint64(id))
		}
	}
	if len(m.Records) > 0 {
		b.Records = make([]record, len(m.Records))
	}
	for i, r := range m.Records {
		b.Records[i] = record{r.Name, addrBytes(r.Addr), r.Zone, r.Version, r.BootID, r.Incarnation, uint8(r.State), r.Payload, r.PayloadVersion}
	}
	text, err := encoding.Marshal(&b)
	if err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	return append(to, text...), nil
}

func addrBytes(a netip.AddrPort) []byte {
	if !a.IsValid() {
		return nil
	}
	text, _ := a.MarshalBinary() // never fails
	return text
}

// Decode reads a message's body. It returns ErrFuture for one of a version that can't be understood here; any other error
// says what is wrong with it.
func Decode(text []byte) (membership.Message, error) {
	var b body
	var m membership.Message
	if err := decoding.Unmarshal(text, &b); err != nil {
		return m, fmt.Errorf("decode: %w", err)
	}
	m = membership.Message{
		Kind: membership.Kind(b.Kind), Version: b.Version, From: membership.ID(b.From), BootID: b.BootID, Incarnation: b.Incarnation,
		Seq: b.Seq, Attempt: b.Attempt, Target: membership.ID(b.Target), Digest: b.Digest, Buckets: b.Buckets,
	}
	var err error
	switch {
	case b.Needs > membership.Version:
		return m, ErrUnsupportedVersion
	case !m.Kind.Known() || b.BootID == 0 || b.Incarnation == 0 || b.Incarnation > 1<<62:
		return m, fmt.Errorf("decode: kind %d, boot %d or incarnation %d is out of range", b.Kind, b.BootID, b.Incarnation)
	case len(b.Buckets) > mostBuckets || len(b.Rumors) > mostRumors || len(b.Records) > mostRecords:
		return m, fmt.Errorf("decode: %d digests, %d rumors or %d records are too many", len(b.Buckets), len(b.Rumors), len(b.Records))
	}
	if m.Addr, err = addrOf(b.Addr); err != nil {
		return m, err
	}
	for _, r := range b.Rumors {
		if !stateKnown(r.State) || r.Incarnation == 0 || r.Incarnation > 1<<62 || len(r.Accusers) > mostBy {
			return m, fmt.Errorf("decode: a rumor's state %d, incarnation or observers are out of range", r.State)
		}
		out := membership.Rumor{Subject: membership.ID(r.Subject), BootTag: r.BootTag, Incarnation: r.Incarnation, State: membership.State(r.State)}
		for _, id := range r.Accusers {
			out.Accusers = append(out.Accusers, membership.ID(id))
		}
		m.Rumors = append(m.Rumors, out)
	}
	for _, r := range b.Records {
		if !stateKnown(r.State) || r.Incarnation == 0 || r.Incarnation > 1<<62 || r.BootID == 0 || r.Name == "" ||
			len(r.Name) > membership.MaxName || len(r.Zone) > membership.MaxZone || len(r.Payload) > membership.MaxPayload {
			return m, fmt.Errorf("decode: a field of the record of %.64q is out of range", r.Name)
		}
		addr, err := addrOf(r.Addr)
		if err != nil {
			return m, err
		}
		m.Records = append(m.Records, membership.Record{Name: r.Name, Addr: addr, Zone: r.Zone, Version: r.Version,
			BootID: r.BootID, Incarnation: r.Incarnation, State: membership.State(r.State), Payload: r.Payload,
			PayloadVersion: r.PayloadVersion})
	}
	return m, nil
}

func stateKnown(s uint8) bool {
	return s >= uint8(membership.Alive) && s <= uint8(membership.Left)
}

func addrOf(text []byte) (a netip.AddrPort, err error) {
	if len(text) == 0 {
		return a, nil
	}
	if len(text) != 6 && len(text) != 18 { // no zones of IPv6
		return a, fmt.Errorf("decode: %d bytes are no address", len(text))
	}
	if err = a.UnmarshalBinary(text); err != nil {
		return a, fmt.Errorf("decode: address: %w", err)
	}
	return a, nil
}
