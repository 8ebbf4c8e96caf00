// Package chart draws the waits of several policies over one trace.
package chart

import (
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"tackbeam.example/tackbeam/internal/trial"
)

// The size of a chart.
const (
	width  = 18 * vg.Centimeter
	height = 11 * vg.Centimeter
)

// shortest is the left end of the chart; shorter waits are drawn there.
const shortest = 10 * time.Millisecond

// Save draws, for each report of one trace, which part of the jobs waited at most
// how long. The ending of the path is the format: .svg, .png or .pdf.
func Save(path string, reports []trial.Report) error {
	pl := plot.New()
	pl.Title.Text = "waits of jobs"
	pl.X.Label.Text = "wait, seconds"
	pl.Y.Label.Text = "part of the jobs"
	pl.X.Scale = plot.LogScale{}
	pl.X.Tick.Marker = plot.LogTicks{Prec: -1}
	pl.Legend.Left, pl.Legend.Top = false, false
	pl.Y.Min, pl.Y.Max = 0, 1
	for i, rp := range reports {
		pl.Title.Text = "waits of jobs, trace " + rp.Trace
		line, err := plotter.NewLine(points(rp))
		if err != nil {
			return errors.Wrapf(err, "draw policy %s", rp.Policy)
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		pl.Add(line)
		pl.Legend.Add(rp.Policy, line)
	}
	return errors.Wrap(pl.Save(width, height, path), "save chart")
}

// points are the corners of the line of one report.
func points(rp trial.Report) plotter.XYs {
	list := plotter.XYs{{X: shortest.Seconds(), Y: 0}}
	for _, pt := range rp.Curve {
		list = append(list, plotter.XY{X: max(pt.Wait, shortest).Seconds(), Y: pt.Part})
	}
	return list
}
