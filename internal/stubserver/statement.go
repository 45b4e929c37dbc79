package stubserver

import (
	"encoding/binary"
	"regexp"
	"strconv"
	"strings"

	"merlinjunction/internal/protocol/pg"
)

const (
	binaryFormat = 1 // format code
	int4Size     = 4
)

var quotedLiteral = regexp.MustCompile(`'([^']*)'`)

// Statement is the unnamed statement of a connection to a stub host, with its parameter values.
type Statement struct {
	Text   string
	Values []string
}

// ReadQuery reads the body of a Query message. The values are copies of the quoted literals of its text, as stubs record
// them for long.
func (s *Statement) ReadQuery(body []byte) {
	s.Text, s.Values = pg.NewFieldReader(body).Text(), nil
	for _, match := range quotedLiteral.FindAllStringSubmatch(s.Text, -1) {
		s.Values = append(s.Values, strings.Clone(match[1]))
	}
}

// ReadParse reads the text from the body of a Parse message. The values stay until the next Bind message.
func (s *Statement) ReadParse(body []byte) {
	fields := pg.NewFieldReader(body)
	fields.Text() // the statement's name
	s.Text = fields.Text()
}

// ReadBind reads the values from the body of a Bind message, which has no format codes or one for each value. A value in
// binary format is an int4 and is read as a decimal number.
func (s *Statement) ReadBind(body []byte) {
	fields := pg.NewFieldReader(body)
	fields.Text() // the portal's name
	fields.Text() // the statement's name
	var formats []int
	for range fields.Int16() {
		formats = append(formats, fields.Int16())
	}
	s.Values = nil
	for i := range fields.Int16() {
		value := fields.Value()
		if i < len(formats) && formats[i] == binaryFormat && len(value) == int4Size {
			s.Values = append(s.Values, strconv.Itoa(int(int32(binary.BigEndian.Uint32(value)))))
			continue
		}
		s.Values = append(s.Values, string(value))
	}
}
