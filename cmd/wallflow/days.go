package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"

	"github.com/urfave/cli/v3"

	"wallflow/internal/daydraw"
)

// daysOptions holds the flags of the days command. A day is a randomly generated scenario: a day of operation with faults.
type daysOptions struct {
	site, bench, folder string
	seed                uint64
	count, jobs         int
	vary                bool
}

func newDays(a *app) *cli.Command {
	o := &daysOptions{}
	return &cli.Command{
		Name:  "days",
		Usage: "Generates random fault scenarios (days) for a deployment, and has a test bench run them",
		Description: withExamples(`Generates days of operation with faults of all kinds, also concurrent and repeated ones, for the deployment
in a site file. Without --bench it only writes the days to the folder. With --bench the bench runs each of them. The exit
code is 1 if a rule was violated or a day could not be run.`,
			`wallflow days --site site.toml --seed 100 --count 5`,
			`wallflow days --site site.toml --seed 100 --count 40 --bench /opt/bench/play --jobs 3`),
		Flags: []cli.Flag{
			stringFlag(&o.site, "site", "", "site file, which describes the deployment"),
			stringFlag(&o.bench, "bench", "", "program that runs a day: PROGRAM run SITE DAY --why TEXT"),
			stringFlag(&o.folder, "folder", "", "folder for the days (default: a new temporary one, which is removed after a run with --bench)"),
			uint64Flag(&o.seed, "seed", 1, "the first seed"),
			intFlag(&o.count, "count", 1, "number of days"),
			intFlag(&o.jobs, "jobs", 1, "number of days that run concurrently"),
			boolFlag(&o.vary, "vary", "use a random variation of the deployment for each day"),
		},
		Action: a.action(noArguments, func(ctx context.Context, cmd *cli.Command) error {
			return o.run(ctx, cmd.Root().Writer)
		}),
	}
}

// scenarioFiles holds the name of a generated scenario, and the paths of its site file and of the scenario file.
type scenarioFiles struct {
	name, site, file string
}

func (o *daysOptions) run(ctx context.Context, out io.Writer) error {
	if o.folder == "" {
		folder, err := os.MkdirTemp("", "days")
		if err != nil {
			return err
		}
		if o.bench != "" {
			defer os.RemoveAll(folder)
		}
		o.folder = folder
	}
	var scenarios []scenarioFiles
	for number := range o.count {
		scenario, err := o.generate(o.seed + uint64(number))
		if err != nil {
			return err
		}
		scenarios = append(scenarios, scenario)
	}
	if o.bench == "" {
		for _, scenario := range scenarios {
			fmt.Fprintln(out, scenario.file)
		}
		return nil
	}
	return o.runAll(ctx, out, scenarios)
}

// generate writes the files of the scenario for a seed.
func (o *daysOptions) generate(seed uint64) (scenarioFiles, error) {
	text, err := os.ReadFile(o.site)
	if err != nil {
		return scenarioFiles{}, err
	}
	site, err := daydraw.ReadSite(text)
	if err != nil {
		return scenarioFiles{}, err
	}
	generated := scenarioFiles{name: fmt.Sprintf("%s-%d", site.Name, seed), site: o.site}
	generated.file = filepath.Join(o.folder, generated.name+".toml")
	if o.vary {
		if generated.site, err = o.writeVariedSite(text, generated.name, seed); err != nil {
			return scenarioFiles{}, err
		}
	}
	content, err := daydraw.Draw(site, seed).Text()
	if err != nil {
		return scenarioFiles{}, err
	}
	return generated, os.WriteFile(generated.file, content, 0o600)
}

// writeVariedSite writes a variation of the site file into a new folder, together with copies of the files that the site refers to.
func (o *daysOptions) writeVariedSite(text []byte, name string, seed uint64) (string, error) {
	varied, err := daydraw.Vary(text, seed)
	if err != nil {
		return "", err
	}
	folder := filepath.Join(o.folder, name)
	if err := os.CopyFS(folder, os.DirFS(filepath.Dir(o.site))); err != nil {
		return "", err
	}
	path := filepath.Join(folder, filepath.Base(o.site))
	if err := os.Chmod(path, 0o600); err != nil {
		return "", err
	}
	return path, os.WriteFile(path, varied, 0o600)
}

// runAll has the bench run the scenarios, up to o.jobs of them concurrently, and prints a line for each.
func (o *daysOptions) runAll(ctx context.Context, out io.Writer, scenarios []scenarioFiles) error {
	var mu sync.Mutex
	failed := 0
	queue := make(chan scenarioFiles)
	var group sync.WaitGroup
	for range max(1, o.jobs) {
		group.Go(func() {
			for scenario := range queue {
				verdict, failedRun := o.runOne(ctx, scenario)
				mu.Lock()
				fmt.Fprintln(out, scenario.name, verdict)
				if failedRun {
					failed++
				}
				mu.Unlock()
			}
		})
	}
	for _, scenario := range scenarios {
		queue <- scenario
	}
	close(queue)
	group.Wait()
	fmt.Fprintf(out, "%d of %d days broke a rule or were not played\n", failed, len(scenarios))
	if failed > 0 {
		return errCheckFailed
	}
	return nil
}

// runOne has the bench run a scenario. The verdict consists of the bench's result lines or, if there are none, the end of its output.
func (o *daysOptions) runOne(ctx context.Context, scenario scenarioFiles) (verdict string, failed bool) {
	why := "own day of drawn kinds, seed of " + scenario.name
	if o.vary {
		why += ", varied site"
	}
	output, err := exec.CommandContext(ctx, o.bench, "run", scenario.site, scenario.file, "--jobs", "1", "--why", why).CombinedOutput()
	text := string(output)
	var resultLines []string
	for line := range strings.Lines(text) {
		if strings.Contains(line, "BROKEN") || strings.Contains(line, "first that is wrong") || strings.HasPrefix(line, "own-") {
			resultLines = append(resultLines, strings.TrimSpace(line))
		}
	}
	if len(resultLines) == 0 {
		const tail = 400 // bytes
		return fmt.Sprintf("not played: %v: %s", err, text[max(0, len(text)-tail):]), true
	}
	return strings.Join(resultLines, " | "), strings.Contains(text, "BROKEN") || strings.Contains(text, "FAULT")
}
