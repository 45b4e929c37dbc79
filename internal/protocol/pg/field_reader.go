package pg

import (
	"bytes"
	"encoding/binary"
)

// nullLength is the length field of a NULL value.
const nullLength = -1

// FieldReader reads the fields of a message body in order. After a read past the end of the body, Malformed is true and
// all further fields are zero or empty.
type FieldReader struct {
	rest      []byte
	Malformed bool
}

// NewFieldReader returns a FieldReader at the start of a message body.
func NewFieldReader(body []byte) *FieldReader { return &FieldReader{rest: body} }

// fail marks the body as malformed.
func (f *FieldReader) fail() {
	f.Malformed = true
	f.rest = nil
}

// Bytes reads count bytes. The result shares memory with the body.
func (f *FieldReader) Bytes(count int) []byte {
	if count < 0 || count > len(f.rest) {
		f.fail()
		return nil
	}
	field := f.rest[:count:count]
	f.rest = f.rest[count:]
	return field
}

// Byte reads one byte.
func (f *FieldReader) Byte() byte {
	if field := f.Bytes(1); field != nil {
		return field[0]
	}
	return 0
}

// Int16 reads a 16-bit count or format code, as an unsigned integer.
func (f *FieldReader) Int16() int {
	if field := f.Bytes(2); field != nil {
		return int(binary.BigEndian.Uint16(field))
	}
	return 0
}

// Int32 reads a signed 32-bit integer.
func (f *FieldReader) Int32() int {
	if field := f.Bytes(4); field != nil {
		return int(int32(binary.BigEndian.Uint32(field)))
	}
	return 0
}

// Text reads a string that ends with a zero byte.
func (f *FieldReader) Text() string {
	end := bytes.IndexByte(f.rest, 0)
	if end < 0 {
		f.fail()
		return ""
	}
	text := string(f.rest[:end])
	f.rest = f.rest[end+1:]
	return text
}

// Value reads a length field and the value that follows it. The result is nil for NULL, but not for an empty value.
func (f *FieldReader) Value() []byte {
	length := f.Int32()
	if length == nullLength {
		return nil
	}
	if value := f.Bytes(length); value != nil {
		return value
	}
	return []byte{}
}

// AtEnd reports whether the body was well-formed and has been read to its end.
func (f *FieldReader) AtEnd() bool { return !f.Malformed && len(f.rest) == 0 }
