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
	errAnnotationIncomplete = errors.New("the comment lacks id, c, cluster or d")
)

// statement is a query and the metadata of its annotation.
type statement struct {
	text  string // as the client sent it
	key   string // of the record
	write bool
	annotation

	// text[deadlineStart:deadlineEnd] is the annotation's time left, which changes from attempt to attempt.
	deadlineStart, deadlineEnd int
}

// parseStatement parses a query of one of the two forms that hosts accept, and its annotation.
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
	if !st.hasRequiredValues() {
		return nil, errAnnotationIncomplete
	}
	return st, nil
}

// parseAnnotation parses the comma-separated name=value pairs of a comment that begins at an offset of the text.
func (st *statement) parseAnnotation(comment string, offset int) error {
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
			st.deadlineStart = offset + leadingSpaces + len(annotationTimeLeft+"=")
			st.deadlineEnd = st.deadlineStart + len(value)
		}
		if !st.setValue(name, value) {
			return fmt.Errorf("the comment's %s has the value %q", name, value)
		}
		offset += len(pair) + len(",")
	}
	return nil
}

// splitAnnotation splits a query into its SQL and the text of the comment that it ends in.
func splitAnnotation(text string) (sql, comment string, ok bool) {
	start := strings.LastIndex(text, "/*")
	if start < 0 {
		return "", "", false
	}
	comment, rest, closed := strings.Cut(text[start+len("/*"):], "*/")
	return text[:start], comment, closed && strings.Trim(rest, whitespaceAndSemicolon) == ""
}

// parseForm parses a statement without its annotation into the key of its record, and whether it is a write.
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

// parseSelect parses what follows the opening quote of the key in a SELECT.
func parseSelect(rest string) (key string, ok bool) {
	key, rest, closed := strings.Cut(rest, "'")
	return key, closed && rest == "" && key != ""
}

// parseInsert parses what follows the opening quote of the key in an INSERT.
func parseInsert(rest string) (key string, ok bool) {
	key, rest, keyClosed := strings.Cut(rest, "', '\\x")
	value, rest, valueClosed := strings.Cut(rest, "'")
	hexadecimal := len(value)%2 == 0 && strings.Trim(value, "0123456789abcdefABCDEF") == ""
	ok = keyClosed && valueClosed && hexadecimal && rest == ") RETURNING v" &&
		key != "" && !strings.Contains(key, "'")
	return key, ok
}
