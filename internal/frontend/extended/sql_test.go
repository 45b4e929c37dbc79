package extended

import "testing"

func TestScan(t *testing.T) {
	for _, c := range []struct {
		text, bare string
		n          int
	}{
		{"", "", 0},
		{" ;; -- nothing\n /* or /* nested */ ; */ ;", "", 0},
		{"SELECT 1;", "SELECT 1", 1},
		{"SELECT 1; SELECT 2", "SELECT 1; SELECT 2", 2},
		{"SELECT ';', \"a;b\", $$;$$, $x$;$$;$x$, E'\\';', 'it''s;'", "SELECT ';', \"a;b\", $$;$$, $x$;$$;$x$, E'\\';', 'it''s;'", 1},
		{"SELECT '\\'; SELECT 2", "SELECT '\\'; SELECT 2", 2}, // a backslash is nothing special in a plain text
		{"SELECT $1/* a */,$2 -- b", "SELECT $1 ,$2", 1},
		{"/* ; */ INSERT INTO t VALUES ('--', '/*')", "INSERT INTO t VALUES ('--', '/*')", 1},
		{"SELECT 'open; SELECT 2", "SELECT 'open; SELECT 2", 1},
		{"SELECT a$1$b;SELECT 2", "SELECT a$1$b;SELECT 2", 2},
	} {
		if bare, n := scan(c.text); bare != c.bare || n != c.n {
			t.Errorf("%q: got %q, %d", c.text, bare, n)
		}
	}
}

func FuzzScan(f *testing.F) {
	f.Add("SELECT $x$ ; 'a' /* -- */ E'\\'' \"")
	f.Fuzz(func(t *testing.T, text string) {
		if _, n := scan(text); n < 0 || n > len(text) {
			t.Errorf("%q: %d statements", text, n)
		}
	})
}
