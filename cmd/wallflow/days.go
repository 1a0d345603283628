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

// daysOptions are the flags of the days command.
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
		Usage: "Draws days of trouble for a deployment, and has a bench play them",
		Description: described(`Draws days from all kinds of trouble, several at once and repeated, for the deployment of a site file. Without --bench the
days are written into the folder alone. With it the bench plays each: exit code 1 where a rule broke.`,
			`wallflow days --site site.toml --seed 100 --count 5`,
			`wallflow days --site site.toml --seed 100 --count 40 --bench /opt/bench/play --jobs 3`),
		Flags: []cli.Flag{
			stringFlag(&o.site, "site", "", "the site file"),
			stringFlag(&o.bench, "bench", "", "program that plays a day: PROGRAM run SITE DAY --why TEXT"),
			stringFlag(&o.folder, "folder", "", "folder for the days; empty: a new one for the time of the run"),
			uint64Flag(&o.seed, "seed", 1, "the first seed"),
			intFlag(&o.count, "count", 1, "days to draw"),
			intFlag(&o.jobs, "jobs", 1, "days that are played at once"),
			boolFlag(&o.vary, "vary", "another deployment of the same kind for each day"),
		},
		Action: a.action(noArguments, func(ctx context.Context, cmd *cli.Command) error {
			return o.run(ctx, cmd.Root().Writer)
		}),
	}
}

// drawnDay is a day with the files that it is played from.
type drawnDay struct {
	name, site, day string
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
	var days []drawnDay
	for number := range o.count {
		day, err := o.draw(o.seed + uint64(number))
		if err != nil {
			return err
		}
		days = append(days, day)
	}
	if o.bench == "" {
		for _, day := range days {
			fmt.Fprintln(out, day.day)
		}
		return nil
	}
	return o.play(ctx, out, days)
}

// draw writes the files of one day.
func (o *daysOptions) draw(seed uint64) (drawnDay, error) {
	text, err := os.ReadFile(o.site)
	if err != nil {
		return drawnDay{}, err
	}
	site, err := daydraw.ReadSite(text)
	if err != nil {
		return drawnDay{}, err
	}
	drawn := drawnDay{name: fmt.Sprintf("%s-%d", site.Name, seed), site: o.site}
	drawn.day = filepath.Join(o.folder, drawn.name+".toml")
	if o.vary {
		if drawn.site, err = o.varied(text, drawn.name, seed); err != nil {
			return drawnDay{}, err
		}
	}
	content, err := daydraw.Draw(site, seed).Text()
	if err != nil {
		return drawnDay{}, err
	}
	return drawn, os.WriteFile(drawn.day, content, 0o600)
}

// varied writes the site file of another deployment, and beside it what the site names.
func (o *daysOptions) varied(text []byte, name string, seed uint64) (string, error) {
	other, err := daydraw.Vary(text, seed)
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
	return path, os.WriteFile(path, other, 0o600)
}

// play has the bench play the days, some at once, and tells of each.
func (o *daysOptions) play(ctx context.Context, out io.Writer, days []drawnDay) error {
	var mu sync.Mutex
	broken := 0
	work := make(chan drawnDay)
	var group sync.WaitGroup
	for range max(1, o.jobs) {
		group.Go(func() {
			for day := range work {
				verdict, bad := o.playOne(ctx, day)
				mu.Lock()
				fmt.Fprintln(out, day.name, verdict)
				if bad {
					broken++
				}
				mu.Unlock()
			}
		})
	}
	for _, day := range days {
		work <- day
	}
	close(work)
	group.Wait()
	fmt.Fprintf(out, "%d of %d days broke a rule or were not played\n", broken, len(days))
	if broken > 0 {
		return errBroken
	}
	return nil
}

// playOne has the bench play a day. The verdict is the bench's own line on the day, or what it said where there is none.
func (o *daysOptions) playOne(ctx context.Context, day drawnDay) (verdict string, bad bool) {
	why := "own day of drawn kinds, seed of " + day.name
	if o.vary {
		why += ", varied site"
	}
	output, err := exec.CommandContext(ctx, o.bench, "run", day.site, day.day, "--jobs", "1", "--why", why).CombinedOutput()
	text := string(output)
	var told []string
	for line := range strings.Lines(text) {
		if strings.Contains(line, "BROKEN") || strings.Contains(line, "first that is wrong") || strings.HasPrefix(line, "own-") {
			told = append(told, strings.TrimSpace(line))
		}
	}
	if len(told) == 0 {
		const tail = 400 // bytes
		return fmt.Sprintf("not played: %v: %s", err, text[max(0, len(text)-tail):]), true
	}
	return strings.Join(told, " | "), strings.Contains(text, "BROKEN") || strings.Contains(text, "FAULT")
}
