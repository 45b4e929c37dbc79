package extended

import (
	"testing"

	"merlinjunction/internal/protocol/pg"
)

// DEALLOCATE must name exactly one statement, or ALL. As in PostgreSQL, no name or several names are a syntax error.
func TestDeallocateNamesOneStatement(t *testing.T) {
	for text, want := range map[string]string{
		"DEALLOCATE":                pg.StateSyntax,
		"DEALLOCATE PREPARE":        pg.StateSyntax,
		"DEALLOCATE a b":            pg.StateSyntax,
		"DEALLOCATE known":          "",
		"deallocate\tprepare known": "",
		`DEALLOCATE "two words"`:    "",
		"DEALLOCATE ALL":            "",
		"DEALLOCATE PREPARE ALL":    "",
		"DEALLOCATE other":          pg.StateNoStatement,
	} {
		t.Run(text, func(t *testing.T) {
			s := &session{frontend: &Frontend{Rules: &Rules{}}, statements: map[string]*preparedStatement{}}
			for _, name := range []string{"known", "two words"} {
				s.statements[name] = &preparedStatement{}
			}
			statement, rejection := s.prepare(text)
			if rejection == nil {
				rejection = statement.localCommand()
			}
			got := ""
			if rejection != nil {
				got = rejection.SQLState
			}
			if got != want {
				t.Errorf("got %q, want %q", got, want)
			}
		})
	}
}
