package pg

import "testing"

func TestHostMessageValidation(t *testing.T) {
	for text, want := range map[string]bool{
		"ZI": true, "Z?": false, "ZII": false,
		"D\x00\x01\x00\x00\x00\x01v": true, "D\x00\x01\x00\x00\x00\x02v": false, "D\x00\x01\x00\x00\x00\x00v": false,
		"D\x00\x01\xff\xff\xff\xf0": false,
		"CSELECT 1\x00":             true, "CSELECT 1": false, "C\x00": false,
		"Sa\x00b\x00": true, "Sa\x00": false,
		"EC12345\x00\x00": true, "EMno\x00\x00": false, "EC12345": false,
		"T\x00\x01v\x00": false, "T\x00\x00": true,
		"1": true, "1x": false,
	} {
		if isWellFormed(text[0], []byte(text[1:])) != want {
			t.Errorf("%q: isWellFormed = %v, want %v", text, !want, want)
		}
	}
	for _, messageType := range []byte("x?q\x00QPF") {
		if maxHostMessageLength(messageType) != 0 {
			t.Errorf("message type %q is accepted from a host", messageType)
		}
	}
}
