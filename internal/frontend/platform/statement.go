package platform

import (
	"errors"
	"fmt"
	"strings"
)

const whitespaceAndSemicolon = " \t\r\n;"

var (
	errNoAnnotation = errors.New("the query ends in no comment that says what it is")
	errUnknownForm  = errors.New("only SELECT v FROM records WHERE k = '...' and INSERT INTO records (k, v)" +
		" VALUES ('...', '\\x...') RETURNING v are taken here")
	errAnnotationTooLong    = errors.New("the comment has too many values")
	errAnnotationIncomplete = errors.New("the comment lacks id, c, cluster or d")
)

// statement is a parsed query with its annotation.
type statement struct {
	text  string // as the client sent it; empty once no attempt can follow
	key   string // the key of the record that the query reads or writes; a copy, as it is kept longer than the text
	write bool   // true for an INSERT, false for a SELECT
	annotation

	// text[timeLeftStart:timeLeftEnd] is the time left in the annotation, which is replaced for each attempt.
	timeLeftStart, timeLeftEnd int
}

// parseStatement parses a query with its annotation. The query must have one of the two forms that hosts accept.
func parseStatement(text string) (*statement, error) {
	sql, comment, ok := splitAnnotation(text)
	if !ok {
		return nil, errNoAnnotation
	}
	st := &statement{text: text, annotation: annotation{group: noGroup}}
	if st.key, st.write, ok = parseForm(strings.TrimRight(sql, " ")); !ok {
		return nil, errUnknownForm
	}
	if err := st.parseAnnotation(comment, len(sql)+len("/*")); err != nil {
		return nil, err
	}
	st.key, st.id = strings.Clone(st.key), strings.Clone(st.id)
	if !st.hasRequiredValues() {
		return nil, errAnnotationIncomplete
	}
	return st, nil
}

// parseAnnotation parses the comma-separated name=value pairs of a comment. The offset is the position of the first pair in
// the text of the query.
func (st *statement) parseAnnotation(comment string, offset int) error {
	if strings.Count(comment, ",") >= maxAnnotationValues {
		return errAnnotationTooLong
	}
	seen := map[string]bool{}
	for pair := range strings.SplitSeq(comment, ",") {
		trimmed := strings.TrimLeft(pair, " ")
		name, value, _ := strings.Cut(strings.TrimRight(trimmed, " "), "=")
		if seen[name] {
			return fmt.Errorf("the comment has two values of %s", name)
		}
		seen[name] = true
		if name == annotationTimeLeft {
			leadingSpaces := len(pair) - len(trimmed)
			st.timeLeftStart = offset + leadingSpaces + len(annotationTimeLeft+"=")
			st.timeLeftEnd = st.timeLeftStart + len(value)
		}
		if !st.setValue(name, value) {
			return fmt.Errorf("the comment's %s has the value %q", name, value)
		}
		offset += len(pair) + len(",")
	}
	return nil
}

// splitAnnotation splits a query into its SQL and the content of its trailing comment.
func splitAnnotation(text string) (sql, comment string, ok bool) {
	start := strings.LastIndex(text, "/*")
	if start < 0 {
		return "", "", false
	}
	comment, rest, closed := strings.Cut(text[start+len("/*"):], "*/")
	return text[:start], comment, closed && strings.Trim(rest, whitespaceAndSemicolon) == ""
}

// parseForm parses a query without its annotation. It returns the key of the record and whether the query is a write.
func parseForm(sql string) (key string, write, ok bool) {
	if rest, found := strings.CutPrefix(sql, "SELECT v FROM records WHERE k = '"); found {
		key, ok = parseSelect(rest)
		return key, false, ok
	}
	if rest, found := strings.CutPrefix(sql, "INSERT INTO records (k, v) VALUES ('"); found {
		key, ok = parseInsert(rest)
		return key, true, ok
	}
	return "", false, false
}

// parseSelect parses the part of a SELECT after the opening quote of the key.
func parseSelect(rest string) (key string, ok bool) {
	key, rest, closed := strings.Cut(rest, "'")
	return key, closed && rest == "" && key != ""
}

// parseInsert parses the part of an INSERT after the opening quote of the key.
func parseInsert(rest string) (key string, ok bool) {
	key, rest, keyClosed := strings.Cut(rest, "', '\\x")
	value, rest, valueClosed := strings.Cut(rest, "'")
	hexadecimal := len(value)%2 == 0 && strings.Trim(value, "0123456789abcdefABCDEF") == ""
	ok = keyClosed && valueClosed && hexadecimal && rest == ") RETURNING v" &&
		key != "" && !strings.Contains(key, "'")
	return key, ok
}
