package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"wallflow/internal/logfile"
	"wallflow/internal/operator"
)

const defaultControl = "127.0.0.1:8166"

// asking is what the commands share that ask control processes.
type asking struct {
	within time.Duration
}

// flags are those of a command that asks control processes.
func (o *asking) flags(a *app, more ...cli.Flag) []cli.Flag {
	return append(more,
		stringsFlag(&a.Control, "control", []string{defaultControl}, "addresses of control processes"),
		timeFlag(&o.within, "within", commandFor, "time to wait for a clear answer"))
}

// ask runs a command against the control processes. What makes it wait is told on the error output.
func (a *app) ask(ctx context.Context, cmd *cli.Command, o *asking, do func(ctx context.Context, client *operator.Client) error) error {
	client, err := operator.New(a.Control, func(note string) { fmt.Fprintln(cmd.Root().ErrWriter, "waiting:", note) })
	if err != nil {
		return err
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, o.within)
	defer cancel()
	return do(ctx, client)
}

func newEvacuate(a *app) *cli.Command {
	o := &asking{}
	return &cli.Command{
		Name:      "evacuate",
		ArgsUsage: "ZONE",
		Usage:     "Has nothing more sent to the endpoints of a zone",
		Description: described(`The order can be given again: a zone that is evacuated stays so.

Exit codes: 0 acknowledged; 2 refused, or no clear answer in time.`,
			`wallflow evacuate hall-a --control 10.1.0.13:8166,10.2.0.41:8166`),
		Flags: o.flags(a),
		Action: a.action(exactly(1, "the zone's name"), func(ctx context.Context, cmd *cli.Command) error {
			zone := cmd.Args().First()
			return a.ask(ctx, cmd, o, func(ctx context.Context, client *operator.Client) error {
				if err := client.Evacuate(ctx, zone); err != nil {
					return err
				}
				fmt.Fprintf(cmd.Root().Writer, "%s is evacuated; take it back with: wallflow restore %s\n", zone, zone)
				return nil
			})
		}),
	}
}

func newRestore(a *app) *cli.Command {
	o := &asking{}
	return &cli.Command{
		Name:      "restore",
		ArgsUsage: "ZONE",
		Usage:     "Takes the evacuation of a zone back",
		Description: described(`Its endpoints count as cold at first.

Exit codes: 0 acknowledged; 2 refused, or no clear answer in time.`,
			`wallflow restore hall-a --control 10.1.0.13:8166,10.2.0.41:8166`),
		Flags: o.flags(a),
		Action: a.action(exactly(1, "the zone's name"), func(ctx context.Context, cmd *cli.Command) error {
			zone := cmd.Args().First()
			return a.ask(ctx, cmd, o, func(ctx context.Context, client *operator.Client) error {
				if err := client.Restore(ctx, zone); err != nil {
					return err
				}
				fmt.Fprintf(cmd.Root().Writer, "%s is taken back\n", zone)
				return nil
			})
		}),
	}
}

func newVerify(a *app) *cli.Command {
	var asJSON bool
	return &cli.Command{
		Name:      "verify",
		ArgsUsage: "DIR",
		Usage:     "Checks the store of a control process, and changes nothing",
		Description: described(`Reads the log in the folder that the process's settings name as dataDir. A torn tail is what a loss of power leaves of a write that was
never acknowledged: the process cuts it off by itself.

Exit codes: 0 sound; 1 damaged, the process would join with an empty store; 2 there is no store, or it can't be read.`,
			`wallflow verify /var/lib/wallflow`),
		Flags: []cli.Flag{boolFlag(&asJSON, "json", "as JSON")},
		Action: a.action(exactly(1, "the store's folder"), func(_ context.Context, cmd *cli.Command) error {
			return verify(cmd, cmd.Args().First(), asJSON)
		}),
	}
}

// storeReport is what verify says as JSON.
type storeReport struct {
	Path    string `json:"path"`
	Sound   bool   `json:"sound"`
	Records int    `json:"records"`
	Bytes   int64  `json:"bytes"`
	Torn    string `json:"torn,omitempty"` // the kind of a torn tail
	TornAt  int64  `json:"tornAt,omitempty"`
	Damage  string `json:"damage,omitempty"`
}

func verify(cmd *cli.Command, directory string, asJSON bool) error {
	found, err := logfile.Verify(directory)
	var damage *logfile.DamageError
	if err != nil && !errors.As(err, &damage) {
		return err
	}
	if found.Created && damage == nil && found.TornKind == "" {
		return fmt.Errorf("%s: there is no such store", found.Path)
	}
	report := storeReport{Path: found.Path, Sound: damage == nil, Records: found.Records, Bytes: found.Bytes, Torn: string(found.TornKind), TornAt: found.TornAt}
	if damage != nil {
		report.Damage = damage.Error()
	}
	out := cmd.Root().Writer
	if err := show(out, asJSON, report, func() { verifyText(cmd, report) }); err != nil {
		return err
	}
	if damage != nil {
		return errBroken
	}
	return nil
}

func verifyText(cmd *cli.Command, report storeReport) {
	out := cmd.Root().Writer
	if !report.Sound {
		fmt.Fprintf(out, "%s: damaged: %s (%d records before it)\n", report.Path, report.Damage, report.Records)
		return
	}
	fmt.Fprintf(out, "%s: sound, %d records in %d bytes\n", report.Path, report.Records, report.Bytes)
	if report.Torn != "" {
		fmt.Fprintf(out, "a torn tail begins at byte %d (%s): the process cuts it off\n", report.TornAt, report.Torn)
	}
}
