package faultsim

import (
	"errors"
	"html/template"
	"os"
)

var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title><style>
body{font:15px/1.45 system-ui,sans-serif;margin:2em auto;max-width:70em;padding:0 1em;color:#222}
table{border-collapse:collapse}td,th{padding:.2em .8em;border-bottom:1px solid #ddd;text-align:left}
.FAIL{color:#b00;font-weight:bold}figure{display:inline-block;margin:0 1em 1em 0}svg{max-width:100%;height:auto}
</style></head><body><h1>{{.Title}}</h1>
{{range .Reports}}<h2>{{.Title}}</h2><p>{{.About}}</p>
{{range .Results}}<h3>{{.Engine}}, seed {{.Seed}}, {{.Gateways}} gateways</h3>
<table>{{range .Verdicts}}<tr><td class="{{if not .OK}}FAIL{{end}}">{{.Text}}</td></tr>{{end}}</table>{{end}}{{end}}
<h2>Figures</h2><p>Median over the seeds, with the smallest and the largest value.</p>
<table><tr><th></th>{{range .Reports}}<th>{{.Title}}</th>{{end}}</tr>
{{range .Rows}}<tr><td>{{.Name}}</td>{{range .Values}}<td>{{.}}</td>{{end}}</tr>{{end}}</table>
<h2>Over time</h2>
{{range .Plots}}<figure>{{.}}</figure>{{end}}
</body></html>
`))

// pageContent is the data of pageTemplate.
type pageContent struct {
	Title   string
	Reports []*Report
	Rows    []Row
	Plots   []template.HTML
}

// writePage writes a page with the verdicts, the table and the plots of reports.
func writePage(path, title string, reports []*Report) error {
	plots, err := drawPlots(reports)
	if err != nil {
		return err
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	content := pageContent{Title: title, Reports: reports, Rows: Table(reports...), Plots: plots}
	return errors.Join(pageTemplate.Execute(file, content), file.Close())
}
