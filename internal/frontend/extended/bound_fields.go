package extended

import (
	"encoding/binary"

	"merlinjunction/internal/protocol/pg"
)

// boundFields are the format codes, parameters and result format codes of a Bind message, as the message encodes them. They
// stay encoded, since a Bind can have tens of thousands of parameters of a few bytes each. A nil slice has no parameters,
// as a simple query has none.
type boundFields []byte

// isWellFormed reports whether the fields are complete and their counts and codes are valid. All other methods require
// that.
func (b boundFields) isWellFormed() bool {
	fields := pg.NewFieldReader(b)
	formats, ok := readFormatCodes(fields)
	if !ok {
		return false
	}
	count := fields.Int16()
	for range count {
		fields.Value()
		if fields.Malformed {
			return false
		}
	}
	_, ok = readFormatCodes(fields)
	return ok && fields.AtEnd() && (formats.count() <= 1 || formats.count() == count)
}

// parameter returns the value of the parameter with a number, counted from 1, and whether it is in binary format. The value
// is nil for NULL. It returns false if there is no such parameter. The value shares memory with the fields.
func (b boundFields) parameter(number int) (value []byte, isBinary, ok bool) {
	if b == nil {
		return nil, false, false
	}
	fields := pg.NewFieldReader(b)
	formats, _ := readFormatCodes(fields)
	if number < 1 || number > fields.Int16() {
		return nil, false, false
	}
	for range number {
		value = fields.Value()
	}
	return value, value != nil && formats.code(number-1) == formatBinary, true
}

// resultFormats returns the format codes of the result columns.
func (b boundFields) resultFormats() formatCodes {
	fields := pg.NewFieldReader(b)
	_, _ = readFormatCodes(fields)
	for range fields.Int16() {
		fields.Value()
	}
	codes, _ := readFormatCodes(fields)
	return codes
}

// Format codes of parameters and result columns.
const (
	formatText   = 0
	formatBinary = 1
)

const formatCodeSize = 2

// formatCodes are the format codes of parameters or result columns, as messages encode them: none if all are text, one for
// all, or one for each.
type formatCodes []byte

func (c formatCodes) count() int { return len(c) / formatCodeSize }

// code returns the format code of a parameter or column, counted from 0.
func (c formatCodes) code(index int) uint16 {
	switch {
	case c.count() == 1:
		index = 0
	case index >= c.count():
		return formatText
	}
	return binary.BigEndian.Uint16(c[index*formatCodeSize:])
}

// readFormatCodes reads the number of format codes and then the codes. It returns false if one is invalid.
func readFormatCodes(fields *pg.FieldReader) (codes formatCodes, ok bool) {
	codes = fields.Bytes(formatCodeSize * fields.Int16())
	for i := range codes.count() {
		if code := binary.BigEndian.Uint16(codes[i*formatCodeSize:]); code > formatBinary {
			return nil, false
		}
	}
	return codes, !fields.Malformed
}
