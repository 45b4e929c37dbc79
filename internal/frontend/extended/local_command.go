package extended

import (
	"strings"

	"merlinjunction/internal/protocol/pg"
)

// localCommand is a statement that the gateway answers itself. It returns nil on success.
type localCommand func() *pg.ErrorResponse

// ignoredSettings are the settings that drivers change on their own, and that change nothing here.
var ignoredSettings = map[string]bool{"APPLICATION_NAME": true, "EXTRA_FLOAT_DIGITS": true}

// prepareLocalCommand sets the local command of a statement that the gateway answers itself. It rejects statements
// whose effect would be tied to one connection to a host.
func (s *session) prepareLocalCommand(st *preparedStatement) *pg.ErrorResponse {
	words := leadingKeywords(st.bare, 3)
	switch words[0] {
	case "BEGIN", "START", "COMMIT", "END", "ROLLBACK", "ABORT", "SAVEPOINT", "RELEASE":
		return &transactionsNotSupported
	case "PREPARE", "EXECUTE", "DECLARE", "FETCH", "MOVE", "CLOSE", "COPY", "LISTEN", "UNLISTEN", "LOCK":
		rejection := dedicatedHostNeeded(words[0])
		return &rejection
	case "SET":
		if !isIgnoredSetting(words, st.bare) {
			return &settingNotSupported
		}
		st.commandTag, st.localCommand = "SET", doNothing
	case "RESET":
		st.commandTag, st.localCommand = "RESET", doNothing
	case "DISCARD":
		st.commandTag, st.localCommand = strings.Join(words, " "), doNothing
		if len(words) == 2 && words[1] == "ALL" {
			st.localCommand = s.discardAll
		}
	case "DEALLOCATE":
		st.commandTag = "DEALLOCATE"
		st.localCommand = func() *pg.ErrorResponse { return s.deallocate(st.bare) }
	}
	return nil
}

// isIgnoredSetting reports whether a SET changes nothing here: an ignored setting, or the client encoding UTF8.
func isIgnoredSetting(words []string, bare string) bool {
	if len(words) < 3 {
		return false
	}
	utf8 := words[1] == "CLIENT_ENCODING" && strings.Contains(strings.ToUpper(bare), "UTF8")
	return ignoredSettings[words[1]] || utf8
}

func doNothing() *pg.ErrorResponse { return nil }

func (s *session) discardAll() *pg.ErrorResponse {
	s.closeAllStatements()
	return nil
}

// deallocate closes the statement that a DEALLOCATE names, or all.
func (s *session) deallocate(bare string) *pg.ErrorResponse {
	words := strings.Fields(bare)
	name := strings.Trim(words[len(words)-1], `"`)
	if strings.EqualFold(name, "ALL") {
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

// runLocalCommand answers a statement that no host is needed for.
func (s *session) runLocalCommand(st *preparedStatement) {
	if rejection := st.localCommand(); rejection != nil {
		s.fail(*rejection)
		return
	}
	s.output = pg.AppendStrings(s.output, pg.MsgCommandComplete, st.commandTag)
	s.finishSimpleQuery()
}
