package main

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// command runs a command of the laboratory.
func command(args ...string) (string, error) {
	cmd := root()
	var out bytes.Buffer
	cmd.SetOut(&out)
	cmd.SetErr(&out)
	cmd.SetArgs(args)
	err := cmd.Execute()
	return out.String(), err
}

const small = `name = "small"
seconds = 8
[fleet]
gateways = 8
[[fault]]
at = 2
do = "kill"
who = "1"
[expect]
first_ms = BOUND
`

func write(t *testing.T, bound string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "small.toml")
	if err := os.WriteFile(path, []byte(strings.Replace(small, "BOUND", bound, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestRunAndCompare(t *testing.T) {
	a, b := filepath.Join(t.TempDir(), "a"), filepath.Join(t.TempDir(), "b")
	if out, err := command("run", write(t, "5000"), "--seeds", "2", "--report", a); err != nil || strings.Count(out, "small, emulated, seed") != 2 {
		t.Errorf("%v: %s", err, out)
	}
	if out, err := command("run", write(t, "1"), "--report", b); !errors.Is(err, errShort) || !strings.Contains(out, "FAIL first_ms") {
		t.Errorf("a bound of 1 ms: %v: %s", err, out)
	}
	if out, err := command("compare", a, b); err != nil || !strings.Contains(out, "first_ms") {
		t.Errorf("%v: %s", err, out)
	}
	if out, err := command("check", write(t, "1")); err != nil || !strings.Contains(out, "fine") {
		t.Errorf("%v: %s", err, out)
	}
	if out, err := command("run", "../../experiments/rules/drain.toml"); err != nil || !strings.Contains(out, "passed over") {
		t.Errorf("a file for the other engine: %v: %s", err, out)
	}
}

// What is wrong is one line.
func TestWrongCalls(t *testing.T) {
	for _, args := range [][]string{
		{"run", "nowhere.toml"}, {"run", write(t, "1"), "--engine", "real"}, {"run", write(t, "1"), "--baseline", "x"},
		{"run", write(t, "1"), "--seeds", "0"}, {"run", write(t, "1"), "--engine", "processes", "--program", "nowhere"}, {"compare", "a", "b"}, {"walk"},
	} {
		if out, err := command(args...); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%v: %v, %s", args, err, out)
		}
	}
}
