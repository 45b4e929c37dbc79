package extended

import (
	"strings"
	"unicode"

	"merlinjunction/internal/protocol/pg"
)

// localCommand executes a statement that the gateway answers itself. It returns nil on success.
type localCommand func() *pg.ErrorResponse

// ignoredSettings has the settings that drivers set on their own. The gateway accepts a SET of them without any effect.
var ignoredSettings = map[string]bool{"APPLICATION_NAME": true, "EXTRA_FLOAT_DIGITS": true}

// maxCommandKeywords is the number of leading keywords that identify a local command, as in SET name value.
const maxCommandKeywords = 3

// prepareLocalCommand sets localCommand and commandTag of a statement that the gateway answers itself. It rejects statements
// whose effect depends on a single connection to a host, such as transactions and cursors.
func (s *session) prepareLocalCommand(statement *preparedStatement) *pg.ErrorResponse {
	keywords := leadingKeywords(statement.strippedText, maxCommandKeywords)
	if len(keywords) == 0 {
		return nil // the text has only separators, such as "="
	}
	switch keywords[0] {
	case "BEGIN", "START", "COMMIT", "END", "ROLLBACK", "ABORT", "SAVEPOINT", "RELEASE":
		return &transactionsNotSupported
	case "PREPARE", "EXECUTE", "DECLARE", "FETCH", "MOVE", "CLOSE", "COPY", "LISTEN", "UNLISTEN", "LOCK":
		rejection := dedicatedHostNeeded(keywords[0])
		return &rejection
	case "SET":
		if !isIgnoredSetting(keywords, statement.strippedText) {
			return &settingNotSupported
		}
		statement.commandTag, statement.localCommand = "SET", doNothing
	case "RESET":
		statement.commandTag, statement.localCommand = "RESET", doNothing
	case "DISCARD":
		statement.commandTag, statement.localCommand = strings.Join(keywords, " "), doNothing
		if len(keywords) == 2 && keywords[1] == "ALL" {
			statement.localCommand = s.discardAll
		}
	case "DEALLOCATE":
		statement.commandTag = "DEALLOCATE"
		statement.localCommand = func() *pg.ErrorResponse { return s.deallocate(statement.strippedText) }
	}
	return nil
}

// isIgnoredSetting reports whether a SET has no effect in the gateway: it sets one of ignoredSettings, or sets the client
// encoding to UTF8.
func isIgnoredSetting(keywords []string, strippedText string) bool {
	if len(keywords) < maxCommandKeywords {
		return false
	}
	utf8 := keywords[1] == "CLIENT_ENCODING" && strings.Contains(strings.ToUpper(strippedText), "UTF8")
	return ignoredSettings[keywords[1]] || utf8
}

func doNothing() *pg.ErrorResponse { return nil }

func (s *session) discardAll() *pg.ErrorResponse {
	s.closeAllStatements()
	return nil
}

// deallocate closes the statement that a DEALLOCATE [PREPARE] names, or all statements for ALL.
func (s *session) deallocate(strippedText string) *pg.ErrorResponse {
	_, name := cutWord(strippedText)
	if first, rest := cutWord(name); strings.EqualFold(first, "PREPARE") {
		name = rest
	}
	quoted := strings.HasPrefix(name, `"`)
	if _, more := cutWord(name); name == "" || more != "" && !quoted {
		return &deallocateWithoutName
	}
	name = strings.Trim(name, `"`)
	if strings.EqualFold(name, "ALL") && !quoted {
		s.closeAllStatements()
		return nil
	}
	if s.statements[name] == nil {
		rejection := unknownStatement(name)
		return &rejection
	}
	s.closeStatement(name)
	return nil
}

// cutWord returns the first word of a text and the rest of the text, both without surrounding white space.
func cutWord(text string) (word, rest string) {
	text = strings.TrimSpace(text)
	end := strings.IndexFunc(text, unicode.IsSpace)
	if end < 0 {
		return text, ""
	}
	return text[:end], strings.TrimSpace(text[end:])
}

// runLocalCommand executes a local command and sends its answer.
func (s *session) runLocalCommand(statement *preparedStatement) {
	if rejection := statement.localCommand(); rejection != nil {
		s.fail(*rejection)
		return
	}
	s.output = pg.AppendStrings(s.output, pg.MsgCommandComplete, statement.commandTag)
	s.finishSimpleQuery()
}
