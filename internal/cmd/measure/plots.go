package main

import (
	"fmt"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgsvg" // registers the SVG output format

	"github.com/cuminwing/cuminwing/internal/enginemodel"
)

const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 4 * vg.Inch
	barWidth   = 14
	// distributionPoints is the number of points per line, which limits the
	// size of the SVG.
	distributionPoints = 200
)

func writePlots(out *strings.Builder, deployments []enginemodel.Config, results [][]*enginemodel.Result) error {
	out.WriteString("## Plots\n\n")
	bars := []struct {
		name, title, unit string
		value             func(enginemodel.Summary) float64
	}{
		{"first-token-p99", "p99 time to first token", "ms", func(m enginemodel.Summary) float64 { return m.P99.Seconds() * 1000 }},
		{"hit-rate", "Prefix hit rate", "%", func(m enginemodel.Summary) float64 { return 100 * m.HitRate }},
	}
	for _, b := range bars {
		if err := barPlot(b.name, b.title, b.unit, deployments, results, b.value); err != nil {
			return err
		}
		fmt.Fprintf(out, "![%s](measurements/%s.svg)\n\n", b.title, b.name)
	}
	if err := distributionPlot(deployments[0].Name, results[0]); err != nil {
		return err
	}
	out.WriteString("![Distribution of the time to first token](measurements/distribution.svg)\n\n")
	return nil
}

func barPlot(name, title, unit string, deployments []enginemodel.Config, results [][]*enginemodel.Result, value func(enginemodel.Summary) float64) error {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = unit
	p.Y.Min = 0
	var names []string
	for _, d := range deployments {
		names = append(names, d.Name)
	}
	for i, policy := range enginemodel.Policies {
		values := make(plotter.Values, len(deployments))
		for d := range deployments {
			values[d] = value(results[d][i].Summarize())
		}
		bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return err
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = vg.Points(float64(i-len(enginemodel.Policies)/2) * barWidth)
		p.Add(bars)
		p.Legend.Add(policy.Name, bars)
	}
	p.Legend.Top = true
	p.NominalX(names...)
	return p.Save(plotWidth, plotHeight, plotFile(name))
}

func distributionPlot(title string, results []*enginemodel.Result) error {
	p := plot.New()
	p.Title.Text = "Time to first token, " + title
	p.X.Label.Text = "ms"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Y.Label.Text = "part of the requests"
	for i, policy := range enginemodel.Policies {
		line, err := plotter.NewLine(cumulativeDistribution(results[i].FirstTokens()))
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(policy.Name, line)
	}
	p.Legend.Left, p.Legend.Top = true, true
	return p.Save(plotWidth, plotHeight, plotFile("distribution"))
}

func cumulativeDistribution(samples []time.Duration) plotter.XYs {
	points := make(plotter.XYs, distributionPoints)
	for i := range points {
		at := i * (len(samples) - 1) / (distributionPoints - 1)
		points[i].X = samples[at].Seconds() * 1000
		points[i].Y = float64(at) / float64(len(samples)-1)
	}
	return points
}
