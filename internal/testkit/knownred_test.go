package testkit

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

const testModuleTests = `package m

import "testing"

func TestGreen(t *testing.T) {}
func TestRed(t *testing.T) { t.Error("this test always fails") }
func TestRedVariant(t *testing.T) {BODY}
`

// writeModule writes a module and returns its folder. Of its tests TestGreen passes, TestRed fails, and TestRedVariant has
// the given body.
func writeModule(t *testing.T, body string) string {
	t.Helper()
	dir := t.TempDir()
	writeFile(t, filepath.Join(dir, "go.mod"), "module m\n\ngo 1.24\n")
	writeFile(t, filepath.Join(dir, "m_test.go"), strings.Replace(testModuleTests, "BODY", body, 1))
	return dir
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// Tests that .ci/test skips exactly the tests that KNOWN-RED.txt lists, that it prints these and runs them separately
// without failing on their result, and that it fails if the list is malformed.
func TestKnownRedTests(t *testing.T) {
	script, err := filepath.Abs("../../.ci/test")
	if err != nil {
		t.Fatal(err)
	}
	const noList = "-"
	const malformedLineMessage = "TestRed: TestName | command and seed | what was seen | issue is asked for"
	for _, test := range []struct {
		name        string
		list        string   // content of KNOWN-RED.txt; noList: the file does not exist
		variantBody string   // body of TestRedVariant
		passes      bool     // whether .ci/test must pass
		want        []string // texts that the output must contain
		absent      string   // text that the output must not contain; empty: none
	}{
		{
			name: "no list",
			list: noList,
			want: []string{"--- FAIL: TestRed "},
		},
		{
			name:   "empty list",
			want:   []string{"--- FAIL: TestRed "},
			absent: "known red",
		},
		{
			name:   "comments only",
			list:   "# nothing yet\n\n",
			want:   []string{"--- FAIL: TestRed "},
			absent: "known red",
		},
		{
			name:   "listed test",
			list:   "TestRed | go test ., seed 3 | a real fault | 16\n",
			passes: true,
			want: []string{
				"known red: TestRed: a real fault (issue 16; go test ., seed 3)",
				"TestRed is still red",
				"this test always fails",
			},
		},
		{
			name:        "listed name is a prefix of another name",
			list:        "TestRed | go test . | a real fault | 16",
			variantBody: `t.Error("worse")`,
			want:        []string{"TestRed is still red", "worse"},
		},
		{
			name:   "listed test that passes",
			list:   "TestRed|go test .|a fault|16\n TestGreen | go test . | was red | 17 \n",
			passes: true,
			want:   []string{"TestGreen is GREEN now"},
		},
		{
			name: "no such test",
			list: "TestMissing | go test . | a fault | 16\n",
			want: []string{"no test has the name TestMissing"},
		},
		{
			name: "empty issue",
			list: "TestRed | go test . | a fault |\n",
			want: []string{"line 1: " + malformedLineMessage},
		},
		{
			name: "three fields",
			list: "TestRed | a fault | 16\n",
			want: []string{"line 1: " + malformedLineMessage},
		},
		{
			name: "empty command",
			list: "TestRed | | a fault | 16\n",
			want: []string{"line 1: " + malformedLineMessage},
		},
		{
			name: "name only",
			list: "TestRed\n",
			want: []string{"line 1: " + malformedLineMessage},
		},
		{
			name: "five fields",
			list: "\nTestRed | a | b | c | d\n",
			want: []string{"line 2: " + malformedLineMessage},
		},
		{
			name: "pattern",
			list: "Test.* | go test . | all of them | 16\n",
			want: []string{`line 1: "Test.*" is no test's name`},
		},
		{
			name: "entries for days and soak runs skip no test",
			list: "day herd+mass | bench, seed 3 | a drain | 16\nsoak 27 | faultsim soak | a loss | 16\nTestRed | c | a | 1\n",
			want: []string{
				"known red: day herd+mass: a drain (issue 16; bench, seed 3)", "known red: soak 27: a loss", "TestRed is still red",
			},
			variantBody: `t.Error("not listed")`,
		},
		{
			name: "day entry without a name",
			list: "day | c | a | 1\n",
			want: []string{`line 1: "day" is no test's name`},
		},
		{
			name: "too many tests",
			list: "TestRed|c|a|1\nTestRedVariant|c|a|1\nTestGreen|c|a|1\nTestGreen|c|a|1\n",
			want: []string{"lists 4 tests, 3 at most"},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			dir := writeModule(t, test.variantBody)
			if test.list != noList {
				writeFile(t, filepath.Join(dir, "KNOWN-RED.txt"), test.list)
			}
			cmd := exec.Command(script)
			cmd.Dir = dir
			cmd.Env = append(os.Environ(), "GOFLAGS=-mod=mod", "GOWORK=off")
			output, err := cmd.CombinedOutput()
			if (err == nil) != test.passes {
				t.Errorf("passes: %v (%v), want %v\n%s", err == nil, err, test.passes, output)
			}
			for _, want := range test.want {
				if !strings.Contains(string(output), want) {
					t.Errorf("%q is missing in the output\n%s", want, output)
				}
			}
			if test.absent != "" && strings.Contains(string(output), test.absent) {
				t.Errorf("%q must not be in the output\n%s", test.absent, output)
			}
		})
	}
}
