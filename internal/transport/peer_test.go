package transport

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"go4.org/netipx"
	"pgregory.net/rapid"

	_ "merlinjunction/internal/testkit/seed" // the same draws each time

	"merlinjunction/internal/eventloop"
	"merlinjunction/membership"
)

var key = []byte("sixteen bytes of key")

func sealer(t testing.TB, fleet string, keys ...string) *Sealer {
	t.Helper()
	var list [][]byte
	for _, k := range keys {
		list = append(list, []byte(k))
	}
	s, err := NewSealer(fleet, list)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func anyMessage(t *rapid.T, names int) membership.Message {
	id := func(what string) membership.ID { return membership.ID(rapid.Uint64().Draw(t, what)) }
	addr := func() netip.AddrPort {
		if rapid.Bool().Draw(t, "six") {
			return netip.AddrPortFrom(netip.AddrFrom16([16]byte(rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "ip"))), 65535)
		}
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "ip"))), rapid.Uint16().Draw(t, "port"))
	}
	m := membership.Message{
		Kind: membership.Kind(rapid.IntRange(1, 10).Draw(t, "kind")), Version: 2, From: id("from"), BootID: rapid.Uint64Min(1).Draw(t, "boot"),
		Incarnation: rapid.Uint64Range(1, 1<<62).Draw(t, "incarnation"), Seq: rapid.Uint32().Draw(t, "seq"), Attempt: rapid.Byte().Draw(t, "try"),
		Target: id("target"), Digest: rapid.Uint64().Draw(t, "digest"),
	}
	if rapid.Bool().Draw(t, "addressed") {
		m.Addr = addr()
	}
	for range rapid.IntRange(0, names).Draw(t, "rumors") {
		r := membership.Rumor{Subject: id("about"), BootTag: rapid.Uint32().Draw(t, "tag"), Incarnation: rapid.Uint64Range(1, 1<<62).Draw(t, "n"), State: membership.State(rapid.IntRange(1, 5).Draw(t, "state"))}
		for range rapid.IntRange(0, 8).Draw(t, "observers") {
			r.Accusers = append(r.Accusers, id("observer"))
		}
		m.Rumors = append(m.Rumors, r)
	}
	for range rapid.IntRange(0, names).Draw(t, "records") {
		r := membership.Record{Name: rapid.StringN(1, 16, membership.MaxName).Draw(t, "name"), Addr: addr(), Zone: rapid.StringN(0, 8, membership.MaxZone).Draw(t, "zone"),
			Version: 2, BootID: rapid.Uint64Min(1).Draw(t, "its boot"), Incarnation: rapid.Uint64Range(1, 1<<62).Draw(t, "its"), State: membership.Alive,
			PayloadVersion: rapid.Uint64().Draw(t, "edition")}
		if n := rapid.IntRange(0, membership.MaxPayload).Draw(t, "payload"); n > 0 {
			r.Payload = bytes.Repeat([]byte{7}, n)
		}
		m.Records = append(m.Records, r)
	}
	return m
}

func TestMessagesComeBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := anyMessage(t, 3)
		text, err := Encode(nil, &m)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(text)
		if err != nil || !reflect.DeepEqual(got, m) {
			t.Fatalf("%+v came back as %+v, %v", m, got, err)
		}
	})
}

// The sizes that membership counts with are upper bounds of what is sent.
func TestSizesAreBounds(t *testing.T) {
	big := ^uint64(0)
	long := strings.Repeat("x", membership.MaxName)
	addr := netip.AddrPortFrom(netip.MustParseAddr("2001:db8::1"), 65535)
	head := membership.Message{Kind: membership.SyncResponse, Version: 2, From: membership.ID(big), BootID: big, Incarnation: 1 << 62, Seq: 1<<32 - 1, Attempt: 255,
		Target: membership.ID(big), Addr: addr, Digest: big}
	size := func(m membership.Message) int {
		text, err := Encode(nil, &m)
		if err != nil {
			t.Fatal(err)
		}
		return len(text) + SealSize
	}
	if n := size(head); n > membership.DatagramOverhead {
		t.Errorf("a head has %d bytes, %d are counted", n, membership.DatagramOverhead)
	}
	rumor := membership.Rumor{Subject: membership.ID(big), BootTag: 1<<32 - 1, Incarnation: 1 << 62, State: membership.Suspect}
	for range 5 {
		rumor.Accusers = append(rumor.Accusers, membership.ID(big))
	}
	record := membership.Record{Name: long, Addr: addr, Zone: long[:membership.MaxZone], Version: 255, BootID: big, Incarnation: 1 << 62,
		State: membership.Left, Payload: make([]byte, membership.MaxPayload), PayloadVersion: big}
	with := head
	with.Rumors = []membership.Rumor{rumor}
	if n := size(with) - size(head); n > rumor.Size() {
		t.Errorf("a rumor has %d bytes, %d are counted", n, rumor.Size())
	}
	with = head
	with.Records = []membership.Record{record}
	if n := size(with) - size(head); n > record.Size() {
		t.Errorf("a record has %d bytes, %d are counted", n, record.Size())
	}
	compare := head
	compare.Buckets = make([]uint64, 64)
	for i := range compare.Buckets {
		compare.Buckets[i] = big
	}
	compare.Records = []membership.Record{record, record}
	if n := size(compare); n > membership.MaxDatagramBytes {
		t.Errorf("a comparison has %d bytes", n)
	}
}

func FuzzDecode(f *testing.F) {
	m := membership.Message{Kind: membership.Gossip, Version: 2, From: 1, BootID: 2, Incarnation: 3,
		Rumors:  []membership.Rumor{{Subject: 4, Incarnation: 5, State: membership.Suspect, Accusers: []membership.ID{6}}},
		Records: []membership.Record{{Name: "g", Addr: netip.MustParseAddrPort("127.0.0.1:1"), BootID: 1, Incarnation: 1, State: membership.Alive}}}
	text, err := Encode(nil, &m)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add(text[:len(text)/2])
	f.Add([]byte{0xbf, 0xff})
	f.Add([]byte{0xa1, 0x0d, 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, text []byte) {
		m, err := Decode(text)
		if err != nil {
			return
		}
		if len(m.Rumors) > mostRumors || len(m.Records) > mostRecords || len(m.Buckets) > mostBuckets || m.BootID == 0 || !m.Kind.Known() {
			t.Errorf("taken: %+v", m)
		}
		again, err := Encode(nil, &m)
		if err != nil {
			t.Fatal(err)
		}
		if n, err := Decode(again); err != nil || !reflect.DeepEqual(m, n) {
			t.Errorf("%+v came back as %+v, %v", m, n, err)
		}
	})
}

// A message with keys of a newer version is read; one that says that it must not be is refused as such.
func TestNewerVersions(t *testing.T) {
	newer := map[int]any{1: 5, 2: 9, 4: 1, 5: 2, 6: 3, 40: "what nobody knows yet"}
	text, err := encoding.Marshal(newer)
	if err != nil {
		t.Fatal(err)
	}
	if m, err := Decode(text); err != nil || m.Kind != membership.Gossip {
		t.Errorf("%+v, %v", m, err)
	}
	newer[3] = membership.Version + 1
	text, _ = encoding.Marshal(newer)
	if _, err := Decode(text); !errors.Is(err, ErrUnsupportedVersion) {
		t.Errorf("needs a newer one: %v", err)
	}
}

func TestOpen(t *testing.T) {
	m := &membership.Message{Kind: membership.Gossip, Version: 2, From: 1, BootID: 2, Incarnation: 3}
	a := sealer(t, "fleet", string(key))
	data, err := a.Seal(m)
	if err != nil {
		t.Fatal(err)
	}
	data = bytes.Clone(data)
	change := func(at int) []byte {
		c := bytes.Clone(data)
		c[at] ^= 1
		return c
	}
	for name, c := range map[string]struct {
		by   *Sealer
		data []byte
		want error
	}{
		"good":          {sealer(t, "fleet", "another key, also long", string(key)), data, nil},
		"other fleet":   {sealer(t, "elsewhere", string(key)), data, ErrOtherFleet},
		"other key":     {sealer(t, "fleet", "another key, also long"), data, ErrUnknownKey},
		"changed":       {a, change(headSize + 3), ErrBadMAC},
		"changed count": {a, change(15), ErrBadMAC},
		"changed MAC":   {a, change(len(data) - 1), ErrBadMAC},
		"truncated":     {a, data[:headSize+macSize-1], ErrMalformed},
		"cut":           {a, data[:len(data)-4], ErrBadMAC},
		"too large":     {a, make([]byte, membership.MaxDatagramBytes+1), ErrMalformed},
		"noise":         {a, bytes.Repeat([]byte("x"), 100), ErrMalformed},
		"empty":         {a, nil, ErrMalformed},
	} {
		got, counter, err := c.by.Open(c.data)
		if !errors.Is(err, c.want) || err == nil && (got.From != 1 || counter != 1) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if err := a.SetKeys([][]byte{key, []byte("short")}); err == nil || !strings.Contains(err.Error(), "key 2") {
		t.Errorf("a short key: %v", err)
	}
	if _, _, err := a.Open(data); err != nil {
		t.Errorf("after a refused change of keys: %v", err)
	}
}

// The window answers as a set would, for all that is not far behind.
func TestReplays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r ReplayFilter
		seen := map[uint64]bool{}
		var top uint64
		for range rapid.IntRange(1, 200).Draw(t, "datagrams") {
			step := rapid.SampledFrom([]int{1, 1, 1, 2, -1, -3, -60, 64, 300, 511, 512, 513, 5000}).Draw(t, "step")
			c := uint64(max(1, int(top)+step))
			want := !seen[c] && (len(seen) == 0 || top < windowBits || c > top-windowBits)
			if got := r.Accept(7, 9, c); got != want {
				t.Fatalf("%d after %d: fresh %v, want %v", c, top, got, want)
			}
			if want {
				seen[c] = true
				top = max(top, c)
			}
		}
		if r.Accept(7, 9, top) || !r.Accept(7, 10, top) || !r.Accept(8, 9, top) {
			t.Fatal("processes are not told apart")
		}
	})
}

// rig is one Peer on a loop that a test runs, and its log.
func rig(t *testing.T, cfg Config) (*eventloop.Loop, *Transport, *observer.ObservedLogs) {
	t.Helper()
	l, err := eventloop.New(eventloop.SystemClock())
	if err != nil {
		t.Fatal(err)
	}
	core, logs := observer.New(zap.InfoLevel)
	p, err := New(l, zap.New(core), cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.Close(); l.Close() })
	return l, p, logs
}

func peerConfig(name string) Config {
	return Config{Name: name, Fleet: "fleet", Listen: "127.0.0.1:0", Keys: [][]byte{key}, Seed: 1}
}

// runUntil runs a loop for some rounds until a condition holds.
func runUntil(t *testing.T, l *eventloop.Loop, p *Transport, ok func() bool) {
	t.Helper()
	rounds := 0
	l.NextRound(func() {})
	err := l.Run(func() {
		p.Step()
		if rounds++; ok() || rounds > 500 {
			l.Stop()
		}
	})
	if err != nil || !ok() {
		t.Fatalf("after %d rounds: %v", rounds, err)
	}
}

// What may not come in is dropped, counted by reason, and logged once a second.
func TestDropped(t *testing.T) {
	var set netipx.IPSetBuilder
	set.AddPrefix(netip.MustParsePrefix("127.0.0.0/30"))
	cfg := peerConfig("a")
	cfg.Networks, _ = set.IPSet()
	l, p, logs := rig(t, cfg)
	other, err := eventloop.New(eventloop.SystemClock())
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	send := func(from string, data []byte) {
		s, err := other.ListenPacket(from+":0", func(netip.AddrPort, []byte) {})
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		if !s.SendTo(p.Addr(), data) {
			t.Fatal("not sent")
		}
	}
	m := &membership.Message{Kind: membership.Gossip, Version: 2, From: 1, BootID: 2, Incarnation: 3}
	seal := func(s *Sealer) []byte {
		data, err := s.Seal(m)
		if err != nil {
			t.Fatal(err)
		}
		return bytes.Clone(data)
	}
	good := seal(sealer(t, "fleet", string(key)))
	send("127.0.0.1", good)
	send("127.0.0.1", good)
	send("127.0.0.9", good)
	send("127.0.0.1", []byte("noise"))
	send("127.0.0.1", seal(sealer(t, "elsewhere", string(key))))
	send("127.0.0.1", seal(sealer(t, "fleet", "another key, also long")))
	send("127.0.0.1", append(bytes.Clone(good[:len(good)-1]), good[len(good)-1]^1))
	runUntil(t, l, p, func() bool { return p.counts.in.Get() >= 7 })
	var text strings.Builder
	p.Metrics().WritePrometheus(&text)
	for _, reason := range []string{"replay", "network", "malformed", "fleet", "key", "mac"} {
		if !strings.Contains(text.String(), fmt.Sprintf(`dropped_total{reason=%q} 1`, reason)) {
			t.Errorf("%s is not counted once:\n%s", reason, text.String())
		}
	}
	if n := logs.FilterMessage("fleet: a datagram is dropped").Len(); n != 1 {
		t.Errorf("%d lines in the log", n)
	}
}

// Errors at the start name the key.
func TestNewNamesTheKey(t *testing.T) {
	l, p, _ := rig(t, peerConfig("a"))
	for want, change := range map[string]func(*Config){
		"fleet.keys":      func(c *Config) { c.Keys = [][]byte{[]byte("short")} },
		"fleet.listen":    func(c *Config) { c.Listen = p.Addr().String() },
		"fleet.advertise": func(c *Config) { c.Listen = "0.0.0.0:0" },
		"fleet: name":     func(c *Config) { c.Name = "" },
	} {
		cfg := peerConfig("b")
		change(&cfg)
		if _, err := New(l, zap.NewNop(), cfg); err == nil || !strings.HasPrefix(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", want, err)
		}
	}
}

// Two on one loop find each other; a goodbye ends it, and nothing is to be done any more.
func TestTwoMeet(t *testing.T) {
	l, a, _ := rig(t, peerConfig("a"))
	cfg := peerConfig("b")
	cfg.Seeds = []netip.AddrPort{a.Addr()}
	core, logs := observer.New(zap.InfoLevel)
	b, err := New(l, zap.New(core), cfg)
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	state := func(p *Transport, name string) membership.State {
		list, _ := p.Members()
		for _, m := range list {
			if m.Name == name {
				return m.State
			}
		}
		return 0
	}
	runUntil(t, l, a, func() bool {
		b.Step()
		return state(a, "b") == membership.Alive && state(b, "a") == membership.Alive
	})
	b.Leave()
	if n := logs.FilterMessage("fleet: member").Len(); n != 1 {
		t.Errorf("b logged %d changes", n)
	}
	if b.view.Wake() < l.Clock.Now()+1000 {
		t.Error("after its goodbye it still wants to be called")
	}
}
