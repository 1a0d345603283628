package main

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"wallflow/internal/operator"
)

func newStatus(a *app) *cli.Command {
	o := &asking{}
	var asJSON bool
	return &cli.Command{
		Name:  "status",
		Usage: "Shows the system as its control processes see it: chain, members, versions, endpoints",
		Description: described(`Asks the control processes that are named, and all that these know of.

Exit codes: 0 all is well; 1 something is not as it should be, and is named; 2 nobody answers.`,
			`wallflow status --control 10.1.0.13:8166`,
			`wallflow status --control 10.1.0.13:8166 --json`),
		Flags: o.flags(a, boolFlag(&asJSON, "json", "as JSON")),
		Action: a.action(noArguments, func(ctx context.Context, cmd *cli.Command) error {
			return a.ask(ctx, cmd, o, func(ctx context.Context, client *operator.Client) error {
				system, err := askAll(ctx, client)
				if err != nil {
					return err
				}
				out := cmd.Root().Writer
				if err := show(out, asJSON, system, func() { system.text(out) }); err != nil {
					return err
				}
				if len(system.Wrong) > 0 {
					return errBroken
				}
				return nil
			})
		}),
	}
}

// systemStatus is what all control processes say.
type systemStatus struct {
	Control []controlStatus `json:"control"`
	Wrong   []string        `json:"wrong"`
}

// controlStatus is what one control process says, or why it doesn't.
type controlStatus struct {
	Address string           `json:"address"`
	Error   string           `json:"error,omitempty"`
	Status  *operator.Status `json:"status,omitempty"`
}

// askAll asks the control processes that are named, and those that these know of.
func askAll(ctx context.Context, client *operator.Client) (*systemStatus, error) {
	system := &systemStatus{Wrong: []string{}}
	asked := make(map[string]bool)
	answered := make(map[string]bool) // by node: one may be known under two addresses
	for todo := client.Addresses(); len(todo) > 0; todo = todo[1:] {
		address := todo[0]
		if asked[address] {
			continue
		}
		asked[address] = true
		status, err := client.Status(ctx, address)
		if err != nil {
			system.Control = append(system.Control, controlStatus{Address: address, Error: err.Error()})
			continue
		}
		if answered[status.Node] {
			continue
		}
		answered[status.Node] = true
		system.Control = append(system.Control, controlStatus{Address: address, Status: &status})
		for _, member := range status.Members {
			if member.Control != "" && !answered[member.Name] {
				todo = append(todo, member.Control)
			}
		}
	}
	if len(answered) == 0 {
		return nil, fmt.Errorf("no control process answers: %s", system.Control[0].Error)
	}
	system.judge()
	return system, nil
}

// newest is the status of a process that is in touch with the chain, else of any.
func (s *systemStatus) newest() *operator.Status {
	var newest *operator.Status
	for _, control := range s.Control {
		status := control.Status
		if status == nil {
			continue
		}
		if newest == nil || status.Fresh && !newest.Fresh || status.Fresh == newest.Fresh && status.Committed > newest.Committed {
			newest = status
		}
	}
	return newest
}

// judge names what is not as it should be.
func (s *systemStatus) judge() {
	newest := s.newest()
	for _, control := range s.Control {
		status := control.Status
		switch {
		case status == nil:
			s.wrong("control process at %s does not answer: %s", control.Address, control.Error)
		case !status.Fresh:
			s.wrong("%s is out of touch with the chain", status.Node)
		case status.Failed:
			s.wrong("%s can't write to its disk", status.Node)
		case status.Impaired:
			s.wrong("%s has a disk that does not keep up", status.Node)
		}
	}
	if len(newest.View.Chain) < 2 {
		s.wrong("the chain has %d members: what it acknowledges would not outlast the loss of one", len(newest.View.Chain))
	}
	if newest.Generation == 0 {
		s.wrong("no configuration has been taken yet")
	}
	for _, member := range newest.Members {
		switch {
		case member.Status != "alive":
			s.wrong("%s is %s", member.Name, member.Status)
		case member.Front != "" && !member.Serving:
			s.wrong("relay %s is not ready", member.Name)
		}
	}
	for _, voter := range newest.View.Voters {
		if !slices.ContainsFunc(newest.Members, func(member operator.Member) bool { return member.Name == voter }) {
			s.wrong("voter %s is gone: bring it back, or put another in its place", voter)
		}
	}
	for _, service := range newest.Services {
		if service.Ready == 0 {
			s.wrong("service %s has no endpoint that is ready", service.Name)
		}
	}
}

func (s *systemStatus) wrong(format string, arguments ...any) {
	s.Wrong = append(s.Wrong, fmt.Sprintf(format, arguments...))
}

func (s *systemStatus) text(out io.Writer) {
	newest := s.newest()
	evacuated := "no zone"
	if len(newest.Evacuated) > 0 {
		evacuated = strings.Join(newest.Evacuated, ", ")
	}
	fmt.Fprintf(out, "configuration  version %d; evacuated: %s\n", newest.Generation, evacuated)
	fmt.Fprintf(out, "chain          view %d: %s; voters %s\n", newest.View.Epoch, strings.Join(newest.View.Chain, " > "), strings.Join(newest.View.Voters, ", "))
	fmt.Fprintln(out)
	s.controlTable(out)
	fmt.Fprintln(out)
	memberTable(out, newest.Members)
	fmt.Fprintln(out)
	serviceTable(out, newest.Services)
	for _, wrong := range s.Wrong {
		fmt.Fprintln(out, "!", wrong)
	}
}

func (s *systemStatus) controlTable(out io.Writer) {
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "control\taddress\trole\tview\tversion\tposition\tcommitted\tfeeds\tstore")
	for _, control := range s.Control {
		status := control.Status
		if status == nil {
			fmt.Fprintf(table, "?\t%s\tno answer\t\t\t\t\t\t\n", control.Address)
			continue
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.8s\n", status.Node, control.Address, status.Role, status.View.Epoch, status.Generation,
			status.Position, status.Committed, status.Followers, status.Identity)
	}
	table.Flush()
}

func memberTable(out io.Writer, members []operator.Member) {
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "member\trole\tzone\tregion\tstatus\tclients at")
	for _, member := range members {
		front := member.Front
		if front != "" && !member.Serving {
			front += " (not ready)"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n", member.Name, member.Role, member.Zone, member.Region, member.Status, front)
	}
	table.Flush()
}

func serviceTable(out io.Writer, services []operator.Service) {
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "service\tready\tcold\tdraining\tsilent\tgone")
	sorted := slices.Clone(services)
	slices.SortFunc(sorted, func(a, b operator.Service) int { return strings.Compare(a.Name, b.Name) })
	for _, service := range sorted {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\n", service.Name, service.Ready, service.Cold, service.Draining, service.Silent, service.Gone)
	}
	table.Flush()
}
