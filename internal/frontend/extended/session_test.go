package extended

import (
	"regexp"
	"testing"

	"merlinjunction/internal/protocol/pg"
)

// A statement whose rule names no session belongs to the session of its connection. That session must be unique to the
// connection, also after the connection is closed, and no client may be able to name it. Otherwise the session stamp or a
// write in flight of one client would affect another client.
func TestConnectionSessionsAreUnique(t *testing.T) {
	frontend := &Frontend{Rules: &Rules{Databases: map[string]int{"main": 0}}}
	rule := &Rule{Pattern: regexp.MustCompile("SELECT"), SessionParam: 1}
	seen := map[string]bool{}
	open := func() *session {
		s := frontend.NewSession(&pg.Client{Database: "main"}).(*session)
		name, _ := (&Rule{Pattern: rule.Pattern}).sessionName("SELECT 1", nil, typeUnspecified, s.id)
		if seen[name] {
			t.Errorf("a connection has the session %q of an earlier connection", name)
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
			if got, _ := rule.sessionName("SELECT 1", bindOne([]byte(requested), formatText), typeText, 99); seen[got] {
				t.Errorf("a client that names the session %q gets the session %q of a connection", requested, got)
			}
		}
	}
	// With a NULL session parameter the statement belongs to the session of its connection.
	if got, _ := rule.sessionName("SELECT 1", bindOne(nil, formatText), typeText, 1); got == "s:" || !seen[got] {
		t.Errorf("NULL session parameter: got the session %q, want the session of the connection", got)
	}
}
