package pg

import "testing"

// TestPartialRowIsValidatedLikeACompleteOne checks that rowValidator and isWellFormed give the same result for a row,
// wherever the row is split.
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
				t.Fatalf("%q split at byte %d: complete = %v, unlike isWellFormed", body, cut, validator.complete())
			}
		}
	}
}
