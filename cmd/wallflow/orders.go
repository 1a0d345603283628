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

// controlOptions holds the flags that commands share if they send requests to control processes.
type controlOptions struct {
	timeout time.Duration
}

// flags returns the flags in more and those for the control processes.
func (o *controlOptions) flags(a *app, more ...cli.Flag) []cli.Flag {
	return append(more,
		stringsFlag(&a.Control, "control", []string{defaultControl}, "addresses of control processes"),
		durationFlag(&o.timeout, "within", commandTimeout, "maximum time to wait for a conclusive answer"))
}

// withControlClient calls run with a client of the control processes and a time limit. Failed attempts are reported on the error output.
func (a *app) withControlClient(ctx context.Context, cmd *cli.Command, options *controlOptions,
	run func(ctx context.Context, client *operator.Client) error) error {
	client, err := operator.New(a.Control, func(message string) { fmt.Fprintln(cmd.Root().ErrWriter, "waiting:", message) })
	if err != nil {
		return err
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, options.timeout)
	defer cancel()
	return run(ctx, client)
}

func newEvacuate(a *app) *cli.Command {
	o := &controlOptions{}
	return &cli.Command{
		Name:      "evacuate",
		ArgsUsage: "ZONE",
		Usage:     "Stops sending requests to the endpoints of a zone",
		Description: withExamples(`The order is idempotent and can be repeated.

Exit codes: 0 acknowledged; 2 refused, or no conclusive answer in time.`,
			`wallflow evacuate hall-a --control 10.1.0.13:8166,10.2.0.41:8166`),
		Flags: o.flags(a),
		Action: a.action(exactArguments(1, "the zone's name"), func(ctx context.Context, cmd *cli.Command) error {
			zone := cmd.Args().First()
			return a.withControlClient(ctx, cmd, o, func(ctx context.Context, client *operator.Client) error {
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
	o := &controlOptions{}
	return &cli.Command{
		Name:      "restore",
		ArgsUsage: "ZONE",
		Usage:     "Ends the evacuation of a zone",
		Description: withExamples(`Its endpoints count as cold at first.

Exit codes: 0 acknowledged; 2 refused, or no conclusive answer in time.`,
			`wallflow restore hall-a --control 10.1.0.13:8166,10.2.0.41:8166`),
		Flags: o.flags(a),
		Action: a.action(exactArguments(1, "the zone's name"), func(ctx context.Context, cmd *cli.Command) error {
			zone := cmd.Args().First()
			return a.withControlClient(ctx, cmd, o, func(ctx context.Context, client *operator.Client) error {
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
		Usage:     "Checks the store of a control process without changing it",
		Description: withExamples(`Reads the log in the folder that is dataDir in the process's settings. A torn tail is the incomplete rest of
an unacknowledged write after a power failure; the process truncates it when it starts.

Exit codes: 0 intact; 1 damaged: the process would start with an empty store; 2 there is no store, or it can't be read.`,
			`wallflow verify /var/lib/wallflow`),
		Flags: []cli.Flag{boolFlag(&asJSON, "json", "print JSON")},
		Action: a.action(exactArguments(1, "the store's folder"), func(_ context.Context, cmd *cli.Command) error {
			return verifyStore(cmd, cmd.Args().First(), asJSON)
		}),
	}
}

// storeReport is the JSON output of verify.
type storeReport struct {
	Path    string `json:"path"`
	Sound   bool   `json:"sound"`
	Records int    `json:"records"`
	Bytes   int64  `json:"bytes"`
	Torn    string `json:"torn,omitempty"`   // kind of a torn tail
	TornAt  int64  `json:"tornAt,omitempty"` // offset of the torn tail in bytes
	Damage  string `json:"damage,omitempty"`
}

func verifyStore(cmd *cli.Command, directory string, asJSON bool) error {
	found, err := logfile.Verify(directory)
	var damage *logfile.DamageError
	if err != nil && !errors.As(err, &damage) {
		return err
	}
	if found.Created && damage == nil && found.TornKind == "" {
		return fmt.Errorf("%s: no such store", found.Path)
	}
	report := storeReport{Path: found.Path, Sound: damage == nil, Records: found.Records, Bytes: found.Bytes, Torn: string(found.TornKind),
		TornAt: found.TornAt}
	if damage != nil {
		report.Damage = damage.Error()
	}
	out := cmd.Root().Writer
	if err := printResult(out, asJSON, report, func() { writeVerifyText(cmd, report) }); err != nil {
		return err
	}
	if damage != nil {
		return errCheckFailed
	}
	return nil
}

func writeVerifyText(cmd *cli.Command, report storeReport) {
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
