package stubserver

import (
	"regexp"

	"merlinjunction/internal/protocol/pg"
)

var quotedLiteral = regexp.MustCompile(`'([^']*)'`)

// Statement is the one unnamed statement that a stub's connection works on, with its values.
type Statement struct {
	Text   string
	Values []string
}

// ReadQuery takes in the body of a Query: its values are the quoted literals of the text.
func (s *Statement) ReadQuery(body []byte) {
	s.Text, s.Values = pg.NewFieldReader(body).Text(), nil
	for _, match := range quotedLiteral.FindAllStringSubmatch(s.Text, -1) {
		s.Values = append(s.Values, match[1])
	}
}

// ReadParse takes in the body of a Parse.
func (s *Statement) ReadParse(body []byte) {
	fields := pg.NewFieldReader(body)
	fields.Text() // the statement's name
	s.Text = fields.Text()
}

// ReadBind takes in the values of a Bind.
func (s *Statement) ReadBind(body []byte) {
	const formatCodeSize = 2
	fields := pg.NewFieldReader(body)
	fields.Text() // the portal's name
	fields.Text() // the statement's name
	fields.Bytes(formatCodeSize * fields.Int16())
	s.Values = nil
	for range fields.Int16() {
		s.Values = append(s.Values, string(fields.Value()))
	}
}
