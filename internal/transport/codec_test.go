package transport

import (
	"bytes"
	"errors"
	"net/netip"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	_ "merlinjunction/internal/testkit/seed" // makes rapid draw the same cases in each run

	"merlinjunction/membership"
)

func drawID(t *rapid.T, label string) membership.ID {
	return membership.ID(rapid.Uint64().Draw(t, label))
}

func drawAddr(t *rapid.T) netip.AddrPort {
	if rapid.Bool().Draw(t, "IPv6") {
		ip := [16]byte(rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "ip"))
		return netip.AddrPortFrom(netip.AddrFrom16(ip), 65535)
	}
	ip := [4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "ip"))
	return netip.AddrPortFrom(netip.AddrFrom4(ip), rapid.Uint16().Draw(t, "port"))
}

// drawMessage draws a message with at most maxEntries rumors and at most maxEntries records.
func drawMessage(t *rapid.T, maxEntries int) membership.Message {
	m := membership.Message{
		Kind:        membership.Kind(rapid.IntRange(1, 10).Draw(t, "kind")),
		Version:     2,
		From:        drawID(t, "from"),
		BootID:      rapid.Uint64Min(1).Draw(t, "boot"),
		Incarnation: rapid.Uint64Range(1, 1<<62).Draw(t, "incarnation"),
		Seq:         rapid.Uint32().Draw(t, "seq"),
		Attempt:     rapid.Byte().Draw(t, "attempt"),
		Target:      drawID(t, "target"),
		Digest:      rapid.Uint64().Draw(t, "digest"),
	}
	if rapid.Bool().Draw(t, "has an address") {
		m.Addr = drawAddr(t)
	}
	for range rapid.IntRange(0, maxEntries).Draw(t, "rumors") {
		m.Rumors = append(m.Rumors, drawRumor(t))
	}
	for range rapid.IntRange(0, maxEntries).Draw(t, "records") {
		m.Records = append(m.Records, drawRecord(t))
	}
	return m
}

func drawRumor(t *rapid.T) membership.Rumor {
	rumor := membership.Rumor{
		Subject:     drawID(t, "subject"),
		BootTag:     rapid.Uint32().Draw(t, "boot tag"),
		Incarnation: rapid.Uint64Range(1, 1<<62).Draw(t, "incarnation"),
		State:       membership.State(rapid.IntRange(1, 5).Draw(t, "state")),
	}
	for range rapid.IntRange(0, 8).Draw(t, "accusers") {
		rumor.Accusers = append(rumor.Accusers, drawID(t, "accuser"))
	}
	return rumor
}

func drawRecord(t *rapid.T) membership.Record {
	record := membership.Record{
		Name:           rapid.StringN(1, 16, membership.MaxNameBytes).Draw(t, "name"),
		Addr:           drawAddr(t),
		Zone:           rapid.StringN(0, 8, membership.MaxZoneBytes).Draw(t, "zone"),
		Version:        2,
		BootID:         rapid.Uint64Min(1).Draw(t, "boot"),
		Incarnation:    rapid.Uint64Range(1, 1<<62).Draw(t, "incarnation"),
		State:          membership.Alive,
		PayloadVersion: rapid.Uint64().Draw(t, "payload version"),
	}
	if size := rapid.IntRange(0, membership.MaxPayloadBytes).Draw(t, "payload"); size > 0 {
		record.Payload = bytes.Repeat([]byte{7}, size)
	}
	return record
}

func TestEncodeDecodeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawMessage(t, 3)
		data, err := Encode(nil, &m)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(data)
		if err != nil || !reflect.DeepEqual(got, m) {
			t.Fatalf("message %+v is decoded as %+v, error %v", m, got, err)
		}
	})
}

// sealedSize returns the size of the datagram of a message.
func sealedSize(t *testing.T, m membership.Message) int {
	t.Helper()
	data, err := Encode(nil, &m)
	if err != nil {
		t.Fatal(err)
	}
	return len(data) + SealOverhead
}

// Package membership fills datagrams according to DatagramOverhead, Rumor.Size and Record.Size. These must be upper bounds
// of the encoded sizes. Otherwise a datagram could be too large to send.
func TestEstimatedSizesAreUpperBounds(t *testing.T) {
	const maxID = ^uint64(0)
	longName := strings.Repeat("x", membership.MaxNameBytes)
	addr := netip.AddrPortFrom(netip.MustParseAddr("2001:db8::1"), 65535)
	header := membership.Message{
		Kind: membership.SyncResponse, Version: 2, From: membership.ID(maxID), BootID: maxID, Incarnation: 1 << 62,
		Seq: 1<<32 - 1, Attempt: 255, Target: membership.ID(maxID), Addr: addr, Digest: maxID,
	}
	if size := sealedSize(t, header); size > membership.DatagramOverhead {
		t.Errorf("a message without entries has %d bytes, want at most %d", size, membership.DatagramOverhead)
	}
	rumor := membership.Rumor{
		Subject: membership.ID(maxID), BootTag: 1<<32 - 1, Incarnation: 1 << 62, State: membership.Suspect,
	}
	for range 5 {
		rumor.Accusers = append(rumor.Accusers, membership.ID(maxID))
	}
	record := membership.Record{
		Name: longName, Addr: addr, Zone: longName[:membership.MaxZoneBytes], Version: 255, BootID: maxID,
		Incarnation: 1 << 62, State: membership.Left,
		Payload: make([]byte, membership.MaxPayloadBytes), PayloadVersion: maxID,
	}
	withRumor := header
	withRumor.Rumors = []membership.Rumor{rumor}
	if size := sealedSize(t, withRumor) - sealedSize(t, header); size > rumor.Size() {
		t.Errorf("a rumor has %d bytes, want at most %d", size, rumor.Size())
	}
	withRecord := header
	withRecord.Records = []membership.Record{record}
	if size := sealedSize(t, withRecord) - sealedSize(t, header); size > record.Size() {
		t.Errorf("a record has %d bytes, want at most %d", size, record.Size())
	}
	sync := header
	sync.Buckets = make([]uint64, 64)
	for i := range sync.Buckets {
		sync.Buckets[i] = maxID
	}
	sync.Records = []membership.Record{record, record}
	if size := sealedSize(t, sync); size > membership.MaxDatagramBytes {
		t.Errorf("a sync message has %d bytes, want at most %d", size, membership.MaxDatagramBytes)
	}
}

func FuzzDecode(f *testing.F) {
	m := membership.Message{
		Kind: membership.Gossip, Version: 2, From: 1, BootID: 2, Incarnation: 3,
		Rumors: []membership.Rumor{
			{Subject: 4, Incarnation: 5, State: membership.Suspect, Accusers: []membership.ID{6}},
		},
		Records: []membership.Record{{
			Name: "g", Addr: netip.MustParseAddrPort("127.0.0.1:1"), BootID: 1, Incarnation: 1, State: membership.Alive,
		}},
	}
	data, err := Encode(nil, &m)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(data[:len(data)/2])
	f.Add([]byte{0xbf, 0xff})
	f.Add([]byte{0xa1, 0x0d, 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Decode(data)
		if err != nil {
			return
		}
		tooMany := len(m.Rumors) > maxRumors || len(m.Records) > maxRecords || len(m.Buckets) > maxBuckets
		if tooMany || m.BootID == 0 || !m.Kind.Known() {
			t.Errorf("an invalid message is accepted: %+v", m)
		}
		again, err := Encode(nil, &m)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := Decode(again); err != nil || !reflect.DeepEqual(m, got) {
			t.Errorf("message %+v is decoded as %+v, error %v", m, got, err)
		}
	})
}

// A message with keys of a newer version is decoded, unless it requires a newer version.
func TestDecodeNewerVersions(t *testing.T) {
	newer := map[int]any{1: 5, 2: 9, 4: 1, 5: 2, 6: 3, 40: "an unknown key"}
	data, err := encodeMode.Marshal(newer)
	if err != nil {
		t.Fatal(err)
	}
	if m, err := Decode(data); err != nil || m.Kind != membership.Gossip {
		t.Errorf("message with an unknown key: %+v, error %v, want a gossip message", m, err)
	}
	newer[3] = membership.Version + 1
	data, err = encodeMode.Marshal(newer)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Decode(data); !errors.Is(err, ErrUnsupportedVersion) {
		t.Errorf("message that requires a newer version: error %v, want ErrUnsupportedVersion", err)
	}
}
