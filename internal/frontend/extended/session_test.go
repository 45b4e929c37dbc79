package extended

import (
	"regexp"
	"testing"

	"merlinjunction/internal/protocol/pg"
)

// Where an operator names no session, a connection is one. No other connection, at the same time or later, has its name, nor has
// a session that a client names: a stamp or a write in flight of one client is never taken for another's.
func TestSessionsOfConnectionsAreTheirOwn(t *testing.T) {
	f := &Frontend{Rules: &Rules{Databases: map[string]int{"main": 0}}}
	rule := &Rule{Pattern: regexp.MustCompile("SELECT"), SessionParam: 1}
	seen := map[string]bool{}
	open := func() *session {
		s := f.NewSession(&pg.Client{Database: "main"}).(*session)
		name, _ := (&Rule{Pattern: rule.Pattern}).names("SELECT 1", nil, s.id)
		if seen[name] {
			t.Errorf("a connection got the session %q of an earlier one", name)
		}
		seen[name] = true
		return s
	}
	first := open()
	open()
	first.ClientGone()
	open()
	for name := range seen {
		for _, said := range []string{name, name[2:]} {
			if got, _ := rule.names("SELECT 1", [][]byte{[]byte(said)}, 99); seen[got] {
				t.Errorf("a client that names the session %q gets that of a connection, %q", said, got)
			}
		}
	}
	// One that names none at a rule that asks for it has its connection's.
	if got, _ := rule.names("SELECT 1", [][]byte{nil}, 1); got == "s:" || !seen[got] {
		t.Errorf("no name gives the session %q", got)
	}
}
