package listsvc

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/raft"

	"wallflow/internal/catalog"
	"wallflow/internal/invariant"
)

const (
	requestTimeout    = 30 * time.Second // to read a response, or to send a body
	membershipTimeout = 5 * time.Second  // for a change of the cluster's servers
	maxVoterLag       = 64               // log entries that a nonvoter may be behind when it becomes a voter
	maxSnapshotBytes  = 256 << 20        // bytes
)

// Roles of a server in its report, in addition to raft's own.
const (
	RoleNew    = "new"    // not a member of a cluster yet
	RoleFailed = "failed" // its disk failed; it serves reads from memory
)

// Report is the status of a server.
type Report struct {
	Name        string    `json:"name"`
	ID          string    `json:"id"`
	HTTP        string    `json:"http"`
	Raft        string    `json:"raft"`
	Role        string    `json:"role"`
	Leader      string    `json:"leader,omitempty"` // server ID
	Cluster     string    `json:"cluster,omitempty"`
	Term        uint64    `json:"term"`
	LastIndex   uint64    `json:"last_index"`
	Commit      uint64    `json:"commit_index"`
	Applied     uint64    `json:"applied_index"`
	ListCluster string    `json:"list_cluster,omitempty"` // ID of the list; a restore changes it
	Version     int64     `json:"version"`
	Entries     int       `json:"entries"`
	AgeMS       int64     `json:"age_ms"`
	Watches     int64     `json:"watches"`
	Members     []Member  `json:"members,omitempty"`
	Names       []string  `json:"names,omitempty"`    // configured initial servers, while there is no cluster
	Founding    *Founding `json:"founding,omitempty"` // while there is no cluster
	Failure     string    `json:"failure,omitempty"`
	Broken      int64     `json:"invariants_broken,omitempty"`
}

// Member is a server in raft's configuration.
type Member struct {
	Peer
	Voter bool `json:"voter"`
}

// Report returns the status of the server.
func (s *Server) Report() Report {
	identity, status := s.currentIdentity(), s.machine.Status()
	r := Report{Name: s.opts.Name, ID: identity.ID, HTTP: s.opts.AdvertiseHTTP, Raft: s.opts.AdvertiseRaft, Role: strings.ToLower(s.raft.State().String()), Cluster: identity.Cluster,
		Term: s.raft.CurrentTerm(), LastIndex: s.raft.LastIndex(), Commit: s.raft.CommitIndex(), Applied: s.raft.AppliedIndex(), ListCluster: status.Cluster, Version: status.Version,
		Entries: status.Entries, AgeMS: s.Age().Milliseconds(), Broken: invariant.Broken(), Watches: s.api.watches.Load()}
	if _, id := s.raft.LeaderWithID(); id != "" {
		r.Leader = string(id)
	}
	for _, x := range s.raft.GetConfiguration().Configuration().Servers {
		p, ok := s.machine.Server(string(x.ID))
		if !ok {
			p = Peer{ID: string(x.ID), Raft: string(x.Address)}
		}
		r.Members = append(r.Members, Member{p, x.Suffrage == raft.Voter})
	}
	if len(r.Members) == 0 {
		r.Role, r.Names, r.Founding = RoleNew, s.opts.names(), identity.Founding
	}
	if err := s.diskError(); err != nil {
		r.Role, r.Leader, r.Failure = RoleFailed, "", err.Error()
	}
	return r
}

// handler returns the HTTP handler for all paths of the server.
func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/catalog/", s.api.Handler())
	mux.HandleFunc("GET /cluster/status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Report()) })
	mux.HandleFunc("POST /cluster/founding", s.handleFounding)
	mux.HandleFunc("POST /cluster/servers", s.handleAddServer)
	mux.HandleFunc("DELETE /cluster/servers/{name}", s.handleRemoveServer)
	mux.HandleFunc("GET /cluster/snapshot", s.handleBackup)
	mux.HandleFunc("PUT /cluster/snapshot", s.handleRestore)
	s.registerFleetHandlers(mux)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := http.NewResponseController(w)
		c.SetWriteDeadline(time.Now().Add(requestTimeout)) // a watch sets its own deadline
		if r.Method != http.MethodGet {
			c.SetReadDeadline(time.Now().Add(requestTimeout))
		}
		mux.ServeHTTP(w, r)
	})
}

// writeJSON writes v as the body of a successful response.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", contentTypeJSON)
	json.NewEncoder(w).Encode(v)
}

// handleFounding makes this server part of a founding, which is permanent.
func (s *Server) handleFounding(w http.ResponseWriter, r *http.Request) {
	var f Founding
	if _, status, err := readBody(w, r, &f); err != nil {
		s.api.writeError(w, status, err)
		return
	}
	if err := s.acceptFounding(&f); err != nil {
		s.api.writeError(w, http.StatusConflict, err)
		return
	}
	writeJSON(w, s.Report())
}

// acceptFounding validates a founding and stores it in the server's identity.
func (s *Server) acceptFounding(f *Founding) error {
	return s.updateIdentity(func(i *identity) error {
		if i.Founding != nil && i.Founding.equal(f) {
			return nil
		}
		if err := f.check(*i, s.opts.names(), len(s.raft.GetConfiguration().Configuration().Servers) > 0); err != nil {
			return err
		}
		i.Cluster, i.Founding = f.Cluster, f
		return nil
	})
}

// callPeer sends a request to another server and decodes its response into out.
func (s *Server) callPeer(ctx context.Context, method, addr, path string, in, out any) error {
	var data []byte
	if in != nil {
		var err error
		if data, err = json.Marshal(in); err != nil {
			return err
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+s.dialAddress(addr)+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	res, err := s.peerClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, maxBodyBytes))
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		var problem errorResponse
		if json.Unmarshal(text, &problem) != nil || problem.Error == "" {
			problem.Error = res.Status
		}
		if res.StatusCode == http.StatusGone {
			return fmt.Errorf("%w: %s", ErrRemoved, problem.Error)
		}
		return errors.New(problem.Error)
	}
	return json.Unmarshal(text, out)
}

// runMembership founds or joins a cluster if the server is not a member of one yet. Afterwards it keeps the membership up to
// date, and stops the server if the cluster has removed it.
func (s *Server) runMembership(ctx context.Context) {
	lastLogged := ""
	for !sleepInterrupted(ctx, membershipInterval) {
		var err error
		switch isMember := len(s.raft.GetConfiguration().Configuration().Servers) > 0; {
		case s.diskError() != nil:
			return
		case isMember:
			err = s.maintainMembership(ctx)
		case len(s.opts.Join) > 0:
			err = s.joinCluster(ctx)
		default:
			err = s.foundCluster(ctx)
		}
		if errors.Is(err, ErrClusterExists) || errors.Is(err, ErrRemoved) {
			s.exitWith(err)
			return
		}
		if err != nil && err.Error() != lastLogged && ctx.Err() == nil {
			lastLogged = err.Error()
			s.log.Warn("cluster membership is not established yet", "err", err)
		}
	}
}

// sleepInterrupted sleeps for d and reports whether the context ended first.
func sleepInterrupted(ctx context.Context, d time.Duration) bool { return !sleep(ctx, ctx, d) }

// foundCluster takes part in the first start of a cluster. The server whose name sorts first founds the cluster once every
// server has promised to take part.
func (s *Server) foundCluster(ctx context.Context) error {
	identity := s.currentIdentity()
	if identity.Cluster != "" && identity.Founding == nil {
		return fmt.Errorf("this server was added to cluster %s: waiting for its leader", identity.Cluster)
	}
	peers := []Peer{s.ownPeer()}
	for _, initial := range s.opts.Servers {
		if initial.Name == identity.Name {
			continue
		}
		var report Report
		if err := s.callPeer(ctx, http.MethodGet, initial.HTTP, "/cluster/status", nil, &report); err != nil {
			return fmt.Errorf("waiting for server %s: %w", initial.Name, err)
		}
		if report.Failure != "" && len(report.Members) == 0 {
			return fmt.Errorf("waiting for server %s, whose disk has failed: %s", initial.Name, report.Failure)
		}
		if report.Role != RoleNew {
			if !slices.ContainsFunc(report.Members, func(m Member) bool { return m.ID == identity.ID }) {
				return fmt.Errorf("%w: server %s at %s belongs to cluster %s; start this server with --join to join it", ErrClusterExists, initial.Name, initial.HTTP, report.Cluster)
			}
			return nil // the cluster is founded, and its leader will contact this server
		}
		if report.Name != initial.Name {
			return fmt.Errorf("the server at %s is %q, not %q", initial.HTTP, report.Name, initial.Name)
		}
		peers = append(peers, Peer{report.ID, report.Name, report.HTTP, report.Raft})
	}
	slices.SortFunc(peers, byName)
	if peers[0].ID != identity.ID {
		return fmt.Errorf("waiting for server %s to found the cluster", peers[0].Name)
	}
	founding := identity.Founding
	switch {
	case founding == nil:
		founding = &Founding{Cluster: randomID(), Founder: identity.ID, Round: 1, Servers: peers}
	case founding.Founder == identity.ID && !slices.Equal(founding.Servers, peers):
		founding = &Founding{Cluster: randomID(), Founder: identity.ID, Round: founding.Round + 1, Servers: peers}
	}
	if err := s.acceptFounding(founding); err != nil {
		return err
	}
	for _, p := range peers[1:] {
		if err := s.callPeer(ctx, http.MethodPost, p.HTTP, "/cluster/founding", founding, &Report{}); err != nil {
			return fmt.Errorf("server %s refused the founding: %w", p.Name, err)
		}
	}
	var conf raft.Configuration
	for _, p := range founding.Servers {
		conf.Servers = append(conf.Servers, raft.Server{ID: raft.ServerID(p.ID), Address: raft.ServerAddress(p.Raft)})
	}
	if err := s.raft.BootstrapCluster(conf).Error(); err != nil {
		return fmt.Errorf("bootstrapping raft: %w", err)
	}
	s.log.Info("founded a cluster", "cluster", founding.Cluster, "servers", founding.ids())
	return nil
}

// addServerResponse is the response to a server that asked to be added.
type addServerResponse struct {
	Cluster string `json:"cluster"`
	Voter   bool   `json:"voter"`
}

// joinCluster asks a running cluster to add this server.
func (s *Server) joinCluster(ctx context.Context) error {
	var errs []error
	for _, addr := range s.opts.Join {
		var response addServerResponse
		err := s.callPeer(ctx, http.MethodPost, addr, "/cluster/servers", s.ownPeer(), &response)
		if err == nil {
			return s.updateIdentity(func(i *identity) error {
				if i.Cluster != "" && i.Cluster != response.Cluster {
					return fmt.Errorf("this server is a member of cluster %s, but %s belongs to cluster %s", i.Cluster, addr, response.Cluster)
				}
				i.Cluster, i.Founding = response.Cluster, nil
				return nil
			})
		}
		errs = append(errs, fmt.Errorf("%s: %w", addr, err))
	}
	return fmt.Errorf("could not join: %w", errors.Join(errs...))
}

// maintainMembership registers this server's current addresses with the leader and asks it for a vote. Without a leader it
// checks whether this server was removed.
func (s *Server) maintainMembership(ctx context.Context) error {
	own, servers := s.ownPeer(), s.raft.GetConfiguration().Configuration().Servers
	if _, id := s.raft.LeaderWithID(); id != "" && s.Age() < 2*s.opts.HeartbeatTimeout {
		known, ok := s.machine.Server(own.ID)
		voter := slices.ContainsFunc(servers, func(x raft.Server) bool { return string(x.ID) == own.ID && x.Suffrage == raft.Voter })
		switch {
		case !ok && s.machine.Status().Cluster == "", ok && known == own && voter:
			return nil
		case string(id) == own.ID:
			_, err := s.addServer(ctx, own)
			return err
		}
		leader, ok := s.machine.Server(string(id))
		if !ok {
			return nil
		}
		return s.callPeer(ctx, http.MethodPost, leader.HTTP, "/cluster/servers", own, &addServerResponse{})
	}
	return s.checkRemoved(ctx, own)
}

// checkRemoved asks the other servers whether this one was removed, while it knows no leader. The replicated records of a
// server that was removed early may not contain the others, so it asks the configured addresses as well.
func (s *Server) checkRemoved(ctx context.Context, own Peer) error {
	identity := s.currentIdentity()
	cluster := identity.Cluster
	if cluster == "" && identity.Founding != nil {
		cluster = identity.Founding.Cluster
	}
	if cluster == "" {
		return nil
	}
	for _, addr := range peerAddresses(own, s.machine.Servers(), s.opts.Servers, s.opts.Join) {
		var report Report
		if s.callPeer(ctx, http.MethodGet, addr, "/cluster/status", nil, &report) != nil || report.Cluster != cluster || report.Commit < s.raft.CommitIndex() {
			continue
		}
		if report.showsRemovalOf(own.ID) {
			return fmt.Errorf("%w: reported by server %s", ErrRemoved, report.Name)
		}
	}
	return nil
}

// showsRemovalOf reports whether the status of another server shows that a server is no longer a member of the cluster. A server that has
// not received the members yet shows nothing of them: while a cluster is founded, a follower knows the leader before it knows the members.
func (r *Report) showsRemovalOf(id string) bool {
	isListed := slices.ContainsFunc(r.Members, func(m Member) bool { return m.ID == id })
	return r.Leader != "" && len(r.Members) > 0 && !isListed
}

// peerAddresses returns the HTTP addresses at which other servers of the cluster may answer, without duplicates: those in
// the replicated records, of the initial servers, and of the servers to join.
func peerAddresses(own Peer, known []Peer, initial []InitialServer, join []string) []string {
	var addresses []string
	add := func(address string) {
		if address != "" && address != own.HTTP && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	for _, peer := range known {
		add(peer.HTTP)
	}
	for _, server := range initial {
		add(server.HTTP)
	}
	for _, address := range join {
		add(address)
	}
	return addresses
}

// handleAddServer adds a server to the cluster. It is a nonvoter first and becomes a voter once it has caught up.
func (s *Server) handleAddServer(w http.ResponseWriter, r *http.Request) {
	var server Peer
	data, status, err := readBody(w, r, &server)
	if err == nil && (server.ID == "" || server.Name == "" || server.HTTP == "" || server.Raft == "") {
		status, err = http.StatusBadRequest, errors.New("id, name, http and raft are wanted")
	}
	if err != nil {
		s.api.writeError(w, status, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), membershipTimeout)
	defer cancel()
	if err := s.Confirm(ctx); err != nil {
		s.api.forwardToLeader(w, r, data, err)
		return
	}
	response, err := s.addServer(ctx, server)
	if errors.Is(err, ErrRemoved) {
		s.api.writeError(w, http.StatusGone, err)
		return
	} else if err != nil {
		s.api.writeError(w, http.StatusConflict, err)
		return
	}
	writeJSON(w, response)
}

// addServer adds a server to raft's configuration, promotes it to voter or updates its address, and records it in the
// replicated state. A server that had the same name is removed first.
func (s *Server) addServer(ctx context.Context, server Peer) (addServerResponse, error) {
	s.membershipMu.Lock()
	defer s.membershipMu.Unlock()
	response := addServerResponse{Cluster: s.currentIdentity().Cluster}
	if s.machine.Removed(server.ID) {
		return response, fmt.Errorf("%w (%s, %s): with an empty folder it can be taken in again", ErrRemoved, server.Name, server.ID)
	}
	var current *raft.Server
	for _, member := range s.raft.GetConfiguration().Configuration().Servers {
		if string(member.ID) == server.ID {
			current = &member
			continue
		}
		if old, ok := s.machine.Server(string(member.ID)); ok && old.Name == server.Name {
			if err := s.removeNamesake(ctx, old); err != nil {
				return response, err
			}
		}
	}
	id, addr := raft.ServerID(server.ID), raft.ServerAddress(server.Raft)
	var future raft.Future
	switch {
	case current == nil:
		future = s.raft.AddNonvoter(id, addr, 0, membershipTimeout)
	case current.Suffrage == raft.Voter && current.Address == addr:
		response.Voter = true
	case current.Suffrage == raft.Voter:
		response.Voter, future = true, s.raft.AddVoter(id, addr, 0, membershipTimeout)
	default:
		var report Report
		if err := s.callPeer(ctx, http.MethodGet, server.HTTP, "/cluster/status", nil, &report); err != nil {
			return response, fmt.Errorf("server %s cannot be asked how far it is: %w", server.Name, err)
		}
		if report.ID != server.ID || report.Applied+maxVoterLag < s.raft.CommitIndex() {
			return response, nil
		}
		response.Voter, future = true, s.raft.AddVoter(id, addr, 0, membershipTimeout)
	}
	if future != nil {
		if err := future.Error(); err != nil {
			return response, fmt.Errorf("server %s: %w", server.Name, err)
		}
		s.log.Info("servers changed", "name", server.Name, "id", server.ID, "voter", response.Voter)
	}
	if known, ok := s.machine.Server(server.ID); !ok || known != server {
		if _, err := s.apply(ctx, command{Kind: cmdServer, Servers: []Peer{server}}); err != nil {
			return response, err
		}
	}
	return response, nil
}

// removeNamesake removes the server that previously had a name. It fails if that server still answers, because two running
// servers with one name are a configuration error.
func (s *Server) removeNamesake(ctx context.Context, old Peer) error {
	if _, own := s.clusterAndID(); own == old.ID {
		return fmt.Errorf("the name %q is that of the server that leads", old.Name)
	}
	var report Report
	if s.callPeer(ctx, http.MethodGet, old.HTTP, "/cluster/status", nil, &report) == nil && report.ID == old.ID && report.Role != RoleFailed {
		return fmt.Errorf("a server named %q is running at %s: end it, or remove it first", old.Name, old.HTTP)
	}
	return s.removeServer(ctx, old)
}

// removeServer removes a server from raft's configuration and records the removal.
func (s *Server) removeServer(ctx context.Context, server Peer) error {
	if err := s.raft.RemoveServer(raft.ServerID(server.ID), 0, membershipTimeout).Error(); err != nil {
		return fmt.Errorf("removing server %s: %w", server.Name, err)
	}
	s.log.Info("server removed", "name", server.Name, "id", server.ID)
	_, err := s.apply(ctx, command{Kind: cmdRemoved, Servers: []Peer{server}})
	return err
}

// handleRemoveServer removes a server permanently.
func (s *Server) handleRemoveServer(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), membershipTimeout)
	defer cancel()
	if err := s.Confirm(ctx); err != nil {
		s.api.forwardToLeader(w, r, nil, err)
		return
	}
	s.membershipMu.Lock()
	defer s.membershipMu.Unlock()
	name := r.PathValue("name")
	servers := s.raft.GetConfiguration().Configuration().Servers
	i := slices.IndexFunc(servers, func(x raft.Server) bool {
		server, _ := s.machine.Server(string(x.ID))
		return server.Name == name || string(x.ID) == name
	})
	switch _, own := s.clusterAndID(); {
	case i < 0:
		s.api.writeError(w, http.StatusNotFound, fmt.Errorf("no server %q", name))
		return
	case len(servers) == 1:
		s.api.writeError(w, http.StatusConflict, errors.New("it is the last one: end it, if the list is not wanted any more"))
		return
	case string(servers[i].ID) == own:
		s.transferLeadership()
		s.api.writeError(w, http.StatusServiceUnavailable, fmt.Errorf("server %q led: another one is to lead first; ask again", name))
		return
	}
	server, ok := s.machine.Server(string(servers[i].ID))
	if !ok {
		server = Peer{ID: string(servers[i].ID), Raft: string(servers[i].Address)}
	}
	if err := s.removeServer(ctx, server); err != nil {
		s.api.writeError(w, http.StatusConflict, err)
		return
	}
	writeJSON(w, server)
}

// handleBackup responds with a backup that contains every write acknowledged before the request.
func (s *Server) handleBackup(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), applyTimeout)
	defer cancel()
	if err := s.Confirm(ctx); err != nil {
		s.api.forwardToLeader(w, r, nil, err)
		return
	}
	snapshot, ok := s.machine.Backup()
	if !ok {
		s.api.writeError(w, http.StatusServiceUnavailable, ErrNotFounded)
		return
	}
	s.api.setCatalogHeaders(w, s.machine.Status())
	if err := WriteBackup(w, snapshot); err != nil {
		panic(http.ErrAbortHandler) // the client must not take a partial backup for a complete one
	}
}

// handleRestore replaces the list by a backup. The restored list gets a new cluster ID, so that readers of the old list do
// not apply its changes to their copies. The request must name the list that is replaced.
func (s *Server) handleRestore(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxSnapshotBytes))
	if err != nil {
		s.api.writeError(w, http.StatusBadRequest, fmt.Errorf("body unreadable, or over %d bytes: %w", maxSnapshotBytes, err))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), membershipTimeout)
	defer cancel()
	if err := s.Confirm(ctx); err != nil {
		s.api.forwardToLeader(w, r, data, err)
		return
	}
	backup, err := ReadBackup(bytes.NewReader(data))
	if err != nil {
		s.api.writeError(w, http.StatusBadRequest, err)
		return
	}
	status := s.machine.Status()
	if replaced := r.URL.Query().Get("replace"); replaced != status.Cluster {
		s.api.writeError(w, http.StatusPreconditionFailed, fmt.Errorf("the list that goes is %s (version %d, %d entries), and the request names %q", status.Cluster, status.Version, status.Entries, replaced))
		return
	}
	cat, err := catalog.NewFromBackup(backup, randomID(), s.opts.HistoryLength)
	if err == nil {
		err = s.restoreCatalog(cat)
	}
	if err != nil {
		s.api.writeError(w, http.StatusBadRequest, err)
		return
	}
	status = s.machine.Status()
	s.log.Warn("backup restored", "list", status.Cluster, "version", status.Version, "entries", status.Entries, "backup", backup.Cluster, "backup_version", backup.Version)
	s.api.setCatalogHeaders(w, status)
	writeJSON(w, catalog.Result{Version: status.Version, Changed: status.Entries})
}

// restoreCatalog replaces the replicated list through a raft snapshot.
func (s *Server) restoreCatalog(cat *catalog.Catalog) error {
	data, err := s.machine.encodeWithCatalog(cat, s.raft.LastIndex())
	if err != nil {
		return err
	}
	return s.raft.Restore(&raft.SnapshotMeta{Version: raft.SnapshotVersionMax, Size: int64(len(data))}, bytes.NewReader(data), requestTimeout)
}
