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

const policyPollInterval = 200 * time.Millisecond // between two queries for the outcome of a change

func newPolicy(a *app) *cli.Command {
	return &cli.Command{
		Name:  "policy",
		Usage: "Changes the fleet's policy atomically, at all relays or at none",
		Description: withExamples(`A policy is a document that sets the attempts of each message class, the shares of customers, the order of
routes, and how long failing routes are skipped. A change takes effect at all relays at the same moment, or at none.`,
			`wallflow policy propose peak.toml --wait`,
			`wallflow policy show`,
			`wallflow policy drop 7 --why "the wrong file"`),
		Commands: []*cli.Command{newPolicyPropose(a), newPolicyShow(a), newPolicyDrop(a)},
		Action:   showSubcommands,
	}
}

func newPolicyPropose(a *app) *cli.Command {
	var hold, within time.Duration
	var wait, asJSON bool
	return &cli.Command{
		Name:      "propose",
		ArgsUsage: "FILE",
		Usage:     "Proposes to change the policy to the document in FILE (TOML)",
		Description: withExamples(`Proposes a change. Within --within, every agent has to stage the document and every relay has to confirm that
it supports it. Then all of them promise to follow it, and the change is sealed, that is, committed. After its promise a
relay continues for at most --hold without knowing the outcome, and then accepts nothing new until it knows it.

Exit codes: 0 started, or with --wait sealed; 1 with --wait: dropped; 2 refused, or the outcome is unknown.`,
			`wallflow policy propose peak.toml`,
			`wallflow policy propose peak.toml --hold 1s --within 30s --wait`),
		Flags: []cli.Flag{
			durationFlag(&hold, "hold", 2*time.Second, "how long a relay continues after its promise without knowing the outcome"),
			durationFlag(&within, "within", 10*time.Second, "time limit for all agents and relays to be ready"),
			boolFlag(&wait, "wait", "wait for the outcome"),
			boolFlag(&asJSON, "json", "print JSON"),
			a.serversFlag(),
		},
		Action: a.action(exactArguments(1, "the document's file"), func(ctx context.Context, cmd *cli.Command) error {
			file := cmd.Args().First()
			var policy accord.Document
			if err := tomlfile.Read(file, &policy); err != nil {
				return fmt.Errorf("policy: %w", err)
			}
			document, err := policy.Canonical()
			if err != nil {
				return fmt.Errorf("policy: %s: %w", file, err)
			}
			proposeCtx, cancel := context.WithTimeout(ctx, commandTimeout)
			defer cancel()
			cl := client.New(nonEmpty(a.Server)...)
			defer cl.Close()
			p, err := cl.Propose(proposeCtx, listsvc.Proposal{Document: document, HoldMS: hold.Milliseconds(),
				WithinMS: within.Milliseconds()})
			if err != nil {
				return err
			}
			out := cmd.Root().Writer
			if !wait {
				return printResult(out, asJSON, p, func() { fmt.Fprintf(out, "change %d (%s) has begun: wallflow policy show\n", p.Number, p.Hash) })
			}
			outcome, err := waitForOutcome(ctx, cl, p.Number, within+hold+commandTimeout)
			if err != nil {
				return err
			}
			if err := printResult(out, asJSON, outcome, func() { fmt.Fprintln(out, describeOutcome(outcome)) }); err != nil || outcome.Sealed {
				return err
			}
			return errCheckFailed
		}),
	}
}

// printResult prints v as JSON, or calls text.
func printResult(out io.Writer, asJSON bool, v any, text func()) error {
	if !asJSON {
		text()
		return nil
	}
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// describeOutcome returns the outcome of a change as text.
func describeOutcome(outcome accord.Outcome) string {
	if outcome.Sealed {
		return fmt.Sprintf("change %d is sealed: it takes effect everywhere", outcome.Number)
	}
	return fmt.Sprintf("change %d was dropped: nobody follows it (%s)", outcome.Number, outcome.Why)
}

// waitForOutcome polls the list servers until a change is sealed or dropped.
func waitForOutcome(ctx context.Context, cl *client.Client, number int64, timeout time.Duration) (accord.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
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
			return accord.Outcome{}, fmt.Errorf("change %d is neither sealed nor dropped yet; see: wallflow policy show", number)
		case <-time.After(policyPollInterval):
		}
	}
}

func newPolicyShow(a *app) *cli.Command {
	var asJSON bool
	return &cli.Command{
		Name:  "show",
		Usage: "Shows the current policy, the pending change and what it waits for, and the sessions of agents",
		Description: `Shows the state of the fleet's policy.

Exit codes: 0 all follow the current policy and no change is pending; 1 otherwise; 2 no server answers.`,
		Flags: []cli.Flag{boolFlag(&asJSON, "json", "print JSON"), a.serversFlag()},
		Action: a.action(noArguments, func(ctx context.Context, cmd *cli.Command) error {
			ctx, cancel := context.WithTimeout(ctx, commandTimeout)
			defer cancel()
			cl := client.New(nonEmpty(a.Server)...)
			defer cl.Close()
			r, err := cl.Policy(ctx)
			if err != nil {
				return err
			}
			out := cmd.Root().Writer
			if err := printResult(out, asJSON, r, func() { writePolicyTable(out, r) }); err != nil {
				return err
			}
			for _, session := range r.Sessions {
				if session.State != accord.Present || session.ActivePolicy != r.InForce.Number {
					return errCheckFailed
				}
			}
			if r.Change != nil {
				return errCheckFailed
			}
			return nil
		}),
	}
}

func writePolicyTable(out io.Writer, r listsvc.FleetReport) {
	if r.InForce.Number == 0 {
		fmt.Fprintln(out, "in force  none: relays use their own configurations")
	} else {
		fmt.Fprintf(out, "in force  %d (%s)\n", r.InForce.Number, r.InForce.Hash)
	}
	if c := r.Change; c != nil {
		fmt.Fprintf(out, "change    %d (%s), %s", c.Number, c.Hash, c.Phase)
		if len(r.WaitsFor) > 0 {
			fmt.Fprintf(out, "; waits for %s", strings.Join(r.WaitsFor, ", "))
		}
		fmt.Fprintln(out)
	}
	for _, o := range r.Outcomes[max(0, len(r.Outcomes)-3):] {
		fmt.Fprintln(out, "before   ", describeOutcome(o))
	}
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "session\tname\tzone\tstate\trelay\tknows\tfollows\tstaged\tpromised\tbuild")
	for _, s := range r.Sessions {
		relay := "none"
		if s.Relay {
			relay = "runs"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%.40s\n", s.ID, s.Name, s.Zone, s.State, relay, s.KnownPolicy, s.ActivePolicy, s.Staged,
			s.Promised, s.Build)
	}
	w.Flush()
	for _, s := range r.Sessions {
		switch {
		case s.State == accord.Displaced:
			fmt.Fprintf(out, "! %s (%s): replaced by another folder; blocks changes until its relay stops, or: wallflow policy drop --retire %s\n",
				s.Name, s.ID, s.ID)
		case s.State == accord.Lapsed:
			fmt.Fprintf(out, "! %s (%s): no contact; changes wait for it. If it is gone permanently: wallflow policy drop --retire %s\n",
				s.Name, s.ID, s.ID)
		case s.Refused > 0:
			fmt.Fprintf(out, "! %s cannot follow %d: %s\n", s.Name, s.Refused, s.Why)
		}
	}
}

func newPolicyDrop(a *app) *cli.Command {
	var reason, retire string
	return &cli.Command{
		Name:      "drop",
		ArgsUsage: "[NUMBER]",
		Usage:     "Drops a change that is not sealed, or retires a machine that blocks all changes",
		Description: withExamples(`Drops a change, so that nobody follows it. With --retire ID it removes a session permanently instead: changes
no longer wait for it, and it is refused if it returns. Do so only if the relay of that machine is not running, since a
running one could continue under the old policy.`,
			`wallflow policy drop 7 --why "the wrong file"`,
			`wallflow policy drop --retire 1f0c2b7d9a3e4455`),
		Flags: []cli.Flag{
			stringFlag(&reason, "why", "", "reason, for the record"),
			stringFlag(&retire, "retire", "", "id of a session whose machine is gone permanently"),
			a.serversFlag(),
		},
		Action: a.action(maxArguments(1, "the number of one change"), func(ctx context.Context, cmd *cli.Command) error {
			args := cmd.Args().Slice()
			if (len(args) == 1) == (retire != "") {
				return errors.New("policy drop: give either the number of a change or --retire with the id of a session")
			}
			ctx, cancel := context.WithTimeout(ctx, commandTimeout)
			defer cancel()
			cl := client.New(nonEmpty(a.Server)...)
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
				return fmt.Errorf("policy drop: %q is not the number of a change", args[0])
			}
			if err := cl.Drop(ctx, number, reason); err != nil {
				return err
			}
			fmt.Fprintf(cmd.Root().Writer, "change %d is dropped\n", number)
			return nil
		}),
	}
}
