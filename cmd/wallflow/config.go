package main

import (
	"bytes"
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"wallflow/internal/config"
	"wallflow/internal/operator"
)

func newConfig(a *app) *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "Reads, checks and changes the system's configuration",
		Description: withExamples("",
			`wallflow config get > config.json`,
			`wallflow config check config.json`,
			`wallflow config put config.json --match 5`,
			`wallflow config patch change.json`),
		Commands: []*cli.Command{newConfigGet(a), newConfigPut(a), newConfigPatch(a), newConfigCheck(a)},
		Action:   showSubcommands,
	}
}

func newConfigGet(a *app) *cli.Command {
	o := &controlOptions{}
	return &cli.Command{
		Name:  "get",
		Usage: "Prints the current configuration, as the operator sent it",
		Description: withExamples(`Exit codes: 0 printed; 2 there is none, or no conclusive answer in time.`,
			`wallflow config get --control 10.1.0.13:8166`),
		Flags: o.flags(a),
		Action: a.action(noArguments, func(ctx context.Context, cmd *cli.Command) error {
			return a.withControlClient(ctx, cmd, o, func(ctx context.Context, client *operator.Client) error {
				document, err := client.Config(ctx)
				if err != nil {
					return err
				}
				_, err = cmd.Root().Writer.Write(document)
				return err
			})
		}),
	}
}

// changeOptions holds the flags that put and patch share.
type changeOptions struct {
	controlOptions
	match uint64
}

func (c *changeOptions) allFlags(a *app) []cli.Flag {
	return c.flags(a, uint64Flag(&c.match, "match", 0,
		"version that the change is based on (default: the current version, as reported by a control process)"))
}

// baseVersion returns the version that the change is based on: the value of --match, or else the version that a control process reports.
func (c *changeOptions) baseVersion(ctx context.Context, cmd *cli.Command, client *operator.Client) (uint64, error) {
	if cmd.IsSet("match") {
		return c.match, nil
	}
	return client.Generation(ctx)
}

func newConfigPut(a *app) *cli.Command {
	c := &changeOptions{}
	return &cli.Command{
		Name:      "put",
		ArgsUsage: "FILE",
		Usage:     "Replaces the configuration with the one in FILE",
		Description: withExamples(`Checks the configuration locally and sends it to one control process after the other until one gives a
conclusive answer. A configuration that is in force already, or is sent again with the same --match, is acknowledged again.

Exit codes: 0 in force; 2 invalid, another version is current, or no conclusive answer in time.`,
			`wallflow config put config.json`,
			`wallflow config put config.json --match 5 --control 10.1.0.13:8166,10.2.0.41:8166`),
		Flags: c.allFlags(a),
		Action: a.action(exactArguments(1, "the configuration's file"), func(ctx context.Context, cmd *cli.Command) error {
			text, state, err := readDocument(cmd.Args().First())
			if err != nil {
				return err
			}
			return a.withControlClient(ctx, cmd, &c.controlOptions, func(ctx context.Context, client *operator.Client) error {
				match, err := c.baseVersion(ctx, cmd, client)
				if err != nil {
					return err
				}
				if match == state.Generation() && isInForce(ctx, client, text) {
					fmt.Fprintf(cmd.Root().Writer, "version %d is in force already\n", match)
					return nil
				}
				if err := client.PutConfig(ctx, text, match); err != nil {
					return err
				}
				fmt.Fprintf(cmd.Root().Writer, "version %d is in force, on top of %d\n", state.Generation(), match)
				return nil
			})
		}),
	}
}

// isInForce reports whether a configuration is identical to the current one, byte for byte.
func isInForce(ctx context.Context, client *operator.Client, document []byte) bool {
	current, err := client.Config(ctx)
	return err == nil && bytes.Equal(current, document)
}

func newConfigPatch(a *app) *cli.Command {
	c := &changeOptions{}
	return &cli.Command{
		Name:      "patch",
		ArgsUsage: "FILE",
		Usage:     "Changes single items of the configuration as described in FILE",
		Description: withExamples(`FILE holds "generation", "upsert" (lists of items to add or replace by name) and "delete" (lists of names).

Exit codes: 0 in force; 2 invalid, another version is current, or no conclusive answer in time.`,
			`wallflow config patch change.json --match 7`),
		Flags: c.allFlags(a),
		Action: a.action(exactArguments(1, "the change's file"), func(ctx context.Context, cmd *cli.Command) error {
			patch, err := os.ReadFile(cmd.Args().First())
			if err != nil {
				return err
			}
			return a.withControlClient(ctx, cmd, &c.controlOptions, func(ctx context.Context, client *operator.Client) error {
				match, err := c.baseVersion(ctx, cmd, client)
				if err != nil {
					return err
				}
				if err := client.PatchConfig(ctx, patch, match); err != nil {
					return err
				}
				fmt.Fprintf(cmd.Root().Writer, "the change of version %d is in force\n", match)
				return nil
			})
		}),
	}
}

func newConfigCheck(a *app) *cli.Command {
	var baseFile string
	return &cli.Command{
		Name:      "check",
		ArgsUsage: "FILE",
		Usage:     "Checks a configuration, or a patch for one, without sending it",
		Description: withExamples(`Exit codes: 0 valid; 2 invalid; the error names the location, the value and the reason.`,
			`wallflow config check config.json`,
			`wallflow config check change.json --on config.json`),
		Flags: []cli.Flag{stringFlag(&baseFile, "on", "", "FILE is a patch for the configuration in this file")},
		Action: a.action(exactArguments(1, "the configuration's file"), func(_ context.Context, cmd *cli.Command) error {
			file := cmd.Args().First()
			state, err := loadState(file, baseFile)
			if err != nil {
				return err
			}
			document := state.Compiled().Document()
			fmt.Fprintf(cmd.Root().Writer, "%s: sound: version %d, %d routes, %d services\n", file, document.Generation, len(document.Routes),
				len(document.Backends))
			return nil
		}),
	}
}

// readDocument reads a complete configuration from a file and checks it in the same way as a control process.
func readDocument(file string) ([]byte, *config.State, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, err
	}
	state, verdict := config.EmptyState().ApplyOrder(config.Order{Kind: config.Put, HasMatch: true, Body: text})
	if !verdict.Accepted {
		return nil, nil, fmt.Errorf("%s: %s", file, verdict.Message)
	}
	return text, state, nil
}

// loadState returns the state with the configuration in file, or, if baseFile is given, with the patch in file applied to the
// configuration in baseFile.
func loadState(file, baseFile string) (*config.State, error) {
	if baseFile == "" {
		_, state, err := readDocument(file)
		return state, err
	}
	_, base, err := readDocument(baseFile)
	if err != nil {
		return nil, err
	}
	patch, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	state, verdict := base.ApplyOrder(config.Order{Kind: config.Patch, HasMatch: true, Match: base.Generation(), Body: patch})
	if !verdict.Accepted {
		return nil, fmt.Errorf("%s on %s: %s", file, baseFile, verdict.Message)
	}
	return state, nil
}
