package faultsim

import (
	"encoding/json"
	"errors"
	"fmt"
	"html/template"
	"math"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strconv"
)

// Report is what is kept of the runs of one experiment.
type Report struct {
	Title   string    `json:"title"`
	About   string    `json:"about"`
	Results []*Result `json:"results"` // one for each seed
}

// MarshalJSON writes figures that JSON has no word for as null (nothing measured) and "never".
func (f Measurements) MarshalJSON() ([]byte, error) {
	m := map[string]any{}
	for k, v := range f {
		switch {
		case math.IsNaN(v):
			m[k] = nil
		case math.IsInf(v, 0):
			m[k] = "never"
		default:
			m[k] = v
		}
	}
	return json.Marshal(m)
}

// UnmarshalJSON reads them back.
func (f *Measurements) UnmarshalJSON(text []byte) error {
	var m map[string]any
	if err := json.Unmarshal(text, &m); err != nil {
		return err
	}
	*f = Measurements{}
	for k, v := range m {
		switch v := v.(type) {
		case nil:
			(*f)[k] = math.NaN()
		case float64:
			(*f)[k] = v
		case string:
			(*f)[k] = math.Inf(1)
		default:
			return fmt.Errorf("figure %s: %v is no number", k, v)
		}
	}
	return nil
}

const (
	dataName = "result.json"
	pageName = "index.html"
)

// Write writes a report into a folder, which is made: one page, and the data for Compare.
func (r *Report) Write(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("--report: %w", err)
	}
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return fmt.Errorf("--report: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, dataName), append(text, '\n'), 0o644); err != nil {
		return fmt.Errorf("--report: %w", err)
	}
	return writePage(filepath.Join(dir, pageName), r.Title, []*Report{r})
}

// ReadReport reads the data of a report.
func ReadReport(dir string) (*Report, error) {
	text, err := os.ReadFile(filepath.Join(dir, dataName))
	if err != nil {
		return nil, err
	}
	r := &Report{}
	if err := json.Unmarshal(text, r); err != nil {
		return nil, fmt.Errorf("%s: %w", filepath.Join(dir, dataName), err)
	}
	if len(r.Results) == 0 {
		return nil, fmt.Errorf("%s: holds no run", filepath.Join(dir, dataName))
	}
	return r, nil
}

// Row is one figure of one or two reports: median and worst over the seeds.
type Row struct {
	Name   string
	Values []string
}

// Table puts reports side by side, a row a figure.
func Table(reports ...*Report) []Row {
	names := map[string]bool{}
	for _, r := range reports {
		for _, x := range r.Results {
			for name := range x.Measurements {
				names[name] = true
			}
		}
	}
	var rows []Row
	for name := range names {
		row := Row{Name: name}
		for _, r := range reports {
			var list []float64
			for _, x := range r.Results {
				if v, ok := x.Measurements[name]; ok && !math.IsNaN(v) {
					list = append(list, v)
				}
			}
			cell := "-"
			if len(list) > 0 {
				cell = number(median(list))
				if lo, hi := slices.Min(list), slices.Max(list); lo != hi {
					cell += fmt.Sprintf(" (%s to %s)", number(lo), number(hi))
				}
			}
			row.Values = append(row.Values, cell)
		}
		rows = append(rows, row)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Name < rows[j].Name })
	return rows
}

func number(v float64) string {
	switch {
	case math.IsInf(v, 1):
		return "never"
	case v == math.Trunc(v) || math.Abs(v) >= 1000:
		return strconv.FormatFloat(math.Round(v), 'f', -1, 64)
	}
	return strconv.FormatFloat(v, 'g', 4, 64)
}

// Compare writes a page with two reports side by side and returns their table. dir may be "": no page.
func Compare(a, b, dir string) ([]Row, error) {
	ra, err := ReadReport(a)
	if err != nil {
		return nil, err
	}
	rb, err := ReadReport(b)
	if err != nil {
		return nil, err
	}
	if dir != "" {
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return nil, fmt.Errorf("--report: %w", err)
		}
		if err := writePage(filepath.Join(dir, pageName), ra.Title+" beside "+rb.Title, []*Report{ra, rb}); err != nil {
			return nil, err
		}
	}
	return Table(ra, rb), nil
}

var page = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title><style>
body{font:15px/1.45 system-ui,sans-serif;margin:2em auto;max-width:70em;padding:0 1em;color:#222}
table{border-collapse:collapse}td,th{padding:.2em .8em;border-bottom:1px solid #ddd;text-align:left}
.FAIL{color:#b00;font-weight:bold}figure{display:inline-block;margin:0 1em 1em 0}svg{max-width:100%;height:auto}
</style></head><body><h1>{{.Title}}</h1>
{{range .Reports}}<h2>{{.Title}}</h2><p>{{.About}}</p>
{{range .Results}}<h3>{{.Engine}}, seed {{.Seed}}, {{.Gateways}} gateways</h3>
<table>{{range .Verdicts}}<tr><td class="{{if not .OK}}FAIL{{end}}">{{.Text}}</td></tr>{{end}}</table>{{end}}{{end}}
<h2>Figures</h2><p>Median over the seeds, and least to most.</p>
<table><tr><th></th>{{range .Reports}}<th>{{.Title}}</th>{{end}}</tr>
{{range .Rows}}<tr><td>{{.Name}}</td>{{range .Values}}<td>{{.}}</td>{{end}}</tr>{{end}}</table>
<h2>Over time</h2>
{{range .Plots}}<figure>{{.}}</figure>{{end}}
</body></html>
`))

// pageContent is what the page's template shows.
type pageContent struct {
	Title   string
	Reports []*Report
	Rows    []Row
	Plots   []template.HTML
}

func writePage(path, title string, reports []*Report) error {
	plots, err := plotsOf(reports)
	if err != nil {
		return fmt.Errorf("--report: %w", err)
	}
	out, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("--report: %w", err)
	}
	content := pageContent{Title: title, Reports: reports, Rows: Table(reports...), Plots: plots}
	if err := errors.Join(page.Execute(out, content), out.Close()); err != nil {
		return fmt.Errorf("--report: %w", err)
	}
	return nil
}
