package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"wallflow/internal/listsvc"
	"wallflow/internal/listsvc/client"
	"wallflow/internal/units"
)

const commandTimeout = 20 * time.Second // maximum time that a command waits for a service

// serveSettings is the section of the configuration file for a list server.
type serveSettings struct {
	Name          string
	Dir           string
	Listen        string                  // address of the HTTP API
	Raft          string                  // address for the other servers (Raft)
	AdvertiseHTTP string                  `toml:"advertise_http"`
	AdvertiseRaft string                  `toml:"advertise_raft"`
	Join          []string                // HTTP addresses of servers of a running cluster
	Beat          units.Duration          // Raft heartbeat and election timeout
	Keep          int                     // number of changes in the list's history
	SnapshotEach  uint64                  `toml:"snapshot_each"` // log entries between two snapshots
	Lease         units.Duration          // time without contact after which an agent's session lapses
	Servers       []listsvc.InitialServer // initial members of a new cluster
	Via           map[string]string       // addresses, mapped to those that are used instead
}

func newServe(a *app) *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "Runs a list server: the replicated list of endpoints",
		Description: withExamples(`Runs a list server until SIGTERM. On SIGTERM it first transfers its leadership to another server.

Without a configuration file it runs a single server on loopback. For a cluster of three, each server needs a
configuration file with its own name and the list of all three; none starts before all of them have agreed to form the
same cluster. A server with an empty folder joins a running cluster with --join.`,
			`wallflow serve`,
			`wallflow serve --config l0.toml`,
			`wallflow serve --name l3 --dir l3 --listen 127.0.0.1:7430 --raft 127.0.0.1:7431 --join 127.0.0.1:7400`,
			`wallflow serve status --server 127.0.0.1:7400`),
		Flags: []cli.Flag{
			stringFlag(&a.Serve.Name, "name", "l0", "name of this server in its cluster"),
			stringFlag(&a.Serve.Dir, "dir", "wallflow-state", "folder for its state"),
			stringFlag(&a.Serve.Listen, "listen", "127.0.0.1:7400", "address of the HTTP API"),
			stringFlag(&a.Serve.Raft, "raft", "127.0.0.1:7401", "address for the other servers"),
			stringsFlag(&a.Serve.Join, "join", nil, "addresses of servers of a running cluster to join"),
		},
		Commands: []*cli.Command{newServeStatus(a), newServeRemove(a)},
		Action:   a.action(noArguments, func(ctx context.Context, _ *cli.Command) error { return a.serve(ctx) }),
	}
}

func (a *app) serve(ctx context.Context) error {
	s := a.Serve
	server, err := listsvc.Open(listsvc.Options{Name: s.Name, Dir: s.Dir, Listen: s.Listen, Raft: s.Raft, AdvertiseHTTP: s.AdvertiseHTTP,
		AdvertiseRaft: s.AdvertiseRaft, Join: s.Join, Servers: s.Servers, AddressOverrides: s.Via, HistoryLength: s.Keep, HeartbeatTimeout: s.Beat.Duration,
		SnapshotThreshold: s.SnapshotEach, Lease: s.Lease.Duration, Log: a.log})
	if err != nil {
		return fmt.Errorf("list server: %w", err)
	}
	if err := server.Run(ctx); err != nil {
		return fmt.Errorf("list server: %w", err)
	}
	return nil
}

// serversFlag returns the flag for the addresses of list servers.
func (a *app) serversFlag() cli.Flag {
	return stringsFlag(&a.Server, "server", []string{"127.0.0.1:7400"}, "addresses of list servers")
}

func newServeStatus(a *app) *cli.Command {
	var asJSON bool
	return &cli.Command{
		Name:  "status",
		Usage: "Shows the status of the servers of a cluster, as reported by each",
		Description: withExamples(`Queries the given servers and all others that they know of, and shows the status of each.

Exit codes: 0 all answer, one is the leader and all have the same list; 1 there are problems; 2 no server answers.`,
			`wallflow serve status`,
			`wallflow serve status --server 127.0.0.1:7400,127.0.0.1:7410 --json`),
		Flags: []cli.Flag{a.serversFlag(), boolFlag(&asJSON, "json", "print JSON")},
		Action: a.action(noArguments, func(ctx context.Context, cmd *cli.Command) error {
			return a.serveStatus(ctx, cmd.Root().Writer, asJSON)
		}),
	}
}

// serverStatus is the status of a list server, or the error of its query.
type serverStatus struct {
	Address string          `json:"address"`
	Error   string          `json:"error,omitempty"`
	Report  *listsvc.Report `json:"report,omitempty"`
}

func (a *app) serveStatus(ctx context.Context, out io.Writer, asJSON bool) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	servers := nonEmpty(a.Server)
	c := client.New(servers...)
	defer c.Close()
	var all []serverStatus
	answered := 0
	queried, ids := map[string]bool{}, map[string]bool{}
	for queue := servers; len(queue) > 0; queue = queue[1:] {
		addr := queue[0]
		if queried[addr] {
			continue
		}
		queried[addr] = true
		r, err := c.Report(ctx, addr)
		if err != nil {
			all = append(all, serverStatus{Address: addr, Error: err.Error()})
			continue
		}
		answered++
		if ids[r.ID] { // the same server under another address
			continue
		}
		ids[r.ID] = true
		queried[r.HTTP] = true
		all = append(all, serverStatus{Address: addr, Report: &r})
		for _, m := range r.Members {
			if m.HTTP != "" && !ids[m.ID] {
				queue = append(queue, m.HTTP)
			}
		}
	}
	if answered == 0 {
		return fmt.Errorf("no list server answers: %s", all[0].Error)
	}
	sort.SliceStable(all, func(i, j int) bool { return sortName(all[i]) < sortName(all[j]) })
	problems := findClusterProblems(all)
	if asJSON {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		if err := e.Encode(map[string]any{"servers": all, "wrong": problems}); err != nil {
			return err
		}
	} else {
		writeServerTable(out, all)
		for _, problem := range problems {
			fmt.Fprintln(out, "!", problem)
		}
	}
	if len(problems) > 0 {
		return errCheckFailed
	}
	return nil
}

// sortName returns the name by which a server is sorted.
func sortName(s serverStatus) string {
	if s.Report == nil {
		return "~" + s.Address // sorts after the servers that answer
	}
	return s.Report.Name
}

func writeServerTable(out io.Writer, all []serverStatus) {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "server\taddress\trole\tcluster\tterm\tapplied\tlist\tversion\tentries\tage\twatches")
	for _, s := range all {
		r := s.Report
		if r == nil {
			fmt.Fprintf(w, "?\t%s\tno answer\n", s.Address)
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%.8s\t%d\t%d\t%.8s\t%d\t%d\t%s\t%d\n",
			r.Name, r.HTTP, r.Role, r.Cluster, r.Term, r.Applied, r.ListCluster, r.Version, r.Entries,
			(time.Duration(r.AgeMS) * time.Millisecond).String(), r.Watches)
	}
	w.Flush()
}

// findClusterProblems returns descriptions of the problems that need attention.
func findClusterProblems(all []serverStatus) (problems []string) {
	leaders, voters, firstVoters := map[string]uint64{}, 0, ""
	var first *listsvc.Report
	for _, s := range all {
		r := s.Report
		if r == nil {
			problems = append(problems, fmt.Sprintf("the server at %s does not answer: %s", s.Address, s.Error))
			continue
		}
		if first == nil {
			first = r
		}
		switch {
		case r.Failure != "":
			problems = append(problems, fmt.Sprintf("%s: %s: replace it", r.Name, r.Failure))
		case r.Role == listsvc.RoleNew:
			problems = append(problems, fmt.Sprintf("%s is not part of a cluster yet; it waits to form one with the servers %v", r.Name, r.Names))
		case r.Cluster != first.Cluster:
			problems = append(problems, fmt.Sprintf("%s belongs to cluster %s, but %s to %s", r.Name, r.Cluster, first.Name, first.Cluster))
		case r.Version == first.Version && (r.ListCluster != first.ListCluster || r.Entries != first.Entries):
			problems = append(problems, fmt.Sprintf("%s and %s have different lists under version %d", r.Name, first.Name, r.Version))
		}
		if r.Role == "leader" {
			leaders[r.Name] = r.Term
		}
		for _, m := range r.Members {
			if m.ID == r.ID && !m.Voter {
				problems = append(problems, fmt.Sprintf("%s has no vote yet", r.Name))
			}
		}
		if n := len(r.Members); n > voters {
			voters = n
		}
		if voterList := voterIDs(r); voterList != "" {
			if firstVoters == "" {
				firstVoters = voterList
			} else if voterList != firstVoters {
				problems = append(problems, fmt.Sprintf("%s and %s disagree on the voters: do not replace or stop any other server until they agree",
					r.Name, first.Name))
			}
		}
	}
	if first != nil && first.Role != listsvc.RoleNew && len(leaders) != 1 {
		problems = append(problems, fmt.Sprintf("%d servers lead: %v (without a leader nothing can be written; of two, the lower term ends soon)",
			len(leaders), leaders))
	}
	if voters == 2 || voters == 4 {
		problems = append(problems, fmt.Sprintf("the cluster has %d servers: it should have 1, 3 or 5", voters))
	}
	return problems
}

// voterIDs returns the sorted ids of the voting members that a server knows of, separated by spaces.
func voterIDs(r *listsvc.Report) string {
	var ids []string
	for _, m := range r.Members {
		if m.Voter {
			ids = append(ids, m.ID)
		}
	}
	sort.Strings(ids)
	return strings.Join(ids, " ")
}

func newServeRemove(a *app) *cli.Command {
	return &cli.Command{
		Name:      "remove",
		ArgsUsage: "NAME",
		Usage:     "Removes a server from its cluster permanently",
		Description: withExamples(`Removes a server that will not return, or whose folder was lost. Its name can then be used for a new server
with an empty folder, started with --join. It is not necessary to remove a server in order to restart it.`,
			`wallflow serve remove l2`),
		Flags: []cli.Flag{a.serversFlag()},
		Action: a.action(exactArguments(1, "the server's name"), func(ctx context.Context, cmd *cli.Command) error {
			name := cmd.Args().First()
			ctx, cancel := context.WithTimeout(ctx, commandTimeout)
			defer cancel()
			c := client.New(nonEmpty(a.Server)...)
			defer c.Close()
			if _, err := c.Do(ctx, http.MethodDelete, "/cluster/servers/"+url.PathEscape(name), nil, nil); err != nil {
				return err
			}
			fmt.Fprintf(cmd.Root().Writer, "%s is removed\n", name)
			return nil
		}),
	}
}
