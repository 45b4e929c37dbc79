package transport

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"hash"

	"merlinjunction/membership"
)

// A datagram is a header, a body and a message authentication code (MAC) over both:
//
//	"mj" version(1) key tag(4) fleet tag(4) counter(8) | body | HMAC-SHA256, its first 16 bytes
//
// The tags are the first bytes of hashes of the key and of the fleet's name. They show at little cost that a datagram
// is of another fleet or under an unknown key; only the MAC proves anything. The counter grows with each datagram of a
// process.
const (
	magic         = "mj"
	formatVersion = 1
	tagSize       = 4
	counterSize   = 8

	keyTagOffset   = len(magic) + 1
	fleetTagOffset = keyTagOffset + tagSize
	counterOffset  = fleetTagOffset + tagSize
	headerSize     = counterOffset + counterSize
	macSize        = 16

	// SealOverhead is what sealing adds to a body, in bytes.
	SealOverhead = headerSize + macSize
	// MinKeyBytes is the least length of a key.
	MinKeyBytes = 16
)

// Sealer seals datagrams under the first of its keys and opens those under any of them.
type Sealer struct {
	fleetTag [tagSize]byte
	keys     []sealKey
	counter  uint64
	buffer   []byte // of the last sealed datagram
}

type sealKey struct {
	tag [tagSize]byte
	mac hash.Hash
}

// NewSealer returns a Sealer for the fleet of a name. The errors are those of SetKeys.
func NewSealer(fleet string, keys [][]byte) (*Sealer, error) {
	s := &Sealer{fleetTag: tagOf("fleet:", []byte(fleet))}
	return s, s.SetKeys(keys)
}

// tagOf returns the first bytes of the hash of a text under a prefix.
func tagOf(prefix string, text []byte) [tagSize]byte {
	sum := sha256.Sum256(append([]byte(prefix), text...))
	return [tagSize]byte(sum[:tagSize])
}

// SetKeys replaces the keys. It fails where there is none or one is shorter than MinKeyBytes, which the error names by
// its place; the old keys stay then.
func (s *Sealer) SetKeys(keys [][]byte) error {
	if len(keys) == 0 {
		return errors.New("no key is given")
	}
	var list []sealKey
	for i, key := range keys {
		if len(key) < MinKeyBytes {
			return fmt.Errorf("key %d has %d bytes, %d are needed", i+1, len(key), MinKeyBytes)
		}
		list = append(list, sealKey{tag: tagOf("key:", key), mac: hmac.New(sha256.New, key)})
	}
	s.keys = list
	return nil
}

// Seal returns a message as a datagram, which is valid until the next call. It fails on a message that is too large for
// a datagram.
func (s *Sealer) Seal(m *membership.Message) ([]byte, error) {
	s.counter++
	key := &s.keys[0]
	data := append(s.buffer[:0], magic...)
	data = append(data, formatVersion)
	data = append(data, key.tag[:]...)
	data = append(data, s.fleetTag[:]...)
	data = binary.BigEndian.AppendUint64(data, s.counter)
	data, err := Encode(data, m)
	if err != nil {
		return nil, err
	}
	s.buffer = key.appendMAC(data, data)
	if len(s.buffer) > membership.MaxDatagramBytes {
		return nil, fmt.Errorf("a %s of %d bytes is too large", m.Kind, len(s.buffer))
	}
	return s.buffer, nil
}

// appendMAC appends the MAC of data to a buffer.
func (k *sealKey) appendMAC(buffer, data []byte) []byte {
	var sum [sha256.Size]byte
	k.mac.Reset()
	k.mac.Write(data)
	return append(buffer, k.mac.Sum(sum[:0])[:macSize]...)
}

// Open authenticates a datagram and returns its message and counter. The errors are ErrMalformed, ErrOtherFleet,
// ErrUnknownKey, ErrBadMAC and those of Decode.
func (s *Sealer) Open(data []byte) (m membership.Message, counter uint64, err error) {
	if !hasValidHeader(data) {
		return m, 0, ErrMalformed
	}
	if [tagSize]byte(data[fleetTagOffset:counterOffset]) != s.fleetTag {
		return m, 0, ErrOtherFleet
	}
	key := s.keyWithTag([tagSize]byte(data[keyTagOffset:fleetTagOffset]))
	if key == nil {
		return m, 0, ErrUnknownKey
	}
	bodyEnd := len(data) - macSize
	if !hmac.Equal(data[bodyEnd:], key.appendMAC(nil, data[:bodyEnd])) {
		return m, 0, ErrBadMAC
	}
	m, err = Decode(data[headerSize:bodyEnd])
	return m, binary.BigEndian.Uint64(data[counterOffset:headerSize]), err
}

// hasValidHeader returns whether a datagram has a possible size and begins as one of this format.
func hasValidHeader(data []byte) bool {
	return len(data) >= SealOverhead &&
		len(data) <= membership.MaxDatagramBytes &&
		string(data[:len(magic)]) == magic &&
		data[len(magic)] == formatVersion
}

// keyWithTag returns the first key with a tag; nil where there is none.
func (s *Sealer) keyWithTag(tag [tagSize]byte) *sealKey {
	for i := range s.keys {
		if s.keys[i].tag == tag {
			return &s.keys[i]
		}
	}
	return nil
}
