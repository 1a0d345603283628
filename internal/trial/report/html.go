package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"wallflow/internal/trial/check"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 6 * vg.Centimeter
	rowHeight  = 0.45 * vg.Centimeter
	maxRows    = 40
)

// colours can be distinguished with red-green color blindness too.
var colours = []color.Color{
	color.RGBA{0x00, 0x72, 0xb2, 0xff}, color.RGBA{0xd5, 0x5e, 0x00, 0xff}, color.RGBA{0x00, 0x9e, 0x73, 0xff},
}

// line is one curve of a plot.
type line struct {
	name string
	y    func(Point) float64
}

var page = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font:15px/1.4 sans-serif;max-width:62em;margin:2em auto;color:#222}h2{margin:1.4em 0 .2em;font-size:1.1em}
pre{background:#f4f4f4;padding:.8em;overflow-x:auto;font-size:12.5px}svg{width:100%;height:auto}.bad{color:#a00}</style></head><body>
<h1>{{.Title}}</h1>
{{range .Breaches}}<p class="bad">{{.}}</p>{{end}}
<pre>{{.Text}}</pre>
{{range .Plots}}<h2>{{.Name}}</h2>
{{.SVG}}
{{end}}</body></html>
`))

// HTML writes the report as one file that contains its plots.
func HTML(w io.Writer, title string, f *Metrics, breaches []check.Violation) error {
	type drawn struct {
		Name string
		SVG  template.HTML
	}
	var text bytes.Buffer
	f.Text(&text)
	var plots []drawn
	for _, p := range []struct {
		name, unit string
		top        float64 // of the y axis; 0: from the values
		lines      []line
	}{
		{"Service: worth delivered over worth wanted, by when it was wanted", "share", 1.05,
			[]line{{"service", func(p Point) float64 { return p.Service }}}},
		{"Latency of what was delivered", "ms", 0, []line{{"p50", func(p Point) float64 { return p.P50 }},
			{"p99", func(p Point) float64 { return p.P99 }}}},
		{"Messages wanted and calls to partners, in half a second", "count", 0, []line{
			{"wanted", func(p Point) float64 { return float64(p.Wanted) }}, {"calls", func(p Point) float64 { return float64(p.Calls) }},
			{"calls refused", func(p Point) float64 { return float64(p.Refused) }}}},
	} {
		svg, err := drawCurves(f, p.unit, p.top, p.lines)
		if err != nil {
			return fmt.Errorf("report: %s: %w", p.name, err)
		}
		plots = append(plots, drawn{p.name, svg})
	}
	if len(f.Faults) > 0 {
		svg, err := drawFaults(f)
		if err != nil {
			return fmt.Errorf("report: faults: %w", err)
		}
		plots = append(plots, drawn{"What was done to whom", svg})
	}
	var lines []string
	for i, b := range breaches {
		if i == 20 {
			lines = append(lines, fmt.Sprintf("and %d more", len(breaches)-i))
			break
		}
		lines = append(lines, b.String())
	}
	return page.Execute(w, map[string]any{"Title": title, "Breaches": lines, "Text": text.String(), "Plots": plots})
}

func drawCurves(f *Metrics, unit string, top float64, lines []line) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "s", unit
	p.X.Min, p.X.Max, p.Y.Min = 0, max(1, f.Seconds), 0
	p.Legend.Top = true
	for i, l := range lines {
		xy := make(plotter.XYs, len(f.Points))
		for k, at := range f.Points {
			xy[k].X, xy[k].Y = at.At, l.y(at)
		}
		if len(xy) == 0 {
			continue
		}
		c, err := plotter.NewLine(xy)
		if err != nil {
			return "", err
		}
		c.Color, c.Width = colours[i%len(colours)], vg.Points(1.5)
		p.Add(c)
		p.Legend.Add(l.name, c)
	}
	p.Add(plotter.NewGrid())
	p.Y.Min = 0
	if top > 0 {
		p.Y.Max = top
	} else {
		p.Y.Max = max(1, p.Y.Max*1.1)
	}
	return renderSVG(p, plotHeight)
}

// drawFaults draws a bar for each fault, in one row for each target.
func drawFaults(f *Metrics) (template.HTML, error) {
	var rows []string
	for _, m := range f.Faults {
		if !slices.Contains(rows, m.On) && len(rows) < maxRows {
			rows = append(rows, m.On)
		}
	}
	p := plot.New()
	p.X.Label.Text = "s"
	p.X.Min, p.X.Max = 0, max(1, f.Seconds)
	p.Y.Min, p.Y.Max = -0.5, float64(len(rows))-0.5
	p.NominalY(rows...)
	var labels plotter.XYLabels
	for _, m := range f.Faults {
		row := slices.Index(rows, m.On)
		if row < 0 {
			continue
		}
		bar, err := plotter.NewLine(plotter.XYs{{X: m.At, Y: float64(row)}, {X: m.At + max(m.For, 0.05), Y: float64(row)}})
		if err != nil {
			return "", err
		}
		bar.Color, bar.Width = colours[1], vg.Points(5)
		p.Add(bar)
		labels.XYs = append(labels.XYs, plotter.XY{X: m.At, Y: float64(row) + 0.12})
		labels.Labels = append(labels.Labels, m.What)
	}
	names, err := plotter.NewLabels(labels)
	if err != nil {
		return "", err
	}
	p.Add(names)
	return renderSVG(p, vg.Length(len(rows)+2)*rowHeight+2*vg.Centimeter)
}

func renderSVG(p *plot.Plot, high vg.Length) (template.HTML, error) {
	c := vgsvg.New(plotWidth, high)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	// The SVG is not escaped by the template engine. It is output of the plot library, from numbers and from names in the
	// plan, which were checked against the names in the fleet.
	_, body, ok := bytes.Cut(b.Bytes(), []byte("<svg"))
	if !ok {
		return "", fmt.Errorf("the plot library wrote no SVG")
	}
	return template.HTML("<svg" + string(body)), nil
}
