package pg

import "testing"

// A row that is forwarded in parts is checked as strictly as one that is complete, wherever it is cut.
func TestPartialRowIsValidatedLikeACompleteOne(t *testing.T) {
	for _, body := range []string{
		"\x00\x01\x00\x00\x00\x03abc",
		"\x00\x02\x00\x00\x00\x00\xff\xff\xff\xff",
		"\x00\x02\x00\x00\x00\x01a\x00\x00\x00\x01b",
		"\x00\x01\x00\x00\x00\x04abc",
		"\x00\x01\x00\x00\x00\x02abc",
		"\x00\x01\x00\x00\x00",
		"\x00\x01\xff\xff\xff\xf0",
		"\x00\x02\x00\x00\x00\x03abc",
	} {
		row := AppendMessage(nil, MsgDataRow, []byte(body)...)
		for cut := range len(row) {
			validator := rowValidator{columnsLeft: NewFieldReader([]byte(body)).Int16(), skip: rowHeaderSize}
			validator.add(row[:cut])
			validator.add(row[cut:])
			if validator.complete() != isWellFormed(MsgDataRow, []byte(body)) {
				t.Fatalf("%q cut at %d: %v", body, cut, validator.complete())
			}
		}
	}
}
