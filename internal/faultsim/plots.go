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

// curve is one line of a chart. Its name is the label in the legend.
type curve struct {
	name   string
	values func(*Result) []float64
}

// chart describes one plot. It shows the first seed of each report.
type chart struct {
	title  string
	xLabel string
	yLabel string
	xs     func(*Result) []float64 // x values of all curves
	curves []curve
}

// Sizes of plots on the page.
const (
	plotWidth  = 430 // points
	plotHeight = 250 // points
	barWidth   = 20  // points
	lineWidth  = 1.4 // points
)

var charts = []chart{
	{
		title: "Gateways up and believed to be up", xLabel: "s", yLabel: "gateways", xs: secondsOf,
		curves: []curve{
			{"up", func(r *Result) []float64 { return r.Series.Up }},
			{"believed, mean", func(r *Result) []float64 { return r.Series.Believed }},
		},
	},
	{
		title: "Wrong beliefs", xLabel: "s", yLabel: "beliefs", xs: secondsOf,
		curves: []curve{
			{"wrong", func(r *Result) []float64 { return r.Series.WrongBeliefs }},
		},
	},
	{
		title: "False suspicions so far", xLabel: "s", yLabel: "accusations", xs: secondsOf,
		curves: []curve{
			{"false", func(r *Result) []float64 { return r.Series.FalseSuspicions }},
		},
	},
	{
		title: "Bytes sent per second", xLabel: "s", yLabel: "bytes", xs: secondsOf,
		curves: []curve{
			{"mean", func(r *Result) []float64 { return r.Series.BytesMean }},
			{"busiest", func(r *Result) []float64 { return r.Series.BytesMax }},
		},
	},
	{
		title: "Latency from the intended send time", xLabel: "percentile", yLabel: "ms", xs: percentilesOf,
		curves: []curve{
			{"served", func(r *Result) []float64 { return r.Latency }},
		},
	},
}

// drawPlots draws all charts as SVG. For each report that contains the load of the hosts, it also draws that load.
func drawPlots(reports []*Report) ([]template.HTML, error) {
	var plots []template.HTML
	for i := range charts {
		drawn, err := charts[i].draw(reports)
		if err != nil {
			return nil, err
		}
		if drawn != nil {
			plots = append(plots, renderSVG(drawn))
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
		plots = append(plots, renderSVG(drawn))
	}
	return plots, nil
}

// draw returns the chart as a plot, or nil if no report has values for it.
func (c *chart) draw(reports []*Report) (*plot.Plot, error) {
	drawing := c.newPlot()
	drawn := 0
	for _, report := range reports {
		for _, curve := range c.curves {
			points := pointsOf(c.xs(report.Results[0]), curve.values(report.Results[0]))
			if points == nil {
				continue
			}
			line, err := plotter.NewLine(points)
			if err != nil {
				return nil, err
			}
			line.Color, line.Width = plotutil.Color(drawn), vg.Points(lineWidth)
			drawing.Add(line)
			name := curve.name
			if len(reports) > 1 {
				name += ", " + report.Title
			}
			drawing.Legend.Add(name, line)
			drawn++
		}
	}
	if drawn == 0 {
		return nil, nil
	}
	return drawing, nil
}

// newPlot returns a plot with a title, labels and a legend, but without curves.
func (c *chart) newPlot() *plot.Plot {
	drawing := plot.New()
	drawing.Title.Text = c.title
	drawing.X.Label.Text = c.xLabel
	drawing.Y.Label.Text = c.yLabel
	drawing.Y.Min = 0
	legend := &drawing.Legend
	legend.Top = true
	legend.XOffs = -vg.Points(12)
	legend.Padding = vg.Points(6)
	legend.TextStyle.Font.Size = vg.Points(9)
	legend.ThumbnailWidth = vg.Points(16)
	return drawing
}

// pointsOf combines x and y values to points. It returns nil if there are none or if the numbers of values differ.
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

// drawHostLoad draws the number of statements of each host as a bar.
func drawHostLoad(report *Report) (*plot.Plot, error) {
	hosts := report.Results[0].Hosts
	names := slices.Sorted(maps.Keys(hosts))
	var values plotter.Values
	for _, name := range names {
		values = append(values, float64(hosts[name]))
	}
	bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
	if err != nil {
		return nil, err
	}
	bars.Color = plotutil.Color(0)
	drawing := plot.New()
	drawing.Title.Text = "Load of each host, " + report.Title
	drawing.Y.Label.Text = "statements"
	drawing.Add(bars)
	drawing.NominalX(names...)
	return drawing, nil
}

// secondsOf returns the times of the entries of a result's series.
func secondsOf(result *Result) []float64 { return result.Series.Seconds }

// percentilesOf returns the percentile of each value of a result's latency: 0, 1, 2 and so on.
func percentilesOf(result *Result) []float64 {
	percentiles := make([]float64, len(result.Latency))
	for i := range percentiles {
		percentiles[i] = float64(i)
	}
	return percentiles
}

// renderSVG renders a plot as an <svg> element, without the XML header before it.
func renderSVG(drawing *plot.Plot) template.HTML {
	canvas := vgsvg.New(vg.Points(plotWidth), vg.Points(plotHeight))
	drawing.Draw(draw.New(canvas))
	var buffer strings.Builder
	_, _ = canvas.WriteTo(&buffer) // writes to a strings.Builder return no error
	text := buffer.String()
	return template.HTML(text[max(0, strings.Index(text, "<svg")):])
}
