package main

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// execute runs a command line and returns its output.
func execute(arguments ...string) (string, error) {
	cmd := rootCommand()
	var output bytes.Buffer
	cmd.SetOut(&output)
	cmd.SetErr(&output)
	cmd.SetArgs(arguments)
	err := cmd.Execute()
	return output.String(), err
}

const smallExperiment = `name = "small"
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

// writeExperiment writes the file of a small experiment with a bound on first_ms and returns its path.
func writeExperiment(t *testing.T, bound string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "small.toml")
	text := strings.Replace(smallExperiment, "BOUND", bound, 1)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestRunAndCompare(t *testing.T) {
	first, second := filepath.Join(t.TempDir(), "a"), filepath.Join(t.TempDir(), "b")
	output, err := execute("run", writeExperiment(t, "5000"), "--seeds", "2", "--report", first)
	if err != nil || strings.Count(output, "small, emulated, seed") != 2 {
		t.Errorf("run: got error %v, want the results of 2 seeds: %s", err, output)
	}
	output, err = execute("run", writeExperiment(t, "1"), "--report", second)
	if !errors.Is(err, errExpectationNotMet) || !strings.Contains(output, "FAIL first_ms") {
		t.Errorf("run with a bound of 1 ms: got error %v, want %v: %s", err, errExpectationNotMet, output)
	}
	output, err = execute("compare", first, second)
	if err != nil || !strings.Contains(output, "first_ms") {
		t.Errorf("compare: got error %v, want a row of first_ms: %s", err, output)
	}
}

func TestCheck(t *testing.T) {
	output, err := execute("check", writeExperiment(t, "1"))
	if err != nil || !strings.Contains(output, "fine") {
		t.Errorf("check: got error %v, want the output \"fine\": %s", err, output)
	}
}

// The run command skips an experiment that is only for another engine.
func TestRunSkipsOtherEngine(t *testing.T) {
	output, err := execute("run", "../../experiments/rules/drain.toml")
	if err != nil || !strings.Contains(output, "passed over") {
		t.Errorf("run: got error %v, want the output \"passed over\": %s", err, output)
	}
}

// An invalid command line or file gives an error of one line.
func TestInvalidCommandLines(t *testing.T) {
	for _, test := range []struct {
		name      string
		arguments []string
	}{
		{"missing file", []string{"run", "nowhere.toml"}},
		{"unknown engine", []string{"run", writeExperiment(t, "1"), "--engine", "real"}},
		{"unknown baseline", []string{"run", writeExperiment(t, "1"), "--baseline", "x"}},
		{"no seeds", []string{"run", writeExperiment(t, "1"), "--seeds", "0"}},
		{"missing program", []string{"run", writeExperiment(t, "1"), "--engine", "processes", "--program", "nowhere"}},
		{"missing reports", []string{"compare", "a", "b"}},
		{"unknown command", []string{"walk"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if output, err := execute(test.arguments...); err == nil || strings.Contains(err.Error(), "\n") {
				t.Errorf("got error %v, want an error of one line: %s", err, output)
			}
		})
	}
}
