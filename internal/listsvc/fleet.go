package listsvc

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"wallflow/internal/accord"
)

const (
	batchInterval       = 100 * time.Millisecond // minimum interval between log entries with fleet operations
	maxBatchOps         = 1024                   // operations in a log entry
	opQueueCapacity     = 4096                   // operations that wait for a log entry
	policyStepInterval  = 50 * time.Millisecond  // between checks for a due step of a policy change
	leaseCheckInterval  = 500 * time.Millisecond // between checks for expired leases
	maxReportWait       = 3 * time.Second        // longest time until a report is answered, with or without news
	forwardedReportWait = 100 * time.Millisecond // the same for a report that another server forwarded
	// armedDeadlineRatio is the fraction of the hold duration within which all agents must promise an armed change. A change
	// that is dropped then is dropped early enough for most agents to learn of it before their hold ends.
	armedDeadlineRatio = 0.5
	defaultHold        = 2 * time.Second  // hold duration of a change whose proposal sets none
	defaultWithin      = 10 * time.Second // time to stage a change whose proposal sets none
)

// fleetCoordinator holds a server's state for the fleet's agents: the queue of operations to commit in batches, and when each
// session last reported.
type fleetCoordinator struct {
	lease time.Duration // a session lapses after this time without a report
	ops   chan queuedFleetOp

	mu sync.Mutex
	// lastReport holds the time of the last report by session ID. It is not replicated, so a new leader grants each session a
	// full lease.
	lastReport map[string]time.Time
}

// closedCh is a closed channel, on which a receive returns at once.
var closedCh = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// queuedFleetOp is an operation that waits to be committed, with the channel for its result.
type queuedFleetOp struct {
	op     accord.Op
	result chan queuedFleetOpResult // buffered, so that sending never blocks
}

// queuedFleetOpResult is the outcome of an operation: the number of the change that it concerns, or an error.
type queuedFleetOpResult struct {
	number int64
	err    error
}

func newFleetCoordinator(lease time.Duration) *fleetCoordinator {
	return &fleetCoordinator{lease: lease, ops: make(chan queuedFleetOp, opQueueCapacity), lastReport: map[string]time.Time{}}
}

// SessionReport is the report of an agent: its own state and the fleet state that it has already received. It is answered once there
// is newer state.
type SessionReport struct {
	accord.Session
	WaitMS  int64        `json:"wait_ms,omitempty"`
	Epoch   string       `json:"epoch,omitempty"`  // of the fleet's state, as are the fields below
	Change  int64        `json:"change,omitempty"` // number of the change in flight
	Phase   accord.Phase `json:"phase,omitempty"`
	Decided int64        `json:"decided,omitempty"`
	// Forward asks a server that is not the leader to forward the report, because the agent cannot reach the leader.
	Forward bool `json:"pass_on,omitempty"`
}

// SessionResponse is the response to a report.
type SessionResponse struct {
	Epoch     string         `json:"epoch"`
	InForce   accord.Policy  `json:"in_force"`
	BeginInMS int64          `json:"begin_in_ms"` // until requests may be accepted under InForce, rounded up
	HoldMS    int64          `json:"hold_ms"`     // hold duration of the change that set InForce
	Change    *accord.Change `json:"change,omitempty"`
	Decided   int64          `json:"decided"` // all changes up to this number took effect or were dropped
	State     string         `json:"state"`   // state of the session
	LeaseMS   int64          `json:"lease_ms"`
}

// Proposal is the body of a request that proposes a policy.
type Proposal struct {
	Document json.RawMessage `json:"document"`
	HoldMS   int64           `json:"hold_ms,omitempty"`   // hold duration
	WithinMS int64           `json:"within_ms,omitempty"` // time within which all agents must have staged the policy
}

// ProposalResponse is the response to a proposal.
type ProposalResponse struct {
	Number int64  `json:"number"`
	Hash   string `json:"hash"`
}

// registerFleetHandlers registers the handlers for the paths below /fleet/.
func (s *Server) registerFleetHandlers(mux *http.ServeMux) {
	mux.HandleFunc("POST /fleet/sessions", s.handleSessionReport)
	mux.HandleFunc("DELETE /fleet/sessions/{id}", s.handleLeave)
	mux.HandleFunc("POST /fleet/retired/{id}", s.handleRetire)
	mux.HandleFunc("GET /fleet/policy", s.handleGetPolicy)
	mux.HandleFunc("POST /fleet/policy", s.handlePropose)
	mux.HandleFunc("DELETE /fleet/policy/{number}", s.handleDropChange)
}

// runFleetBatches commits queued fleet operations, combining those that arrive within batchInterval into one log entry.
func (s *Server) runFleetBatches() {
	var last time.Time
	for {
		var batch []queuedFleetOp
		select {
		case <-s.ctx.Done():
			return
		case o := <-s.fleet.ops:
			batch = append(batch, o)
		}
		if rest := batchInterval - time.Since(last); rest > 0 && sleepInterrupted(s.ctx, rest) {
			return
		}
	more:
		for len(batch) < maxBatchOps {
			select {
			case o := <-s.fleet.ops:
				batch = append(batch, o)
			default:
				break more
			}
		}
		last = time.Now()
		ctx, cancel := context.WithTimeout(s.ctx, applyTimeout)
		ops := make([]accord.Op, len(batch))
		for i, o := range batch {
			ops[i] = o.op
		}
		res, err := s.commit(ctx, command{Kind: cmdFleet, Fleet: ops})
		cancel()
		if err == nil {
			err = res.err
		}
		for i, o := range batch {
			if err != nil {
				o.result <- queuedFleetOpResult{err: err}
			} else {
				o.result <- queuedFleetOpResult{res.fleetOps[i].number, res.fleetOps[i].err}
			}
		}
	}
}

// submitFleetOp commits an operation and returns its result.
func (s *Server) submitFleetOp(ctx context.Context, op accord.Op) (int64, error) {
	queued := queuedFleetOp{op, make(chan queuedFleetOpResult, 1)}
	select {
	case s.fleet.ops <- queued:
	default:
		return 0, fmt.Errorf("%w: %d operations wait", ErrNoLeader, opQueueCapacity)
	}
	select {
	case res := <-queued.result:
		return res.number, res.err
	case <-ctx.Done():
		return 0, fmt.Errorf("%w (%w)", ErrOutcomeUnknown, ctx.Err())
	case <-s.ctx.Done():
		return 0, fmt.Errorf("%w: this server ends", ErrOutcomeUnknown)
	}
}

// isReadyLeader reports whether this server leads, as far as it knows, and has completed establishLeadership in this term.
func (s *Server) isReadyLeader() bool {
	return s.diskError() == nil && s.raft.State() == raft.Leader && s.readyTerm.Load() == s.raft.CurrentTerm()
}

// runFleetLeader advances a change of the policy through its phases and marks sessions as lapsed while this server leads. The
// replicated state rejects operations of a server that no longer leads or whose view is out of date.
func (s *Server) runFleetLeader() {
	tick := time.NewTicker(policyStepInterval)
	defer tick.Stop()
	var leaderSince, lastLeaseCheck time.Time // leaderSince is zero while the server does not lead
	var current struct {
		number int64
		phase  accord.Phase
		since  time.Time
	}
	for {
		next := (<-chan struct{})(nil)
		view, ok := s.machine.Fleet()
		if ok {
			next = view.Changed
		}
		now := time.Now()
		switch {
		case !ok || !s.isReadyLeader():
			leaderSince, current.number = time.Time{}, 0
		default:
			if leaderSince.IsZero() {
				leaderSince = now
			}
			if now.Sub(lastLeaseCheck) >= leaseCheckInterval {
				lastLeaseCheck = now
				s.lapseSessions(view, leaderSince, now)
			}
			if change := view.Change; change == nil {
				current.number = 0
			} else {
				if current.number != change.Number || current.phase != change.Phase {
					current.number, current.phase, current.since = change.Number, change.Phase, now
				}
				if op, due := nextPolicyOp(view, now.Sub(current.since)); due {
					ctx, cancel := context.WithTimeout(s.ctx, applyTimeout)
					if _, err := s.submitFleetOp(ctx, op); err != nil && s.ctx.Err() == nil {
						s.log.Warn("policy change step failed", "number", change.Number, "phase", change.Phase, "err", err)
					} else {
						s.log.Info("policy change step committed", "number", change.Number, "was", change.Phase)
						next = closedCh // look again at once; a failed step is retried at the next tick
					}
					cancel()
				}
			}
		}
		select {
		case <-s.ctx.Done():
			return
		case <-next:
		case <-tick.C:
		}
	}
}

// nextPolicyOp returns the operation that is due for a change in flight, which has been in its phase for elapsed on the
// leader's clock.
func nextPolicyOp(view FleetView, elapsed time.Duration) (op accord.Op, due bool) {
	change, limit := view.Change, time.Duration(view.Change.WithinMS)*time.Millisecond
	if change.Phase == accord.Armed {
		limit = time.Duration(armedDeadlineRatio * float64(time.Duration(change.HoldMS)*time.Millisecond))
	}
	missing := view.Missing()
	if session, refused := view.Refusal(); refused {
		return accord.Op{Drop: &accord.Drop{Number: change.Number, Why: fmt.Sprintf("%s cannot follow it: %s", session.Name, session.Why)}}, true
	}
	switch {
	case len(missing) == 0 && change.Phase == accord.Proposed:
		return accord.Op{Arm: change.Number}, true
	case len(missing) == 0:
		return accord.Op{Seal: change.Number}, true
	case elapsed > limit:
		names := missing[0].Name
		if len(missing) > 1 {
			names += fmt.Sprintf(" and %d more", len(missing)-1)
		}
		return accord.Op{Drop: &accord.Drop{Number: change.Number, Why: fmt.Sprintf("%s: no word of %s within %v", change.Phase, names, limit)}}, true
	}
	return op, false
}

// lapseSessions marks sessions as lapsed that have not reported within their lease. A change still needs the promise of a
// lapsed session; the mark only informs operators.
func (s *Server) lapseSessions(view FleetView, leaderSince, now time.Time) {
	s.fleet.mu.Lock()
	for id := range s.fleet.lastReport { // forget sessions that have left
		if _, exists := view.Sessions[id]; !exists {
			delete(s.fleet.lastReport, id)
		}
	}
	s.fleet.mu.Unlock()
	for _, session := range view.Sessions {
		s.fleet.mu.Lock()
		last := s.fleet.lastReport[session.ID]
		s.fleet.mu.Unlock()
		if last.Before(leaderSince) {
			last = leaderSince
		}
		if session.State != accord.Present || now.Sub(last) < s.fleet.lease {
			continue
		}
		select {
		case s.fleet.ops <- queuedFleetOp{accord.Op{Lapse: session.ID}, make(chan queuedFleetOpResult, 1)}:
			s.log.Info("session lapsed", "name", session.Name, "id", session.ID, "not_heard_for", now.Sub(last))
		default:
		}
	}
}

// forwardIfNotLeader forwards a request if this server does not lead. It returns true if the request has been answered.
func (s *Server) forwardIfNotLeader(w http.ResponseWriter, r *http.Request, data []byte) bool {
	if s.isReadyLeader() {
		return false
	}
	s.api.forwardToLeader(w, r, data, ErrNoLeader)
	return true
}

// handleSessionReport records an agent's report and answers once there is news for the agent or its wait has ended.
func (s *Server) handleSessionReport(w http.ResponseWriter, r *http.Request) {
	var report SessionReport
	data, status, err := readBody(w, r, &report)
	if err != nil {
		s.api.writeError(w, status, err)
		return
	}
	// Agents find the leader themselves. Reports are long polls, and forwarding them would occupy the few connections between
	// servers that writes need. A report of an agent that cannot reach the leader is forwarded with a short wait.
	if !s.isReadyLeader() && !report.Forward {
		s.api.writeError(w, http.StatusServiceUnavailable, ErrNoLeader)
		return
	} else if !s.isReadyLeader() {
		if report.WaitMS = min(report.WaitMS, forwardedReportWait.Milliseconds()); report.WaitMS == 0 {
			report.WaitMS = 1
		}
		if data, err = json.Marshal(report); err != nil {
			s.api.writeError(w, http.StatusBadRequest, err)
			return
		}
		s.api.forwardToLeader(w, r, data, ErrNoLeader)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), applyTimeout)
	defer cancel()
	if s.machine.reportChangesFleet(report.Session) {
		if _, err := s.submitFleetOp(ctx, accord.Op{Report: &report.Session}); err != nil {
			s.writeFleetError(w, r, data, err)
			return
		}
	}
	s.fleet.mu.Lock()
	s.fleet.lastReport[report.ID] = time.Now()
	s.fleet.mu.Unlock()
	timeout := time.NewTimer(min(maxReportWait, time.Duration(report.WaitMS)*time.Millisecond))
	defer timeout.Stop()
	for {
		view, ok := s.machine.SessionView(report.Session)
		if !ok || !view.Known {
			why := view.RetireReason
			if why == "" {
				why = "it has left"
			}
			s.api.writeError(w, http.StatusGone, fmt.Errorf("%w: %s", accord.ErrSessionEnded, why))
			return
		}
		if view.hasNewsFor(report) {
			writeJSON(w, view.response(s.fleet.lease))
			return
		}
		select {
		case <-view.Changed:
		case <-timeout.C:
			if !s.isReadyLeader() { // the leader may have news
				s.api.writeError(w, http.StatusServiceUnavailable, ErrNoLeader)
				return
			}
			writeJSON(w, view.response(s.fleet.lease))
			return
		case <-r.Context().Done():
			return
		case <-s.ctx.Done():
			s.api.writeError(w, http.StatusServiceUnavailable, ErrNoLeader)
			return
		}
	}
}

// hasNewsFor reports whether the fleet state differs from what the agent has received.
func (view *SessionView) hasNewsFor(report SessionReport) bool {
	number, phase := int64(0), accord.Phase("")
	if view.Change != nil {
		number, phase = view.Change.Number, view.Change.Phase
	}
	return view.Epoch != report.Epoch || view.InForce.Number > report.KnownPolicy || number != report.Change || phase != report.Phase || view.Decided != report.Decided || view.Session.State != accord.Present
}

// response returns the answer to the agent's report.
func (view *SessionView) response(lease time.Duration) SessionResponse {
	t := SessionResponse{Epoch: view.Epoch, InForce: view.InForce, HoldMS: view.HoldMS, Change: view.Change, Decided: view.Decided, State: view.Session.State, LeaseMS: lease.Milliseconds()}
	if view.PolicyStartIn > 0 {
		t.BeginInMS = (view.PolicyStartIn + time.Millisecond - 1).Milliseconds()
	}
	return t
}

// writeFleetError answers a request whose operation failed, or forwards it if this server does not lead.
func (s *Server) writeFleetError(w http.ResponseWriter, r *http.Request, data []byte, err error) {
	var field *accord.FieldError
	switch {
	case errors.Is(err, ErrOutcomeUnknown):
		s.api.writeOutcomeUnknown(w, err)
	case errors.Is(err, ErrNoLeader):
		s.api.forwardToLeader(w, r, data, err)
	case errors.Is(err, ErrNotFounded):
		s.api.writeError(w, http.StatusServiceUnavailable, err)
	case errors.Is(err, accord.ErrSessionEnded):
		s.api.writeError(w, http.StatusGone, err)
	case errors.Is(err, accord.ErrUnknown):
		s.api.writeError(w, http.StatusNotFound, err)
	case errors.Is(err, accord.ErrStaleBoot), errors.Is(err, accord.ErrInFlight), errors.Is(err, accord.ErrNoChange):
		s.api.writeError(w, http.StatusConflict, err)
	case errors.Is(err, accord.ErrTooMany):
		s.api.writeError(w, http.StatusInsufficientStorage, err)
	case errors.As(err, &field):
		w.Header().Set("Content-Type", contentTypeJSON)
		w.WriteHeader(http.StatusBadRequest)
		json.NewEncoder(w).Encode(errorResponse{Error: err.Error(), Field: field.Field})
	default:
		s.api.writeError(w, http.StatusBadRequest, err)
	}
}

// handleFleetOp commits an operation of an operator or an agent and answers with its result.
func (s *Server) handleFleetOp(w http.ResponseWriter, r *http.Request, data []byte, op accord.Op) {
	if s.forwardIfNotLeader(w, r, data) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), applyTimeout)
	defer cancel()
	number, err := s.submitFleetOp(ctx, op)
	if err != nil {
		s.writeFleetError(w, r, data, err)
		return
	}
	response := ProposalResponse{Number: number}
	if op.Propose != nil {
		response.Hash = accord.Hash(op.Propose.Document)
	}
	writeJSON(w, response)
}

// handleLeave ends a session at the request of its agent.
func (s *Server) handleLeave(w http.ResponseWriter, r *http.Request) {
	boot, err := strconv.ParseInt(r.URL.Query().Get("boot"), 10, 64)
	if err != nil {
		s.api.writeError(w, http.StatusBadRequest, fmt.Errorf("boot: %w", err))
		return
	}
	s.handleFleetOp(w, r, nil, accord.Op{Leave: &accord.Session{ID: r.PathValue("id"), Boot: boot}})
}

// handleRetire removes the session of an agent whose machine is gone for good.
func (s *Server) handleRetire(w http.ResponseWriter, r *http.Request) {
	s.handleFleetOp(w, r, nil, accord.Op{Retire: r.PathValue("id")})
}

// handlePropose starts a change of the policy. The document is converted to its canonical form here, so that the hash is
// computed over the stored bytes.
func (s *Server) handlePropose(w http.ResponseWriter, r *http.Request) {
	var proposal Proposal
	data, status, err := readBody(w, r, &proposal)
	if err != nil {
		s.api.writeError(w, status, err)
		return
	}
	document, err := accord.ParseDocument(proposal.Document)
	if err != nil {
		s.writeFleetError(w, r, data, err)
		return
	}
	canonical, err := document.Canonical()
	if err != nil {
		s.writeFleetError(w, r, data, err)
		return
	}
	if proposal.HoldMS == 0 {
		proposal.HoldMS = defaultHold.Milliseconds()
	}
	if proposal.WithinMS == 0 {
		proposal.WithinMS = defaultWithin.Milliseconds()
	}
	s.handleFleetOp(w, r, data, accord.Op{Propose: &accord.Propose{Key: r.Header.Get("Idempotency-Key"), Document: canonical, HoldMS: proposal.HoldMS, WithinMS: proposal.WithinMS}})
}

// handleDropChange drops a change that is not sealed.
func (s *Server) handleDropChange(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.ParseInt(r.PathValue("number"), 10, 64)
	if err != nil || number <= 0 {
		s.api.writeError(w, http.StatusBadRequest, fmt.Errorf("%q is no number of a change", r.PathValue("number")))
		return
	}
	why := "a person said so"
	if text := r.URL.Query().Get("why"); text != "" {
		why = fmt.Sprintf("%.200s", text)
	}
	s.handleFleetOp(w, r, nil, accord.Op{Drop: &accord.Drop{Number: number, Why: why}})
}

// handleGetPolicy responds with the fleet's state on this server. With consistent=1 it includes everything committed before
// the request.
func (s *Server) handleGetPolicy(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("consistent") == "1" {
		ctx, cancel := context.WithTimeout(r.Context(), applyTimeout)
		defer cancel()
		if err := s.Confirm(ctx); err != nil {
			s.api.forwardToLeader(w, r, nil, err)
			return
		}
	}
	view, ok := s.machine.Fleet()
	if !ok {
		s.api.writeError(w, http.StatusServiceUnavailable, ErrNotFounded)
		return
	}
	w.Header().Set("X-Catalog-Server", s.opts.Name)
	w.Header().Set("X-Catalog-Age-Ms", strconv.FormatInt(s.Age().Milliseconds(), 10))
	writeJSON(w, view.report())
}
