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

// A datagram consists of a header, a body and a message authentication code (MAC) over both:
//
//	"mj" version(1) key tag(4) fleet tag(4) counter(8) | body | HMAC-SHA256, its first 16 bytes
//
// The tags are the first bytes of hashes of the key and of the fleet's name. They allow a cheap check for datagrams of
// another fleet or under an unknown key, but only the MAC authenticates a datagram. The counter grows with each datagram
// that a process sends.
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

	// SealOverhead is the number of bytes that sealing adds to a body.
	SealOverhead = headerSize + macSize
	// MinKeyBytes is the minimum length of a key in bytes.
	MinKeyBytes = 16
)

// Sealer seals datagrams under the first of its keys and opens datagrams that are sealed under any of them.
type Sealer struct {
	fleetTag [tagSize]byte
	keys     []sealKey
	counter  uint64
	buffer   []byte // holds the last sealed datagram
}

type sealKey struct {
	tag [tagSize]byte
	mac hash.Hash
}

// NewSealer returns a Sealer for the fleet with the given name. Its errors are those of SetKeys.
func NewSealer(fleet string, keys [][]byte) (*Sealer, error) {
	s := &Sealer{fleetTag: tagOf("fleet:", []byte(fleet))}
	return s, s.SetKeys(keys)
}

// tagOf returns the first bytes of the hash of a prefix and a text.
func tagOf(prefix string, text []byte) [tagSize]byte {
	sum := sha256.Sum256(append([]byte(prefix), text...))
	return [tagSize]byte(sum[:tagSize])
}

// SetKeys replaces the keys. It returns an error if there is no key or if a key is shorter than MinKeyBytes. The error
// names the position of that key, counted from 1. On an error, the old keys stay in use.
func (s *Sealer) SetKeys(keys [][]byte) error {
	if len(keys) == 0 {
		return errors.New("no keys given, at least one is needed")
	}
	var list []sealKey
	for i, key := range keys {
		if len(key) < MinKeyBytes {
			return fmt.Errorf("key %d has %d bytes, at least %d are needed", i+1, len(key), MinKeyBytes)
		}
		list = append(list, sealKey{tag: tagOf("key:", key), mac: hmac.New(sha256.New, key)})
	}
	s.keys = list
	return nil
}

// Seal returns a message as a sealed datagram, which is valid until the next call. It returns an error if the message is
// too large for a datagram.
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
		return nil, fmt.Errorf("sealed message of kind %s is too large: %d bytes", m.Kind, len(s.buffer))
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

// hasValidHeader reports whether a datagram has a valid size and starts with the magic bytes and the format version.
func hasValidHeader(data []byte) bool {
	return len(data) >= SealOverhead &&
		len(data) <= membership.MaxDatagramBytes &&
		string(data[:len(magic)]) == magic &&
		data[len(magic)] == formatVersion
}

// keyWithTag returns the first key with the given tag, or nil if there is none.
func (s *Sealer) keyWithTag(tag [tagSize]byte) *sealKey {
	for i := range s.keys {
		if s.keys[i].tag == tag {
			return &s.keys[i]
		}
	}
	return nil
}
