package testkit

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// The check passes over exactly the tests that KNOWN-RED.txt lists, prints and runs them apart, and fails on a list that
// is not as it should be.
func TestKnownRedTests(t *testing.T) {
	script, err := filepath.Abs("../../.ci/test")
	if err != nil {
		t.Fatal(err)
	}
	const form = "TestName | command and seed | what was seen | issue is asked for"
	module := func(tests string) string {
		t.Helper()
		dir := t.TempDir()
		for name, text := range map[string]string{
			"go.mod": "module m\n\ngo 1.24\n",
			"m_test.go": "package m\n\nimport \"testing\"\n\nfunc TestGreen(t *testing.T) {}\n" +
				"func TestRed(t *testing.T) { t.Error(\"red as ever\") }\nfunc TestRedder(t *testing.T) {" + tests + "}\n",
		} {
			if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		return dir
	}
	for _, c := range []struct {
		list, more string // "-": no file; what TestRedder does
		passes     bool
		want       []string // in what is printed
		not        string
	}{
		{list: "-", want: []string{"--- FAIL: TestRed "}},
		{list: "", want: []string{"--- FAIL: TestRed "}, not: "known red"},
		{list: "# nothing yet\n\n", want: []string{"--- FAIL: TestRed "}, not: "known red"},
		{list: "TestRed | go test ., seed 3 | a real fault | 16\n", passes: true, want: []string{
			"known red: TestRed: a real fault (issue 16; go test ., seed 3)", "TestRed is still red", "red as ever"}},
		// The name is a whole name: TestRedder is not passed over for TestRed.
		{list: "TestRed | go test . | a real fault | 16", more: `t.Error("worse")`, want: []string{"TestRed is still red", "worse"}},
		{list: "TestRed|go test .|a fault|16\n TestGreen | go test . | was red | 17 \n", passes: true, want: []string{"TestGreen is GREEN now"}},
		{list: "TestGone | go test . | a fault | 16\n", want: []string{"no test has the name TestGone"}},
		{list: "TestRed | go test . | a fault |\n", want: []string{"line 1: TestRed: " + form}},
		{list: "TestRed | a fault | 16\n", want: []string{"line 1: TestRed: " + form}},
		{list: "TestRed | | a fault | 16\n", want: []string{"line 1: TestRed: " + form}},
		{list: "TestRed\n", want: []string{"line 1: TestRed: " + form}},
		{list: "\nTestRed | a | b | c | d\n", want: []string{"line 2: TestRed: " + form}},
		{list: "Test.* | go test . | all of them | 16\n", want: []string{`line 1: "Test.*" is no test's name`}},
		{list: "TestRed|c|a|1\nTestRedder|c|a|1\nTestGreen|c|a|1\nTestGreen|c|a|1\n", want: []string{"lists 4 tests, 3 at most"}},
	} {
		dir := module(c.more)
		if c.list != "-" {
			if err := os.WriteFile(filepath.Join(dir, "KNOWN-RED.txt"), []byte(c.list), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		cmd := exec.Command(script)
		cmd.Dir, cmd.Env = dir, append(os.Environ(), "GOFLAGS=-mod=mod", "GOWORK=off")
		out, err := cmd.CombinedOutput()
		if (err == nil) != c.passes {
			t.Errorf("%q: passes %v, %v\n%s", c.list, err == nil, err, out)
		}
		for _, w := range c.want {
			if !strings.Contains(string(out), w) {
				t.Errorf("%q: %q is not in\n%s", c.list, w, out)
			}
		}
		if c.not != "" && strings.Contains(string(out), c.not) {
			t.Errorf("%q: %q is in\n%s", c.list, c.not, out)
		}
	}
}
