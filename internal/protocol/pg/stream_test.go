package pg

import "testing"

// A row that is passed on in parts is judged as strictly as one that is whole, wherever it is cut.
func TestARowInPartsIsJudgedLikeAWholeOne(t *testing.T) {
	for _, body := range []string{
		"\x00\x01\x00\x00\x00\x03abc", "\x00\x02\x00\x00\x00\x00\xff\xff\xff\xff", "\x00\x02\x00\x00\x00\x01a\x00\x00\x00\x01b",
		"\x00\x01\x00\x00\x00\x04abc", "\x00\x01\x00\x00\x00\x02abc", "\x00\x01\x00\x00\x00", "\x00\x01\xff\xff\xff\xf0", "\x00\x02\x00\x00\x00\x03abc",
	} {
		row := AppendMessage(nil, MsgDataRow, []byte(body)...)
		for cut := range len(row) {
			r := rowCheck{columns: NewFieldReader([]byte(body)).Int16(), skip: rowHead}
			r.take(row[:cut])
			r.take(row[cut:])
			if r.whole() != wellFormed(MsgDataRow, []byte(body)) {
				t.Fatalf("%q cut at %d: %v", body, cut, r.whole())
			}
		}
	}
}
