package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"wallflow/internal/accord"
	"wallflow/internal/listsvc"
	"wallflow/internal/listsvc/client"
	"wallflow/internal/tomlfile"
)

const policyLook = 200 * time.Millisecond

func newPolicy(a *app) *cli.Command {
	return &cli.Command{
		Name:  "policy",
		Usage: "Changes the fleet's policy, at all relays or at none",
		Description: described(`A policy is one document: what classes of messages may try, customers' shares, the order of routes, how long failing
routes are passed over. It takes hold at every relay at one moment, or at none.`,
			`wallflow policy propose peak.toml --wait`,
			`wallflow policy show`,
			`wallflow policy drop 7 --why "the wrong file"`),
		Commands: []*cli.Command{newPolicyPropose(a), newPolicyShow(a), newPolicyDrop(a)},
		Action:   group,
	}
}

func newPolicyPropose(a *app) *cli.Command {
	var hold, within time.Duration
	var wait, asJSON bool
	return &cli.Command{
		Name:      "propose",
		ArgsUsage: "FILE",
		Usage:     "Begins a change to the document in FILE (TOML)",
		Description: described(`Begins a change. Every agent has to stage the document, and every relay to say that it can follow it, within --within; then all
promise, and the change is sealed. From its promise on a relay goes on for --hold at most without hearing what came of
it, and then takes nothing on until it does.

Exit codes: 0 begun, or with --wait sealed; 1 with --wait: dropped; 2 turned down, or not known.`,
			`wallflow policy propose peak.toml`,
			`wallflow policy propose peak.toml --hold 1s --within 30s --wait`),
		Flags: []cli.Flag{
			timeFlag(&hold, "hold", 2*time.Second, "how long a relay goes on after its promise without hearing what came of it"),
			timeFlag(&within, "within", 10*time.Second, "time in which all have to be ready for it"),
			boolFlag(&wait, "wait", "wait for what comes of it"),
			boolFlag(&asJSON, "json", "as JSON"),
			a.servers(),
		},
		Action: a.action(exactly(1, "the document's file"), func(ctx context.Context, cmd *cli.Command) error {
			file := cmd.Args().First()
			var doc accord.Document
			if err := tomlfile.Read(file, &doc); err != nil {
				return fmt.Errorf("policy: %w", err)
			}
			data, err := doc.Canonical()
			if err != nil {
				return fmt.Errorf("policy: %s: %w", file, err)
			}
			asked, cancel := context.WithTimeout(ctx, commandFor)
			defer cancel()
			cl := client.New(given(a.Server)...)
			defer cl.Close()
			p, err := cl.Propose(asked, listsvc.Proposal{Document: data, HoldMS: hold.Milliseconds(), WithinMS: within.Milliseconds()})
			if err != nil {
				return err
			}
			out := cmd.Root().Writer
			if !wait {
				return show(out, asJSON, p, func() { fmt.Fprintf(out, "change %d (%s) has begun: wallflow policy show\n", p.Number, p.Hash) })
			}
			o, err := outcomeOf(ctx, cl, p.Number, within+hold+commandFor)
			if err != nil {
				return err
			}
			if err := show(out, asJSON, o, func() { fmt.Fprintln(out, said(o)) }); err != nil || o.Sealed {
				return err
			}
			return errBroken
		}),
	}
}

func show(out io.Writer, asJSON bool, v any, text func()) error {
	if !asJSON {
		text()
		return nil
	}
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func said(o accord.Outcome) string {
	if o.Sealed {
		return fmt.Sprintf("change %d is sealed: it takes hold everywhere", o.Number)
	}
	return fmt.Sprintf("change %d was dropped: nobody follows it (%s)", o.Number, o.Why)
}

// outcomeOf waits for what comes of a change.
func outcomeOf(ctx context.Context, cl *client.Client, number int64, most time.Duration) (accord.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	for {
		r, err := cl.Policy(ctx)
		if err != nil {
			return accord.Outcome{}, err
		}
		if i := slices.IndexFunc(r.Outcomes, func(o accord.Outcome) bool { return o.Number == number }); i >= 0 {
			return r.Outcomes[i], nil
		}
		select {
		case <-ctx.Done():
			return accord.Outcome{}, fmt.Errorf("change %d is neither sealed nor dropped: wallflow policy show", number)
		case <-time.After(policyLook):
		}
	}
}

func newPolicyShow(a *app) *cli.Command {
	var asJSON bool
	return &cli.Command{
		Name:  "show",
		Usage: "Shows the policy in force, the change in flight and whom it waits for, and the sessions",
		Description: `Shows what the fleet has agreed on.

Exit codes: 0 all follow the policy in force and nothing is in flight; 1 not so; 2 nobody answers.`,
		Flags: []cli.Flag{boolFlag(&asJSON, "json", "as JSON"), a.servers()},
		Action: a.action(noArguments, func(ctx context.Context, cmd *cli.Command) error {
			ctx, cancel := context.WithTimeout(ctx, commandFor)
			defer cancel()
			cl := client.New(given(a.Server)...)
			defer cl.Close()
			r, err := cl.Policy(ctx)
			if err != nil {
				return err
			}
			out := cmd.Root().Writer
			if err := show(out, asJSON, r, func() { policyTable(out, r) }); err != nil {
				return err
			}
			for _, s := range r.Sessions {
				if s.State != accord.Present || s.Follows != r.InForce.Number {
					return errBroken
				}
			}
			if r.Change != nil {
				return errBroken
			}
			return nil
		}),
	}
}

func policyTable(out io.Writer, r listsvc.FleetReport) {
	if r.InForce.Number == 0 {
		fmt.Fprintln(out, "in force  none: relays go by their own configurations")
	} else {
		fmt.Fprintf(out, "in force  %d (%s)\n", r.InForce.Number, r.InForce.Hash)
	}
	if c := r.Change; c != nil {
		fmt.Fprintf(out, "change    %d (%s), %s", c.Number, c.Hash, c.Phase)
		if len(r.Waits) > 0 {
			fmt.Fprintf(out, "; waits for %s", strings.Join(r.Waits, ", "))
		}
		fmt.Fprintln(out)
	}
	for _, o := range r.Outcomes[max(0, len(r.Outcomes)-3):] {
		fmt.Fprintln(out, "before   ", said(o))
	}
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "session\tname\tzone\tstate\trelay\tknows\tfollows\tstaged\tpromised\tbuild")
	for _, s := range r.Sessions {
		relay := "none"
		if s.Relay {
			relay = "runs"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%.40s\n", s.ID, s.Name, s.Zone, s.State, relay, s.Knows, s.Follows, s.Staged, s.Promised, s.Build)
	}
	w.Flush()
	for _, s := range r.Sessions {
		switch {
		case s.State == accord.Displaced:
			fmt.Fprintf(out, "! %s (%s): another folder has its name; it stands in the way of changes until its relay has stopped, or: wallflow policy drop --retire %s\n", s.Name, s.ID, s.ID)
		case s.State == accord.Lapsed:
			fmt.Fprintf(out, "! %s (%s): not heard of; a change waits for it. Gone for good: wallflow policy drop --retire %s\n", s.Name, s.ID, s.ID)
		case s.Refused > 0:
			fmt.Fprintf(out, "! %s cannot follow %d: %s\n", s.Name, s.Refused, s.Why)
		}
	}
}

func newPolicyDrop(a *app) *cli.Command {
	var why, retire string
	return &cli.Command{
		Name:      "drop",
		ArgsUsage: "[NUMBER]",
		Usage:     "Drops a change that is not sealed, or retires a machine that stands in the way of all",
		Description: described(`Drops a change: nobody follows it. With --retire ID it is a session that goes, for good: no change waits for it any more,
and it is turned away should it come back. Say so only of a machine whose relay does not run: one that does could go on
under the old policy.`,
			`wallflow policy drop 7 --why "the wrong file"`,
			`wallflow policy drop --retire 1f0c2b7d9a3e4455`),
		Flags: []cli.Flag{
			stringFlag(&why, "why", "", "why, for those who ask later"),
			stringFlag(&retire, "retire", "", "id of a session whose machine is gone for good"),
			a.servers(),
		},
		Action: a.action(atMost(1, "the number of one change"), func(ctx context.Context, cmd *cli.Command) error {
			args := cmd.Args().Slice()
			if (len(args) == 1) == (retire != "") {
				return errors.New("policy drop: the number of a change or --retire with the id of a session, one of the two")
			}
			ctx, cancel := context.WithTimeout(ctx, commandFor)
			defer cancel()
			cl := client.New(given(a.Server)...)
			defer cl.Close()
			if retire != "" {
				if err := cl.Retire(ctx, retire); err != nil {
					return err
				}
				fmt.Fprintf(cmd.Root().Writer, "%s is retired\n", retire)
				return nil
			}
			var number int64
			if _, err := fmt.Sscan(args[0], &number); err != nil || number <= 0 {
				return fmt.Errorf("policy drop: %q is no number of a change", args[0])
			}
			if err := cl.Drop(ctx, number, why); err != nil {
				return err
			}
			fmt.Fprintf(cmd.Root().Writer, "change %d is dropped\n", number)
			return nil
		}),
	}
}
