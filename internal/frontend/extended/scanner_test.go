package extended

import "testing"

func TestScan(t *testing.T) {
	for _, test := range []struct {
		text, strippedText string
		statements         int
	}{
		{"", "", 0},
		{" ;; -- nothing\n /* or /* nested */ ; */ ;", "", 0},
		{"SELECT 1;", "SELECT 1", 1},
		{"SELECT 1; SELECT 2", "SELECT 1; SELECT 2", 2},
		{"SELECT ';', \"a;b\", $$;$$, $x$;$$;$x$, E'\\';', 'it''s;'",
			"SELECT ';', \"a;b\", $$;$$, $x$;$$;$x$, E'\\';', 'it''s;'", 1},
		{"SELECT '\\'; SELECT 2", "SELECT '\\'; SELECT 2", 2}, // a backslash is an ordinary character outside escape strings
		{"SELECT $1/* a */,$2 -- b", "SELECT $1 ,$2", 1},
		{"/* ; */ INSERT INTO t VALUES ('--', '/*')", "INSERT INTO t VALUES ('--', '/*')", 1},
		{"SELECT 'open; SELECT 2", "SELECT 'open; SELECT 2", 1},
		{"SELECT a$1$b;SELECT 2", "SELECT a$1$b;SELECT 2", 2},
	} {
		if strippedText, statements := scan(test.text); strippedText != test.strippedText || statements != test.statements {
			t.Errorf("%q: got %q with %d statements, want %q with %d",
				test.text, strippedText, statements, test.strippedText, test.statements)
		}
	}
}

func FuzzScan(f *testing.F) {
	f.Add("SELECT $x$ ; 'a' /* -- */ E'\\'' \"")
	f.Fuzz(func(t *testing.T, text string) {
		if _, n := scan(text); n < 0 || n > len(text) {
			t.Errorf("%q: got %d statements, want 0 to %d", text, n, len(text))
		}
	})
}
