package transport

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"merlinjunction/membership"
)

const (
	testKey  = "sixteen bytes of key"
	otherKey = "another key, also long"
)

func newSealer(tb testing.TB, fleet string, keys ...string) *Sealer {
	tb.Helper()
	var list [][]byte
	for _, key := range keys {
		list = append(list, []byte(key))
	}
	sealer, err := NewSealer(fleet, list)
	if err != nil {
		tb.Fatal(err)
	}
	return sealer
}

// seal returns the datagram of a message as a copy that stays valid.
func seal(t *testing.T, sealer *Sealer, m *membership.Message) []byte {
	t.Helper()
	data, err := sealer.Seal(m)
	if err != nil {
		t.Fatal(err)
	}
	return bytes.Clone(data)
}

// flipBit returns a copy of a datagram with one bit changed.
func flipBit(data []byte, offset int) []byte {
	changed := bytes.Clone(data)
	changed[offset] ^= 1
	return changed
}

func TestOpen(t *testing.T) {
	m := &membership.Message{Kind: membership.Gossip, Version: 2, From: 1, BootID: 2, Incarnation: 3}
	own := newSealer(t, "fleet", testKey)
	data := seal(t, own, m)
	for _, test := range []struct {
		name   string
		opener *Sealer
		data   []byte
		want   error
	}{
		{"good", newSealer(t, "fleet", otherKey, testKey), data, nil},
		{"other fleet", newSealer(t, "elsewhere", testKey), data, ErrOtherFleet},
		{"other key", newSealer(t, "fleet", otherKey), data, ErrUnknownKey},
		{"changed body", own, flipBit(data, headerSize+3), ErrBadMAC},
		{"changed counter", own, flipBit(data, counterOffset+4), ErrBadMAC},
		{"changed MAC", own, flipBit(data, len(data)-1), ErrBadMAC},
		{"shorter than a seal", own, data[:headerSize+macSize-1], ErrMalformed},
		{"truncated", own, data[:len(data)-4], ErrBadMAC},
		{"too large", own, make([]byte, membership.MaxDatagramBytes+1), ErrMalformed},
		{"noise", own, bytes.Repeat([]byte("x"), 100), ErrMalformed},
		{"empty", own, nil, ErrMalformed},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, counter, err := test.opener.Open(test.data)
			if !errors.Is(err, test.want) || err == nil && (got.From != 1 || counter != 1) {
				t.Errorf("message %+v, counter %d, error %v, want error %v", got, counter, err, test.want)
			}
		})
	}
	err := own.SetKeys([][]byte{[]byte(testKey), []byte("short")})
	if err == nil || !strings.Contains(err.Error(), "key 2") {
		t.Errorf("a short key: error %v, want one that names key 2", err)
	}
	if _, _, err := own.Open(data); err != nil {
		t.Errorf("the old keys do not work after a rejected change of keys: %v", err)
	}
}
