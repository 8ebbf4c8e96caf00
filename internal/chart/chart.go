// Package chart draws distributions of waits.
package chart

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// The size of a chart.
const (
	width  = 18 * vg.Centimeter
	height = 11 * vg.Centimeter
)

// shortest is the least wait that a logarithmic scale shows.
const shortest = 10 * time.Microsecond

// Point says which part of the requests waited at most how long.
type Point struct {
	Wait     time.Duration
	Fraction float64
}

// Points returns the points of a histogram of microseconds.
func Points(hi *hdrhistogram.Histogram) []Point {
	const percent = 100
	if hi.TotalCount() == 0 {
		return nil
	}
	var list []Point
	for _, br := range hi.CumulativeDistribution() {
		list = append(list, Point{time.Duration(br.ValueAt) * time.Microsecond, br.Quantile / percent})
	}
	return list
}

// Chart is a chart with a line for each distribution.
type Chart struct {
	plot  *plot.Plot
	lines int
}

// New returns a chart without lines.
func New(title string) *Chart {
	pl := plot.New()
	pl.Title.Text = title
	pl.X.Label.Text = "wait, seconds"
	pl.Y.Label.Text = "part that waited no longer"
	pl.X.Scale = plot.LogScale{}
	pl.X.Tick.Marker = plot.LogTicks{Prec: -1}
	return &Chart{plot: pl}
}

// AddLine adds a distribution; one without points is left out.
func (ch *Chart) AddLine(name string, points []Point) error {
	if len(points) == 0 {
		return nil
	}
	first := max(points[0].Wait, shortest).Seconds()
	list := plotter.XYs{{X: first, Y: 0}}
	for _, pt := range points {
		list = append(list, plotter.XY{X: max(pt.Wait, shortest).Seconds(), Y: pt.Fraction})
	}
	line, err := plotter.NewLine(list)
	if err != nil {
		return errors.Wrapf(err, "draw %s", name)
	}
	line.Color = plotutil.Color(ch.lines)
	line.Dashes = plotutil.Dashes(ch.lines)
	ch.lines++
	ch.plot.Add(line)
	ch.plot.Legend.Add(name, line)
	ch.plot.Y.Min, ch.plot.Y.Max = 0, 1
	return nil
}

// Save writes the chart. The ending of the path is the format: .svg, .png or .pdf.
func (ch *Chart) Save(path string) error {
	if ch.lines == 0 {
		return errors.New("nothing waited, so there is nothing to draw")
	}
	return errors.Wrap(ch.plot.Save(width, height, path), "save chart")
}
