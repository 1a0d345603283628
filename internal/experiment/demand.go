package experiment

import (
	"image/color"
	"io"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"wallflow/internal/emulator"
)

// DemandResult are the results of one policy at one level of demand.
type DemandResult struct {
	Demand  float64 `json:"demand"` // in multiples of the engines' capacity
	Summary Summary `json:"summary"`
	// InTimePerSecond is the number of requests per second answered within their target latency, averaged over the seeds.
	InTimePerSecond float64 `json:"inTime"`
}

// Capacity returns the factor of DefaultLoad at which the engines are fully utilized, if all shared prefixes are cached and the load is
// evenly balanced. Each request then costs the prefill time of its own suffix plus its share of the decode steps of a full batch.
func Capacity(engine emulator.EngineOptions) float64 {
	engine = engine.WithDefaults()
	const engines = 1
	fullBatchStep := engine.StepTime + time.Duration(engine.Slots)*engine.StepTimePerJob
	utilization := 0.0
	for _, kind := range DefaultLoad(engines, 1) {
		suffix := float64(kind.SuffixMin+kind.SuffixMax) / 2
		output := float64(kind.OutputMin+kind.OutputMax) / 2
		milliseconds := suffix/engine.PrefillPerMs + output*float64(fullBatchStep.Microseconds())/1e3/float64(engine.Slots)
		utilization += kind.Rate * milliseconds / 1e3
	}
	return 1 / utilization
}

// DemandSweep runs each policy at several levels of demand, given in multiples of Capacity.
func DemandSweep(policies []string, options Options, demands []float64, seeds int) ([]DemandResult, error) {
	capacity := Capacity(options.Engine)
	var results []DemandResult
	for _, demand := range demands {
		options.Load = DefaultLoad(options.Engines, demand*capacity)
		summaries, err := Sweep(policies, options, seeds)
		if err != nil {
			return nil, err
		}
		for _, summary := range summaries {
			inTimeCount := 0
			for _, kind := range summary.ByKind {
				inTimeCount += kind.InTime
			}
			results = append(results, DemandResult{
				Demand:          demand,
				Summary:         summary,
				InTimePerSecond: float64(inTimeCount) / float64(seeds) / options.Duration.Seconds(),
			})
		}
	}
	return results, nil
}

// Size of the plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

var plotColors = []color.Color{
	color.RGBA{R: 0x1f, G: 0x77, B: 0xb4, A: 0xff}, color.RGBA{R: 0xff, G: 0x7f, B: 0x0e, A: 0xff},
	color.RGBA{R: 0x2c, G: 0xa0, B: 0x2c, A: 0xff}, color.RGBA{R: 0xd6, G: 0x27, B: 0x28, A: 0xff},
	color.RGBA{R: 0x94, G: 0x67, B: 0xbd, A: 0xff},
}

// PlotDemand writes an SVG plot of the requests answered in time against demand, with one line per policy.
func PlotDemand(out io.Writer, results []DemandResult) error {
	chart := plot.New()
	chart.X.Label.Text = "demand, times the capacity of the engines"
	chart.Y.Label.Text = "requests a second answered in time"
	chart.Y.Min = 0
	lines := make(map[string]plotter.XYs)
	var policies []string
	for _, result := range results {
		name := result.Summary.Policy
		if lines[name] == nil {
			policies = append(policies, name)
		}
		lines[name] = append(lines[name], plotter.XY{X: result.Demand, Y: result.InTimePerSecond})
	}
	for index, name := range policies {
		line, err := plotter.NewLine(lines[name])
		if err != nil {
			return err
		}
		line.Color = plotColors[index%len(plotColors)]
		chart.Add(line)
		chart.Legend.Add(name, line)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	chart.Draw(draw.New(canvas))
	_, err := canvas.WriteTo(out)
	return err
}
