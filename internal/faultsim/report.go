package faultsim

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
)

// Report holds the results of one experiment's runs.
type Report struct {
	Title   string    `json:"title"`
	About   string    `json:"about"`
	Results []*Result `json:"results"` // one result for each seed
}

// neverText represents an infinite figure in reports.
const neverText = "never"

// MarshalJSON encodes NaN as null and infinity as "never".
func (m Measurements) MarshalJSON() ([]byte, error) {
	figures := map[string]any{}
	for name, value := range m {
		switch {
		case math.IsNaN(value):
			figures[name] = nil
		case math.IsInf(value, 0):
			figures[name] = neverText
		default:
			figures[name] = value
		}
	}
	return json.Marshal(figures)
}

// UnmarshalJSON decodes the output of MarshalJSON. It returns an error if a figure is not a number, null or a string.
func (m *Measurements) UnmarshalJSON(text []byte) error {
	var figures map[string]any
	if err := json.Unmarshal(text, &figures); err != nil {
		return err
	}
	*m = Measurements{}
	for name, value := range figures {
		switch value := value.(type) {
		case nil:
			(*m)[name] = math.NaN()
		case float64:
			(*m)[name] = value
		case string:
			(*m)[name] = math.Inf(1)
		default:
			return fmt.Errorf("figure %s: expected a number, null or %q, got %v", name, neverText, value)
		}
	}
	return nil
}

// The names of the files of a report.
const (
	dataName = "result.json"
	pageName = "index.html"
)

// Write writes a report to a directory, which is created if necessary. The files are a page and the data that Compare
// reads. Errors name the flag --report.
func (r *Report) Write(dir string) error {
	if err := r.writeFiles(dir); err != nil {
		return fmt.Errorf("--report: %w", err)
	}
	return nil
}

func (r *Report) writeFiles(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, dataName), append(text, '\n'), 0o644); err != nil {
		return err
	}
	return writePage(filepath.Join(dir, pageName), r.Title, []*Report{r})
}

// ReadReport reads the data of a report from a directory. An error names the file.
func ReadReport(dir string) (*Report, error) {
	path := filepath.Join(dir, dataName)
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	report := &Report{}
	if err := json.Unmarshal(text, report); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if len(report.Results) == 0 {
		return nil, fmt.Errorf("%s: results: expected at least one, got none", path)
	}
	return report, nil
}

// Compare reads two reports and returns their table. Unless dir is empty, it writes a page with both to that directory.
func Compare(firstDir, secondDir, dir string) ([]Row, error) {
	first, err := ReadReport(firstDir)
	if err != nil {
		return nil, err
	}
	second, err := ReadReport(secondDir)
	if err != nil {
		return nil, err
	}
	if dir != "" {
		if err := writeComparison(dir, first, second); err != nil {
			return nil, fmt.Errorf("--report: %w", err)
		}
	}
	return Table(first, second), nil
}

func writeComparison(dir string, first, second *Report) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	title := first.Title + " compared with " + second.Title
	return writePage(filepath.Join(dir, pageName), title, []*Report{first, second})
}
