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
	o := &controlOptions{}
	var asJSON bool
	return &cli.Command{
		Name:  "status",
		Usage: "Shows the system as seen by its control processes: chain, members, versions, endpoints",
		Description: withExamples(`Queries the given control processes and all others that they know of.

Exit codes: 0 no problems; 1 there are problems, which are listed; 2 no control process answers.`,
			`wallflow status --control 10.1.0.13:8166`,
			`wallflow status --control 10.1.0.13:8166 --json`),
		Flags: o.flags(a, boolFlag(&asJSON, "json", "print JSON")),
		Action: a.action(noArguments, func(ctx context.Context, cmd *cli.Command) error {
			return a.withControlClient(ctx, cmd, o, func(ctx context.Context, client *operator.Client) error {
				system, err := collectStatus(ctx, client)
				if err != nil {
					return err
				}
				out := cmd.Root().Writer
				if err := printResult(out, asJSON, system, func() { system.writeText(out) }); err != nil {
					return err
				}
				if len(system.Problems) > 0 {
					return errCheckFailed
				}
				return nil
			})
		}),
	}
}

// systemStatus holds the status of all control processes and the problems found in it.
type systemStatus struct {
	Control  []controlStatus `json:"control"`
	Problems []string        `json:"wrong"`
}

// controlStatus is the status of a control process, or the error of its query.
type controlStatus struct {
	Address string           `json:"address"`
	Error   string           `json:"error,omitempty"`
	Status  *operator.Status `json:"status,omitempty"`
}

// collectStatus queries the given control processes and all others that they know of.
func collectStatus(ctx context.Context, client *operator.Client) (*systemStatus, error) {
	system := &systemStatus{Problems: []string{}}
	queried := make(map[string]bool)
	answered := make(map[string]bool) // by node name, as a process may be known under two addresses
	for queue := client.Addresses(); len(queue) > 0; queue = queue[1:] {
		address := queue[0]
		if queried[address] {
			continue
		}
		queried[address] = true
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
			if member.APIAddress != "" && !answered[member.Name] {
				queue = append(queue, member.APIAddress)
			}
		}
	}
	if len(answered) == 0 {
		return nil, fmt.Errorf("no control process answers: %s", system.Control[0].Error)
	}
	system.findProblems()
	return system, nil
}

// newest returns the most recent status: preferably a fresh one, and among equals the one with the highest committed position.
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

// findProblems fills Problems with what needs attention.
func (s *systemStatus) findProblems() {
	newest := s.newest()
	for _, control := range s.Control {
		status := control.Status
		switch {
		case status == nil:
			s.addProblem("control process at %s does not answer: %s", control.Address, control.Error)
		case !status.Fresh:
			s.addProblem("%s is out of touch with the chain", status.Node)
		case status.WriteFailed:
			s.addProblem("%s can't write to its disk", status.Node)
		case status.DiskTooSlow:
			s.addProblem("%s has a disk that does not keep up", status.Node)
		}
	}
	if len(newest.View.Chain) < 2 {
		s.addProblem("the chain has %d members: if one is lost, acknowledged changes may be lost", len(newest.View.Chain))
	}
	if newest.Generation == 0 {
		s.addProblem("no configuration has been taken yet")
	}
	for _, member := range newest.Members {
		switch {
		case member.Status != "alive":
			s.addProblem("%s is %s", member.Name, member.Status)
		case member.ClientAddress != "" && !member.Serving:
			s.addProblem("relay %s is not ready", member.Name)
		}
	}
	for _, voter := range newest.View.Voters {
		if !slices.ContainsFunc(newest.Members, func(member operator.Member) bool { return member.Name == voter }) {
			s.addProblem("voter %s is gone: restart or replace it", voter)
		}
	}
	for _, service := range newest.Services {
		if service.Ready == 0 {
			s.addProblem("service %s has no endpoint that is ready", service.Name)
		}
	}
}

func (s *systemStatus) addProblem(format string, arguments ...any) {
	s.Problems = append(s.Problems, fmt.Sprintf(format, arguments...))
}

func (s *systemStatus) writeText(out io.Writer) {
	newest := s.newest()
	evacuated := "no zone"
	if len(newest.Evacuated) > 0 {
		evacuated = strings.Join(newest.Evacuated, ", ")
	}
	fmt.Fprintf(out, "configuration  version %d; evacuated: %s\n", newest.Generation, evacuated)
	fmt.Fprintf(out, "chain          view %d: %s; voters %s\n", newest.View.Epoch, strings.Join(newest.View.Chain, " > "),
		strings.Join(newest.View.Voters, ", "))
	fmt.Fprintln(out)
	s.writeControlTable(out)
	fmt.Fprintln(out)
	writeMemberTable(out, newest.Members)
	fmt.Fprintln(out)
	writeServiceTable(out, newest.Services)
	for _, problem := range s.Problems {
		fmt.Fprintln(out, "!", problem)
	}
}

func (s *systemStatus) writeControlTable(out io.Writer) {
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "control\taddress\trole\tview\tversion\tposition\tcommitted\tfeeds\tstore")
	for _, control := range s.Control {
		status := control.Status
		if status == nil {
			fmt.Fprintf(table, "?\t%s\tno answer\t\t\t\t\t\t\n", control.Address)
			continue
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.8s\n", status.Node, control.Address, status.Role, status.View.Epoch,
			status.Generation, status.Position, status.Committed, status.Subscribers, status.Identity)
	}
	table.Flush()
}

func writeMemberTable(out io.Writer, members []operator.Member) {
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "member\trole\tzone\tregion\tstatus\tclients at")
	for _, member := range members {
		front := member.ClientAddress
		if front != "" && !member.Serving {
			front += " (not ready)"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n", member.Name, member.Role, member.Zone, member.Region, member.Status, front)
	}
	table.Flush()
}

func writeServiceTable(out io.Writer, services []operator.Service) {
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "service\tready\tcold\tdraining\tsilent\tgone")
	sorted := slices.Clone(services)
	slices.SortFunc(sorted, func(a, b operator.Service) int { return strings.Compare(a.Name, b.Name) })
	for _, service := range sorted {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\n", service.Name, service.Ready, service.Cold, service.Draining, service.Silent, service.Gone)
	}
	table.Flush()
}
