package cli

import (
	"bytes"
	"fmt"
	"html/template"
	"math"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	burnv1 "github.com/cuminwing/cuminwing/proto/burn/v1"
)

// Size of one plot.
const (
	plotWidth  = 26 * vg.Centimeter
	plotHeight = 5 * vg.Centimeter
	// plotMargin is the right margin in points. Without it the last label of
	// the horizontal axis would be cut off.
	plotMargin = 12
	// maxPlots limits the size of the page. Rows beyond the first maxPlots
	// appear only in the table.
	maxPlots = 40
)

var burnTemplate = template.Must(template.New("burn").Funcs(template.FuncMap{
	"percent": percent,
	"hours":   func(seconds int64) string { return (time.Duration(seconds) * time.Second).String() },
}).Parse(`<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>Service-level burn</title>
<style>
body { font: 15px/1.5 system-ui, sans-serif; margin: 2rem auto; max-width: 70rem; padding: 0 1rem; color: #1b1f24; }
table { border-collapse: collapse; width: 100%; margin: 1rem 0 2rem; }
th, td { padding: .35rem .6rem; border-bottom: 1px solid #d8dee4; text-align: right; }
th:nth-child(-n+2), td:nth-child(-n+2) { text-align: left; }
.page { background: #ffe2e0; } .ticket { background: #fff4d6; }
figure { margin: 0 0 1.5rem; } figcaption { font-weight: 600; }
svg { max-width: 100%; height: auto; }
</style>
</head>
<body>
<h1>Service-level burn</h1>
<p>{{.Time}}. A burn of 1 uses up the error budget exactly at the end of its period.
{{with .Report.MissingVms}}No answer from: {{range .}}{{.}} {{end}}{{end}}</p>
<table>
<tr><th>Objective</th><th>Workspace</th><th>Target</th><th>5 min</th><th>30 min</th><th>1 h</th><th>6 h</th><th>3 d</th><th>Budget left</th><th>Alert</th><th>Cause</th></tr>
{{range .Report.Rows}}<tr class="{{.Alert}}"><td>{{.Objective}}</td><td>{{.Workspace}}{{if .Worst}} (worst){{end}}</td><td>{{percent .Target}}</td>
{{range .Windows}}<td>{{printf "%.2f" .Burn}}</td>{{end}}<td>{{percent .BudgetLeft}}</td><td>{{.Alert}}</td><td>{{.Cause}}</td></tr>
{{end}}</table>
<h2>Latencies</h2>
<table>
<tr><th>Route</th><th>Latency</th><th>Count</th><th>p50</th><th>p95</th><th>p99</th></tr>
{{range .Report.Latencies}}<tr><td>{{.Route}}</td><td>{{.Kind}}</td><td>{{.Count}}</td><td>{{printf "%.1f ms" .P50Ms}}</td><td>{{printf "%.1f ms" .P95Ms}}</td><td>{{printf "%.1f ms" .P99Ms}}</td></tr>
{{end}}</table>
<h2>Bad events per minute of the last hour</h2>
{{range .Plots}}<figure><figcaption>{{.Title}}</figcaption>{{.SVG}}</figure>
{{else}}<p>No events in the last hour.</p>{{end}}
<h2>Coverage</h2>
<table><tr><th>VM</th><th>Counters cover</th></tr>
{{range .Report.Coverage}}<tr><td>{{.Vm}}</td><td>{{hours .CoveredSeconds}}</td></tr>{{end}}</table>
</body>
</html>
`))

type burnPlot struct {
	Title string
	SVG   template.HTML
}

// renderBurnPage renders the report as one HTML page that loads no other
// resources.
func renderBurnPage(report *burnv1.ReportResponse) ([]byte, error) {
	var plots []burnPlot
	for _, row := range report.GetRows() {
		if len(plots) == maxPlots {
			break
		}
		svg, ok, err := plotLastHour(row)
		if err != nil {
			return nil, err
		}
		if ok {
			plots = append(plots, burnPlot{row.GetObjective() + ", " + row.GetWorkspace(), svg})
		}
	}
	var page bytes.Buffer
	err := burnTemplate.Execute(&page, struct {
		Time   string
		Report *burnv1.ReportResponse
		Plots  []burnPlot
	}{time.Unix(report.GetTime(), 0).UTC().Format("2006-01-02 15:04 UTC"), report, plots})
	return page.Bytes(), err
}

// plotLastHour plots the percentage of bad events per minute. It returns false
// if there were no events.
func plotLastHour(row *burnv1.Row) (template.HTML, bool, error) {
	var points plotter.XYs
	for i, fraction := range row.GetLastHour() {
		if fraction >= 0 {
			points = append(points, plotter.XY{X: float64(i - len(row.GetLastHour()) + 1), Y: 100 * fraction})
		}
	}
	if len(points) == 0 {
		return "", false, nil
	}
	p := plot.New()
	p.X.Label.Text = "minutes ago"
	p.Y.Label.Text = "bad (%)"
	p.X.Min, p.X.Max = -float64(len(row.GetLastHour())), 0
	line, scatter, err := plotter.NewLinePoints(points)
	if err != nil {
		return "", false, err
	}
	allowedPercent := 100 * (1 - row.GetTarget())
	limit, err := plotter.NewLine(plotter.XYs{{X: p.X.Min, Y: allowedPercent}, {X: 0, Y: allowedPercent}})
	if err != nil {
		return "", false, err
	}
	limit.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(plotter.NewGrid(), limit, line, scatter)
	p.Y.Min, p.Y.Max = 0, max(2*allowedPercent, 1.1*maxY(points))
	svg, err := renderSVG(p)
	return svg, true, err
}

func maxY(points plotter.XYs) float64 {
	maximum := 0.0
	for _, p := range points {
		maximum = math.Max(maximum, p.Y)
	}
	return maximum
}

// renderSVG returns the plot as SVG without the XML declaration, which is not
// allowed inside HTML. All text in the plots comes from this package, so it
// needs no escaping.
func renderSVG(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.Crop(draw.New(canvas), 0, -vg.Points(plotMargin), 0, 0))
	var buf bytes.Buffer
	if _, err := canvas.WriteTo(&buf); err != nil {
		return "", err
	}
	_, svg, ok := strings.Cut(buf.String(), "<svg")
	if !ok {
		return "", fmt.Errorf("plotting library output contains no svg element")
	}
	return template.HTML("<svg" + svg), nil
}
