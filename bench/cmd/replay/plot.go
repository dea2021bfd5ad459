package main

import (
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"peardrift/bench/replay"
	"peardrift/internal/status"
)

const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
	smoothBins = 5 // window of the moving average of goodput
)

// plotGoodput plots goodput over time as the mean over the seeds, with a line per policy.
func plotGoodput(dir string, c *testCase, rows []row) error {
	p := plot.New()
	p.Title.Text = c.name() + ": whole requests that complete"
	p.X.Label.Text = "time (s)"
	p.Y.Label.Text = "requests/s"
	p.Y.Min = 0
	p.Legend.Top = true
	for i := range rows {
		line, err := plotter.NewLine(goodputSeries(rows[i].results))
		if err != nil {
			return status.Wrap(status.CodeInternal, err, "cannot plot %s", rows[i].policy.Name)
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(rows[i].policy.Name, line)
	}
	if err := addBestLine(p, rows[0].results[0]); err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return status.Wrap(status.CodeInvalidSettings, err, "cannot create %s", dir)
	}
	if err := p.Save(plotWidth, plotHeight, filepath.Join(dir, c.name()+".svg")); err != nil {
		return status.Wrap(status.CodeInternal, err, "cannot write the plot")
	}
	return nil
}

// addBestLine marks the highest goodput that the slots allow in the trigger phase.
func addBestLine(p *plot.Plot, r *replay.Result) error {
	line, err := plotter.NewLine(plotter.XYs{
		{X: r.Header.From.Seconds(), Y: r.BestGoodput}, {X: r.Header.To.Seconds(), Y: r.BestGoodput}})
	if err != nil {
		return status.Wrap(status.CodeInternal, err, "cannot plot the bound")
	}
	line.Width = vg.Points(2)
	p.Add(line)
	p.Legend.Add("highest possible", line)
	return nil
}

// goodputSeries returns the moving average of goodput, as the mean over the seeds.
func goodputSeries(results []*replay.Result) plotter.XYs {
	out := make(plotter.XYs, len(results[0].Goodput))
	for i := range out {
		out[i].X = float64(i+1) * replay.Bin.Seconds()
		from := max(0, i+1-smoothBins)
		for _, r := range results {
			for _, g := range r.Goodput[from : i+1] {
				out[i].Y += g / float64((i+1-from)*len(results))
			}
		}
	}
	return out
}
