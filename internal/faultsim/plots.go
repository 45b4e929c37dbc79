package faultsim

import (
	"html/template"
	"maps"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// curve is one line of a chart.
type curve struct {
	name   string
	values func(*Result) []float64
}

// chart is one plot over time, or over percentiles, of the first seed of each report.
type chart struct {
	title, xLabel, yLabel string
	along                 func(*Result) []float64
	curves                []curve
}

var charts = []chart{
	{"Gateways alive, and believed alive", "s", "gateways", seconds, []curve{
		{"up", func(r *Result) []float64 { return r.Series.Up }},
		{"believed, mean", func(r *Result) []float64 { return r.Series.Believed }},
	}},
	{"Beliefs that are wrong", "s", "beliefs", seconds, []curve{
		{"wrong", func(r *Result) []float64 { return r.Series.Wrong }},
	}},
	{"False suspicions so far", "s", "accusations", seconds, []curve{
		{"false", func(r *Result) []float64 { return r.Series.Doubts }},
	}},
	{"Bytes sent a second", "s", "bytes", seconds, []curve{
		{"mean", func(r *Result) []float64 { return r.Series.BytesMean }},
		{"busiest", func(r *Result) []float64 { return r.Series.BytesMost }},
	}},
	{"Latency from the intended time", "percentile", "ms", percents, []curve{
		{"served", func(r *Result) []float64 { return r.Latency }},
	}},
}

// plotsOf draws the first seed of each report.
func plotsOf(reports []*Report) ([]template.HTML, error) {
	var plots []template.HTML
	for i := range charts {
		drawn, err := charts[i].draw(reports)
		if err != nil {
			return nil, err
		}
		if drawn != nil {
			plots = append(plots, svg(drawn))
		}
	}
	for _, report := range reports {
		if len(report.Results[0].Hosts) == 0 {
			continue
		}
		drawn, err := drawHostLoad(report)
		if err != nil {
			return nil, err
		}
		plots = append(plots, svg(drawn))
	}
	return plots, nil
}

// draw returns nil where no report has the chart's values.
func (c *chart) draw(reports []*Report) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = c.title, c.xLabel, c.yLabel
	p.Y.Min = 0
	p.Legend.Top, p.Legend.XOffs, p.Legend.Padding = true, -vg.Points(12), vg.Points(6)
	p.Legend.TextStyle.Font.Size, p.Legend.ThumbnailWidth = vg.Points(9), vg.Points(16)
	drawn := 0
	for _, report := range reports {
		for _, curve := range c.curves {
			points := pointsOf(c.along(report.Results[0]), curve.values(report.Results[0]))
			if points == nil {
				continue
			}
			line, err := plotter.NewLine(points)
			if err != nil {
				return nil, err
			}
			line.Color, line.Width = plotutil.Color(drawn), vg.Points(1.4)
			p.Add(line)
			name := curve.name
			if len(reports) > 1 {
				name += ", " + report.Title
			}
			p.Legend.Add(name, line)
			drawn++
		}
	}
	if drawn == 0 {
		return nil, nil
	}
	return p, nil
}

// pointsOf returns nil where there are none, or where the two lists don't belong together.
func pointsOf(xs, ys []float64) plotter.XYs {
	if len(xs) == 0 || len(xs) != len(ys) {
		return nil
	}
	points := make(plotter.XYs, len(xs))
	for i := range xs {
		points[i] = plotter.XY{X: xs[i], Y: ys[i]}
	}
	return points
}

// drawHostLoad draws the statements of each host as bars.
func drawHostLoad(report *Report) (*plot.Plot, error) {
	hosts := report.Results[0].Hosts
	names := slices.Sorted(maps.Keys(hosts))
	var values plotter.Values
	for _, name := range names {
		values = append(values, float64(hosts[name]))
	}
	bars, err := plotter.NewBarChart(values, vg.Points(20))
	if err != nil {
		return nil, err
	}
	bars.Color = plotutil.Color(0)
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = "Load of each host, "+report.Title, "statements"
	p.Add(bars)
	p.NominalX(names...)
	return p, nil
}

func seconds(r *Result) []float64 { return r.Series.Seconds }

func percents(r *Result) []float64 {
	list := make([]float64, len(r.Latency))
	for i := range list {
		list[i] = float64(i)
	}
	return list
}

// svg is a plot as part of a page.
func svg(p *plot.Plot) template.HTML {
	c := vgsvg.New(vg.Points(430), vg.Points(250))
	p.Draw(draw.New(c))
	var b strings.Builder
	_, _ = c.WriteTo(&b) // a Builder takes all
	text := b.String()
	return template.HTML(text[max(0, strings.Index(text, "<svg")):])
}
