package transport

import (
	"fmt"
	"net/netip"

	"merlinjunction/membership"
)

// Sizes in bytes of an encoded address and port.
const (
	ipv4AddrPortSize = 4 + 2
	ipv6AddrPortSize = 16 + 2 // without an IPv6 zone
)

// Decode decodes the body of a datagram. It returns ErrUnsupportedVersion for a message that only a newer version can
// read. Any other error says what is wrong with the body.
func Decode(data []byte) (membership.Message, error) {
	var encoded body
	if err := decodeMode.Unmarshal(data, &encoded); err != nil {
		return membership.Message{}, fmt.Errorf("decode: %w", err)
	}
	if err := checkBody(&encoded); err != nil {
		return membership.Message{}, err
	}
	addr, err := decodeAddr(encoded.Addr)
	if err != nil {
		return membership.Message{}, err
	}
	m := membership.Message{
		Kind:        membership.Kind(encoded.Kind),
		Version:     encoded.Version,
		From:        membership.ID(encoded.From),
		BootID:      encoded.BootID,
		Incarnation: encoded.Incarnation,
		Seq:         encoded.Seq,
		Attempt:     encoded.Attempt,
		Target:      membership.ID(encoded.Target),
		Addr:        addr,
		Digest:      encoded.Digest,
		Buckets:     encoded.Buckets,
	}
	for i := range encoded.Rumors {
		decoded, err := decodeRumor(&encoded.Rumors[i])
		if err != nil {
			return membership.Message{}, err
		}
		m.Rumors = append(m.Rumors, decoded)
	}
	for i := range encoded.Records {
		decoded, err := decodeRecord(&encoded.Records[i])
		if err != nil {
			return membership.Message{}, err
		}
		m.Records = append(m.Records, decoded)
	}
	return m, nil
}

// checkBody checks a body except for the contents of rumors, records and addresses. It returns ErrUnsupportedVersion or
// an error that names the fields of which one is out of range.
func checkBody(encoded *body) error {
	switch {
	case encoded.MinVersion > membership.Version:
		return ErrUnsupportedVersion
	case !membership.Kind(encoded.Kind).Known() || encoded.BootID == 0 || !isValidIncarnation(encoded.Incarnation):
		return fmt.Errorf("decode: kind %d, boot ID %d or incarnation %d is out of range",
			encoded.Kind, encoded.BootID, encoded.Incarnation)
	case len(encoded.Buckets) > maxBuckets || len(encoded.Rumors) > maxRumors || len(encoded.Records) > maxRecords:
		return fmt.Errorf("decode: %d buckets, %d rumors or %d records are too many",
			len(encoded.Buckets), len(encoded.Rumors), len(encoded.Records))
	}
	return nil
}

// decodeRumor checks and converts a rumor. It returns an error if a field is out of range.
func decodeRumor(encoded *rumor) (membership.Rumor, error) {
	if !isKnownState(encoded.State) || !isValidIncarnation(encoded.Incarnation) || len(encoded.Accusers) > maxAccusers {
		return membership.Rumor{}, fmt.Errorf("decode: state %d, incarnation or accusers of a rumor are out of range",
			encoded.State)
	}
	decoded := membership.Rumor{
		Subject:     membership.ID(encoded.Subject),
		BootTag:     encoded.BootTag,
		Incarnation: encoded.Incarnation,
		State:       membership.State(encoded.State),
	}
	for _, accuser := range encoded.Accusers {
		decoded.Accusers = append(decoded.Accusers, membership.ID(accuser))
	}
	return decoded, nil
}

// decodeRecord checks and converts a record. It returns an error if a field is out of range or the address is malformed.
func decodeRecord(encoded *record) (membership.Record, error) {
	if !isValidRecord(encoded) {
		return membership.Record{}, fmt.Errorf("decode: a field of the record of %.64q is out of range", encoded.Name)
	}
	addr, err := decodeAddr(encoded.Addr)
	if err != nil {
		return membership.Record{}, err
	}
	return membership.Record{
		Name:           encoded.Name,
		Addr:           addr,
		Zone:           encoded.Zone,
		Version:        encoded.Version,
		BootID:         encoded.BootID,
		Incarnation:    encoded.Incarnation,
		State:          membership.State(encoded.State),
		Payload:        encoded.Payload,
		PayloadVersion: encoded.PayloadVersion,
	}, nil
}

// isValidRecord reports whether all fields of a record except its address are in range.
func isValidRecord(encoded *record) bool {
	return isKnownState(encoded.State) &&
		isValidIncarnation(encoded.Incarnation) &&
		encoded.BootID != 0 &&
		encoded.Name != "" &&
		len(encoded.Name) <= membership.MaxNameBytes &&
		len(encoded.Zone) <= membership.MaxZoneBytes &&
		len(encoded.Payload) <= membership.MaxPayloadBytes
}

func isValidIncarnation(incarnation uint64) bool {
	return incarnation != 0 && incarnation <= maxIncarnation
}

func isKnownState(state uint8) bool {
	return state >= uint8(membership.Alive) && state <= uint8(membership.Left)
}

// decodeAddr decodes an address and port. Empty data stands for an invalid address.
func decodeAddr(data []byte) (addr netip.AddrPort, err error) {
	if len(data) == 0 {
		return addr, nil
	}
	if len(data) != ipv4AddrPortSize && len(data) != ipv6AddrPortSize {
		return addr, fmt.Errorf("decode: an address and port of %d bytes, want 0, 6 or 18", len(data))
	}
	if err = addr.UnmarshalBinary(data); err != nil {
		return addr, fmt.Errorf("decode: address: %w", err)
	}
	return addr, nil
}
