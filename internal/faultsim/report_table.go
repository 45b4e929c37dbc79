package faultsim

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
)

// Row is one row of a table: a figure of one or more reports.
type Row struct {
	Name   string   // name of the figure
	Values []string // by report: the median over the seeds, and the range unless all values are equal
}

// notMeasuredCell is the text for a report that has no value of the figure.
const notMeasuredCell = "-"

// Table returns a row for each figure of the reports, sorted by name.
func Table(reports ...*Report) []Row {
	var rows []Row
	for _, name := range figureNames(reports) {
		row := Row{Name: name}
		for _, report := range reports {
			row.Values = append(row.Values, report.cell(name))
		}
		rows = append(rows, row)
	}
	return rows
}

// figureNames returns the names of all figures in the reports, sorted.
func figureNames(reports []*Report) []string {
	names := map[string]bool{}
	for _, report := range reports {
		for _, result := range report.Results {
			for name := range result.Measurements {
				names[name] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// cell returns the text for one figure over all seeds.
func (r *Report) cell(name string) string {
	var values []float64
	for _, result := range r.Results {
		if value, ok := result.Measurements[name]; ok && !math.IsNaN(value) {
			values = append(values, value)
		}
	}
	if len(values) == 0 {
		return notMeasuredCell
	}
	text := formatFigure(median(values))
	if least, most := slices.Min(values), slices.Max(values); least != most {
		text += fmt.Sprintf(" (%s to %s)", formatFigure(least), formatFigure(most))
	}
	return text
}

// formatFigure formats whole numbers, and numbers of at least 1000, without decimals. Others have four digits.
func formatFigure(value float64) string {
	switch {
	case math.IsInf(value, 1):
		return neverText
	case value == math.Trunc(value) || math.Abs(value) >= 1000:
		return strconv.FormatFloat(math.Round(value), 'f', -1, 64)
	}
	return strconv.FormatFloat(value, 'g', 4, 64)
}
