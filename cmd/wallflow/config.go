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
		Description: described("",
			`wallflow config get > config.json`,
			`wallflow config check config.json`,
			`wallflow config put config.json --match 5`,
			`wallflow config patch change.json`),
		Commands: []*cli.Command{newConfigGet(a), newConfigPut(a), newConfigPatch(a), newConfigCheck(a)},
		Action:   group,
	}
}

func newConfigGet(a *app) *cli.Command {
	o := &asking{}
	return &cli.Command{
		Name:  "get",
		Usage: "Prints the configuration that is in force, as it was sent",
		Description: described(`Exit codes: 0 printed; 2 there is none, or no clear answer in time.`,
			`wallflow config get --control 10.1.0.13:8166`),
		Flags: o.flags(a),
		Action: a.action(noArguments, func(ctx context.Context, cmd *cli.Command) error {
			return a.ask(ctx, cmd, o, func(ctx context.Context, client *operator.Client) error {
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

// change is what put and patch share.
type change struct {
	asking
	match uint64
}

func (c *change) allFlags(a *app) []cli.Flag {
	return c.flags(a, uint64Flag(&c.match, "match", 0, "version that the change builds on (default: the newest one that a control process knows)"))
}

// matchOf is the version that the change builds on. Where it isn't given, it is asked for.
func (c *change) matchOf(ctx context.Context, cmd *cli.Command, client *operator.Client) (uint64, error) {
	if cmd.IsSet("match") {
		return c.match, nil
	}
	return client.Generation(ctx)
}

func newConfigPut(a *app) *cli.Command {
	c := &change{}
	return &cli.Command{
		Name:      "put",
		ArgsUsage: "FILE",
		Usage:     "Puts the configuration in FILE in force",
		Description: described(`The configuration is checked here first, and sent to one control process after the other until one gives a clear answer. What is
in force already, or is given again with the same --match, is acknowledged again.

Exit codes: 0 in force; 2 invalid, another version is current, or no clear answer in time.`,
			`wallflow config put config.json`,
			`wallflow config put config.json --match 5 --control 10.1.0.13:8166,10.2.0.41:8166`),
		Flags: c.allFlags(a),
		Action: a.action(exactly(1, "the configuration's file"), func(ctx context.Context, cmd *cli.Command) error {
			text, state, err := readDocument(cmd.Args().First())
			if err != nil {
				return err
			}
			return a.ask(ctx, cmd, &c.asking, func(ctx context.Context, client *operator.Client) error {
				match, err := c.matchOf(ctx, cmd, client)
				if err != nil {
					return err
				}
				if match == state.Generation() && inForce(ctx, client, text) {
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

// inForce tells whether a configuration is the one in force, byte for byte.
func inForce(ctx context.Context, client *operator.Client, document []byte) bool {
	current, err := client.Config(ctx)
	return err == nil && bytes.Equal(current, document)
}

func newConfigPatch(a *app) *cli.Command {
	c := &change{}
	return &cli.Command{
		Name:      "patch",
		ArgsUsage: "FILE",
		Usage:     "Changes the items of the configuration that FILE names",
		Description: described(`FILE holds "generation", "upsert" (lists of items to add or replace by name) and "delete" (lists of names).

Exit codes: 0 in force; 2 invalid, another version is current, or no clear answer in time.`,
			`wallflow config patch change.json --match 7`),
		Flags: c.allFlags(a),
		Action: a.action(exactly(1, "the change's file"), func(ctx context.Context, cmd *cli.Command) error {
			patch, err := os.ReadFile(cmd.Args().First())
			if err != nil {
				return err
			}
			return a.ask(ctx, cmd, &c.asking, func(ctx context.Context, client *operator.Client) error {
				match, err := c.matchOf(ctx, cmd, client)
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
	var on string
	return &cli.Command{
		Name:      "check",
		ArgsUsage: "FILE",
		Usage:     "Checks a configuration, or a change to one, without sending it",
		Description: described(`Exit codes: 0 sound; 2 invalid: place, what was found and what is wrong are named.`,
			`wallflow config check config.json`,
			`wallflow config check change.json --on config.json`),
		Flags: []cli.Flag{stringFlag(&on, "on", "", "FILE is a change to the configuration in this file")},
		Action: a.action(exactly(1, "the configuration's file"), func(_ context.Context, cmd *cli.Command) error {
			file := cmd.Args().First()
			state, err := checkedState(file, on)
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

// readDocument reads a whole configuration and checks it as a control process does.
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

// checkedState is the configuration in a file, or the one that the change in the file makes of another.
func checkedState(file, on string) (*config.State, error) {
	if on == "" {
		_, state, err := readDocument(file)
		return state, err
	}
	_, base, err := readDocument(on)
	if err != nil {
		return nil, err
	}
	patch, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	state, verdict := base.ApplyOrder(config.Order{Kind: config.Patch, HasMatch: true, Match: base.Generation(), Body: patch})
	if !verdict.Accepted {
		return nil, fmt.Errorf("%s on %s: %s", file, on, verdict.Message)
	}
	return state, nil
}
