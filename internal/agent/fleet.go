package agent

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"wallflow/internal/accord"
	"wallflow/internal/durable"
	"wallflow/internal/invariant"
	"wallflow/internal/listsvc"
)

const (
	fleetFormat        = "wallflow agent fleet 1"
	fleetFile          = "fleet"                 // the ledger, in the data folder
	reportWait         = 1500 * time.Millisecond // how long a report waits at the service for changes
	reportTimeout      = 4 * time.Second
	maxStatusWait      = 2 * time.Second         // how long a relay process's request waits here for changes
	lateAnswerMargin   = 200 * time.Millisecond  // an answer that takes this much longer than its requested wait is late
	passedOnReports    = 20                      // reports sent with PassOn after a round without reaching the leader
	leaveTimeout       = 1500 * time.Millisecond // for all servers together
	haltTimeout        = 3 * time.Second         // for the relay to stop after the session ended
	maxWaitingRequests = 64                      // concurrent status requests of relay processes
)

// fleet is the agent's side of the fleet's policy changes: it stores the ledger, reports to the service and answers relay processes.
type fleet struct {
	path      string
	log       *slog.Logger
	isRunning func(accord.Process) bool
	client    *http.Client

	mu             sync.Mutex
	ledger         *accord.Ledger
	ledgerChanged  chan struct{}      // closed and replaced on each change of the ledger
	cancelReport   context.CancelFunc // ends the wait of the report in flight; nil: none
	waiting        int                // status requests in progress
	writeErr       error              // error of the last write of the ledger
	lastAnswerLate bool               // the last answer arrived late
	promiseOnDisk  int64              // Ledger.Promised as last written to disk
}

// FleetReport is the status of an agent's session.
type FleetReport struct {
	ID       string `json:"id"`
	Boot     int64  `json:"boot"`                        // number of agent starts with this data folder
	Policy   int64  `json:"policy"`                      // number of the policy in force
	Known    bool   `json:"known"`                       // the policy in force is known
	Staged   int64  `json:"staged,omitempty"`            // number of the staged change
	Promised int64  `json:"promised,omitempty"`          // number of the promised change
	Relay    bool   `json:"relay"`                       // a relay runs beside the agent
	Broken   int64  `json:"invariants_broken,omitempty"` // failed invariant checks
	Failure  string `json:"failure,omitempty"`           // error of the last write of the ledger
	Over     string `json:"over,omitempty"`              // why the session has ended; empty while it has not
}

// openFleet loads the ledger or creates one. A damaged ledger is renamed and the agent starts a new session, since its promises are
// unknown. The previous session blocks policy changes until an operator retires it.
func openFleet(options Options, log *slog.Logger) (*fleet, error) {
	f := &fleet{path: filepath.Join(options.Dir, fleetFile), log: log, isRunning: processRunning, ledgerChanged: make(chan struct{}),
		client: &http.Client{Timeout: reportTimeout, Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}}}
	data, err := durable.ReadFile(f.path, fleetFormat)
	f.ledger = &accord.Ledger{}
	if err == nil {
		err = json.Unmarshal(data, f.ledger)
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		damagedPath := fmt.Sprintf("%s.damaged-%d", f.path, time.Now().UnixMilli())
		log.Error("the policy ledger on disk is damaged and was renamed; starting a new session", "err", err, "aside", damagedPath)
		if err := os.Rename(f.path, damagedPath); err != nil {
			return nil, fmt.Errorf("fleet: %w", err)
		}
	}
	if err != nil || f.ledger.ID == "" {
		var id [8]byte
		rand.Read(id[:]) // never fails
		f.ledger = &accord.Ledger{ID: hex.EncodeToString(id[:])}
	}
	f.ledger.Start(time.Now())
	f.promiseOnDisk = f.ledger.Promised
	if err := f.save(f.ledger); err != nil {
		return nil, err
	}
	return f, nil
}

func (f *fleet) save(l *accord.Ledger) error {
	data, err := json.Marshal(l)
	if err == nil {
		err = durable.WriteFile(f.path, fleetFormat, data)
	}
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	return nil
}

// updateLedger applies edit to a copy of the ledger. If edit returns true, the copy is written to disk and then replaces the ledger;
// if the write fails, the ledger stays as it was. With fromService the copy is used even if the write fails, because the service
// repeats that information.
func (f *fleet) updateLedger(fromService bool, edit func(l *accord.Ledger) (bool, error)) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := f.ledger.Clone()
	changed, err := edit(next)
	if err != nil || !changed {
		return err
	}
	err = f.save(next)
	if err != nil && (f.writeErr == nil || f.writeErr.Error() != err.Error()) {
		f.log.Error("writing the policy ledger failed; until it succeeds nothing is promised and no process is admitted", "err", err)
	}
	if f.writeErr = err; err == nil {
		f.promiseOnDisk = next.Promised
	} else if !fromService {
		return err
	}
	f.ledger = next
	close(f.ledgerChanged)
	f.ledgerChanged = make(chan struct{})
	if f.cancelReport != nil {
		f.cancelReport()
	}
	return nil
}

func (f *fleet) report() FleetReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.ledger
	r := FleetReport{ID: l.ID, Boot: l.Boot, Policy: l.InForce.Number, Known: l.Known, Promised: l.Promised,
		Over: l.EndReason(), Broken: invariant.Broken(), Relay: l.SessionReport("x", "", "", f.isRunning).Relay}
	if l.Staged != nil {
		r.Staged = l.Staged.Number
	}
	if f.writeErr != nil {
		r.Failure = f.writeErr.Error()
	}
	return r
}

// registerLoop reports this session to the service repeatedly and applies the answers, until the agent stops or the session ends. In
// the latter case it sends the error to ended.
func (a *Agent) registerLoop(ended chan<- error) {
	f := a.fleet
	defer f.client.CloseIdleConnections()
	a.rngMu.Lock()
	order := a.rng.Perm(len(a.options.Servers))
	a.rngMu.Unlock()
	maxPause, lastLogged := minRetryPause, ""
	request := listsvc.SessionReport{}
	passOnLeft := 0 // remaining reports that ask the server to pass them on to the leader
	for i := 0; a.runCtx.Err() == nil; {
		server := a.options.Servers[order[i%len(order)]]
		request.Forward = passOnLeft > 0
		err := a.reportTo(server, &request)
		var sessionEnded *sessionEndedError
		switch {
		case a.runCtx.Err() != nil:
			return
		case errors.As(err, &sessionEnded):
			ended <- a.endSession(sessionEnded)
			return
		case err == nil:
			maxPause, lastLogged, passOnLeft = minRetryPause, "", max(0, passOnLeft-1)
			continue
		}
		if err.Error() != lastLogged {
			lastLogged = err.Error()
			a.log.Warn("reporting this session to the service failed", "server", server, "err", err)
		}
		if i++; i%len(order) != 0 {
			continue // the next server may be the leader
		}
		maxPause, passOnLeft = min(maxRetryPause, 2*maxPause), passedOnReports
		if !a.sleep(a.randomDuration(maxPause)) {
			return
		}
	}
}

// sessionEndedError means that the service has replaced this session or refuses it.
type sessionEndedError struct{ why string }

func (e *sessionEndedError) Error() string { return e.why }

// reportTo sends a report to a server and applies its answer. A change of the ledger in the meantime cancels the request, so that the
// new state is reported at once.
func (a *Agent) reportTo(server string, request *listsvc.SessionReport) error {
	f := a.fleet
	ctx, cancel := context.WithCancel(a.runCtx)
	defer cancel()
	// Make a pending promise first, so that this report contains it.
	f.updateLedger(false, func(l *accord.Ledger) (bool, error) { // a write error is kept in writeErr
		begun := l.MarkBegun(time.Now())
		return l.TryPromise(f.isRunning) || begun, nil
	})
	f.mu.Lock()
	invariant.Holds(invariant.PromiseOnDisk, f.ledger.Promised == 0 || f.ledger.Promised == f.promiseOnDisk,
		f.ledger.Promised, f.promiseOnDisk)
	request.Session = f.ledger.SessionReport(a.options.Name, a.options.Zone, a.options.Build, f.isRunning)
	if f.writeErr != nil { // nothing counts as staged while the disk fails
		request.Session.Staged = 0
	}
	request.WaitMS = reportWait.Milliseconds()
	if beginsAt, ok := f.ledger.PendingBegin(); ok {
		request.WaitMS = max(1, min(request.WaitMS, time.Until(beginsAt).Milliseconds()+1))
	}
	if f.lastAnswerLate { // BeginIn counts from an answer's arrival, so a late answer delays the begin: ask again without waiting
		request.WaitMS = 1
	}
	sentAt, requestedWait := time.Now(), time.Duration(request.WaitMS)*time.Millisecond
	ledgerUpdated := false
	f.cancelReport = func() { ledgerUpdated = true; cancel() }
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		f.cancelReport = nil
		f.mu.Unlock()
	}()
	body, err := json.Marshal(request)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+server+"/fleet/sessions", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := f.client.Do(req)
	if err != nil {
		f.mu.Lock()
		defer f.mu.Unlock()
		if ledgerUpdated {
			return nil
		}
		return err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, maxBodyBytes))
	receivedAt := time.Now()
	if err != nil {
		f.mu.Lock()
		defer f.mu.Unlock()
		if ledgerUpdated {
			return nil
		}
		return err
	}
	if res.StatusCode != http.StatusOK {
		var p struct{ Error string }
		if json.Unmarshal(text, &p) != nil || p.Error == "" {
			p.Error = res.Status
		}
		if res.StatusCode == http.StatusGone || res.StatusCode == http.StatusConflict {
			return &sessionEndedError{p.Error}
		}
		return errors.New(p.Error)
	}
	var update listsvc.SessionResponse
	if err := json.Unmarshal(text, &update); err != nil {
		return fmt.Errorf("unreadable answer: %w", err)
	}
	if update.State == accord.Displaced {
		return &sessionEndedError{"another machine, or this one with another folder, has the name " + a.options.Name}
	}
	request.Epoch, request.Decided, request.Change, request.Phase = update.Epoch, update.Decided, 0, ""
	if update.Change != nil {
		request.Change, request.Phase = update.Change.Number, update.Change.Phase
	}
	f.mu.Lock()
	f.lastAnswerLate = receivedAt.Sub(sentAt) > requestedWait+lateAnswerMargin
	f.mu.Unlock()
	return f.updateLedger(true, func(l *accord.Ledger) (bool, error) {
		before := l.Clone()
		err := l.ApplyUpdate(accord.ServiceUpdate{Epoch: update.Epoch, InForce: update.InForce,
			BeginIn: time.Duration(update.BeginInMS) * time.Millisecond, HoldMS: update.HoldMS, Change: update.Change,
			Decided: update.Decided, ReceivedAt: receivedAt})
		return err == nil && !l.Equivalent(before), err
	})
}

// endSession makes the relay stop, and tells the service once it has.
func (a *Agent) endSession(sessionEnded *sessionEndedError) error {
	f := a.fleet
	a.log.Error("the session has ended; the relay stops accepting messages", "why", sessionEnded.why)
	if err := f.updateLedger(true, func(l *accord.Ledger) (bool, error) { l.EndSession(sessionEnded.why); return true, nil }); err != nil {
		a.log.Error("writing the end of the session failed", "err", err)
	}
	for deadline := time.Now().Add(haltTimeout); ; {
		f.mu.Lock()
		stopped, id := f.ledger.AllStopped(f.isRunning), f.ledger.ID
		f.mu.Unlock()
		if stopped {
			a.sendLeave()
			break
		}
		if time.Now().After(deadline) || !a.sleep(20*time.Millisecond) {
			a.log.Error("the relay has not confirmed that it stopped; an operator must retire this session once it has", "id", id)
			break
		}
	}
	return fmt.Errorf("session ended: %s", sessionEnded.why)
}

// leave removes the session at a planned shutdown if no relay runs beside the agent, so that changes do not wait for it.
func (a *Agent) leave() {
	if a.fleet == nil {
		return
	}
	left := false
	err := a.fleet.updateLedger(false, func(l *accord.Ledger) (bool, error) { left = l.TryLeave(a.fleet.isRunning); return left, nil })
	if err == nil && left {
		a.sendLeave()
	}
}

// sendLeave asks the servers, one after the other, to remove this session.
func (a *Agent) sendLeave() {
	f := a.fleet
	f.mu.Lock()
	id, boot := f.ledger.ID, f.ledger.Boot
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	var errs []error
	for _, server := range a.options.Servers {
		req, err := http.NewRequestWithContext(ctx, http.MethodDelete,
			"http://"+server+"/fleet/sessions/"+id+"?boot="+strconv.FormatInt(boot, 10), nil)
		if err == nil {
			var res *http.Response
			if res, err = f.client.Do(req); err == nil {
				res.Body.Close()
				if res.StatusCode == http.StatusOK {
					a.log.Info("left the fleet", "id", id)
					return
				}
				err = fmt.Errorf("%s: unexpected status %s", server, res.Status)
			}
		}
		errs = append(errs, err)
	}
	a.log.Warn("no server confirmed the leave; the session lapses, and policy changes still wait for it", "err", errors.Join(errs...))
}

// serveRelayStatus records the status of a relay process, and replies once the reply differs from the last one or the wait is over.
func (a *Agent) serveRelayStatus(w http.ResponseWriter, r *http.Request) {
	f := a.fleet
	var status struct {
		accord.ProcessStatus
		Have   accord.ProcessReply `json:"have"` // last reply that the process received, without documents
		WaitMS int64               `json:"wait_ms"`
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(body, &status)
	}
	if err != nil || status.PID <= 0 {
		writeError(w, http.StatusBadRequest, "body: no word of a relay's process")
		return
	}
	f.mu.Lock()
	tooMany := f.waiting >= maxWaitingRequests
	if !tooMany {
		f.waiting++
	}
	f.mu.Unlock()
	if tooMany {
		writeError(w, http.StatusServiceUnavailable, "too many ask at once")
		return
	}
	defer func() { f.mu.Lock(); f.waiting--; f.mu.Unlock() }()
	timeout := time.NewTimer(min(maxStatusWait, time.Duration(status.WaitMS)*time.Millisecond))
	defer timeout.Stop()
	first := true
	for {
		if err := f.updateLedger(false, func(l *accord.Ledger) (bool, error) {
			changed := l.MarkBegun(time.Now())
			if first {
				changed = l.RecordStatus(status.ProcessStatus) || changed
			}
			return l.Admit(status.Process, time.Now(), f.isRunning) || changed, nil
		}); err == nil {
			first = false
		}
		f.mu.Lock()
		reply, ledgerChanged := f.ledger.ReplyTo(status.Process, time.Now()), f.ledgerChanged
		beginsAt, pending := f.ledger.PendingBegin()
		f.mu.Unlock()
		if replyChanged(reply, status.Have) {
			writeJSON(w, http.StatusOK, reply)
			return
		}
		var beginTimer <-chan time.Time
		if pending {
			beginTimer = time.After(time.Until(beginsAt))
		}
		select {
		case <-ledgerChanged:
		case <-beginTimer:
		case <-timeout.C:
			writeJSON(w, http.StatusOK, reply)
			return
		case <-r.Context().Done():
			return
		case <-a.runCtx.Done():
			return
		}
	}
}

// replyChanged reports whether a reply differs from the last one that the process received.
func replyChanged(reply, lastReply accord.ProcessReply) bool {
	number, phase := int64(0), accord.Phase("")
	if reply.Change != nil {
		number, phase = reply.Change.Number, reply.Change.Phase
	}
	lastNumber, lastPhase := int64(0), accord.Phase("")
	if lastReply.Change != nil {
		lastNumber, lastPhase = lastReply.Change.Number, lastReply.Change.Phase
	}
	return reply.Admitted != lastReply.Admitted || reply.Halt != lastReply.Halt ||
		reply.Admitted && reply.Policy.Number != lastReply.Policy.Number ||
		number != lastNumber || phase != lastPhase || reply.Decided != lastReply.Decided
}

// processRunning reports whether a process is still running: a process with its id and start time exists and is not a zombie.
func processRunning(p accord.Process) bool {
	data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(p.PID), "stat"))
	if err != nil {
		return !errors.Is(err, os.ErrNotExist) // if /proc cannot be read, assume that the process runs
	}
	state, start, err := accord.ParseStat(string(data))
	return err != nil || start == p.Start && !strings.Contains("ZX", state)
}
