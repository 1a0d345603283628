package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"wallflow/internal/smallsystem"
	"wallflow/internal/trial/proc"
)

const (
	minRelays = 1
	maxRelays = 9
	minRate   = 1
	maxRate   = 1000
)

// upFlags holds the flags of the up command.
type upFlags struct {
	relays   int
	rate     int
	duration time.Duration
	keep     bool
	dir      string
	programs string
}

func newUp(a *app) *cli.Command {
	o := &upFlags{}
	return &cli.Command{
		Name:  "up",
		Usage: "Runs a small system on loopback and sends requests to it",
		Description: withExamples(`Starts three control processes, relays in three regions, emulated endpoints and clients, all on loopback
addresses, sets a first configuration, and sends requests and streams. It prints a line of statistics every second. In the
end it stops everything that it started.

Exit codes: 0 every request was served; 1 some were not; 2 the system could not be started, or was interrupted.`,
			`wallflow up`,
			`wallflow up --for 60s --rate 100`,
			`wallflow up --keep --dir /tmp/small`),
		Flags: []cli.Flag{
			loadDurationFlag(&o.duration, "for", 10*time.Second, "how long to send requests"),
			intFlag(&o.rate, "rate", 40, "requests per second"),
			intFlag(&o.relays, "relays", 3, "number of relays"),
			boolFlag(&o.keep, "keep", "continue until SIGINT or SIGTERM"),
			stringFlag(&o.dir, "dir", "", "empty or new folder for settings, stores and logs, which are kept (default: a temporary folder)"),
			stringFlag(&o.programs, "programs", "", "folder with wallflow-control and wallflow-proxy (default: the folder of this program)"),
		},
		Action: a.action(noArguments, func(ctx context.Context, cmd *cli.Command) error {
			if err := o.check(); err != nil {
				return err
			}
			return a.runUp(ctx, cmd.Root().Writer, o)
		}),
	}
}

func (o *upFlags) check() error {
	if o.relays < minRelays || o.relays > maxRelays {
		return fmt.Errorf("--relays: %d: must be %d to %d", o.relays, minRelays, maxRelays)
	}
	if o.rate < minRate || o.rate > maxRate {
		return fmt.Errorf("--rate: %d: must be %d to %d", o.rate, minRate, maxRate)
	}
	return nil
}

// runUp runs a small system and reports what it served.
func (a *app) runUp(ctx context.Context, out io.Writer, o *upFlags) (err error) {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	programs := o.programs
	if programs == "" {
		programs = filepath.Dir(self)
	}
	if programs, err = filepath.Abs(programs); err != nil {
		return fmt.Errorf("--programs: %w", err)
	}
	if err := smallsystem.CheckPrograms(programs); err != nil {
		return fmt.Errorf("--programs: %w (build them with the README's command)", err)
	}
	keeper, err := proc.StartKeeper(exec.Command(self, "trial", "keeper"))
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, keeper.Done()) }()
	dir, remove, err := prepareDir(o.dir, keeper)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, remove()) }()
	fmt.Fprintln(out, "starting 3 control processes,", o.relays, "relays and the emulated endpoints")
	system, err := smallsystem.Start(ctx, smallsystem.Options{Programs: programs, Dir: dir, Relays: o.relays, Keeper: keeper, Log: a.log})
	if err != nil {
		return fmt.Errorf("up: %w", err)
	}
	defer func() { err = errors.Join(err, system.Close()) }()
	return o.serve(ctx, out, system, dir)
}

// prepareDir returns the folder for the files of the system: the requested one, which is kept, or else a temporary one. The function
// remove deletes the folder if it is temporary.
func prepareDir(requested string, keeper *proc.Keeper) (dir string, remove func() error, err error) {
	if requested == "" {
		dir, err = os.MkdirTemp("", "wallflow-up-")
		if err != nil {
			return "", nil, err
		}
		return dir, func() error { return os.RemoveAll(dir) }, keeper.AddFolder(dir)
	}
	if dir, err = filepath.Abs(requested); err != nil {
		return "", nil, fmt.Errorf("--dir: %w", err)
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return "", nil, fmt.Errorf("--dir: %w", err)
	}
	entries, err := os.ReadDir(dir)
	if err != nil {
		return "", nil, fmt.Errorf("--dir: %w", err)
	}
	if len(entries) > 0 {
		return "", nil, fmt.Errorf("--dir: %s is not empty: a new system needs an empty folder", dir)
	}
	return dir, func() error { return nil }, nil
}

// serve has clients send requests, and prints the statistics.
func (o *upFlags) serve(ctx context.Context, out io.Writer, system *smallsystem.System, dir string) error {
	relays := system.Relays()
	fmt.Fprintf(out, "serving; files in %s\ntry it: wallflow status --control %s\n", dir, strings.Join(system.ControlAddresses(), ","))
	printHeading(out, relays)
	load := smallsystem.LoadOptions{Rate: o.rate, For: o.duration, Second: func(at int, did smallsystem.Figures) {
		printRow(out, fmt.Sprintf("%3d s", at), did, relays)
	}}
	if o.keep {
		load.For = 0
	}
	total := system.Load(ctx, load)
	printRow(out, "total", total, relays)
	if err := system.Ended(); err != nil {
		return fmt.Errorf("up: %w", err)
	}
	if !total.All() {
		fmt.Fprintf(out, "%d of %d requests were not served; the first: %v\n", total.Requests-total.Served, total.Requests, total.FirstFault)
		return errCheckFailed
	}
	if ctx.Err() != nil && !o.keep {
		return errors.New("up: interrupted; everything that was started has been stopped")
	}
	fmt.Fprintln(out, "every request was served")
	return nil
}

func printHeading(out io.Writer, relays []smallsystem.Relay) {
	fmt.Fprintf(out, "%6s %9s %8s %8s %10s %10s", "", "requests", "served", "repeats", "first p50", "first p99")
	for _, relay := range relays {
		fmt.Fprintf(out, " %9s", relay.Name)
	}
	fmt.Fprintln(out)
}

func printRow(out io.Writer, label string, figures smallsystem.Figures, relays []smallsystem.Relay) {
	fmt.Fprintf(out, "%6s %9d %8d %8d %10s %10s", label, figures.Requests, figures.Served, figures.Repeats,
		formatMilliseconds(figures.FirstP50), formatMilliseconds(figures.FirstP99))
	for _, relay := range relays {
		fmt.Fprintf(out, " %9d", figures.ByRelay[relay.Name])
	}
	fmt.Fprintln(out)
}

func formatMilliseconds(duration time.Duration) string {
	return fmt.Sprintf("%.1f ms", float64(duration)/float64(time.Millisecond))
}
