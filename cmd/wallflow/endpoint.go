package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"wallflow/internal/catalog"
	"wallflow/internal/listsvc/client"
)

const maxEditAttempts = 10 // an edit is retried if the list has changed in the meantime

func newEndpoint(a *app) *cli.Command {
	return &cli.Command{
		Name:  "endpoint",
		Usage: "Shows and edits the list of endpoints",
		Description: withExamples("",
			`wallflow endpoint list --cell 3`,
			`wallflow endpoint add s-b2fde1 --addr 10.1.0.18:3000 --zone a --kind m2 --cell 3 --weight 40`,
			`wallflow endpoint drain s-b2fde1`,
			`wallflow endpoint remove s-b2fde1`),
		Commands: []*cli.Command{newEndpointList(a), newEndpointAdd(a), newEndpointDrain(a), newEndpointRemove(a)},
		Action:   showSubcommands,
	}
}

// withListClient calls run with a client of the list service, and with commandTimeout as the time limit.
func (a *app) withListClient(ctx context.Context, cmd *cli.Command,
	run func(ctx context.Context, c *client.Client, out io.Writer) error) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	c := client.New(nonEmpty(a.Server)...)
	defer c.Close()
	return run(ctx, c, cmd.Root().Writer)
}

func newEndpointList(a *app) *cli.Command {
	var asJSON, consistent bool
	var cell int
	return &cli.Command{
		Name:  "list",
		Usage: "Shows the endpoints",
		Flags: []cli.Flag{
			boolFlag(&asJSON, "json", "print JSON, in the format of the list service"),
			boolFlag(&consistent, "consistent", "include all acknowledged changes; requires a leader"),
			intFlag(&cell, "cell", -1, "only the endpoints of this partner (cell number)"),
			a.serversFlag(),
		},
		Action: a.action(noArguments, func(ctx context.Context, cmd *cli.Command) error {
			return a.withListClient(ctx, cmd, func(ctx context.Context, c *client.Client, out io.Writer) error {
				l, h, err := c.List(ctx, consistent)
				if err != nil {
					return err
				}
				if cell >= 0 {
					l.Servers = slices.DeleteFunc(l.Servers, func(e catalog.Entry) bool { return e.Cell != cell })
				}
				if asJSON {
					e := json.NewEncoder(out)
					e.SetIndent("", "  ")
					return e.Encode(l)
				}
				w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
				fmt.Fprintln(w, "cell\tid\taddress\tzone\tkind\tstate\tweight\tsince")
				slices.SortStableFunc(l.Servers, func(x, y catalog.Entry) int { return x.Cell - y.Cell })
				for _, e := range l.Servers {
					since := "-"
					if e.StartedMS > 0 {
						since = time.UnixMilli(e.StartedMS).UTC().Format("2006-01-02 15:04:05")
					}
					fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\t%g\t%s\n", e.Cell, e.ID, e.Addr, e.Zone, e.Kind, e.State, e.Weight, since)
				}
				w.Flush()
				fmt.Fprintf(out, "version %d of list %s, %d entries; server %s, %s ms old\n", l.Version, h.Get("X-Catalog-Cluster"), len(l.Servers),
					h.Get("X-Catalog-Server"), h.Get("X-Catalog-Age-Ms"))
				return nil
			})
		}),
	}
}

func newEndpointAdd(a *app) *cli.Command {
	e := catalog.Entry{State: catalog.Ready}
	return &cli.Command{
		Name:      "add",
		ArgsUsage: "ID",
		Usage:     "Adds an endpoint, or changes the values of an existing one",
		Flags: []cli.Flag{
			required(stringFlag(&e.Addr, "addr", "", "host:port")),
			required(stringFlag(&e.Zone, "zone", "", "zone")),
			required(stringFlag(&e.Kind, "kind", "", "kind")),
			requiredInt(intFlag(&e.Cell, "cell", -1, "cell number of the partner")),
			floatFlag(&e.Weight, "weight", 1, "weight"),
			int64Flag(&e.StartedMS, "started-ms", 0, "start time in ms since 1970; 0: unknown"),
			a.serversFlag(),
		},
		Action: a.action(exactArguments(1, "the endpoint's id"), func(ctx context.Context, cmd *cli.Command) error {
			e.ID = cmd.Args().First()
			if err := e.Check(); err != nil { // before sending anything
				return err
			}
			return a.withListClient(ctx, cmd, func(ctx context.Context, c *client.Client, out io.Writer) error {
				r, err := c.Write(ctx, nil, catalog.Change{Entry: e})
				return reportChange(out, e.ID, "is on the list", r, err)
			})
		}),
	}
}

// reportChange prints the result of a change of the list.
func reportChange(out io.Writer, id, message string, r catalog.Result, err error) error {
	if err != nil {
		return fmt.Errorf("%s: %w", id, err)
	}
	if r.Changed == 0 {
		message += " (and was so before)"
	}
	fmt.Fprintf(out, "%s %s; version %d\n", id, message, r.Version)
	return nil
}

// editEntry applies a change to the current values of an entry. The write is conditional on the list's version, so that concurrent
// changes are not overwritten.
func editEntry(ctx context.Context, c *client.Client, id string,
	change func(catalog.Entry) (catalog.Change, error)) (catalog.Result, error) {
	for range maxEditAttempts {
		l, _, err := c.List(ctx, true)
		if err != nil {
			return catalog.Result{}, err
		}
		i := slices.IndexFunc(l.Servers, func(e catalog.Entry) bool { return e.ID == id })
		if i < 0 {
			return catalog.Result{}, errors.New("no such endpoint")
		}
		ch, err := change(l.Servers[i])
		if err != nil {
			return catalog.Result{}, err
		}
		r, err := c.Write(ctx, &l.Version, ch)
		var refused *client.RejectedError
		if !errors.As(err, &refused) || refused.Status != http.StatusPreconditionFailed {
			return r, err
		}
	}
	return catalog.Result{}, fmt.Errorf("the list was changed concurrently %d times: try again", maxEditAttempts)
}

func newEndpointDrain(a *app) *cli.Command {
	return &cli.Command{
		Name:      "drain",
		ArgsUsage: "ID",
		Usage:     "Makes relays send no new requests to an endpoint",
		Flags:     []cli.Flag{a.serversFlag()},
		Action: a.action(exactArguments(1, "the endpoint's id"), func(ctx context.Context, cmd *cli.Command) error {
			id := cmd.Args().First()
			return a.withListClient(ctx, cmd, func(ctx context.Context, c *client.Client, out io.Writer) error {
				r, err := editEntry(ctx, c, id, func(e catalog.Entry) (catalog.Change, error) {
					e.State = catalog.Draining
					return catalog.Change{Entry: e}, nil
				})
				return reportChange(out, id, "drains", r, err)
			})
		}),
	}
}

func newEndpointRemove(a *app) *cli.Command {
	var force bool
	return &cli.Command{
		Name:      "remove",
		ArgsUsage: "ID",
		Usage:     "Removes a draining endpoint from the list",
		Flags:     []cli.Flag{boolFlag(&force, "force", "also if it is not draining"), a.serversFlag()},
		Action: a.action(exactArguments(1, "the endpoint's id"), func(ctx context.Context, cmd *cli.Command) error {
			id := cmd.Args().First()
			return a.withListClient(ctx, cmd, func(ctx context.Context, c *client.Client, out io.Writer) error {
				r, err := editEntry(ctx, c, id, func(e catalog.Entry) (catalog.Change, error) {
					if e.State != catalog.Draining && !force {
						return catalog.Change{}, fmt.Errorf("it is %s: drain it first, so that relays can finish their requests, or use --force",
							e.State)
					}
					return catalog.Change{Entry: catalog.Entry{ID: e.ID}, Remove: true}, nil
				})
				return reportChange(out, id, "is removed", r, err)
			})
		}),
	}
}
