package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"wallflow/internal/trial"
	"wallflow/internal/trial/check"
	"wallflow/internal/trial/history"
	"wallflow/internal/trial/load"
	"wallflow/internal/trial/proc"
	"wallflow/internal/trial/report"
)

const (
	minLoadDuration     = time.Second
	maxLoadDuration     = 24 * time.Hour
	maxSeeds            = 10_000
	maxListedViolations = 10 // violations that are printed individually
)

// trialFlags holds the flags of trial run and trial sweep.
type trialFlags struct {
	seed     uint64
	seeds    int
	plan     string
	jsonFile string
	htmlFile string
	quiet    bool
}

func newTrial(a *app) *cli.Command {
	return &cli.Command{
		Name:  "trial",
		Usage: "Runs relays under injected faults and checks the results",
		Description: withExamples(`A trial starts real relays on loopback addresses with fake clients, partners and discovery, injects the
faults of a plan, and checks the recorded history against the invariants of the fleet.

The last line of its output is the verdict: held, broken, or not played. A trial for which this machine was too slow counts as
not played.`,
			`wallflow trial list`,
			`wallflow trial run berth`),
		Commands: []*cli.Command{newTrialList(a), newTrialRun(a), newTrialSweep(a), newTrialCheck(a), newTrialKeeper(a)},
		Action:   showSubcommands,
	}
}

func newTrialList(a *app) *cli.Command {
	return &cli.Command{
		Name:  "list",
		Usage: "Lists scenarios, loads, invariants, and the possible steps of a plan",
		Action: a.action(noArguments, func(_ context.Context, cmd *cli.Command) error {
			out := cmd.Root().Writer
			fmt.Fprintln(out, "scenarios")
			for _, s := range trial.Scenarios() {
				fmt.Fprintf(out, "  %-16s %s\n", s.Name, s.About)
			}
			fmt.Fprintln(out, "loads")
			for _, name := range load.Names() {
				l, err := load.Open(name)
				if err != nil {
					return err
				}
				fmt.Fprintf(out, "  %-16s %s\n", name, l.About)
			}
			fmt.Fprintln(out, "invariants")
			for _, name := range slices.Concat(check.Names, check.ListNames, check.PolicyNames) {
				fmt.Fprintf(out, "  %s\n", name)
			}
			fmt.Fprintln(out, "steps of a plan, and their targets")
			for _, line := range trial.ActionLines() {
				fmt.Fprintf(out, "  %s\n", line)
			}
			return nil
		}),
	}
}

// commonTrialFlags returns the flags that run and sweep share.
func (a *app) commonTrialFlags(o *trialFlags) []cli.Flag {
	return []cli.Flag{
		uint64Flag(&o.seed, "seed", 1, "random seed; for a sweep, the first one"),
		stringFlag(&a.Trial.Load, "load", "berth", "one of the shipped loads (see: wallflow trial list) or a TOML file"),
		loadDurationFlag(&a.Trial.For.Duration, "for", 20*time.Second, "duration of the load"),
		stringFlag(&a.Trial.Relay, "relay", "", "executable of the relay (default: cherrytrestle in the folder of this program)"),
		stringFlag(&o.jsonFile, "json", "", "write the result to this file as JSON"),
	}
}

// trialOptions returns the options of a trial after checking them.
func (a *app) trialOptions(seed uint64) (o trial.Options, err error) {
	l, err := load.Open(a.Trial.Load)
	if err != nil {
		return o, fmt.Errorf("--load: %w", err)
	}
	if a.Trial.For.Duration < minLoadDuration || a.Trial.For.Duration > maxLoadDuration {
		return o, fmt.Errorf("--for: %v: must be %v to %v", a.Trial.For, minLoadDuration, maxLoadDuration)
	}
	self, err := os.Executable()
	if err != nil {
		return o, err
	}
	relay := a.Trial.Relay
	if relay == "" {
		relay = filepath.Join(filepath.Dir(self), "cherrytrestle")
	}
	if relay, err = filepath.Abs(relay); err != nil {
		return o, fmt.Errorf("--relay: %w", err)
	}
	if _, err := exec.LookPath(relay); err != nil {
		return o, fmt.Errorf("--relay: %w (build it with the README's command)", err)
	}
	return trial.Options{Load: l, Seed: seed, LoadDuration: a.Trial.For.Duration, Relay: relay, Program: self, Log: a.log,
		Keeper: func() *exec.Cmd { return exec.Command(self, "trial", "keeper") }}, nil
}

func newTrialRun(a *app) *cli.Command {
	o := &trialFlags{}
	return &cli.Command{
		Name:      "run",
		ArgsUsage: "SCENARIO",
		Usage:     "Runs one trial and reports its results",
		Description: withExamples("",
			`wallflow trial run berth`,
			`wallflow trial run relay-kill --seed 7 --load small --for 10s`,
			`wallflow trial run take-over --dir /tmp/t --html /tmp/t/report.html --json /tmp/t/report.json`,
			`wallflow trial run relay-kill --plan /tmp/t/plan.toml`),
		Flags: append(a.commonTrialFlags(o),
			stringFlag(&a.Trial.Dir, "dir", "",
				"folder for logs, plan, history and the relays' files, which are kept (default: a temporary folder)"),
			stringFlag(&o.plan, "plan", "", "run the steps in this file instead of the scenario's own"),
			stringFlag(&o.htmlFile, "html", "", "write a report with plots to this file"),
			boolFlag(&o.quiet, "quiet", "print only the verdict")),
		Action: a.action(exactArguments(1, "the scenario's name"), func(ctx context.Context, cmd *cli.Command) error {
			sc, err := trial.Find(cmd.Args().First())
			if err != nil {
				return err
			}
			opts, err := a.trialOptions(o.seed)
			if err != nil {
				return err
			}
			opts.Dir = a.Trial.Dir
			if o.plan != "" {
				if opts.Plan, err = trial.ReadPlan(o.plan); err != nil {
					return fmt.Errorf("--plan: %w", err)
				}
			}
			if opts.Dir != "" {
				if err := os.MkdirAll(opts.Dir, 0o700); err != nil {
					return fmt.Errorf("--dir: %w", err)
				}
			}
			for _, f := range []string{o.jsonFile, o.htmlFile} {
				if err := checkWritable(f); err != nil {
					return err
				}
			}
			out := cmd.Root().Writer
			if !o.quiet {
				fmt.Fprintf(out, "%s, load %s (%s), seed %d, %v\n", sc.Name, opts.Load.Name, opts.Load.About, opts.Seed, opts.LoadDuration)
				opts.Progress = func(p trial.Progress) { printProgress(out, p) }
			}
			res, err := trial.Run(ctx, sc, opts)
			return a.reportResult(ctx, out, res, err, o)
		}),
	}
}

// checkWritable checks before the trial that its report can be written afterwards. It creates the file. An empty path is fine.
func checkWritable(path string) error {
	if path == "" {
		return nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	return f.Close()
}

func printProgress(out io.Writer, p trial.Progress) {
	const width = 20
	filled := min(width, int(width*p.Time/max(p.Total, 1)))
	fmt.Fprintf(out, "[%s%s] %4.0f s  relays %d  submitted %d  pending %d  %s\n", strings.Repeat("#", filled),
		strings.Repeat(".", width-filled), p.Time.Seconds(), p.Running,
		p.Submitted, p.Submitted-p.Finished, p.LastFault)
}

// result is the result of a trial as written by --json.
type result struct {
	Scenario string         `json:"scenario"`
	Load     string         `json:"load"`
	Seed     uint64         `json:"seed"`
	Verdict  string         `json:"verdict"`
	Why      string         `json:"why,omitempty"`
	Checked  *check.Verdict `json:"checked,omitempty"`
	Figures  report.Metrics `json:"figures"`
}

// newResult converts the outcome of a trial. The verdict is "not played" if there is an error.
func (a *app) newResult(res *trial.Result, err error) result {
	r := result{Load: a.Trial.Load, Verdict: "held"}
	if res != nil {
		r.Scenario, r.Checked, r.Figures = res.Scenario, &res.Verdict, res.Metrics
		if res.Plan != nil {
			r.Seed = res.Plan.Seed
		}
		if !res.Verdict.Held() {
			r.Verdict = "broken"
		}
	}
	if err != nil {
		r.Verdict, r.Why = "not played", err.Error()
	}
	return r
}

// reportResult prints the results of a trial: metrics, violations, files and, on the last line, the verdict. It writes the report files.
func (a *app) reportResult(ctx context.Context, out io.Writer, res *trial.Result, err error, o *trialFlags) error {
	if err != nil && ctx.Err() != nil {
		return fmt.Errorf("verdict: not played: interrupted; everything that was started has been stopped")
	}
	r := a.newResult(res, err)
	var reportErr error
	if o.jsonFile != "" {
		reportErr = errors.Join(reportErr, writeJSON(o.jsonFile, r))
	}
	if err == nil {
		if !o.quiet {
			res.Metrics.Text(out)
			printCheckCounts(out, &res.Verdict)
		}
		if o.htmlFile != "" {
			reportErr = errors.Join(reportErr, writeHTML(o.htmlFile, r))
		}
		if res.Dir != "" && !o.quiet {
			fmt.Fprintf(out, "files     %s: plan.toml, history.jsonl, and a folder for each relay\n", res.Dir)
		}
	}
	if err != nil || reportErr != nil {
		fmt.Fprintf(out, "verdict: not played\n")
		return errors.Join(err, reportErr)
	}
	if r.Verdict == "broken" {
		printViolations(out, res.Verdict.Violations)
		fmt.Fprintf(out, "verdict: broken (%d breaches)\n", len(res.Verdict.Violations))
		return errCheckFailed
	}
	fmt.Fprintln(out, "verdict: held")
	return nil
}

// printCheckCounts prints, for each invariant, in how many of the checked cases it held.
func printCheckCounts(out io.Writer, v *check.Verdict) {
	broken := map[string]int{}
	for _, x := range v.Violations {
		broken[x.Name]++
	}
	fmt.Fprintf(out, "judged   ")
	for _, name := range slices.Concat(check.Names, check.ListNames, check.PolicyNames) {
		if _, ok := v.Judged[name]; !ok {
			continue
		}
		fmt.Fprintf(out, " %s %d/%d", name, v.Judged[name]-min(broken[name], v.Judged[name]), v.Judged[name])
	}
	fmt.Fprintln(out)
	if n := len(v.Excused); n > 0 {
		fmt.Fprintf(out, "          %d cases not judged: the test harness itself was delayed by more\n", n)
	}
}

// printViolations prints the first violations and the number of the others.
func printViolations(out io.Writer, all []check.Violation) {
	for i, v := range all {
		if i == maxListedViolations {
			fmt.Fprintf(out, "and %d more\n", len(all)-i)
			break
		}
		fmt.Fprintln(out, v)
	}
}

func writeJSON(path string, v any) error {
	data, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return fmt.Errorf("--json: %w", err)
	}
	if err := os.WriteFile(path, append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("--json: %w", err)
	}
	return nil
}

func writeHTML(path string, r result) error {
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("--html: %w", err)
	}
	title := fmt.Sprintf("%s, load %s, seed %d: %s", r.Scenario, r.Load, r.Seed, r.Verdict)
	return errors.Join(report.HTML(f, title, &r.Figures, r.Checked.Violations), f.Close())
}

func newTrialSweep(a *app) *cli.Command {
	o := &trialFlags{}
	return &cli.Command{
		Name:      "sweep",
		ArgsUsage: "SCENARIO",
		Usage:     "Runs a scenario with many seeds and prints a line for each, and a summary",
		Description: withExamples("",
			`wallflow trial sweep relay-kill --seeds 20 --load small --for 10s`,
			`wallflow trial sweep mass-kill --seed 100 --seeds 5 --json sweep.json`),
		Flags: append(a.commonTrialFlags(o), intFlag(&o.seeds, "seeds", 20, "number of seeds, which run one after the other")),
		Action: a.action(exactArguments(1, "the scenario's name"), func(ctx context.Context, cmd *cli.Command) error {
			sc, err := trial.Find(cmd.Args().First())
			if err != nil {
				return err
			}
			if o.seeds < 1 || o.seeds > maxSeeds || o.seed > math.MaxUint64-maxSeeds {
				return fmt.Errorf("--seeds: %d: must be 1 to %d", o.seeds, maxSeeds)
			}
			if err := checkWritable(o.jsonFile); err != nil {
				return err
			}
			return a.sweep(ctx, cmd.Root().Writer, sc, o)
		}),
	}
}

func (a *app) sweep(ctx context.Context, out io.Writer, sc *trial.Scenario, o *trialFlags) error {
	count := map[string]int{}
	var all []result
	for i := range o.seeds {
		opts, err := a.trialOptions(o.seed + uint64(i))
		if err != nil {
			return err
		}
		res, err := trial.Run(ctx, sc, opts)
		if ctx.Err() != nil {
			return errors.New("verdict: not played: interrupted; everything that was started has been stopped")
		}
		r := a.newResult(res, err)
		r.Seed = opts.Seed
		count[r.Verdict]++
		all = append(all, r)
		f := &r.Figures
		fmt.Fprintf(out, "seed %-6d %-10s service %.3f worst %.3f  calls refused %d of %d  CPU %.2f s  memory %.1f MB  late p99 %.1f ms max %.0f ms",
			opts.Seed, r.Verdict, f.Service, f.Worst, f.CallsRefused, f.Calls, f.RelayCPU, float64(f.MemoryMax)/1e6, 1000*f.LagP99, 1000*f.LagMax)
		if r.Why != "" {
			fmt.Fprintf(out, "  %s", r.Why)
		}
		fmt.Fprintln(out)
		if r.Verdict == "broken" {
			printViolations(out, res.Verdict.Violations)
		}
	}
	fmt.Fprintf(out, "%s, load %s, %v: %d held, %d broken, %d not played\n", sc.Name, a.Trial.Load, a.Trial.For, count["held"],
		count["broken"], count["not played"])
	if o.jsonFile != "" {
		if err := writeJSON(o.jsonFile, all); err != nil {
			return err
		}
	}
	switch {
	case count["broken"] > 0:
		fmt.Fprintln(out, "verdict: broken")
		return errCheckFailed
	case count["not played"] > 0:
		fmt.Fprintln(out, "verdict: not played")
		return fmt.Errorf("%w on %d seeds", trial.ErrNoVerdict, count["not played"])
	}
	fmt.Fprintln(out, "verdict: held")
	return nil
}

func newTrialCheck(a *app) *cli.Command {
	return &cli.Command{
		Name:        "check",
		ArgsUsage:   "HISTORY",
		Usage:       "Checks the recorded history of a trial again",
		Description: withExamples("", `wallflow trial check /tmp/t/history.jsonl`),
		Action: a.action(exactArguments(1, "the history's file"), func(_ context.Context, cmd *cli.Command) error {
			file := cmd.Args().First()
			f, err := os.Open(file)
			if err != nil {
				return err
			}
			defer f.Close()
			h, events, err := history.Read(file, f)
			if err != nil {
				return err
			}
			out := cmd.Root().Writer
			v := check.Check(h.Rules, events)
			fmt.Fprintf(out, "%s, load %s, seed %d: %d events\n", h.Scenario, h.Load, h.Seed, len(events))
			printCheckCounts(out, &v)
			if v.Held() {
				fmt.Fprintln(out, "verdict: held")
				return nil
			}
			printViolations(out, v.Violations)
			for _, i := range v.Violations[0].Lines {
				data, err := json.Marshal(events[i])
				if err != nil {
					return err
				}
				fmt.Fprintf(out, "event %d: %s\n", i, data)
			}
			fmt.Fprintf(out, "verdict: broken (%d breaches)\n", len(v.Violations))
			return errCheckFailed
		}),
	}
}

// newTrialKeeper returns the hidden command that trials run as a separate process, the keeper. It stops the processes and deletes the
// folders that an interrupted trial leaves behind.
func newTrialKeeper(a *app) *cli.Command {
	return &cli.Command{
		Name:   "keeper",
		Hidden: true,
		Action: a.action(noArguments, func(_ context.Context, cmd *cli.Command) error { return proc.RunKeeper(cmd.Root().Reader) }),
	}
}
