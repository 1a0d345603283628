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
	answerFor    = 30 * time.Second // to take an answer, or to send a body
	changeFor    = 5 * time.Second  // a change of the cluster's servers
	caughtUp     = 64               // entries that a new server may be behind when it gets its vote
	snapshotMost = 256 << 20
)

// Roles of a server, as its report has them. Others are raft's own.
const (
	RoleNew    = "new"    // part of no cluster yet
	RoleFailed = "failed" // its disk failed: it answers reads from memory
)

// Report is what a server says of itself.
type Report struct {
	Name     string    `json:"name"`
	ID       string    `json:"id"`
	HTTP     string    `json:"http"`
	Raft     string    `json:"raft"`
	Role     string    `json:"role"`
	Leader   string    `json:"leader,omitempty"` // id
	Cluster  string    `json:"cluster,omitempty"`
	Term     uint64    `json:"term"`
	Last     uint64    `json:"last_index"`
	Commit   uint64    `json:"commit_index"`
	Applied  uint64    `json:"applied_index"`
	List     string    `json:"list_cluster,omitempty"` // whose versions these are: another one after a restore
	Version  int64     `json:"version"`
	Entries  int       `json:"entries"`
	AgeMS    int64     `json:"age_ms"`
	Watches  int64     `json:"watches"`
	Members  []Member  `json:"members,omitempty"`
	Names    []string  `json:"names,omitempty"`    // of a first start
	Founding *Founding `json:"founding,omitempty"` // while there is no cluster
	Failure  string    `json:"failure,omitempty"`
	Broken   int64     `json:"invariants_broken,omitempty"`
}

// Member is a server as the cluster has it.
type Member struct {
	Peer
	Voter bool `json:"voter"`
}

// Report returns what the server says of itself.
func (s *Server) Report() Report {
	own, st := s.own(), s.m.Status()
	r := Report{Name: s.o.Name, ID: own.ID, HTTP: s.o.AdvertiseHTTP, Raft: s.o.AdvertiseRaft, Role: strings.ToLower(s.raft.State().String()), Cluster: own.Cluster,
		Term: s.raft.CurrentTerm(), Last: s.raft.LastIndex(), Commit: s.raft.CommitIndex(), Applied: s.raft.AppliedIndex(), List: st.Cluster, Version: st.Version,
		Entries: st.Entries, AgeMS: s.Age().Milliseconds(), Broken: invariant.Broken(), Watches: s.face.watches.Load()}
	if _, id := s.raft.LeaderWithID(); id != "" {
		r.Leader = string(id)
	}
	for _, x := range s.raft.GetConfiguration().Configuration().Servers {
		p, ok := s.m.Server(string(x.ID))
		if !ok {
			p = Peer{ID: string(x.ID), Raft: string(x.Address)}
		}
		r.Members = append(r.Members, Member{p, x.Suffrage == raft.Voter})
	}
	if len(r.Members) == 0 {
		r.Role, r.Names, r.Founding = RoleNew, s.o.names(), own.Founding
	}
	if err := s.failed(); err != nil {
		r.Role, r.Leader, r.Failure = RoleFailed, "", err.Error()
	}
	return r
}

// handler is all that a server answers.
func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/catalog/", s.face.Handler())
	mux.HandleFunc("GET /cluster/status", func(w http.ResponseWriter, _ *http.Request) { tell(w, s.Report()) })
	mux.HandleFunc("POST /cluster/founding", s.promise)
	mux.HandleFunc("POST /cluster/servers", s.takeIn)
	mux.HandleFunc("DELETE /cluster/servers/{name}", s.letGo)
	mux.HandleFunc("GET /cluster/snapshot", s.save)
	mux.HandleFunc("PUT /cluster/snapshot", s.restore)
	s.fleetHandlers(mux)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := http.NewResponseController(w)
		c.SetWriteDeadline(time.Now().Add(answerFor)) // a watch sets its own
		if r.Method != http.MethodGet {
			c.SetReadDeadline(time.Now().Add(answerFor))
		}
		mux.ServeHTTP(w, r)
	})
}

func tell(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", contentsType)
	json.NewEncoder(w).Encode(v)
}

// promise takes part in a founding, for good.
func (s *Server) promise(w http.ResponseWriter, r *http.Request) {
	var f Founding
	if _, status, err := body(w, r, &f); err != nil {
		s.face.fail(w, status, err)
		return
	}
	if err := s.takePart(&f); err != nil {
		s.face.fail(w, http.StatusConflict, err)
		return
	}
	tell(w, s.Report())
}

func (s *Server) takePart(f *Founding) error {
	return s.keep(func(i *identity) error {
		if i.Founding != nil && i.Founding.equal(f) {
			return nil
		}
		if err := f.check(*i, s.o.names(), len(s.raft.GetConfiguration().Configuration().Servers) > 0); err != nil {
			return err
		}
		i.Cluster, i.Founding = f.Cluster, f
		return nil
	})
}

// ask asks another server.
func (s *Server) ask(ctx context.Context, method, addr, path string, in, out any) error {
	var data []byte
	if in != nil {
		var err error
		if data, err = json.Marshal(in); err != nil {
			return err
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+s.via(addr)+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	res, err := s.peers.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, bodyMost))
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		var p problem
		if json.Unmarshal(text, &p) != nil || p.Error == "" {
			p.Error = res.Status
		}
		if res.StatusCode == http.StatusGone {
			return fmt.Errorf("%w: %s", ErrRemoved, p.Error)
		}
		return errors.New(p.Error)
	}
	return json.Unmarshal(text, out)
}

// settle brings a server with an empty folder into a cluster, and tells it when it is no part of its own any more.
func (s *Server) settle(ctx context.Context) {
	said := ""
	for !pauseEnds(ctx, settleEach) {
		var err error
		switch has := len(s.raft.GetConfiguration().Configuration().Servers) > 0; {
		case s.failed() != nil:
			return
		case has:
			err = s.keepIn(ctx)
		case len(s.o.Join) > 0:
			err = s.join(ctx)
		default:
			err = s.found(ctx)
		}
		if errors.Is(err, ErrClusterThere) || errors.Is(err, ErrRemoved) {
			s.end(err)
			return
		}
		if err != nil && err.Error() != said && ctx.Err() == nil {
			said = err.Error()
			s.log.Warn("not settled yet", "err", err)
		}
	}
}

// pauseEnds waits; true if the context ended meanwhile.
func pauseEnds(ctx context.Context, d time.Duration) bool { return !pause(ctx, ctx, d) }

// found takes part in the first start of a cluster. The first by name founds it, once every server has promised itself.
func (s *Server) found(ctx context.Context) error {
	own := s.own()
	if own.Cluster != "" && own.Founding == nil {
		return fmt.Errorf("it was taken into cluster %s: waiting for its leader", own.Cluster)
	}
	peers := []Peer{s.peer()}
	for _, f := range s.o.Servers {
		if f.Name == own.Name {
			continue
		}
		var r Report
		if err := s.ask(ctx, http.MethodGet, f.HTTP, "/cluster/status", nil, &r); err != nil {
			return fmt.Errorf("waiting for server %s: %w", f.Name, err)
		}
		if r.Role != RoleNew {
			if !slices.ContainsFunc(r.Members, func(m Member) bool { return m.ID == own.ID }) {
				return fmt.Errorf("%w: server %s at %s is of cluster %s; start this one with --join to take it in", ErrClusterThere, f.Name, f.HTTP, r.Cluster)
			}
			return nil // it is founded, and its leader will come
		}
		if r.Name != f.Name {
			return fmt.Errorf("at %s is server %q, not %q", f.HTTP, r.Name, f.Name)
		}
		peers = append(peers, Peer{r.ID, r.Name, r.HTTP, r.Raft})
	}
	slices.SortFunc(peers, byName)
	if peers[0].ID != own.ID {
		return fmt.Errorf("waiting for server %s to found the cluster", peers[0].Name)
	}
	f := own.Founding
	switch {
	case f == nil:
		f = &Founding{Cluster: draw(), Founder: own.ID, Round: 1, Servers: peers}
	case f.Founder == own.ID && !slices.Equal(f.Servers, peers):
		f = &Founding{Cluster: draw(), Founder: own.ID, Round: f.Round + 1, Servers: peers}
	}
	if err := s.takePart(f); err != nil {
		return err
	}
	for _, p := range peers[1:] {
		if err := s.ask(ctx, http.MethodPost, p.HTTP, "/cluster/founding", f, &Report{}); err != nil {
			return fmt.Errorf("server %s does not take part: %w", p.Name, err)
		}
	}
	var c raft.Configuration
	for _, p := range f.Servers {
		c.Servers = append(c.Servers, raft.Server{ID: raft.ServerID(p.ID), Address: raft.ServerAddress(p.Raft)})
	}
	if err := s.raft.BootstrapCluster(c).Error(); err != nil {
		return fmt.Errorf("founding: %w", err)
	}
	s.log.Info("founded a cluster", "cluster", f.Cluster, "servers", f.ids())
	return nil
}

// taken is the answer to a server that was taken in.
type taken struct {
	Cluster string `json:"cluster"`
	Voter   bool   `json:"voter"`
}

// join asks a running cluster to take this server in.
func (s *Server) join(ctx context.Context) error {
	var errs []error
	for _, addr := range s.o.Join {
		var t taken
		err := s.ask(ctx, http.MethodPost, addr, "/cluster/servers", s.peer(), &t)
		if err == nil {
			return s.keep(func(i *identity) error {
				if i.Cluster != "" && i.Cluster != t.Cluster {
					return fmt.Errorf("it is part of cluster %s, and %s is of %s", i.Cluster, addr, t.Cluster)
				}
				i.Cluster, i.Founding = t.Cluster, nil
				return nil
			})
		}
		errs = append(errs, fmt.Errorf("%s: %w", addr, err))
	}
	return fmt.Errorf("not taken in: %w", errors.Join(errs...))
}

// keepIn has the cluster know this server's addresses and give it its vote, and finds out where it has been removed.
func (s *Server) keepIn(ctx context.Context) error {
	own, all := s.peer(), s.raft.GetConfiguration().Configuration().Servers
	if _, id := s.raft.LeaderWithID(); id != "" && s.Age() < 2*s.o.Beat {
		known, ok := s.m.Server(own.ID)
		voter := slices.ContainsFunc(all, func(x raft.Server) bool { return string(x.ID) == own.ID && x.Suffrage == raft.Voter })
		switch {
		case !ok && s.m.Status().Cluster == "", ok && known == own && voter:
			return nil
		case string(id) == own.ID:
			_, err := s.admit(ctx, own)
			return err
		}
		leader, ok := s.m.Server(string(id))
		if !ok {
			return nil
		}
		return s.ask(ctx, http.MethodPost, leader.HTTP, "/cluster/servers", own, &taken{})
	}
	return s.findRemoval(ctx, own)
}

// findRemoval asks the others, where nobody leads as far as this server knows, whether they have removed it. A server that was removed
// early may know of none of them by the list's own records: the addresses of its settings are asked as well.
func (s *Server) findRemoval(ctx context.Context, own Peer) error {
	identity := s.own()
	cluster := identity.Cluster
	if cluster == "" && identity.Founding != nil {
		cluster = identity.Founding.Cluster
	}
	if cluster == "" {
		return nil
	}
	for _, addr := range otherAddresses(own, s.m.Servers(), s.o.Servers, s.o.Join) {
		var r Report
		if s.ask(ctx, http.MethodGet, addr, "/cluster/status", nil, &r) != nil || r.Cluster != cluster || r.Leader == "" || r.Commit < s.raft.CommitIndex() {
			continue
		}
		if !slices.ContainsFunc(r.Members, func(m Member) bool { return m.ID == own.ID }) {
			return fmt.Errorf("%w: server %s says so", ErrRemoved, r.Name)
		}
	}
	return nil
}

// otherAddresses are the HTTP addresses at which other servers of a cluster may answer: of those that the list knows, those of a first
// start, and those to join through. Each stands once.
func otherAddresses(own Peer, known []Peer, first []First, join []string) []string {
	var addresses []string
	add := func(address string) {
		if address != "" && address != own.HTTP && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	for _, peer := range known {
		add(peer.HTTP)
	}
	for _, server := range first {
		add(server.HTTP)
	}
	for _, address := range join {
		add(address)
	}
	return addresses
}

// takeIn takes a server into the cluster: first it only listens, and once it has caught up it has a vote.
func (s *Server) takeIn(w http.ResponseWriter, r *http.Request) {
	var p Peer
	data, status, err := body(w, r, &p)
	if err == nil && (p.ID == "" || p.Name == "" || p.HTTP == "" || p.Raft == "") {
		status, err = http.StatusBadRequest, errors.New("id, name, http and raft are wanted")
	}
	if err != nil {
		s.face.fail(w, status, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeFor)
	defer cancel()
	if err := s.Confirm(ctx); err != nil {
		s.face.elsewhere(w, r, data, err)
		return
	}
	t, err := s.admit(ctx, p)
	if errors.Is(err, ErrRemoved) {
		s.face.fail(w, http.StatusGone, err)
		return
	} else if err != nil {
		s.face.fail(w, http.StatusConflict, err)
		return
	}
	tell(w, t)
}

func (s *Server) admit(ctx context.Context, p Peer) (taken, error) {
	s.joining.Lock()
	defer s.joining.Unlock()
	t := taken{Cluster: s.own().Cluster}
	if s.m.Left(p.ID) {
		return t, fmt.Errorf("%w (%s, %s): with an empty folder it can be taken in again", ErrRemoved, p.Name, p.ID)
	}
	var now *raft.Server
	for _, x := range s.raft.GetConfiguration().Configuration().Servers {
		if string(x.ID) == p.ID {
			now = &x
			continue
		}
		if old, ok := s.m.Server(string(x.ID)); ok && old.Name == p.Name {
			if err := s.replace(ctx, old); err != nil {
				return t, err
			}
		}
	}
	id, addr := raft.ServerID(p.ID), raft.ServerAddress(p.Raft)
	var f raft.Future
	switch {
	case now == nil:
		f = s.raft.AddNonvoter(id, addr, 0, changeFor)
	case now.Suffrage == raft.Voter && now.Address == addr:
		t.Voter = true
	case now.Suffrage == raft.Voter:
		t.Voter, f = true, s.raft.AddVoter(id, addr, 0, changeFor)
	default:
		var r Report
		if err := s.ask(ctx, http.MethodGet, p.HTTP, "/cluster/status", nil, &r); err != nil {
			return t, fmt.Errorf("server %s cannot be asked how far it is: %w", p.Name, err)
		}
		if r.ID != p.ID || r.Applied+caughtUp < s.raft.CommitIndex() {
			return t, nil
		}
		t.Voter, f = true, s.raft.AddVoter(id, addr, 0, changeFor)
	}
	if f != nil {
		if err := f.Error(); err != nil {
			return t, fmt.Errorf("server %s: %w", p.Name, err)
		}
		s.log.Info("servers changed", "name", p.Name, "id", p.ID, "voter", t.Voter)
	}
	if known, ok := s.m.Server(p.ID); !ok || known != p {
		if _, err := s.apply(ctx, command{Kind: cmdServer, Servers: []Peer{p}}); err != nil {
			return t, err
		}
	}
	return t, nil
}

// replace removes the server that had a name before. One that answers under its id is there still: two of one name are a mistake.
func (s *Server) replace(ctx context.Context, old Peer) error {
	if _, own := s.self(); own == old.ID {
		return fmt.Errorf("the name %q is that of the server that leads", old.Name)
	}
	var r Report
	if s.ask(ctx, http.MethodGet, old.HTTP, "/cluster/status", nil, &r) == nil && r.ID == old.ID && r.Role != RoleFailed {
		return fmt.Errorf("a server named %q is running at %s: end it, or remove it first", old.Name, old.HTTP)
	}
	return s.drop(ctx, old)
}

func (s *Server) drop(ctx context.Context, p Peer) error {
	if err := s.raft.RemoveServer(raft.ServerID(p.ID), 0, changeFor).Error(); err != nil {
		return fmt.Errorf("removing server %s: %w", p.Name, err)
	}
	s.log.Info("server removed", "name", p.Name, "id", p.ID)
	_, err := s.apply(ctx, command{Kind: cmdLeft, Servers: []Peer{p}})
	return err
}

// letGo removes a server for good.
func (s *Server) letGo(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), changeFor)
	defer cancel()
	if err := s.Confirm(ctx); err != nil {
		s.face.elsewhere(w, r, nil, err)
		return
	}
	s.joining.Lock()
	defer s.joining.Unlock()
	name := r.PathValue("name")
	all := s.raft.GetConfiguration().Configuration().Servers
	i := slices.IndexFunc(all, func(x raft.Server) bool {
		p, _ := s.m.Server(string(x.ID))
		return p.Name == name || string(x.ID) == name
	})
	switch _, own := s.self(); {
	case i < 0:
		s.face.fail(w, http.StatusNotFound, fmt.Errorf("no server %q", name))
		return
	case len(all) == 1:
		s.face.fail(w, http.StatusConflict, errors.New("it is the last one: end it, if the list is not wanted any more"))
		return
	case string(all[i].ID) == own:
		s.handOver()
		s.face.fail(w, http.StatusServiceUnavailable, fmt.Errorf("server %q led: another one is to lead first; ask again", name))
		return
	}
	p, ok := s.m.Server(string(all[i].ID))
	if !ok {
		p = Peer{ID: string(all[i].ID), Raft: string(all[i].Address)}
	}
	if err := s.drop(ctx, p); err != nil {
		s.face.fail(w, http.StatusConflict, err)
		return
	}
	tell(w, p)
}

// save answers with a snapshot that holds all that was acknowledged before.
func (s *Server) save(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), applyFor)
	defer cancel()
	if err := s.Confirm(ctx); err != nil {
		s.face.elsewhere(w, r, nil, err)
		return
	}
	c, ok := s.m.Backup()
	if !ok {
		s.face.fail(w, http.StatusServiceUnavailable, ErrNotFounded)
		return
	}
	s.face.stand(w, s.m.Status())
	if err := WriteBackup(w, c); err != nil {
		panic(http.ErrAbortHandler) // the half must not be taken for the whole
	}
}

// restore puts a backup in the place of the list. The list is another one then, under a cluster id of its own, so that nobody
// who followed the old one takes the new one's changes for changes of what he has. Whoever asks names the list that goes.
func (s *Server) restore(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, snapshotMost))
	if err != nil {
		s.face.fail(w, http.StatusBadRequest, fmt.Errorf("body unreadable, or over %d bytes: %w", snapshotMost, err))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeFor)
	defer cancel()
	if err := s.Confirm(ctx); err != nil {
		s.face.elsewhere(w, r, data, err)
		return
	}
	b, err := ReadBackup(bytes.NewReader(data))
	if err != nil {
		s.face.fail(w, http.StatusBadRequest, err)
		return
	}
	now := s.m.Status()
	if named := r.URL.Query().Get("replace"); named != now.Cluster {
		s.face.fail(w, http.StatusPreconditionFailed, fmt.Errorf("the list that goes is %s (version %d, %d entries), and the request names %q", now.Cluster, now.Version, now.Entries, named))
		return
	}
	cat, err := catalog.Rebuild(b, draw(), s.o.Keep)
	if err == nil {
		err = s.putBack(cat)
	}
	if err != nil {
		s.face.fail(w, http.StatusBadRequest, err)
		return
	}
	now = s.m.Status()
	s.log.Warn("a backup was restored", "list", now.Cluster, "version", now.Version, "entries", now.Entries, "backup", b.Cluster, "backup_version", b.Version)
	s.face.stand(w, now)
	tell(w, catalog.Result{Version: now.Version, Changed: now.Entries})
}

func (s *Server) putBack(cat *catalog.Catalog) error {
	data, err := s.m.with(cat, s.raft.LastIndex())
	if err != nil {
		return err
	}
	return s.raft.Restore(&raft.SnapshotMeta{Version: raft.SnapshotVersionMax, Size: int64(len(data))}, bytes.NewReader(data), answerFor)
}
