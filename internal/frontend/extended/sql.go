package extended

import "strings"

// scan walks over SQL text and returns it without comments, each as a space, and how many statements it holds.
// It knows what may hide a semicolon: quoted texts and names, dollar quotes, comments that may nest.
func scan(text string) (bare string, statements int) {
	var out strings.Builder
	empty := true // so far in this statement
	for i := 0; i < len(text); {
		rest := text[i:]
		n := 1
		switch c := text[i]; {
		case strings.HasPrefix(rest, "--"):
			n = len(rest)
			if end := strings.IndexByte(rest, '\n'); end >= 0 {
				n = end
			}
			out.WriteByte(' ')
			i += n
			continue
		case strings.HasPrefix(rest, "/*"):
			n = comment(rest)
			out.WriteByte(' ')
			i += n
			continue
		case c == '\'':
			escapes := i > 0 && (text[i-1] == 'E' || text[i-1] == 'e') && (i == 1 || !inName(text[i-2]))
			n = quotedLen(rest, '\'', escapes)
		case c == '"':
			n = quotedLen(rest, '"', false)
		case c == '$' && (i == 0 || !inName(text[i-1])):
			n = dollarLen(rest)
		}
		part := rest[:n]
		switch {
		case part == ";":
			empty = true
		case empty && strings.TrimSpace(part) != "":
			empty = false
			statements++
		}
		out.WriteString(part)
		i += n
	}
	return strings.Trim(out.String(), " \t\r\n;"), statements
}

func inName(c byte) bool {
	return c == '_' || c == '$' || c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}

// comment is the length of the comment at the front; one that doesn't end takes all.
func comment(s string) int {
	depth := 0
	for i := 0; i+1 < len(s); i++ {
		switch s[i : i+2] {
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
	return len(s)
}

func quotedLen(s string, quote byte, escapes bool) int {
	for i := 1; i < len(s); i++ {
		switch {
		case escapes && s[i] == '\\':
			i++
		case s[i] == quote && i+1 < len(s) && s[i+1] == quote:
			i++
		case s[i] == quote:
			return i + 1
		}
	}
	return len(s)
}

// dollarLen is the length of a dollar quote such as $tag$...$tag$; 1 where it is none, as with $1.
func dollarLen(s string) int {
	end := strings.IndexByte(s[1:], '$')
	if end < 0 {
		return 1
	}
	tag := s[:end+2]
	for i, c := range []byte(tag[1 : len(tag)-1]) {
		if !inName(c) || c == '$' || i == 0 && c >= '0' && c <= '9' {
			return 1
		}
	}
	if close := strings.Index(s[len(tag):], tag); close >= 0 {
		return close + 2*len(tag)
	}
	return len(s)
}

// words are the first words of bare SQL, in capitals.
func words(bare string, most int) []string {
	w := strings.FieldsFunc(bare, func(c rune) bool { return strings.ContainsRune(" \t\r\n=;", c) })
	w = w[:min(len(w), most)]
	for i := range w {
		w[i] = strings.ToUpper(w[i])
	}
	return w
}
