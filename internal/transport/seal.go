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

// A datagram is a head, a body and a MAC over both:
//
//	"mj" format(1) key(4) fleet(4) counter(8) | body | HMAC-SHA256, its first 16 bytes
//
// key and fleet are the first bytes of hashes, which tell at once and cheaply that a datagram is not for this fleet or
// under a key that is not known. The counter grows with each datagram of a process.
const (
	format   = 1
	headSize = 2 + 1 + 4 + 4 + 8
	macSize  = 16
	// SealSize is what sealing adds to a body, bytes.
	SealSize = headSize + macSize
	// MinKey is the least length of a key, bytes.
	MinKey = 16
)

// The reasons for which a datagram is dropped.
var (
	ErrMalformed  = errors.New("truncated, too large or no datagram of this kind")
	ErrOtherFleet = errors.New("of another fleet")
	ErrUnknownKey = errors.New("under an unknown key")
	ErrBadMAC     = errors.New("its MAC is wrong")
	ErrReplay     = errors.New("a replay")
	ErrNetwork    = errors.New("from outside the allowed networks")
)

// Sealer seals datagrams under the first of its keys and opens them under any.
type Sealer struct {
	fleet   [4]byte
	keys    []sealKey
	counter uint64
	out     []byte
}

type sealKey struct {
	id  [4]byte
	mac hash.Hash
}

// NewSealer returns a Sealer. Keys have MinKey bytes at least; the error names the one that is too short by its place.
func NewSealer(fleet string, keys [][]byte) (*Sealer, error) {
	s := &Sealer{}
	sum := sha256.Sum256([]byte("fleet:" + fleet))
	copy(s.fleet[:], sum[:])
	return s, s.SetKeys(keys)
}

// SetKeys replaces the keys; on an error the old ones stay.
func (s *Sealer) SetKeys(keys [][]byte) error {
	if len(keys) == 0 {
		return errors.New("no key is given")
	}
	var list []sealKey
	for i, key := range keys {
		if len(key) < MinKey {
			return fmt.Errorf("key %d has %d bytes, %d are needed", i+1, len(key), MinKey)
		}
		k := sealKey{mac: hmac.New(sha256.New, key)}
		sum := sha256.Sum256(append([]byte("key:"), key...))
		copy(k.id[:], sum[:])
		list = append(list, k)
	}
	s.keys = list
	return nil
}

// Seal returns a message as a datagram, valid until the next call.
func (s *Sealer) Seal(m *membership.Message) ([]byte, error) {
	s.counter++
	k := &s.keys[0]
	b := append(s.out[:0], 'm', 'j', format)
	b = append(b, k.id[:]...)
	b = append(b, s.fleet[:]...)
	b = binary.BigEndian.AppendUint64(b, s.counter)
	b, err := Encode(b, m)
	if err != nil {
		return nil, err
	}
	s.out = k.sum(b, b)
	if len(s.out) > membership.MaxDatagramBytes {
		return nil, fmt.Errorf("a %s of %d bytes is too large", m.Kind, len(s.out))
	}
	return s.out, nil
}

func (k *sealKey) sum(to, text []byte) []byte {
	var full [sha256.Size]byte
	k.mac.Reset()
	k.mac.Write(text)
	return append(to, k.mac.Sum(full[:0])[:macSize]...)
}

// Open proves a datagram and reads its message and counter. The errors are those above, ErrFuture and Decode's.
func (s *Sealer) Open(text []byte) (m membership.Message, counter uint64, err error) {
	if len(text) < SealSize || len(text) > membership.MaxDatagramBytes || text[0] != 'm' || text[1] != 'j' || text[2] != format {
		return m, 0, ErrMalformed
	}
	if [4]byte(text[7:11]) != s.fleet {
		return m, 0, ErrOtherFleet
	}
	for i := range s.keys {
		k := &s.keys[i]
		if [4]byte(text[3:7]) != k.id {
			continue
		}
		cut := len(text) - macSize
		if !hmac.Equal(text[cut:], k.sum(nil, text[:cut])) {
			return m, 0, ErrBadMAC
		}
		m, err = Decode(text[headSize:cut])
		return m, binary.BigEndian.Uint64(text[11:19]), err
	}
	return m, 0, ErrUnknownKey
}

const windowBits = 512

// ReplayFilter remembers which datagrams of each process came already.
type ReplayFilter struct{ seen map[process]*window }

type process struct {
	id   membership.ID
	boot uint64
}

// window remembers the counters up to windowBits below the highest one.
type window struct {
	top  uint64
	bits [windowBits / 64]uint64
}

const mostWindows = 1 << 14

// Accept tells whether a datagram comes for the first time, and remembers it. One whose counter is far below others' counts
// as a replay.
func (r *ReplayFilter) Accept(from membership.ID, boot, counter uint64) bool {
	if r.seen == nil || len(r.seen) >= mostWindows {
		r.seen = map[process]*window{}
	}
	w := r.seen[process{from, boot}]
	if w == nil {
		w = &window{top: counter}
		r.seen[process{from, boot}] = w
	}
	switch {
	case counter > w.top && counter-w.top >= windowBits:
		w.bits, w.top = [windowBits / 64]uint64{}, counter
	case counter > w.top:
		for c := w.top + 1; c <= counter; c++ {
			w.bits[c%windowBits/64] &^= 1 << (c % 64)
		}
		w.top = counter
	case w.top-counter >= windowBits:
		return false
	}
	at, bit := counter%windowBits/64, uint64(1)<<(counter%64)
	if w.bits[at]&bit != 0 {
		return false
	}
	w.bits[at] |= bit
	return true
}

// Forget drops what is remembered of a process.
func (r *ReplayFilter) Forget(id membership.ID, boot uint64) { delete(r.seen, process{id, boot}) }
