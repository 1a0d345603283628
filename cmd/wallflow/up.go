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
	relaysLeast = 1
	relaysMost  = 9
	rateLeast   = 1
	rateMost    = 1000
)

// upFlags are those of a small system.
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
		Usage: "Runs a small system on loopback and shows it serving",
		Description: described(`Starts three control processes, relays in three regions, stand-in endpoints and a client, all on loopback addresses, puts a first configuration,
and sends requests and streams. A line a second tells what was served. Everything that was started is ended.

Exit codes: 0 every request was served; 1 some were not; 2 the system could not be started, or was interrupted.`,
			`wallflow up`,
			`wallflow up --for 60s --rate 100`,
			`wallflow up --keep --dir /tmp/small`),
		Flags: []cli.Flag{
			loadTimeFlag(&o.duration, "for", 10*time.Second, "how long requests are sent"),
			intFlag(&o.rate, "rate", 40, "requests a second"),
			intFlag(&o.relays, "relays", 3, "how many relays"),
			boolFlag(&o.keep, "keep", "go on until SIGINT or SIGTERM"),
			stringFlag(&o.dir, "dir", "", "keep settings, stores and logs in this new folder (default: a folder that is removed)"),
			stringFlag(&o.programs, "programs", "", "folder of wallflow-control and wallflow-proxy (default: that of this program)"),
		},
		Action: a.action(noArguments, func(ctx context.Context, cmd *cli.Command) error {
			if err := o.check(); err != nil {
				return err
			}
			return a.up(ctx, cmd.Root().Writer, o)
		}),
	}
}

func (o *upFlags) check() error {
	if o.relays < relaysLeast || o.relays > relaysMost {
		return fmt.Errorf("--relays: %d: wanted is %d to %d", o.relays, relaysLeast, relaysMost)
	}
	if o.rate < rateLeast || o.rate > rateMost {
		return fmt.Errorf("--rate: %d: wanted is %d to %d", o.rate, rateLeast, rateMost)
	}
	return nil
}

// up runs a small system and reports what it served.
func (a *app) up(ctx context.Context, out io.Writer, o *upFlags) (err error) {
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
	dir, remove, err := upFolder(o.dir, keeper)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, remove()) }()
	fmt.Fprintln(out, "starting 3 control processes,", o.relays, "relays and the stand-in endpoints")
	system, err := smallsystem.Start(ctx, smallsystem.Options{Programs: programs, Dir: dir, Relays: o.relays, Keeper: keeper, Log: a.log})
	if err != nil {
		return fmt.Errorf("up: %w", err)
	}
	defer func() { err = errors.Join(err, system.Close()) }()
	return o.serve(ctx, out, system, dir)
}

// upFolder is where a small system keeps its files: a folder that was named, which stays, or one that is removed.
func upFolder(named string, keeper *proc.Keeper) (dir string, remove func() error, err error) {
	if named == "" {
		dir, err = os.MkdirTemp("", "wallflow-up-")
		if err != nil {
			return "", nil, err
		}
		return dir, func() error { return os.RemoveAll(dir) }, keeper.Folder(dir)
	}
	if dir, err = filepath.Abs(named); err != nil {
		return "", nil, fmt.Errorf("--dir: %w", err)
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return "", nil, fmt.Errorf("--dir: %w", err)
	}
	inside, err := os.ReadDir(dir)
	if err != nil {
		return "", nil, fmt.Errorf("--dir: %w", err)
	}
	if len(inside) > 0 {
		return "", nil, fmt.Errorf("--dir: %s is not empty: a new system wants a new folder", dir)
	}
	return dir, func() error { return nil }, nil
}

// serve has clients send requests, and tells what became of them.
func (o *upFlags) serve(ctx context.Context, out io.Writer, system *smallsystem.System, dir string) error {
	relays := system.Relays()
	fmt.Fprintf(out, "serving; files in %s\ntry it: wallflow status --control %s\n", dir, strings.Join(system.ControlAddresses(), ","))
	heading(out, relays)
	load := smallsystem.LoadOptions{Rate: o.rate, For: o.duration, Second: func(at int, did smallsystem.Figures) {
		row(out, fmt.Sprintf("%3d s", at), did, relays)
	}}
	if o.keep {
		load.For = 0
	}
	total := system.Load(ctx, load)
	row(out, "total", total, relays)
	if err := system.Ended(); err != nil {
		return fmt.Errorf("up: %w", err)
	}
	if !total.All() {
		fmt.Fprintf(out, "%d of %d requests were not served; the first: %v\n", total.Requests-total.Served, total.Requests, total.FirstFault)
		return errBroken
	}
	if ctx.Err() != nil && !o.keep {
		return errors.New("up: interrupted; all that was started has been ended")
	}
	fmt.Fprintln(out, "every request was served")
	return nil
}

func heading(out io.Writer, relays []smallsystem.Relay) {
	fmt.Fprintf(out, "%6s %9s %8s %8s %10s %10s", "", "requests", "served", "repeats", "first p50", "first p99")
	for _, relay := range relays {
		fmt.Fprintf(out, " %9s", relay.Name)
	}
	fmt.Fprintln(out)
}

func row(out io.Writer, label string, did smallsystem.Figures, relays []smallsystem.Relay) {
	fmt.Fprintf(out, "%6s %9d %8d %8d %10s %10s", label, did.Requests, did.Served, did.Repeats, shortTime(did.FirstP50), shortTime(did.FirstP99))
	for _, relay := range relays {
		fmt.Fprintf(out, " %9d", did.ByRelay[relay.Name])
	}
	fmt.Fprintln(out)
}

func shortTime(span time.Duration) string {
	return fmt.Sprintf("%.1f ms", float64(span)/float64(time.Millisecond))
}
