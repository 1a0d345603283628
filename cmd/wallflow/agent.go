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

// agentSettings is the section of the configuration file for an agent.
type agentSettings struct {
	Listen string
	Dir    string
	Finals string            // address to forward notices (final results of requests) to
	Spool  units.Bytes       // maximum size of the stored notices
	TakeOn string            `toml:"take_on"`
	Via    map[string]string // addresses of list entries, mapped to those that the relay gets instead
	Name   string            // name under which the agent registers its relay; empty: it is not registered
	Zone   string            // zone of its machine
}

func newAgent(a *app) *cli.Command {
	return &cli.Command{
		Name:  "agent",
		Usage: "Runs the agent next to a relay, which provides the list and accepts notices even while the list service is unavailable",
		Description: withExamples(`Runs an agent until SIGTERM. It follows one of the list servers and switches to another if that one is silent
or behind. It keeps the last list on disk and serves it to the relay. Notices are acknowledged once they are on this
machine's disk, and forwarded in order, each at least once.

Set the relay's ROUTER_DISCOVERY to the agent's address.`,
			`wallflow agent --server 127.0.0.1:7600,127.0.0.1:7610,127.0.0.1:7620 --finals 127.0.0.1:7700`,
			`wallflow agent status`),
		Flags: []cli.Flag{
			stringFlag(&a.Agent.Dir, "dir", "wallflow-agent", "folder for the list and the notices"),
			stringFlag(&a.Agent.Listen, "listen", "127.0.0.1:7500", "address for the relay"),
			stringFlag(&a.Agent.Finals, "finals", "", "address to forward notices to (default: they are only stored)"),
			stringFlag(&a.Agent.TakeOn, "take-on", "", "id of a list to accept even though it has far fewer entries than the current one"),
			stringFlag(&a.Agent.Name, "register", "",
				"name under which the agent registers its relay with the list service, for the fleet's policy (default: not registered)"),
			stringFlag(&a.Agent.Zone, "zone", "", "zone of this machine"),
			a.serversFlag(),
		},
		Commands: []*cli.Command{newAgentStatus(a)},
		Action: a.action(noArguments, func(ctx context.Context, _ *cli.Command) error {
			s := a.Agent
			agentProcess, err := agent.Open(agent.Options{Dir: s.Dir, Listen: s.Listen, Servers: nonEmpty(a.Server), NoticeAddr: s.Finals,
				MaxSpoolBytes: s.Spool.N, ForceList: s.TakeOn, AddrOverrides: s.Via, Name: s.Name, Zone: s.Zone, Build: version(), Log: a.log})
			if err != nil {
				return fmt.Errorf("agent: %w", err)
			}
			if err := agentProcess.Run(ctx); err != nil {
				return fmt.Errorf("agent: %w", err)
			}
			return nil
		}),
	}
}

func newAgentStatus(a *app) *cli.Command {
	var address string
	var asJSON bool
	return &cli.Command{
		Name:  "status",
		Usage: "Shows the list that an agent has, and the server that it follows",
		Description: `Shows the list that an agent has, and the server that it follows.

Exit codes: 0 it follows a server, has a list and reports no problem; 1 otherwise; 2 it does not answer.`,
		Flags: []cli.Flag{
			stringFlag(&address, "agent", "127.0.0.1:7500", "address of the agent"),
			boolFlag(&asJSON, "json", "print JSON"),
		},
		Action: a.action(noArguments, func(ctx context.Context, cmd *cli.Command) error {
			ctx, cancel := context.WithTimeout(ctx, commandTimeout)
			defer cancel()
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/agent/status", nil)
			if err != nil {
				return err
			}
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				return err
			}
			defer response.Body.Close()
			var report agent.Report
			if err := json.NewDecoder(response.Body).Decode(&report); err != nil || response.StatusCode != http.StatusOK {
				return errors.Join(fmt.Errorf("%s answers %s", address, response.Status), err)
			}
			out := cmd.Root().Writer
			if asJSON {
				encoder := json.NewEncoder(out)
				encoder.SetIndent("", "  ")
				if err := encoder.Encode(report); err != nil {
					return err
				}
			} else {
				following, lastContact := report.Following, "never"
				if following == "" {
					following = "no server at the moment"
				}
				if report.HeardMS >= 0 {
					lastContact = (time.Duration(report.HeardMS) * time.Millisecond).String() + " ago"
				}
				fmt.Fprintf(out, "list      %s, version %d, %d entries\nfollows   %s; heard %s\nrelays    %d watch\nnotices   %d requests wait (%d bytes), %d handed on since the start\n",
					report.List, report.Version, report.Entries, following, lastContact, report.Watches, report.Waiting, report.Spooled, report.Handed)
				if fleet := report.Fleet; fleet != nil {
					policy, relay := "not known yet", "none runs"
					if fleet.Known {
						policy = fmt.Sprint(fleet.Policy)
					}
					if fleet.Relay {
						relay = "runs"
					}
					fmt.Fprintf(out, "session   %s, start %d; relay %s\npolicy    %s; staged %d, promised %d\n",
						fleet.ID, fleet.Boot, relay, policy, fleet.Staged, fleet.Promised)
					for _, problem := range []string{fleet.Failure, fleet.Over} {
						if problem != "" {
							fmt.Fprintln(out, "!", problem)
						}
					}
				}
				if report.Refusal != "" {
					fmt.Fprintln(out, "!", report.Refusal)
				}
			}
			if fleet := report.Fleet; report.List == "" || report.Following == "" || report.Refusal != "" ||
				fleet != nil && (!fleet.Known || fleet.Failure != "" || fleet.Over != "") {
				return errCheckFailed
			}
			return nil
		}),
	}
}
