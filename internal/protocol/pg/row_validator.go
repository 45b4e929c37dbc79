package pg

import "encoding/binary"

// rowHeaderSize is the size of a DataRow's header and its column count, in bytes.
const rowHeaderSize = headerSize + 2

// rowValidator checks a DataRow message that is forwarded in parts. The row's values must end exactly where the message
// ends.
type rowValidator struct {
	columnsLeft int              // columns whose length field hasn't been read; negative if the row is malformed
	skip        int              // bytes before the next length field
	length      [lengthSize]byte // length field of the next value, as far as it has been read
	lengthRead  int              // number of bytes of length that have been read
}

// add checks the next part of the row.
func (r *rowValidator) add(part []byte) {
	for len(part) > 0 {
		skipped := min(r.skip, len(part))
		r.skip -= skipped
		part = part[skipped:]
		if r.skip > 0 || len(part) == 0 {
			return
		}
		r.length[r.lengthRead] = part[0]
		r.lengthRead++
		part = part[1:]
		if r.lengthRead == len(r.length) {
			r.beginValue()
		}
	}
}

// beginValue decodes a length field and sets skip to the size of the value that follows it.
func (r *rowValidator) beginValue() {
	r.lengthRead = 0
	r.columnsLeft--
	length := int32(binary.BigEndian.Uint32(r.length[:]))
	switch {
	case length >= 0:
		r.skip = int(length)
	case length < nullLength:
		r.columnsLeft = -1
	}
}

// complete reports whether all values of the row have been read and nothing follows them.
func (r *rowValidator) complete() bool {
	return r.columnsLeft == 0 && r.skip == 0 && r.lengthRead == 0
}
