package extended

import (
	"encoding/binary"
	"regexp"
	"testing"
)

// bindOne returns the fields of a Bind with one parameter. A nil value is NULL.
func bindOne(value []byte, format uint16) boundFields {
	fields := binary.BigEndian.AppendUint16([]byte{0, 1}, format)
	length := int32(len(value))
	if value == nil {
		length = -1
	}
	fields = binary.BigEndian.AppendUint32(append(fields, 0, 1), uint32(length))
	return append(append(fields, value...), 0, 0)
}

// Guards against reads that missed the writes of their session, since a value was spelled in another way.
func TestSpellingsOfAValueNameTheSameSession(t *testing.T) {
	type spelling struct {
		value     string
		format    uint16
		valueType typeOID
	}
	const uuid = "\x00\x11\x22\x33\x44\x55\x66\x77\x88\x99\xaa\xbb\xcc\xdd\xee\xff"
	rule := &Rule{Pattern: regexp.MustCompile("SELECT"), SessionParam: 1}
	for name, spellings := range map[string][]spelling{
		"integer": {
			{"42", 0, typeInt4}, {" 42 ", 0, typeUnspecified}, {"+042", 0, typeInt8}, {"0x2A", 0, typeInt4}, {"4_2", 0, typeInt4},
			{"42.00", 0, typeUnspecified},
			{"\x00\x2a", 1, typeInt2}, {"\x00\x00\x00\x2a", 1, typeInt4}, {"\x00\x00\x00\x00\x00\x00\x00\x2a", 1, typeInt8},
			{"\x00\x00\x00\x2a", 1, typeOIDType}, {"42", 1, typeText},
		},
		"negative": {{"-7", 0, typeInt4}, {"-007", 0, typeInt4}, {"\xff\xf9", 1, typeInt2}, {"\xff\xff\xff\xf9", 1, typeInt4}},
		"zero":     {{"0", 0, typeInt4}, {"-0", 0, typeInt4}, {"000", 0, typeInt4}, {"\x00\x00", 1, typeInt2}},
		"fraction": {{"1.5", 0, typeUnspecified}, {"01.50", 0, typeUnspecified}},
		"text":     {{"North Wing", 0, typeText}, {"north wing  ", 0, typeBPChar}, {"North Wing", 1, typeVarchar}},
		"quote":    {{"O'Brien", 1, typeText}, {"O''Brien", 0, typeUnspecified}},
		"UUID": {
			{uuid, 1, typeUUID}, {"00112233-4455-6677-8899-AABBCCDDEEFF", 0, typeUUID},
			{"{00112233-4455-6677-8899-aabbccddeeff}", 0, typeText}, {"00112233445566778899aabbccddeeff", 0, typeUUID},
		},
	} {
		t.Run(name, func(t *testing.T) {
			want := ""
			for _, s := range spellings {
				bound := bindOne([]byte(s.value), s.format)
				got, identified := rule.sessionName("SELECT 1", bound, s.valueType, 1)
				if want == "" {
					want = got
				}
				if got != want || !identified {
					t.Errorf("%+v: session %q, identified %v; want %q, true", s, got, identified, want)
				}
			}
		})
	}
}

// Values that can't be identified must not pass for another session's.
func TestUnknownBinaryValueIsUnidentified(t *testing.T) {
	const typeDate typeOID = 1082
	rule := &Rule{Pattern: regexp.MustCompile("SELECT"), SessionParam: 1}
	for _, test := range []struct {
		value     string
		valueType typeOID
	}{
		{"\x00\x00\x00\x2a", typeUnspecified},
		{"\x00\x00\x00\x2a", typeDate},
		{"\x00\x2a", typeInt4},
		{"too short", typeUUID},
	} {
		bound := bindOne([]byte(test.value), formatBinary)
		if name, identified := rule.sessionName("SELECT 1", bound, test.valueType, 1); identified {
			t.Errorf("%+v: identified as %q", test, name)
		}
	}
}
