package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"wallflow/internal/agent"
	"wallflow/internal/units"
)

// agentSettings are the configuration's section for an agent.
type agentSettings struct {
	Listen string
	Dir    string
	Finals string            // address that takes the notices
	Spool  units.Bytes       // of notices, at most
	TakeOn string            `toml:"take_on"`
	Via    map[string]string // addresses of entries in whose place the relay gets others
	Name   string            // under which it registers its relay; empty: it does not
	Zone   string            // of its machine
}

func newAgent(a *app) *cli.Command {
	return &cli.Command{
		Name:  "agent",
		Usage: "Runs the agent beside a relay: the list, and the notices, whether the service is there or not",
		Description: described(`Runs an agent until SIGTERM. It follows any of the list servers and changes over where one is silent or behind, keeps the last list
on disk, and serves the relay from there. Notices are answered for once they lie on this machine's disk, and handed on in
their order, each at least once.

The relay's ROUTER_DISCOVERY is the agent's address.`,
			`wallflow agent --server 127.0.0.1:7600,127.0.0.1:7610,127.0.0.1:7620 --finals 127.0.0.1:7700`,
			`wallflow agent status`),
		Flags: []cli.Flag{
			stringFlag(&a.Agent.Dir, "dir", "wallflow-agent", "folder of its list and of notices"),
			stringFlag(&a.Agent.Listen, "listen", "127.0.0.1:7500", "address for the relay"),
			stringFlag(&a.Agent.Finals, "finals", "", "address that takes the notices (default: they are kept)"),
			stringFlag(&a.Agent.TakeOn, "take-on", "", "id of a list to be taken on though it has far fewer entries than the one that is held"),
			stringFlag(&a.Agent.Name, "register", "", "name under which the agent registers its relay with the service, for the fleet's policy (default: it does not)"),
			stringFlag(&a.Agent.Zone, "zone", "", "zone of its machine"),
			a.servers(),
		},
		Commands: []*cli.Command{newAgentStatus(a)},
		Action: a.action(noArguments, func(ctx context.Context, _ *cli.Command) error {
			s := a.Agent
			g, err := agent.Open(agent.Options{Dir: s.Dir, Listen: s.Listen, Servers: given(a.Server), Finals: s.Finals, Spool: s.Spool.N, TakeOn: s.TakeOn, Via: s.Via, Name: s.Name, Zone: s.Zone,
				Build: version(), Log: a.log})
			if err != nil {
				return fmt.Errorf("agent: %w", err)
			}
			if err := g.Run(ctx); err != nil {
				return fmt.Errorf("agent: %w", err)
			}
			return nil
		}),
	}
}

func newAgentStatus(a *app) *cli.Command {
	var at string
	var asJSON bool
	return &cli.Command{
		Name:  "status",
		Usage: "Shows what an agent holds, and whom it follows",
		Description: `Shows what an agent holds, and whom it follows.

Exit codes: 0 it follows a server and has a list; 1 it does not; 2 it does not answer.`,
		Flags: []cli.Flag{
			stringFlag(&at, "agent", "127.0.0.1:7500", "address of the agent"),
			boolFlag(&asJSON, "json", "as JSON"),
		},
		Action: a.action(noArguments, func(ctx context.Context, cmd *cli.Command) error {
			ctx, cancel := context.WithTimeout(ctx, commandFor)
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at+"/agent/status", nil)
			if err != nil {
				return err
			}
			res, err := http.DefaultClient.Do(req)
			if err != nil {
				return err
			}
			defer res.Body.Close()
			var r agent.Report
			if err := json.NewDecoder(res.Body).Decode(&r); err != nil || res.StatusCode != http.StatusOK {
				return errors.Join(fmt.Errorf("%s answers %s", at, res.Status), err)
			}
			out := cmd.Root().Writer
			if asJSON {
				e := json.NewEncoder(out)
				e.SetIndent("", "  ")
				if err := e.Encode(r); err != nil {
					return err
				}
			} else {
				following, heard := r.Following, "never"
				if following == "" {
					following = "nobody just now"
				}
				if r.HeardMS >= 0 {
					heard = (time.Duration(r.HeardMS) * time.Millisecond).String() + " ago"
				}
				fmt.Fprintf(out, "list      %s, version %d, %d entries\nfollows   %s; heard %s\nrelays    %d watch\nnotices   %d requests wait (%d bytes), %d handed on since the start\n",
					r.List, r.Version, r.Entries, following, heard, r.Watches, r.Waiting, r.Spooled, r.Handed)
				if f := r.Fleet; f != nil {
					policy, relay := "not known yet", "none runs"
					if f.Known {
						policy = fmt.Sprint(f.Policy)
					}
					if f.Relay {
						relay = "runs"
					}
					fmt.Fprintf(out, "session   %s, start %d; relay %s\npolicy    %s; staged %d, promised %d\n", f.ID, f.Boot, relay, policy, f.Staged, f.Promised)
					for _, why := range []string{f.Failure, f.Over} {
						if why != "" {
							fmt.Fprintln(out, "!", why)
						}
					}
				}
				if r.Refusal != "" {
					fmt.Fprintln(out, "!", r.Refusal)
				}
			}
			if f := r.Fleet; r.List == "" || r.Following == "" || r.Refusal != "" || f != nil && (!f.Known || f.Failure != "" || f.Over != "") {
				return errBroken
			}
			return nil
		}),
	}
}
