package transport

import (
	"fmt"
	"net/netip"

	"merlinjunction/membership"
)

// Encode appends the encoded body of a message to a buffer. Every message can be encoded, so an error means that the
// encoder itself failed.
func Encode(buffer []byte, m *membership.Message) ([]byte, error) {
	encoded := body{
		Kind:        uint8(m.Kind),
		Version:     m.Version,
		From:        uint64(m.From),
		BootID:      m.BootID,
		Incarnation: m.Incarnation,
		Seq:         m.Seq,
		Attempt:     m.Attempt,
		Target:      uint64(m.Target),
		Addr:        encodeAddr(m.Addr),
		Digest:      m.Digest,
		Buckets:     m.Buckets,
		Rumors:      encodeRumors(m.Rumors),
		Records:     encodeRecords(m.Records),
	}
	data, err := encodeMode.Marshal(&encoded)
	if err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	return append(buffer, data...), nil
}

// encodeRumors converts rumors. It returns nil if there are none, so that the key is omitted from the body.
func encodeRumors(rumors []membership.Rumor) []rumor {
	if len(rumors) == 0 {
		return nil
	}
	encoded := make([]rumor, len(rumors))
	for i, r := range rumors {
		encoded[i] = rumor{
			Subject:     uint64(r.Subject),
			Incarnation: r.Incarnation,
			State:       uint8(r.State),
			BootTag:     r.BootTag,
		}
		for _, accuser := range r.Accusers {
			encoded[i].Accusers = append(encoded[i].Accusers, uint64(accuser))
		}
	}
	return encoded
}

// encodeRecords converts records. It returns nil if there are none, so that the key is omitted from the body.
func encodeRecords(records []membership.Record) []record {
	if len(records) == 0 {
		return nil
	}
	encoded := make([]record, len(records))
	for i, r := range records {
		encoded[i] = record{
			Name:           r.Name,
			Addr:           encodeAddr(r.Addr),
			Zone:           r.Zone,
			Version:        r.Version,
			BootID:         r.BootID,
			Incarnation:    r.Incarnation,
			State:          uint8(r.State),
			Payload:        r.Payload,
			PayloadVersion: r.PayloadVersion,
		}
	}
	return encoded
}

// encodeAddr encodes an address and port. It returns nil for an invalid address.
func encodeAddr(addr netip.AddrPort) []byte {
	if !addr.IsValid() {
		return nil
	}
	encoded, _ := addr.MarshalBinary() // never fails
	return encoded
}
