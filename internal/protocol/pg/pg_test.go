package pg

import (
	"bytes"
	"encoding/hex"
	"maps"
	"testing"

	"golang.org/x/sys/unix"

	"merlinjunction/internal/eventloop"
	"merlinjunction/routing"
)

// The bytes are written out by hand from PostgreSQL's documentation of message formats.
func TestBytes(t *testing.T) {
	for want, got := range map[string][]byte{
		"5a 00000005 49":                     AppendReadyForQuery(nil),
		"43 0000000f 494e534552542030203100": AppendStrings(nil, MsgComplete, "INSERT 0 1"),
		"45 00000024 534552524f5200 564552524f5200 43353333303000 4d6e6f00 443730303000 00": ErrorResponse{
			State: StateTooManyConnections, Text: "no", Detail: "7000"}.Append(nil),
	} {
		if b, err := hex.DecodeString(string(bytes.ReplaceAll([]byte(want), []byte(" "), nil))); err != nil || !bytes.Equal(b, got) {
			t.Errorf("want %s, got %x", want, got)
		}
	}
}

func TestNextAndFieldsOnBadInput(t *testing.T) {
	for _, c := range []struct {
		in   string
		size int
		err  error
	}{
		{"Q\x00\x00\x00\x06a\x00rest", 7, nil},
		{"Q\x00\x00\x00\x06a", 0, nil},
		{"Q\x00\x00", 0, nil},
		{"Q\x00\x00\x00\x03", 0, ErrMalformed},
		{"Q\xff\xff\xff\xff", 0, ErrTooLarge},
	} {
		if _, _, size, err := SplitMessage([]byte(c.in), 100); size != c.size || err != c.err {
			t.Errorf("%q: %d, %v", c.in, size, err)
		}
	}
	for _, read := range []func(*FieldReader){
		func(f *FieldReader) { f.Text() }, func(f *FieldReader) { f.Bytes(9) }, func(f *FieldReader) { f.Bytes(-1) },
		func(f *FieldReader) { f.Value() }, func(f *FieldReader) { f.Int32(); f.Byte() },
	} {
		f := NewFieldReader([]byte{0x7f, 1, 1, 1})
		if read(f); !f.Malformed || f.End() {
			t.Error("a read past the end goes unnoticed")
		}
	}
}

func TestWhatAnAnswerSaysOfTheAttempt(t *testing.T) {
	for state, want := range map[string]routing.Outcome{
		"": routing.OutcomeOK, "25006": routing.OutcomeMisdirected, "72000": routing.OutcomeMisdirected, "53300": routing.OutcomeRejected, "57P03": routing.OutcomeRejected,
		"XX000": routing.OutcomeError, "57P01": routing.OutcomeError, "42601": routing.OutcomeError,
	} {
		if got := outcomeOf(state); got != want {
			t.Errorf("%s: %v", state, got)
		}
	}
	for state, want := range map[string]bool{"42601": true, "22012": true, "23505": true, "XX000": false, "53300": false, "25006": false, "": false} {
		if final(state) != want {
			t.Errorf("%s: final %v", state, !want)
		}
	}
}

func TestWellFormed(t *testing.T) {
	for text, want := range map[string]bool{
		"ZI": true, "Z?": false, "ZII": false, "D\x00\x01\x00\x00\x00\x01v": true, "D\x00\x01\x00\x00\x00\x02v": false,
		"D\x00\x01\x00\x00\x00\x00v": false, "D\x00\x01\xff\xff\xff\xf0": false, "CSELECT 1\x00": true, "CSELECT 1": false,
		"C\x00": false, "Sa\x00b\x00": true, "Sa\x00": false, "EC12345\x00\x00": true, "EMno\x00\x00": false, "EC12345": false,
		"T\x00\x01v\x00": false, "T\x00\x00": true, "1": true, "1x": false,
	} {
		if wellFormed(text[0], []byte(text[1:])) != want {
			t.Errorf("%q: %v", text, !want)
		}
	}
	for _, kind := range []byte("x?q\x00QPF") {
		if longest(kind) != 0 {
			t.Errorf("%q is taken from a host", kind)
		}
	}
}

type quietSession struct{ busy bool }

func (s *quietSession) Busy() bool                 { return s.busy }
func (s *quietSession) Accepts(byte) bool          { return !s.busy }
func (s *quietSession) HandleMessage(byte, []byte) { s.busy = true }
func (s *quietSession) InPipeline() bool           { return false }
func (s *quietSession) ClientGone()                {}

// On the bench clients that asked once and stayed held all places, and each new client was closed for the next one
// before its first request had come.
func TestWhoMakesRoom(t *testing.T) {
	now := 1000.0
	l, err := eventloop.New(eventloop.ManualClock(&now))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	s := &ClientPool{Loop: l, MaxClients: 2}
	ends := map[*Client]int{}
	accept := func() *Client {
		fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { unix.Close(fds[1]) })
		now++
		before := maps.Clone(s.all)
		s.Accept(fds[0])
		for c := range s.all {
			if _, ok := before[c]; !ok {
				ends[c] = fds[1]
				return c
			}
		}
		return nil
	}
	here := func(c *Client) bool { _, ok := s.all[c]; return ok && !c.ending }
	stays, first := accept(), accept()
	stays.session, stays.owes, stays.lastUsed = &quietSession{}, 0, now-100
	if second := accept(); here(stays) || !here(first) || !here(second) {
		t.Error("the one that asked and stays did not make room")
	}
	if third := accept(); here(third) || !here(first) {
		t.Error("one that has just come was closed for the next")
	}
	now += firstMs
	if fourth := accept(); here(first) || !here(fourth) {
		t.Error("one that says nothing did not make room")
	}
	s.MaxClients = 100 // well below it idle ones go already: the clients' own side holds a bounded number too
	for range crowdedShare {
		c := accept()
		c.session, c.owes = &quietSession{}, 0
	}
	now += restMs
	if n := len(s.all) - s.ending; accept() == nil || len(s.all)-s.ending > n {
		t.Errorf("%d connections, and none that is idle made room", n)
	}
	s.MaxClients = 2
	for c := range s.all {
		if len(s.all) > 2 {
			c.leave()
		}
	}
	for c := range s.all { // both have asked; one has begun to ask again and stops midway
		c.session, c.owes = &quietSession{}, 0
		first = c
	}
	first.owes = now
	now += firstMs
	for c := range s.all {
		if _, err := unix.Write(ends[c], AppendStrings(nil, MsgQuery, "")); err != nil {
			t.Fatal(err)
		}
	}
	if accept(); !here(first) {
		t.Error("one whose message has just come was closed")
	}
	for c := range s.all {
		c.session = &quietSession{}
	}
	first.owes = now
	now += firstMs
	if fifth := accept(); here(first) || !here(fifth) {
		t.Error("one that stops midway did not make room")
	}
}

// On a day of the fleet one request was lost: its connection had been idle for two seconds, and the first part of a long
// query came in just before it was closed. What has been read in part must not be closed on.
func TestAnIdleConnectionThatBeginsToAskIsKept(t *testing.T) {
	now := 1000.0
	l, err := eventloop.New(eventloop.ManualClock(&now))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	s := &ClientPool{Loop: l, MaxClients: 10, IdleTimeoutMs: 2000}
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(fds[1])
	s.Accept(fds[0])
	for c := range s.all {
		c.session, c.owes = &quietSession{}, 0
	}
	now += s.IdleTimeoutMs
	query := AppendStrings(nil, MsgQuery, "a long query")
	if _, err := unix.Write(fds[1], query[:9]); err != nil {
		t.Fatal(err)
	}
	s.sweep()
	if len(s.all) != 1 {
		t.Fatal("a connection was closed on the first part of a query")
	}
	for c := range s.all {
		if _, err := unix.Write(fds[1], query[9:]); err != nil {
			t.Fatal(err)
		}
		if c.conn.ReadNow(); !c.session.Busy() {
			t.Error("the rest of the query is not taken")
		}
	}
}

func TestReport(t *testing.T) {
	row := func(s string) []byte {
		row := AppendMessage(AppendMessage(nil, MsgRowDescription, 0, 0), MsgDataRow, append([]byte{0, 1, 0, 0, 0, byte(len(s))}, s...)...)
		return AppendStrings(row, MsgComplete, "SHOW")
	}
	role, position, ok := ParseLoadReport(row("x0=1767225600.125,x1=1,inflight=7"))
	if !ok || role != routing.RolePrimary || position != 1767225600125 {
		t.Errorf("%v %v %v", role, position, ok)
	}
	if role, _, ok := ParseLoadReport(row("x0=5,x1=0")); !ok || role != routing.RoleReplica {
		t.Errorf("%v %v", role, ok)
	}
	for _, bad := range [][]byte{nil, row(""), row("x0=NaN"), row("x1=1"), row("x0=1,x1=1")[:26], {'D', 0, 0, 0, 4}} {
		if _, _, ok := ParseLoadReport(bad); ok {
			t.Errorf("%q is taken for a report", bad)
		}
	}
}
