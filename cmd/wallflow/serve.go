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

const commandFor = 20 * time.Second // that a command for people waits for the service

// serveSettings are the configuration's section for a list server.
type serveSettings struct {
	Name          string
	Dir           string
	Listen        string            // HTTP
	Raft          string            // for the other servers
	AdvertiseHTTP string            `toml:"advertise_http"`
	AdvertiseRaft string            `toml:"advertise_raft"`
	Join          []string          // HTTP addresses of a running cluster
	Beat          units.Duration    // without a word of the leader for so long, a server stands for election
	Keep          int               // changes that the list's history keeps
	SnapshotEach  uint64            `toml:"snapshot_each"` // commands
	Lease         units.Duration    // a session that is not heard of for so long has lapsed
	Servers       []listsvc.First   // of a first start
	Via           map[string]string // addresses in whose place others are used
}

func newServe(a *app) *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "Runs a list server: the replicated list of endpoints",
		Description: described(`Runs a list server until SIGTERM, which first hands leadership over.

With no configuration it is one server on loopback, its state in a folder it names. Three servers differ from it by a
configuration file alone: each names itself and all of them, and none begins before all have promised themselves to the
same cluster. A server with an empty folder is taken into a running cluster with --join.`,
			`wallflow serve`,
			`wallflow serve --config l0.toml`,
			`wallflow serve --name l3 --dir l3 --listen 127.0.0.1:7430 --raft 127.0.0.1:7431 --join 127.0.0.1:7400`,
			`wallflow serve status --server 127.0.0.1:7400`),
		Flags: []cli.Flag{
			stringFlag(&a.Serve.Name, "name", "l0", "name of the server in its cluster"),
			stringFlag(&a.Serve.Dir, "dir", "wallflow-state", "folder of its state"),
			stringFlag(&a.Serve.Listen, "listen", "127.0.0.1:7400", "address of the list"),
			stringFlag(&a.Serve.Raft, "raft", "127.0.0.1:7401", "address for the other servers"),
			stringsFlag(&a.Serve.Join, "join", nil, "addresses of a running cluster that is to take this server in"),
		},
		Commands: []*cli.Command{newServeStatus(a), newServeRemove(a)},
		Action:   a.action(noArguments, func(ctx context.Context, _ *cli.Command) error { return a.serve(ctx) }),
	}
}

func (a *app) serve(ctx context.Context) error {
	s := a.Serve
	server, err := listsvc.Open(listsvc.Options{Name: s.Name, Dir: s.Dir, Listen: s.Listen, Raft: s.Raft, AdvertiseHTTP: s.AdvertiseHTTP, AdvertiseRaft: s.AdvertiseRaft,
		Join: s.Join, Servers: s.Servers, Via: s.Via, Keep: s.Keep, Beat: s.Beat.Duration, SnapshotEach: s.SnapshotEach, Lease: s.Lease.Duration, Log: a.log})
	if err != nil {
		return fmt.Errorf("list server: %w", err)
	}
	if err := server.Run(ctx); err != nil {
		return fmt.Errorf("list server: %w", err)
	}
	return nil
}

// servers is the flag that names list servers.
func (a *app) servers() cli.Flag {
	return stringsFlag(&a.Server, "server", []string{"127.0.0.1:7400"}, "addresses of list servers")
}

func newServeStatus(a *app) *cli.Command {
	var asJSON bool
	return &cli.Command{
		Name:  "status",
		Usage: "Shows the servers of a cluster, as each of them sees it",
		Description: described(`Asks the servers that are named, and all that these know of, and shows what each says of itself.

Exit codes: 0 all answer, one leads and all hold the same list; 1 something is not as it should be; 2 nobody answers.`,
			`wallflow serve status`,
			`wallflow serve status --server 127.0.0.1:7400,127.0.0.1:7410 --json`),
		Flags: []cli.Flag{a.servers(), boolFlag(&asJSON, "json", "as JSON")},
		Action: a.action(noArguments, func(ctx context.Context, cmd *cli.Command) error {
			return a.serveStatus(ctx, cmd.Root().Writer, asJSON)
		}),
	}
}

// standing is a server in a status.
type standing struct {
	Address string          `json:"address"`
	Error   string          `json:"error,omitempty"`
	Report  *listsvc.Report `json:"report,omitempty"`
}

func (a *app) serveStatus(ctx context.Context, out io.Writer, asJSON bool) error {
	ctx, cancel := context.WithTimeout(ctx, commandFor)
	defer cancel()
	servers := given(a.Server)
	c := client.New(servers...)
	defer c.Close()
	var all []standing
	answered := 0
	asked, ids := map[string]bool{}, map[string]bool{}
	for todo := servers; len(todo) > 0; todo = todo[1:] {
		addr := todo[0]
		if asked[addr] {
			continue
		}
		asked[addr] = true
		r, err := c.Report(ctx, addr)
		if err != nil {
			all = append(all, standing{Address: addr, Error: err.Error()})
			continue
		}
		answered++
		if ids[r.ID] { // under another address
			continue
		}
		ids[r.ID] = true
		asked[r.HTTP] = true
		all = append(all, standing{Address: addr, Report: &r})
		for _, m := range r.Members {
			if m.HTTP != "" && !ids[m.ID] {
				todo = append(todo, m.HTTP)
			}
		}
	}
	if answered == 0 {
		return fmt.Errorf("no list server answers: %s", all[0].Error)
	}
	sort.SliceStable(all, func(i, j int) bool { return nameOf(all[i]) < nameOf(all[j]) })
	wrong := misgivings(all)
	if asJSON {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		if err := e.Encode(map[string]any{"servers": all, "wrong": wrong}); err != nil {
			return err
		}
	} else {
		statusTable(out, all)
		for _, w := range wrong {
			fmt.Fprintln(out, "!", w)
		}
	}
	if len(wrong) > 0 {
		return errBroken
	}
	return nil
}

func nameOf(s standing) string {
	if s.Report == nil {
		return "~" + s.Address // behind those that answer
	}
	return s.Report.Name
}

func statusTable(out io.Writer, all []standing) {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "server\taddress\trole\tcluster\tterm\tapplied\tlist\tversion\tentries\tage\twatches")
	for _, s := range all {
		r := s.Report
		if r == nil {
			fmt.Fprintf(w, "?\t%s\tno answer\n", s.Address)
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%.8s\t%d\t%d\t%.8s\t%d\t%d\t%s\t%d\n", r.Name, r.HTTP, r.Role, r.Cluster, r.Term, r.Applied, r.List, r.Version, r.Entries,
			(time.Duration(r.AgeMS) * time.Millisecond).String(), r.Watches)
	}
	w.Flush()
}

// misgivings are what staff should look at.
func misgivings(all []standing) (wrong []string) {
	leaders, voters, view := map[string]uint64{}, 0, ""
	var first *listsvc.Report
	for _, s := range all {
		r := s.Report
		if r == nil {
			wrong = append(wrong, fmt.Sprintf("the server at %s does not answer: %s", s.Address, s.Error))
			continue
		}
		if first == nil {
			first = r
		}
		switch {
		case r.Failure != "":
			wrong = append(wrong, fmt.Sprintf("%s: %s: replace it", r.Name, r.Failure))
		case r.Role == listsvc.RoleNew:
			wrong = append(wrong, fmt.Sprintf("%s is part of no cluster yet; its first start is to have the servers %v", r.Name, r.Names))
		case r.Cluster != first.Cluster:
			wrong = append(wrong, fmt.Sprintf("%s is of cluster %s, and %s of %s", r.Name, r.Cluster, first.Name, first.Cluster))
		case r.Version == first.Version && (r.List != first.List || r.Entries != first.Entries):
			wrong = append(wrong, fmt.Sprintf("%s and %s hold different lists under version %d", r.Name, first.Name, r.Version))
		}
		if r.Role == "leader" {
			leaders[r.Name] = r.Term
		}
		for _, m := range r.Members {
			if m.ID == r.ID && !m.Voter {
				wrong = append(wrong, fmt.Sprintf("%s has no vote yet", r.Name))
			}
		}
		if n := len(r.Members); n > voters {
			voters = n
		}
		if v := votersOf(r); v != "" {
			if view == "" {
				view = v
			} else if v != view {
				wrong = append(wrong, fmt.Sprintf("%s has not heard of the same voters as %s: replace or end no other server until it has", r.Name, first.Name))
			}
		}
	}
	if first != nil && first.Role != listsvc.RoleNew && len(leaders) != 1 {
		wrong = append(wrong, fmt.Sprintf("%d servers lead: %v (with none nothing can be written; of two the one of the lower term is about to notice)", len(leaders), leaders))
	}
	if voters == 2 || voters == 4 {
		wrong = append(wrong, fmt.Sprintf("the cluster has %d servers: 1, 3 or 5 are wanted", voters))
	}
	return wrong
}

// votersOf are the ids of those that have a vote, as a server knows it.
func votersOf(r *listsvc.Report) string {
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
		Usage:     "Removes a server from its cluster, for good",
		Description: described(`Removes a server that will not come back, or whose folder was lost. Its name is free then for a new one with an empty
folder, started with --join. A server that runs under its name need not be removed to be restarted.`,
			`wallflow serve remove l2`),
		Flags: []cli.Flag{a.servers()},
		Action: a.action(exactly(1, "the server's name"), func(ctx context.Context, cmd *cli.Command) error {
			name := cmd.Args().First()
			ctx, cancel := context.WithTimeout(ctx, commandFor)
			defer cancel()
			c := client.New(given(a.Server)...)
			defer c.Close()
			if _, err := c.Do(ctx, http.MethodDelete, "/cluster/servers/"+url.PathEscape(name), nil, nil); err != nil {
				return err
			}
			fmt.Fprintf(cmd.Root().Writer, "%s is removed\n", name)
			return nil
		}),
	}
}
