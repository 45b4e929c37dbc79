package extended

import (
	"encoding/binary"
	"encoding/hex"
	"regexp"
	"strconv"
	"strings"
)

// A client can spell the name of a session in several ways: in binary or text format, as a quoted literal, or with another
// spelling of the same number. All spellings must give the same name, or a read would miss the writes of its session. The
// reverse is harmless: a read of two sessions that share a name only needs newer data than necessary.

// typeOID identifies a data type of PostgreSQL.
type typeOID uint32

// The types whose binary format is converted to text, with the OIDs of PostgreSQL's catalog pg_type.
const (
	typeUnspecified typeOID = 0
	typeName        typeOID = 19
	typeInt8        typeOID = 20
	typeInt2        typeOID = 21
	typeInt4        typeOID = 23
	typeText        typeOID = 25
	typeOIDType     typeOID = 26
	typeUnknown     typeOID = 705
	typeBPChar      typeOID = 1042
	typeVarchar     typeOID = 1043
	typeUUID        typeOID = 2950
)

const uuidSize = 16

// numeral matches a decimal number: its sign, the digits before the point without leading zeros, and those after it.
var numeral = regexp.MustCompile(`^([+-]?)0*([0-9]*)(?:\.([0-9]*))?$`)

// textOf returns the text of a value in binary format. It returns false if the type's binary format is not known here, or
// the value does not have it.
func textOf(value []byte, valueType typeOID) (text string, ok bool) {
	switch valueType {
	case typeText, typeVarchar, typeBPChar, typeName, typeUnknown:
		return string(value), true
	case typeUUID:
		return hex.EncodeToString(value), len(value) == uuidSize
	case typeInt2, typeInt4, typeInt8, typeOIDType:
		return integerText(value, valueType)
	}
	return "", false
}

// integerText returns the decimal text of an integer in binary format. It returns false if the size is not that of the
// type.
func integerText(value []byte, valueType typeOID) (text string, ok bool) {
	switch {
	case valueType == typeInt2 && len(value) == 2:
		return strconv.Itoa(int(int16(binary.BigEndian.Uint16(value)))), true
	case valueType == typeInt4 && len(value) == 4:
		return strconv.Itoa(int(int32(binary.BigEndian.Uint32(value)))), true
	case valueType == typeInt8 && len(value) == 8:
		return strconv.FormatInt(int64(binary.BigEndian.Uint64(value)), 10), true
	case valueType == typeOIDType && len(value) == 4:
		return strconv.FormatUint(uint64(binary.BigEndian.Uint32(value)), 10), true
	}
	return "", false
}

// canonicalName returns the same name for all spellings of a value that PostgreSQL takes for the same integer, decimal
// number, UUID or text without regard to case. A quote may be doubled, as it is in a literal.
func canonicalName(text string) string {
	text = strings.ToLower(strings.TrimSpace(strings.ReplaceAll(text, "''", "'")))
	if digits, ok := canonicalUUID(text); ok {
		return digits
	}
	if number, ok := canonicalNumber(text); ok {
		return number
	}
	return text
}

// canonicalUUID returns the 32 digits of a UUID in lower case, which may have hyphens and braces.
func canonicalUUID(text string) (digits string, ok bool) {
	const maxSpelling = 2*uuidSize + 9 // a hyphen between each four digits, and braces
	if len(text) > maxSpelling {
		return "", false
	}
	digits = strings.ReplaceAll(strings.Trim(text, "{}"), "-", "")
	decoded, err := hex.DecodeString(digits)
	return digits, err == nil && len(decoded) == uuidSize
}

// canonicalNumber returns a number without a plus sign, without zeros at its ends and in decimal. Integers may have the
// prefixes 0x, 0o and 0b, and underscores between digits.
func canonicalNumber(text string) (number string, ok bool) {
	text = strings.ReplaceAll(text, "_", "")
	parts := numeral.FindStringSubmatch(text)
	if parts == nil || !strings.ContainsAny(text, "0123456789") {
		integer, err := strconv.ParseInt(text, 0, 64)
		return strconv.FormatInt(integer, 10), err == nil
	}
	sign, whole, fraction := parts[1], parts[2], strings.TrimRight(parts[3], "0")
	if whole == "" {
		whole = "0"
	}
	if fraction != "" {
		whole += "." + fraction
	}
	if sign == "-" && whole != "0" {
		return sign + whole, true
	}
	return whole, true
}
