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
	forLeast   = time.Second
	forMost    = 24 * time.Hour
	seedsMost  = 10_000
	breachMost = 10 // told one by one
)

// trialFlags are those of one trial or many.
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
		Usage: "Plays relays under faults, and judges what came of it",
		Description: described(`A trial starts real relays on loopback addresses, with stand-ins for clients, partners and discovery around them, does to
them what a plan says, and judges the history by the invariants of the fleet.

Its last line is its verdict: held, broken, or not played. A trial that this machine was too slow for is not played.`,
			`wallflow trial list`,
			`wallflow trial run berth`),
		Commands: []*cli.Command{newTrialList(a), newTrialRun(a), newTrialSweep(a), newTrialCheck(a), newTrialKeeper(a)},
		Action:   group,
	}
}

func newTrialList(a *app) *cli.Command {
	return &cli.Command{
		Name:  "list",
		Usage: "Lists scenarios, loads, invariants, and what steps of a plan can do",
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
			fmt.Fprintln(out, "steps of a plan, and on whom")
			for _, line := range trial.Doings() {
				fmt.Fprintf(out, "  %s\n", line)
			}
			return nil
		}),
	}
}

// shared are the flags of run and sweep.
func (a *app) shared(o *trialFlags) []cli.Flag {
	return []cli.Flag{
		uint64Flag(&o.seed, "seed", 1, "what is left to chance is drawn from it; for a sweep, the first one"),
		stringFlag(&a.Trial.Load, "load", "berth", "one of the shipped loads (see: wallflow trial list) or a TOML file"),
		loadTimeFlag(&a.Trial.For.Duration, "for", 20*time.Second, "how long the load goes on"),
		stringFlag(&a.Trial.Relay, "relay", "", "the relay's program (default: cherrytrestle beside this one)"),
		stringFlag(&o.jsonFile, "json", "", "write the result to this file as JSON"),
	}
}

// options are those of one trial, checked.
func (a *app) options(seed uint64) (o trial.Options, err error) {
	l, err := load.Open(a.Trial.Load)
	if err != nil {
		return o, fmt.Errorf("--load: %w", err)
	}
	if a.Trial.For.Duration < forLeast || a.Trial.For.Duration > forMost {
		return o, fmt.Errorf("--for: %v: wanted is %v to %v", a.Trial.For, forLeast, forMost)
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
	return trial.Options{Load: l, Seed: seed, For: a.Trial.For.Duration, Relay: relay, Program: self, Log: a.log,
		Keeper: func() *exec.Cmd { return exec.Command(self, "trial", "keeper") }}, nil
}

func newTrialRun(a *app) *cli.Command {
	o := &trialFlags{}
	return &cli.Command{
		Name:      "run",
		ArgsUsage: "SCENARIO",
		Usage:     "Plays one trial and reports it",
		Description: described("",
			`wallflow trial run berth`,
			`wallflow trial run relay-kill --seed 7 --load small --for 10s`,
			`wallflow trial run take-over --dir /tmp/t --html /tmp/t/report.html --json /tmp/t/report.json`,
			`wallflow trial run relay-kill --plan /tmp/t/plan.toml`),
		Flags: append(a.shared(o),
			stringFlag(&a.Trial.Dir, "dir", "", "keep folders, logs, plan and history there (default: a folder that is removed)"),
			stringFlag(&o.plan, "plan", "", "play the steps of this file in place of the scenario's own"),
			stringFlag(&o.htmlFile, "html", "", "write a report with plots to this file"),
			boolFlag(&o.quiet, "quiet", "print the verdict alone")),
		Action: a.action(exactly(1, "the scenario's name"), func(ctx context.Context, cmd *cli.Command) error {
			sc, err := trial.Find(cmd.Args().First())
			if err != nil {
				return err
			}
			opts, err := a.options(o.seed)
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
				if err := writable(f); err != nil {
					return err
				}
			}
			out := cmd.Root().Writer
			if !o.quiet {
				fmt.Fprintf(out, "%s, load %s (%s), seed %d, %v\n", sc.Name, opts.Load.Name, opts.Load.About, opts.Seed, opts.For)
				opts.Progress = func(p trial.Progress) { progress(out, p) }
			}
			res, err := trial.Run(ctx, sc, opts)
			return a.tell(ctx, out, res, err, o)
		}),
	}
}

// writable looks before the trial whether its report can be written after it.
func writable(path string) error {
	if path == "" {
		return nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	return f.Close()
}

func progress(out io.Writer, p trial.Progress) {
	const wide = 20
	done := min(wide, int(wide*p.Time/max(p.Of, 1)))
	fmt.Fprintf(out, "[%s%s] %4.0f s  relays %d  handed in %d  owed %d  %s\n", strings.Repeat("#", done), strings.Repeat(".", wide-done), p.Time.Seconds(),
		p.Running, p.Handed, p.Handed-p.Ended, p.Doing)
}

// result is what --json holds.
type result struct {
	Scenario string         `json:"scenario"`
	Load     string         `json:"load"`
	Seed     uint64         `json:"seed"`
	Verdict  string         `json:"verdict"`
	Why      string         `json:"why,omitempty"`
	Checked  *check.Verdict `json:"checked,omitempty"`
	Figures  report.Figures `json:"figures"`
}

func (a *app) result(res *trial.Result, err error) result {
	r := result{Load: a.Trial.Load, Verdict: "held"}
	if res != nil {
		r.Scenario, r.Checked, r.Figures = res.Scenario, &res.Verdict, res.Figures
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

// tell reports a trial: figures, breaches, files, and the verdict last.
func (a *app) tell(ctx context.Context, out io.Writer, res *trial.Result, err error, o *trialFlags) error {
	if err != nil && ctx.Err() != nil {
		return fmt.Errorf("verdict: not played: interrupted; all that was started has been ended")
	}
	r := a.result(res, err)
	var failed error
	if o.jsonFile != "" {
		failed = errors.Join(failed, writeJSON(o.jsonFile, r))
	}
	if err == nil {
		if !o.quiet {
			res.Figures.Text(out)
			tellJudged(out, &res.Verdict)
		}
		if o.htmlFile != "" {
			failed = errors.Join(failed, writeHTML(o.htmlFile, r))
		}
		if res.Dir != "" && !o.quiet {
			fmt.Fprintf(out, "files     %s: plan.toml, history.jsonl, and a folder for each relay\n", res.Dir)
		}
	}
	if err != nil || failed != nil {
		fmt.Fprintf(out, "verdict: not played\n")
		return errors.Join(err, failed)
	}
	if r.Verdict == "broken" {
		tellBreaches(out, res.Verdict.Violations)
		fmt.Fprintf(out, "verdict: broken (%d breaches)\n", len(res.Verdict.Violations))
		return errBroken
	}
	fmt.Fprintln(out, "verdict: held")
	return nil
}

func tellJudged(out io.Writer, v *check.Verdict) {
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
		fmt.Fprintf(out, "          %d cases were late by less than the ground itself: no evidence\n", n)
	}
}

func tellBreaches(out io.Writer, all []check.Violation) {
	for i, v := range all {
		if i == breachMost {
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
		Usage:     "Plays a scenario on many seeds: a line each, and a summary",
		Description: described("",
			`wallflow trial sweep relay-kill --seeds 20 --load small --for 10s`,
			`wallflow trial sweep mass-kill --seed 100 --seeds 5 --json sweep.json`),
		Flags: append(a.shared(o), intFlag(&o.seeds, "seeds", 20, "how many, one after the other")),
		Action: a.action(exactly(1, "the scenario's name"), func(ctx context.Context, cmd *cli.Command) error {
			sc, err := trial.Find(cmd.Args().First())
			if err != nil {
				return err
			}
			if o.seeds < 1 || o.seeds > seedsMost || o.seed > math.MaxUint64-seedsMost {
				return fmt.Errorf("--seeds: %d: wanted is 1 to %d", o.seeds, seedsMost)
			}
			if err := writable(o.jsonFile); err != nil {
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
		opts, err := a.options(o.seed + uint64(i))
		if err != nil {
			return err
		}
		res, err := trial.Run(ctx, sc, opts)
		if ctx.Err() != nil {
			return errors.New("verdict: not played: interrupted; all that was started has been ended")
		}
		r := a.result(res, err)
		r.Seed = opts.Seed
		count[r.Verdict]++
		all = append(all, r)
		f := &r.Figures
		fmt.Fprintf(out, "seed %-6d %-10s service %.3f worst %.3f  calls refused %d of %d  CPU %.2f s  memory %.1f MB  late p99 %.1f ms max %.0f ms", opts.Seed, r.Verdict,
			f.Service, f.Worst, f.CallsRefused, f.Calls, f.RelayCPU, float64(f.MemoryMax)/1e6, 1000*f.LagP99, 1000*f.LagMax)
		if r.Why != "" {
			fmt.Fprintf(out, "  %s", r.Why)
		}
		fmt.Fprintln(out)
		if r.Verdict == "broken" {
			tellBreaches(out, res.Verdict.Violations)
		}
	}
	fmt.Fprintf(out, "%s, load %s, %v: %d held, %d broken, %d not played\n", sc.Name, a.Trial.Load, a.Trial.For, count["held"], count["broken"], count["not played"])
	if o.jsonFile != "" {
		if err := writeJSON(o.jsonFile, all); err != nil {
			return err
		}
	}
	switch {
	case count["broken"] > 0:
		fmt.Fprintln(out, "verdict: broken")
		return errBroken
	case count["not played"] > 0:
		fmt.Fprintln(out, "verdict: not played")
		return fmt.Errorf("%w on %d seeds", trial.ErrNotPlayed, count["not played"])
	}
	fmt.Fprintln(out, "verdict: held")
	return nil
}

func newTrialCheck(a *app) *cli.Command {
	return &cli.Command{
		Name:        "check",
		ArgsUsage:   "HISTORY",
		Usage:       "Judges a history that a trial left, again",
		Description: described("", `wallflow trial check /tmp/t/history.jsonl`),
		Action: a.action(exactly(1, "the history's file"), func(_ context.Context, cmd *cli.Command) error {
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
			tellJudged(out, &v)
			if v.Held() {
				fmt.Fprintln(out, "verdict: held")
				return nil
			}
			tellBreaches(out, v.Violations)
			for _, i := range v.Violations[0].Lines {
				data, err := json.Marshal(events[i])
				if err != nil {
					return err
				}
				fmt.Fprintf(out, "event %d: %s\n", i, data)
			}
			fmt.Fprintf(out, "verdict: broken (%d breaches)\n", len(v.Violations))
			return errBroken
		}),
	}
}

// newTrialKeeper is the process that ends what a trial leaves behind; trials start it themselves.
func newTrialKeeper(a *app) *cli.Command {
	return &cli.Command{
		Name:   "keeper",
		Hidden: true,
		Action: a.action(noArguments, func(_ context.Context, cmd *cli.Command) error { return proc.Keep(cmd.Root().Reader) }),
	}
}
