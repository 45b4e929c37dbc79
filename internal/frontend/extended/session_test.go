package extended

import (
	"regexp"
	"testing"

	"merlinjunction/internal/protocol/pg"
)

// A statement whose rule names no session belongs to the session of its connection. No other connection, at the same
// time or later, has that session, and no client can name it: a session stamp or a write in flight of one client never
// counts for another.
func TestSessionsOfConnectionsAreTheirOwn(t *testing.T) {
	frontend := &Frontend{Rules: &Rules{Databases: map[string]int{"main": 0}}}
	rule := &Rule{Pattern: regexp.MustCompile("SELECT"), SessionParam: 1}
	seen := map[string]bool{}
	open := func() *session {
		s := frontend.NewSession(&pg.Client{Database: "main"}).(*session)
		name, _ := (&Rule{Pattern: rule.Pattern}).sessionAndKey("SELECT 1", nil, s.id)
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
		for _, requested := range []string{name, name[2:]} {
			if got, _ := rule.sessionAndKey("SELECT 1", [][]byte{[]byte(requested)}, 99); seen[got] {
				t.Errorf("a client that names the session %q gets that of a connection, %q", requested, got)
			}
		}
	}
	// A NULL session parameter gives the session of the connection.
	if got, _ := rule.sessionAndKey("SELECT 1", [][]byte{nil}, 1); got == "s:" || !seen[got] {
		t.Errorf("no name gives the session %q", got)
	}
}
