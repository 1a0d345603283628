package listsvc

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/hashicorp/raft"

	"wallflow/internal/catalog"
	"wallflow/internal/durable"
)

const (
	enqueueTimeout     = time.Second            // for a command to enter raft's queue
	rpcTimeout         = 2 * time.Second        // for a raft message to another server
	peerRequestTimeout = 2 * time.Second        // for an HTTP request to another server
	barrierTimeout     = 5 * time.Second        // for a new leader to apply all earlier log entries
	transferTimeout    = 3 * time.Second        // for a transfer of leadership
	shutdownTimeout    = 2 * time.Second        // for HTTP requests to finish at shutdown
	membershipInterval = 300 * time.Millisecond // between checks of the membership
	maxIdleRaftConns   = 3                      // idle connections to each server
	readHeaderTimeout  = 5 * time.Second
	idleTimeout        = 2 * time.Minute
	maxHeaderBytes     = 16 << 10 // of an HTTP request
	addressFile        = "addresses.json"
)

// Options configure a list server. The zero value of an optional field means its default.
type Options struct {
	Name   string // unique in the cluster
	Dir    string // directory for the server's state
	Listen string // HTTP address to listen on
	Raft   string // address to listen on for raft

	// Addresses at which other machines reach the server, if they differ from those it listens on.
	AdvertiseHTTP, AdvertiseRaft string

	// Servers are the initial servers of a new cluster, including this one. If empty, the cluster has only this server.
	Servers []InitialServer
	// Join holds HTTP addresses of servers of a running cluster, which a server with an empty directory asks to join.
	Join []string
	// AddressOverrides maps addresses of other servers to the ones to connect to instead.
	AddressOverrides map[string]string

	HistoryLength     int           // number of changes in the list's history
	HeartbeatTimeout  time.Duration // a follower starts an election after this time without contact from the leader
	SnapshotThreshold uint64        // commands between raft snapshots
	Lease             time.Duration // a session lapses after this time without a report from its agent
	FS                vfs.FS        // nil means the operating system's
	Log               *slog.Logger
}

// InitialServer is an initial server of a new cluster.
type InitialServer struct {
	Name string
	HTTP string
}

// Errors with which Run returns because the server cannot be part of the cluster.
var (
	ErrClusterExists = errors.New("a cluster already exists, and this server is not a member of it")
	ErrRemoved       = errors.New("this server was removed from its cluster")
)

// ErrOutcomeUnknown reports that a write may or may not have been applied. It is safe to repeat it with its idempotency key.
var ErrOutcomeUnknown = errors.New("it is not known whether it was taken on: repeat it with the same Idempotency-Key")

// Server is a list server.
type Server struct {
	opts         Options
	log          *slog.Logger
	store        *durable.Store
	httpListener net.Listener
	httpServer   *http.Server
	transport    *raft.NetworkTransport
	stream       *raftStream
	raft         *raft.Raft
	machine      *Machine
	api          *API
	peerClient   *http.Client
	startedAt    time.Time

	ctx           context.Context // its end ends watches and background goroutines
	cancel        context.CancelFunc
	background    sync.WaitGroup
	fatalErr      chan error                // has capacity 1; makes Run return
	readyTerm     atomic.Uint64             // last term in which this server completed establishLeadership
	diskFailure   atomic.Pointer[error]     // permanent error of the disk
	diskFailureCh chan struct{}             // closed when diskFailure is set
	raftInstance  atomic.Pointer[raft.Raft] // for raft's goroutines, which start before NewRaft returns

	mu       sync.Mutex
	identity identity

	membershipMu sync.Mutex // serializes changes of the cluster's servers

	fleet *fleetCoordinator
}

// Open opens a server's directory and listeners. The server answers no requests before Run.
func Open(o Options) (s *Server, err error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.HeartbeatTimeout <= 0 {
		o.HeartbeatTimeout = time.Second
	}
	if o.SnapshotThreshold == 0 {
		o.SnapshotThreshold = 8192
	}
	if o.Lease <= 0 {
		o.Lease = 6 * time.Second
	}
	if err := o.check(); err != nil {
		return nil, err
	}
	s = &Server{opts: o, fleet: newFleetCoordinator(o.Lease), log: o.Log.With("server", o.Name), machine: NewMachine(o.HistoryLength), startedAt: time.Now(), fatalErr: make(chan error, 1), diskFailureCh: make(chan struct{})}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	defer func() {
		if err != nil {
			s.close()
		}
	}()
	s.store, err = durable.Open(durable.Options{Dir: o.Dir, FS: o.FS, Log: s.log, OnFailure: s.diskFailed})
	if err != nil {
		return s, err
	}
	if s.identity, err = readIdentity(s.store, o.Name); err != nil {
		return s, fmt.Errorf("directory %s: %w", o.Dir, err)
	}
	if s.httpListener, err = net.Listen("tcp", o.Listen); err != nil {
		return s, fmt.Errorf("listen: %w", err)
	}
	l, err := net.Listen("tcp", o.Raft)
	if err != nil {
		return s, fmt.Errorf("raft: %w", err)
	}
	s.stream = newRaftStream(l, s.log, s.clusterAndID, s.dialAddress)
	if s.opts.AdvertiseHTTP == "" {
		s.opts.AdvertiseHTTP = s.httpListener.Addr().String()
	}
	if s.opts.AdvertiseRaft == "" {
		s.opts.AdvertiseRaft = l.Addr().String()
	}
	s.peerClient = &http.Client{Timeout: peerRequestTimeout, Transport: &http.Transport{MaxConnsPerHost: 4, MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second}}
	if err := s.startRaft(); err != nil {
		return s, fmt.Errorf("directory %s: %w", o.Dir, err)
	}
	s.api = NewAPI(s.ctx, o.Name, s.machine, s, s.log)
	s.httpServer = &http.Server{Handler: s.handler(), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(s.log.Handler(), slog.LevelDebug)}
	return s, s.writeAddressFile()
}

// check validates the options.
func (o *Options) check() error {
	switch {
	case o.Name == "":
		return errors.New("name: is missing")
	case o.Dir == "":
		return errors.New("dir: is missing")
	case len(o.Servers) > 0 && len(o.Join) > 0:
		return errors.New("join: cannot be combined with servers: a server either founds a cluster or joins one")
	case len(o.Servers) == 2 || len(o.Servers) == 4 || len(o.Servers) > 5:
		return fmt.Errorf("servers: %d, wanted are 1, 3 or 5: an even number tolerates no more failures than one less", len(o.Servers))
	}
	seen := map[string]bool{}
	for i, f := range o.Servers {
		switch {
		case f.Name == "" || f.HTTP == "":
			return fmt.Errorf("servers, number %d: name and http are wanted", i+1)
		case seen[f.Name]:
			return fmt.Errorf("servers: %q is listed twice", f.Name)
		}
		seen[f.Name] = true
	}
	if len(o.Servers) > 0 && !seen[o.Name] {
		return fmt.Errorf("servers: this server, %q, is not among them", o.Name)
	}
	return nil
}

// names returns the sorted names of the initial servers.
func (o *Options) names() []string {
	if len(o.Servers) == 0 {
		return []string{o.Name}
	}
	var all []string
	for _, f := range o.Servers {
		all = append(all, f.Name)
	}
	slices.Sort(all)
	return all
}

// clusterAndID returns the IDs of the cluster and the server. cluster is empty if the server is not a member yet.
func (s *Server) clusterAndID() (cluster, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.identity.Cluster, s.identity.ID
}

// currentIdentity returns a copy of the server's identity.
func (s *Server) currentIdentity() identity {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.identity
}

// updateIdentity changes the identity on disk and then in memory.
func (s *Server) updateIdentity(edit func(*identity) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	updated := s.identity
	if err := edit(&updated); err != nil {
		return err
	}
	if err := updated.save(s.store); err != nil {
		return err
	}
	s.identity = updated
	return nil
}

// dialAddress returns the address to connect to for a server's address.
func (s *Server) dialAddress(addr string) string {
	if to, ok := s.opts.AddressOverrides[addr]; ok {
		return to
	}
	return addr
}

// ownPeer returns this server as a peer.
func (s *Server) ownPeer() Peer {
	_, id := s.clusterAndID()
	return Peer{ID: id, Name: s.opts.Name, HTTP: s.opts.AdvertiseHTTP, Raft: s.opts.AdvertiseRaft}
}

// ServerAddr returns the address that raft passes to Dial for a server; it implements raft.ServerAddressProvider.
func (s *Server) ServerAddr(id raft.ServerID) (raft.ServerAddress, error) {
	if _, own := s.clusterAndID(); string(id) == own {
		return dialTarget(id, raft.ServerAddress(s.opts.AdvertiseRaft)), nil
	}
	if r := s.raftInstance.Load(); r != nil {
		for _, x := range r.GetConfiguration().Configuration().Servers {
			if x.ID == id {
				return dialTarget(id, x.Address), nil
			}
		}
	}
	return "", fmt.Errorf("server %s: no address is known", id)
}

// startRaft configures and starts raft.
func (s *Server) startRaft() error {
	conf := raft.DefaultConfig()
	conf.LocalID = raft.ServerID(s.identity.ID)
	conf.HeartbeatTimeout, conf.ElectionTimeout, conf.LeaderLeaseTimeout = s.opts.HeartbeatTimeout, s.opts.HeartbeatTimeout, s.opts.HeartbeatTimeout/2
	conf.CommitTimeout = min(s.opts.HeartbeatTimeout/20, 50*time.Millisecond)
	conf.SnapshotThreshold, conf.TrailingLogs = s.opts.SnapshotThreshold, s.opts.SnapshotThreshold/2
	conf.SnapshotInterval = 10 * time.Second
	conf.BatchApplyCh = true
	conf.MaxAppendEntries = 128
	conf.Logger = raftLogger(s.log, time.Now)
	s.transport = raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{ServerAddressProvider: s, Logger: conf.Logger, Stream: s.stream, MaxPool: maxIdleRaftConns,
		Timeout: rpcTimeout})
	r, err := raft.NewRaft(conf, s.machine, s.store, failStopStableStore{s.store, s.diskError}, s.store, s.transport)
	if err != nil {
		return err
	}
	s.raft = r
	s.raftInstance.Store(r)
	return nil
}

// failStopStableStore is raft's stable store. Raft panics if it cannot write a stable value, but a server whose disk failed
// must continue to serve reads. So a failed write blocks forever instead. Only raft's main loop writes stable values, so to
// the other servers this one is then dead.
type failStopStableStore struct {
	*durable.Store
	diskError func() error
}

// blockOnDiskFailure blocks forever if the disk has failed, and otherwise returns err.
func (s failStopStableStore) blockOnDiskFailure(err error) error {
	if err != nil && s.diskError() != nil {
		select {}
	}
	return err
}

func (s failStopStableStore) Set(name, value []byte) error {
	return s.blockOnDiskFailure(s.Store.Set(name, value))
}
func (s failStopStableStore) SetUint64(name []byte, v uint64) error {
	return s.blockOnDiskFailure(s.Store.SetUint64(name, v))
}

// diskFailed limits the server to reads from memory. The store calls it once, when a write to the disk fails.
func (s *Server) diskFailed(err error) {
	s.diskFailure.Store(&err)
	s.log.Error("disk failed: this server accepts no writes and serves reads from memory only; replace it", "err", err)
	close(s.diskFailureCh)
}

// disconnectOnDiskFailure closes the connections to the other servers when the disk fails. If the server still answered
// heartbeats, it would count towards the quorum.
func (s *Server) disconnectOnDiskFailure() {
	select {
	case <-s.diskFailureCh:
		s.transport.Close()
		s.transport.CloseStreams()
	case <-s.ctx.Done():
	}
}

// diskError returns the error with which the disk failed, or nil.
func (s *Server) diskError() error {
	if err := s.diskFailure.Load(); err != nil {
		return *err
	}
	return nil
}

// listenAddresses is the content of the address file in a server's directory.
type listenAddresses struct {
	HTTP string `json:"http"`
	Raft string `json:"raft"`
	Pid  int    `json:"pid"`
}

// writeAddressFile records the addresses on which the server listens, because the system may have chosen the ports.
func (s *Server) writeAddressFile() error {
	if s.opts.FS != nil {
		return nil
	}
	data, err := json.Marshal(listenAddresses{s.httpListener.Addr().String(), s.stream.Addr().String(), os.Getpid()})
	if err != nil {
		return err
	}
	path := filepath.Join(s.opts.Dir, addressFile)
	if err := os.WriteFile(path+".new", append(data, '\n'), 0o644); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// Addr returns the HTTP address on which the server listens.
func (s *Server) Addr() string { return s.httpListener.Addr().String() }

// Run serves requests until ctx ends, and then transfers leadership and shuts down. It returns earlier if the server cannot
// continue.
func (s *Server) Run(ctx context.Context) error {
	served := make(chan error, 1)
	s.background.Go(func() { served <- s.httpServer.Serve(s.httpListener) })
	s.background.Go(s.runLeadership)
	s.background.Go(s.disconnectOnDiskFailure)
	s.background.Go(s.runFleetBatches)
	s.background.Go(s.runFleetLeader)
	s.background.Go(func() { s.runMembership(s.ctx) })
	s.log.Info("serving", "http", s.httpListener.Addr().String(), "raft", s.stream.Addr().String(), "id", s.ownPeer().ID, "dir", s.opts.Dir)
	var err error
	select {
	case <-ctx.Done():
		s.transferLeadership()
	case err = <-s.fatalErr:
	case err = <-served:
		err = fmt.Errorf("http: %w", err)
	}
	return errors.Join(err, s.close())
}

// transferLeadership transfers leadership to another server if this one is the leader.
func (s *Server) transferLeadership() {
	if s.raft.State() != raft.Leader || len(s.raft.GetConfiguration().Configuration().Servers) < 2 {
		return
	}
	done := make(chan error, 1)
	f := s.raft.LeadershipTransfer()
	go func() { done <- f.Error() }() // ends when raft shuts down at the latest
	select {
	case err := <-done:
		s.log.Info("leadership transferred", "err", err)
	case <-time.After(transferTimeout):
		s.log.Warn("leadership transfer timed out")
	}
}

// close releases everything that Open and Run opened, and waits for background goroutines.
func (s *Server) close() error {
	s.cancel()
	if s.httpServer != nil {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		if s.httpServer.Shutdown(ctx) != nil {
			s.httpServer.Close()
		}
		cancel()
	} else if s.httpListener != nil {
		s.httpListener.Close()
	}
	var err error
	if s.raft != nil && s.diskError() == nil {
		err = s.raft.Shutdown().Error()
	}
	if s.transport != nil {
		err = errors.Join(err, s.transport.Close())
	} else if s.stream != nil {
		err = errors.Join(err, s.stream.Close())
	}
	s.background.Wait()
	if s.store != nil {
		err = errors.Join(err, s.store.Close())
	}
	if s.peerClient != nil {
		s.peerClient.CloseIdleConnections()
	}
	return err
}

// exitWith makes Run return err, unless an earlier error already does.
func (s *Server) exitWith(err error) {
	select {
	case s.fatalErr <- err:
	default:
	}
}

// runLeadership calls establishLeadership whenever this server becomes the leader. Before that, the server does not confirm
// reads.
func (s *Server) runLeadership() {
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	leaderCh := s.raft.LeaderCh()
	for {
		select {
		case <-leaderCh:
		case <-tick.C:
		case <-s.ctx.Done():
			return
		}
		if s.raft.State() == raft.Shutdown && s.ctx.Err() == nil && s.diskError() == nil {
			s.exitWith(ErrRemoved)
			return
		}
		term := s.raft.CurrentTerm()
		if s.raft.State() != raft.Leader || s.readyTerm.Load() == term {
			continue
		}
		if err := s.establishLeadership(); err != nil {
			s.log.Warn("became leader but is not ready yet", "term", term, "err", err)
			continue
		}
		s.readyTerm.Store(term)
		s.log.Info("became leader", "term", term, "version", s.machine.Status().Version)
	}
}

// establishLeadership waits until all writes that earlier leaders acknowledged are applied, and commits the founding of a new
// cluster.
func (s *Server) establishLeadership() error {
	if err := s.raft.Barrier(barrierTimeout).Error(); err != nil {
		return err
	}
	if s.machine.Status().Cluster != "" {
		return nil
	}
	f := s.currentIdentity().Founding
	if f == nil {
		return errors.New("this server joined a cluster that was never founded")
	}
	_, err := s.apply(s.ctx, command{Kind: cmdFound, Cluster: f.Cluster, Servers: f.Servers})
	if errors.Is(err, ErrAlreadyFounded) {
		return nil
	}
	return err
}

// apply commits a command and returns its result.
func (s *Server) apply(ctx context.Context, c command) (catalog.Result, error) {
	res, err := s.commit(ctx, c)
	if err != nil {
		return catalog.Result{}, err
	}
	return res.result, res.err
}

// commit appends a command to raft's log and waits until it is applied. ErrNoLeader means that it was not appended, and
// ErrOutcomeUnknown that it may or may not be applied.
func (s *Server) commit(ctx context.Context, c command) (commandResult, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return commandResult{}, fmt.Errorf("body: %w", err)
	}
	if err := s.diskError(); err != nil {
		return commandResult{}, fmt.Errorf("%w: %w", ErrNoLeader, err)
	}
	f := s.raft.Apply(data, enqueueTimeout)
	done := make(chan error, 1)
	go func() { done <- f.Error() }() // ends with the response, or when raft shuts down
	select {
	case err = <-done:
	case <-ctx.Done():
		return commandResult{}, fmt.Errorf("%w (%w)", ErrOutcomeUnknown, ctx.Err())
	}
	switch {
	case err == nil:
		return f.Response().(commandResult), nil
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrLeadershipTransferInProgress), errors.Is(err, raft.ErrEnqueueTimeout):
		return commandResult{}, fmt.Errorf("%w: %w", ErrNoLeader, err)
	}
	return commandResult{}, fmt.Errorf("%w (%w)", ErrOutcomeUnknown, err)
}

// Write commits a write; it implements Replica.
func (s *Server) Write(ctx context.Context, w catalog.Write) (catalog.Result, error) {
	return s.apply(ctx, command{Kind: cmdWrite, Write: &w})
}

// Confirm returns nil once a quorum has confirmed that this server still leads. Its list then contains every acknowledged
// write: a leader acknowledges a write only after applying it, and first applies all that earlier leaders acknowledged.
func (s *Server) Confirm(ctx context.Context) error {
	if err := s.diskError(); err != nil {
		return fmt.Errorf("%w: %w", ErrNoLeader, err)
	}
	term := s.raft.CurrentTerm()
	if s.raft.State() != raft.Leader {
		return ErrNoLeader
	}
	if s.readyTerm.Load() != term {
		return fmt.Errorf("%w: the new leader is not ready yet", ErrNoLeader)
	}
	f := s.raft.VerifyLeader()
	done := make(chan error, 1)
	go func() { done <- f.Error() }() // ends with the response, or when raft shuts down
	select {
	case err := <-done:
		if err != nil || s.raft.CurrentTerm() != term {
			return fmt.Errorf("%w: leadership was lost", ErrNoLeader)
		}
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrNoLeader, ctx.Err())
	}
}

// Leader returns the HTTP address of the leader, or "" if it is unknown or this server.
func (s *Server) Leader() string {
	_, id := s.raft.LeaderWithID()
	_, own := s.clusterAndID()
	if id == "" || string(id) == own || s.diskError() != nil {
		return ""
	}
	p, ok := s.machine.Server(string(id))
	if !ok {
		if f := s.currentIdentity().Founding; f != nil { // the replicated records do not contain the leader yet
			i := slices.IndexFunc(f.Servers, func(p Peer) bool { return p.ID == string(id) })
			if i < 0 {
				return ""
			}
			p = f.Servers[i]
		}
	}
	if p.HTTP == "" {
		return ""
	}
	return s.dialAddress(p.HTTP)
}

// Age returns the time since the last contact from the leader, or 0 on the leader.
func (s *Server) Age() time.Duration {
	if s.diskError() == nil && s.raft.State() == raft.Leader {
		return 0
	}
	last := s.raft.LastContact()
	if last.IsZero() {
		last = s.startedAt
	}
	return time.Since(last)
}
