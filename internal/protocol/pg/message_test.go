package pg

import (
	"bytes"
	"encoding/hex"
	"errors"
	"testing"
)

// TestMessageEncoding compares encoded messages with bytes that were derived by hand from the message formats in
// PostgreSQL's documentation.
func TestMessageEncoding(t *testing.T) {
	for want, got := range map[string][]byte{
		"5a 00000005 49":                     AppendReadyForQuery(nil),
		"43 0000000f 494e534552542030203100": AppendStrings(nil, MsgCommandComplete, "INSERT 0 1"),
		"45 00000024 534552524f5200 564552524f5200 43353333303000 4d6e6f00 443730303000 00": ErrorResponse{
			SQLState: StateTooManyConnections, Message: "no", Detail: "7000"}.AppendTo(nil),
	} {
		encoded := bytes.ReplaceAll([]byte(want), []byte(" "), nil)
		if b, err := hex.DecodeString(string(encoded)); err != nil || !bytes.Equal(b, got) {
			t.Errorf("want %s, got %x", want, got)
		}
	}
}

func TestSplitMessageAndFieldReaderOnInvalidInput(t *testing.T) {
	for _, test := range []struct {
		input string
		size  int
		err   error
	}{
		{"Q\x00\x00\x00\x06a\x00rest", 7, nil},
		{"Q\x00\x00\x00\x06a", 0, nil},
		{"Q\x00\x00", 0, nil},
		{"Q\x00\x00\x00\x03", 0, ErrMalformed},
		{"Q\xff\xff\xff\xff", 0, ErrTooLarge},
	} {
		if _, _, size, err := SplitMessage([]byte(test.input), 100); size != test.size || !errors.Is(err, test.err) {
			t.Errorf("%q: got size %d, error %v, want %d, %v", test.input, size, err, test.size, test.err)
		}
	}
	for _, read := range []func(*FieldReader){
		func(f *FieldReader) { f.Text() },
		func(f *FieldReader) { f.Bytes(9) },
		func(f *FieldReader) { f.Bytes(-1) },
		func(f *FieldReader) { f.Value() },
		func(f *FieldReader) { f.Int32(); f.Byte() },
	} {
		fields := NewFieldReader([]byte{0x7f, 1, 1, 1})
		if read(fields); !fields.Malformed || fields.AtEnd() {
			t.Error("a read past the end of the body was not reported as malformed")
		}
	}
}

func TestProtocolErrorsAreTyped(t *testing.T) {
	for _, err := range []error{ErrMalformed, ErrTooLarge, errInvalidAnswer, errUnsolicitedMessage, errAuthenticationRequested} {
		var protocolError *ProtocolError
		if !errors.As(err, &protocolError) {
			t.Errorf("%v is not a ProtocolError", err)
		}
	}
}
