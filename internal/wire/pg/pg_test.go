package pg

import (
	"bytes"
	"encoding/hex"
	"testing"

	"merlinjunction/decide"
)

// The bytes are written out by hand from PostgreSQL's documentation of message formats.
func TestBytes(t *testing.T) {
	for want, got := range map[string][]byte{
		"5a 00000005 49":                     Ready(nil),
		"43 0000000f 494e534552542030203100": Texts(nil, MsgComplete, "INSERT 0 1"),
		"45 00000024 534552524f5200 564552524f5200 43353333303000 4d6e6f00 443730303000 00": Failure{
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
		if _, _, size, err := Next([]byte(c.in), 100); size != c.size || err != c.err {
			t.Errorf("%q: %d, %v", c.in, size, err)
		}
	}
	for _, read := range []func(*Fields){
		func(f *Fields) { f.Text() }, func(f *Fields) { f.Bytes(9) }, func(f *Fields) { f.Bytes(-1) },
		func(f *Fields) { f.Value() }, func(f *Fields) { f.Int32(); f.Byte() },
	} {
		f := Read([]byte{0x7f, 1, 1, 1})
		if read(f); !f.Bad || f.End() {
			t.Error("a read past the end goes unnoticed")
		}
	}
}

func TestWhatAnAnswerSaysOfTheAttempt(t *testing.T) {
	for state, want := range map[string]decide.Outcome{
		"": decide.OK, "25006": decide.Miss, "72000": decide.Miss, "53300": decide.Full, "57P03": decide.Full,
		"XX000": decide.Error, "57P01": decide.Error, "42601": decide.Error,
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

func TestReport(t *testing.T) {
	row := func(s string) []byte {
		row := Message(Message(nil, MsgRowDescription, 0, 0), MsgDataRow, append([]byte{0, 1, 0, 0, 0, byte(len(s))}, s...)...)
		return Texts(row, MsgComplete, "SHOW")
	}
	role, position, ok := ReadReport(row("x0=1767225600.125,x1=1,inflight=7"))
	if !ok || role != decide.RolePrimary || position != 1767225600125 {
		t.Errorf("%v %v %v", role, position, ok)
	}
	if role, _, ok := ReadReport(row("x0=5,x1=0")); !ok || role != decide.RoleReplica {
		t.Errorf("%v %v", role, ok)
	}
	for _, bad := range [][]byte{nil, row(""), row("x0=NaN"), row("x1=1"), row("x0=1,x1=1")[:26], {'D', 0, 0, 0, 4}} {
		if _, _, ok := ReadReport(bad); ok {
			t.Errorf("%q is taken for a report", bad)
		}
	}
}
