// Package chart draws charts of the distributions of wait times.
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

// Size of a chart.
const (
	width  = 18 * vg.Centimeter
	height = 11 * vg.Centimeter
)

// minWait is the lower end of the logarithmic scale; shorter waits are drawn there.
const minWait = 10 * time.Microsecond

// Point states that a fraction of the requests waited at most for a duration.
type Point struct {
	Wait     time.Duration
	Fraction float64
}

// Points returns the cumulative distribution of a histogram of microseconds.
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

// Chart is a chart with one line per distribution.
type Chart struct {
	plot  *plot.Plot
	lines int
}

// New returns an empty chart.
func New(title string) *Chart {
	pl := plot.New()
	pl.Title.Text = title
	pl.X.Label.Text = "wait, seconds"
	pl.Y.Label.Text = "part that waited no longer"
	pl.X.Scale = plot.LogScale{}
	pl.X.Tick.Marker = plot.LogTicks{Prec: -1}
	return &Chart{plot: pl}
}

// AddLine adds a distribution; a distribution without points is ignored.
func (ch *Chart) AddLine(name string, points []Point) error {
	if len(points) == 0 {
		return nil
	}
	first := max(points[0].Wait, minWait).Seconds()
	list := plotter.XYs{{X: first, Y: 0}}
	for _, pt := range points {
		list = append(list, plotter.XY{X: max(pt.Wait, minWait).Seconds(), Y: pt.Fraction})
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

// Save writes the chart to a file. The extension selects the format: .svg, .png or .pdf.
func (ch *Chart) Save(path string) error {
	if ch.lines == 0 {
		return errors.New("no waits to draw")
	}
	return errors.Wrap(ch.plot.Save(width, height, path), "save chart")
}
