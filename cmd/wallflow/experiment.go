package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"wallflow/internal/emulator"
	"wallflow/internal/experiment"
)

// experimentOptions holds the flags of the experiment command.
type experimentOptions struct {
	regions, relays, engines, seeds int
	chunkTokens, slots              int
	load                            float64
	duration                        time.Duration
	seed                            uint64
	policies                        []string
	asJSON                          bool
	demands                         []float64
	plot                            string
	slowdowns                       []float64
	regionLostAt                    time.Duration
}

func newExperiment(a *app) *cli.Command {
	o := &experimentOptions{}
	return &cli.Command{
		Name:  "experiment",
		Usage: "Simulates endpoint selection policies with emulated engines and a virtual clock",
		Description: withExamples(`Compares the relays' selector with two simple policies and an oracle that sees the state of every engine,
with the request mix of the known deployments. It runs no processes and opens no sockets; equal seeds give equal results.`,
			`wallflow experiment`,
			`wallflow experiment --relays 30 --engines 60 --load 1.2 --seeds 20`,
			`wallflow experiment --policy selector --policy oracle --json`,
			`wallflow experiment --demand 0.5 --demand 1 --demand 2 --demand 3 --slots 16 --plot demand.svg`,
			`wallflow experiment --slower 1 --slower 2 --lost 8s`),
		Flags: []cli.Flag{
			intFlag(&o.regions, "regions", 3, "number of regions among which relays and engines are divided"),
			intFlag(&o.relays, "relays", 6, "total number of relays"),
			intFlag(&o.engines, "engines", 12, "total number of engines"),
			intFlag(&o.chunkTokens, "chunk", 4096, "maximum number of prompt tokens that an engine prefills in one step"),
			intFlag(&o.slots, "slots", 64, "number of concurrent requests of an engine"),
			floatFlag(&o.load, "load", 1, "multiple of the load of the known deployments"),
			durationFlag(&o.duration, "for", 20*time.Second, "virtual time during which requests arrive"),
			intFlag(&o.seeds, "seeds", 5, "number of runs of each policy"),
			uint64Flag(&o.seed, "seed", 1, "the first seed"),
			stringsFlag(&o.policies, "policy", experiment.Policies(), "policy to simulate; may be given several times"),
			floatsFlag(&o.demands, "demand", "demand as a multiple of the engines' capacity, instead of --load; may be given several times"),
			stringFlag(&o.plot, "plot", "", "with --demand: file to write a plot to (SVG)"),
			floatsFlag(&o.slowdowns, "slower",
				"factor by which engines are slower, unknown to the selector; several values are assigned to the engines in turn"),
			durationFlag(&o.regionLostAt, "lost", 0, "virtual time at which the last region loses its engines; 0: never"),
			boolFlag(&o.asJSON, "json", "print JSON"),
		},
		Action: a.action(noArguments, func(_ context.Context, cmd *cli.Command) error {
			if len(o.demands) > 0 {
				return o.sweepDemand(cmd.Root().Writer)
			}
			summaries, err := o.run()
			if err != nil {
				return err
			}
			out := cmd.Root().Writer
			return printResult(out, o.asJSON, summaries, func() { writeSummaries(out, summaries) })
		}),
	}
}

func (o *experimentOptions) run() ([]experiment.Summary, error) {
	if o.seeds < 1 {
		return nil, fmt.Errorf("--seeds %d: must be at least 1", o.seeds)
	}
	if o.load <= 0 {
		return nil, fmt.Errorf("--load %v: must be above 0", o.load)
	}
	return experiment.Sweep(o.policies, o.options(), o.seeds)
}

func (o *experimentOptions) options() experiment.Options {
	return experiment.Options{
		Regions:         o.regions,
		Relays:          o.relays,
		Engines:         o.engines,
		Engine:          emulator.EngineOptions{ChunkTokens: o.chunkTokens, Slots: o.slots},
		Load:            experiment.DefaultLoad(o.engines, o.load),
		Duration:        o.duration,
		Seed:            o.seed,
		Slowdowns:       o.slowdowns,
		RegionFailureAt: o.regionLostAt,
	}
}

// sweepDemand simulates each demand, and writes a table and, if requested, a plot.
func (o *experimentOptions) sweepDemand(out io.Writer) error {
	for _, demand := range o.demands {
		if demand <= 0 {
			return fmt.Errorf("--demand %v: must be above 0", demand)
		}
	}
	summaries, err := experiment.DemandSweep(o.policies, o.options(), o.demands, max(1, o.seeds))
	if err != nil {
		return err
	}
	if o.plot != "" {
		if err := o.writePlot(summaries); err != nil {
			return err
		}
	}
	return printResult(out, o.asJSON, summaries, func() { writeDemand(out, summaries) })
}

func (o *experimentOptions) writePlot(summaries []experiment.DemandResult) error {
	file, err := os.Create(o.plot)
	if err != nil {
		return err
	}
	if err := experiment.PlotDemand(file, summaries); err != nil {
		file.Close()
		return err
	}
	return file.Close()
}

func writeDemand(out io.Writer, summaries []experiment.DemandResult) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "demand\tpolicy\tin time a second\tshare\tfirst p50\tfirst p99\ttokens read\tby kind")
	for _, each := range summaries {
		summary := each.Summary
		fmt.Fprintf(table, "%.2f\t%s\t%.1f\t%.3f\t%v\t%v\t%d\t", each.Demand, summary.Policy, each.InTimePerSecond, summary.Goodput,
			summary.FirstTokenP50.Round(time.Millisecond), summary.FirstTokenP99.Round(time.Millisecond), summary.PrefilledTokens)
		for _, kind := range summary.ByKind {
			fmt.Fprintf(table, "%s %.3f ", kind.Name, kind.Goodput)
		}
		fmt.Fprintln(table)
	}
	table.Flush()
}

func writeSummaries(out io.Writer, summaries []experiment.Summary) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "policy\tin time\tlow\thigh\tof best\tfirst p50\tfirst p99\tpause p99\ttokens read\tby kind")
	for _, summary := range summaries {
		fmt.Fprintf(table, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%v\t%v\t%v\t%d\t", summary.Policy, summary.Goodput, summary.GoodputLow,
			summary.GoodputHigh, summary.RelativeGoodput, summary.FirstTokenP50.Round(time.Millisecond), summary.FirstTokenP99.Round(time.Millisecond),
			summary.GapP99.Round(time.Millisecond), summary.PrefilledTokens)
		for _, kind := range summary.ByKind {
			fmt.Fprintf(table, "%s %.3f ", kind.Name, kind.Goodput)
		}
		fmt.Fprintln(table)
	}
	table.Flush()
}
