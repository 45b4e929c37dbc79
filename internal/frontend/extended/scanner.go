package extended

import "strings"

// scan returns SQL text with each comment replaced by a space, and the number of statements in the text. A semicolon in a
// string, a quoted identifier, a dollar-quoted string or a comment, which may be nested, doesn't end a statement.
func scan(text string) (strippedText string, statements int) {
	var out strings.Builder
	empty := true // the current statement has only white space and comments so far
	for i := 0; i < len(text); {
		if length := commentLen(text[i:]); length > 0 {
			out.WriteByte(' ')
			i += length
			continue
		}
		token := text[i : i+tokenLen(text, i)]
		switch {
		case token == ";":
			empty = true
		case empty && strings.TrimSpace(token) != "":
			empty = false
			statements++
		}
		out.WriteString(token)
		i += len(token)
	}
	return strings.Clone(strings.Trim(out.String(), " \t\r\n;")), statements // statements are kept, without unused capacity
}

// commentLen returns the length of the comment at the start of a text, or 0 if the text doesn't start with a comment.
func commentLen(text string) int {
	switch {
	case strings.HasPrefix(text, "--"):
		if end := strings.IndexByte(text, '\n'); end >= 0 {
			return end
		}
		return len(text)
	case strings.HasPrefix(text, "/*"):
		return blockCommentLen(text)
	}
	return 0
}

// blockCommentLen returns the length of the block comment at the start of a text. Block comments can be nested. A comment
// that isn't closed extends to the end of the text.
func blockCommentLen(text string) int {
	depth := 0
	for i := 0; i+1 < len(text); i++ {
		switch text[i : i+2] {
		case "/*":
			depth++
			i++
		case "*/":
			depth--
			i++
			if depth == 0 {
				return i + 1
			}
		}
	}
	return len(text)
}

// tokenLen returns the length of the quoted text that starts at an offset, or 1 for any other character.
func tokenLen(text string, offset int) int {
	rest := text[offset:]
	switch text[offset] {
	case '\'':
		return quotedLen(rest, '\'', hasEscapePrefix(text, offset))
	case '"':
		return quotedLen(rest, '"', false)
	case '$':
		if offset == 0 || !isIdentifierByte(text[offset-1]) {
			return dollarQuotedLen(rest)
		}
	}
	return 1
}

// hasEscapePrefix reports whether the quote at an offset opens an escape string such as E'...'.
func hasEscapePrefix(text string, quote int) bool {
	if quote == 0 || text[quote-1] != 'E' && text[quote-1] != 'e' {
		return false
	}
	return quote == 1 || !isIdentifierByte(text[quote-2])
}

// isIdentifierByte reports whether a byte can be part of an unquoted identifier.
func isIdentifierByte(c byte) bool {
	return c == '_' || c == '$' || c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}

// quotedLen returns the length of the quoted text at the start of a text. A doubled quote doesn't end the quoted text. In an
// escape string, a quote after a backslash doesn't end it either.
func quotedLen(text string, quote byte, escapes bool) int {
	for i := 1; i < len(text); i++ {
		switch {
		case escapes && text[i] == '\\':
			i++
		case text[i] == quote && i+1 < len(text) && text[i+1] == quote:
			i++
		case text[i] == quote:
			return i + 1
		}
	}
	return len(text)
}

// dollarQuotedLen returns the length of the dollar-quoted string, such as $tag$...$tag$, at the start of a text. It returns
// 1 for a dollar sign that doesn't start such a string, as in $1.
func dollarQuotedLen(text string) int {
	tagEnd := strings.IndexByte(text[1:], '$')
	if tagEnd < 0 {
		return 1
	}
	delimiter := text[:tagEnd+2]
	for i, c := range []byte(delimiter[1 : len(delimiter)-1]) {
		if !isIdentifierByte(c) || c == '$' || i == 0 && c >= '0' && c <= '9' {
			return 1
		}
	}
	if end := strings.Index(text[len(delimiter):], delimiter); end >= 0 {
		return end + 2*len(delimiter)
	}
	return len(text)
}

// leadingKeywords returns up to limit words from the start of SQL text without comments, in upper case.
func leadingKeywords(strippedText string, limit int) []string {
	keywords := strings.FieldsFunc(strippedText, func(c rune) bool { return strings.ContainsRune(" \t\r\n=;", c) })
	keywords = keywords[:min(len(keywords), limit)]
	for i := range keywords {
		keywords[i] = strings.ToUpper(keywords[i])
	}
	return keywords
}
