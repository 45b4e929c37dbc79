package faultsim

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// writeTestReport runs the crash experiment on the emulated engine and writes its report.
func writeTestReport(t *testing.T, dir string, seed uint64) *Result {
	t.Helper()
	result, err := Emulate(loadExperiment(t, "crash"), Options{Seed: seed, Gateways: 20})
	if err != nil {
		t.Fatal(err)
	}
	if err := (&Report{Title: filepath.Base(dir), Results: []*Result{result}}).Write(dir); err != nil {
		t.Fatal(err)
	}
	return result
}

// A report preserves its figures, including infinite ones and NaN, and two reports can be compared.
func TestReport(t *testing.T) {
	firstDir, secondDir := filepath.Join(t.TempDir(), "a"), filepath.Join(t.TempDir(), "b")
	for dir, seed := range map[string]uint64{firstDir: 1, secondDir: 2} {
		result := writeTestReport(t, dir, seed)
		report, err := ReadReport(dir)
		if err != nil {
			t.Fatal(err)
		}
		read := report.Results[0].Measurements
		if read[FigureFirstDeathMs] != result.Measurements[FigureFirstDeathMs] || len(read) != len(result.Measurements) {
			t.Errorf("read %v, want %v", read, result.Measurements)
		}
		page, err := os.ReadFile(filepath.Join(dir, pageName))
		plots := strings.Count(string(page), "<svg")
		if err != nil || plots != 4 || !strings.Contains(string(page), FigureFirstDeathMs) {
			t.Errorf("the page has %d plots and error %v, want 4 plots and %s", plots, err, FigureFirstDeathMs)
		}
	}
	rows, err := Compare(firstDir, secondDir, filepath.Join(t.TempDir(), "c"))
	if err != nil || len(rows) == 0 || len(rows[0].Values) != 2 {
		t.Errorf("comparison: got rows %v and error %v, want rows of 2 values", rows, err)
	}
	if _, err := Compare(firstDir, t.TempDir(), ""); err == nil {
		t.Error("comparison with a directory without a report: expected an error, got none")
	}
}
