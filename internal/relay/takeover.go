package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"wallflow/internal/wal"
	"wallflow/policy"
)

// This file holds the takeover of a relay by a new process without interrupting service. The new process (the successor)
// connects to the running one (the predecessor), which hands over its listener and state. At any time at most one of the
// two decides, and it holds the lock of the write-ahead log: the predecessor until the successor reports that it is ready,
// the successor afterwards. The predecessor then becomes a forwarder: it finishes its calls in flight and reports their
// results, and passes on what its open client connections submit, until all of them have ended.

// ErrSuccessorGone says that the successor process that took over the relay is gone. This process has to start the relay again from
// the write-ahead log.
var ErrSuccessorGone = errors.New("relay: the successor is gone")

const (
	handoverTimeout       = 2 * time.Second // for the successor to take over
	reclaimTimeout        = time.Second     // further time to get the log's lock back if it did not
	takeoverRetryInterval = 25 * time.Millisecond
	takeoverLogInterval   = 5 * time.Second
	minConns              = 8 // least connection limit of a successor, however many connections its predecessor still has
)

// The events of a takeover.
type (
	// successorRequest is a successor that has connected. done is closed when it has been dealt with.
	successorRequest struct {
		conn *net.UnixConn
		done chan struct{}
	}
	linkFrame struct{ frame } // from the other process
	linkDown  struct{}        // the other process is gone
)

// forwarder is the state of a process whose relay has been taken over.
type forwarder struct {
	link          *link
	pending       map[int]*submission // forwarded and not answered yet, by sequence number
	seq           int                 // sequence number of the last forwarded message
	reportedConns connCounts          // as last reported to the successor
}

// predecessor is what a successor received from the process that it replaces.
type predecessor struct {
	handoverState
	link        *link
	listener    net.Listener
	remoteCalls map[int]*call // in flight in the predecessor, by its call ids
}

// Start returns a relay ready to run. It reads the write-ahead log if no other process has the relay, and else takes the
// relay over from that process. It retries until it succeeds, ctx ends or the log fails for another reason.
func Start(ctx context.Context, cfg Config, log *slog.Logger) (*Relay, error) {
	var logged time.Time
	for {
		r, err := New(cfg, log)
		if !errors.Is(err, wal.ErrLocked) {
			return r, err
		}
		// A process of a fleet is admitted by the agent first; its predecessor keeps running meanwhile.
		if err = awaitAdmission(ctx, cfg); err == nil {
			if r, err = takeOver(cfg, log); err == nil {
				return r, nil
			}
		}
		if time.Since(logged) > takeoverLogInterval {
			logged = time.Now()
			log.Warn("another process has the relay and has not handed it over", "err", err)
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(takeoverRetryInterval):
		}
	}
}

// takeOver takes the relay over from the process that has it. If it fails, the relay stays with that process.
func takeOver(cfg Config, log *slog.Logger) (_ *Relay, err error) {
	conn, err := dialLink(cfg.StateDir)
	if err != nil {
		return nil, err
	}
	pred := &predecessor{link: newLink(conn), remoteCalls: map[int]*call{}}
	defer func() {
		if err == nil {
			return
		}
		conn.Close()
		if pred.listener != nil {
			pred.listener.Close()
		}
	}()
	if err := pred.link.send(takeoverRequest{linkVersion}); err != nil {
		return nil, err
	}
	if err := conn.SetReadDeadline(time.Now().Add(handoverTimeout)); err != nil {
		return nil, err
	}
	if pred.listener, err = receiveListener(conn); err != nil {
		return nil, err
	}
	if err := pred.link.dec.Decode(&pred.handoverState); err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	switch {
	case pred.Version != linkVersion:
		return nil, fmt.Errorf("link: the other process uses protocol version %d", pred.Version)
	case !hasPrefix(cfg.Zones, pred.Zones) || !hasPrefix(cfg.Kinds, pred.Kinds):
		return nil, errors.New("link: the other process has different zones or kinds in its configuration")
	}
	lock, err := wal.Acquire(cfg.StateDir)
	if err != nil {
		return nil, err
	}
	r, err := openRelay(cfg, log, lock)
	if err != nil {
		return nil, errors.Join(err, lock.Release())
	}
	defer func() {
		if err != nil {
			err = errors.Join(err, r.wal.CloseUnflushed(), lock.Release())
		}
	}()
	if err := r.inherit(pred); err != nil {
		return nil, err
	}
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		return nil, err
	}
	// From here on this process decides, whatever happens to the other.
	if err := pred.link.send(frame{Ready: true}); err != nil {
		return nil, err
	}
	return r, nil
}

// inherit restores the state that the predecessor handed over. Messages that have not ended are read from the write-ahead
// log; ended ones are known only because attempts of theirs are still in flight.
func (r *Relay) inherit(pred *predecessor) error {
	fromLog := map[uint32]*wal.Message{}
	for _, w := range r.walRecovery.Messages {
		fromLog[w.ID] = w
	}
	for _, x := range pred.Msgs {
		w := fromLog[x.ID]
		if w == nil {
			if !x.Ended {
				return fmt.Errorf("link: message %d is not in the write-ahead log", x.ID)
			}
			w = &wal.Message{ID: x.ID, Trace: x.Trace}
		}
		delete(fromLog, x.ID)
		var c *class
		if r.wal.IsUnfinished(w) {
			c = r.classOfRecovered(w)
		}
		m := r.newMessage(w, c)
		m.sends, m.ended, m.counted, m.resubmitted, m.withdrawn = x.Sends, x.Ended, x.Counted, x.Again, x.Withdrawn
		r.msgs[m.ID] = m
		if r.wal.IsUnfinished(w) {
			r.byTrace[m.Trace] = m
		}
		if !m.ended {
			r.held++
		}
	}
	if len(fromLog) > 0 {
		return fmt.Errorf("link: %d messages of the write-ahead log are missing in the received state", len(fromLog))
	}
	r.lastID = pred.LastID
	for _, x := range pred.Routes {
		r.routes[x.Listing.Route] = listedHost{x.Listing, x.Addr}
	}
	for _, x := range pred.Calls {
		c := &call{id: x.ID, route: x.Route, addr: x.Addr, zone: x.Zone, sentAt: time.Unix(0, x.Sent)}
		for _, p := range x.Parts {
			m := r.msgs[p.Msg]
			if m == nil {
				return fmt.Errorf("link: a call has the unknown message %d", p.Msg)
			}
			c.attempts = append(c.attempts, &attempt{call: c, msg: m, number: p.N, finished: p.Over})
			if !p.Over {
				m.inFlight++
			}
		}
		pred.remoteCalls[x.ID] = c
		r.callsInFlight++
	}
	sender, err := policy.Restore(r.cfg.Settings, r.cfg.Seed, pred.Module, func(id uint32) *policy.Class {
		if m := r.msgs[id]; m != nil && m.class != nil {
			return &m.class.terms
		}
		return nil
	})
	if err != nil {
		return err
	}
	r.sender = sender
	r.cfg.KnownHosts.Version, r.listVersion = pred.ListVersion, pred.ListVersion
	r.clockZero = time.Now().Add(-pred.Now - time.Duration(time.Now().UnixNano()-pred.Wall))
	r.predecessor = pred
	return nil
}

// resumeTakeover continues from the predecessor's state and starts reading what it reports.
func (r *Relay) resumeTakeover() {
	r.walRecovery = wal.Recovery{}
	for _, m := range r.msgs {
		if m.ended && m.Final != nil && r.wal.IsUnfinished(m.Message) {
			r.queueNotice(m)
		}
	}
	r.hasList.Store(len(r.routes) > 0)
	r.limitConns(r.predecessor.Held)
	r.log.Info("took over", "messages", len(r.msgs), "calls out", len(r.predecessor.remoteCalls), "clients", r.predecessor.Held.Clients)
	r.applyActions(r.sender.Step(r.now(), nil), nil)
	go r.receiveFrames(r.predecessor.link)
}

// receiveFrames posts the frames of the other process to the loop until the link ends.
func (r *Relay) receiveFrames(l *link) {
	defer l.conn.Close()
	for {
		var f frame
		if err := l.dec.Decode(&f); err != nil {
			r.post(linkDown{})
			return
		}
		if !r.post(linkFrame{f}) {
			return
		}
	}
}

// limitConns reduces this process's connection limits by the connections that the predecessor still has.
func (r *Relay) limitConns(remote connCounts) {
	if r.clients != nil {
		r.clients.setMaxConns(max(minConns, connLimitsFor(r.cfg.Limits.Sockets).clients-remote.Clients))
	}
	r.hosts.setMaxConns(max(minConns, connLimitsFor(r.cfg.Limits.Sockets).hosts-remote.Hosts))
}

// handlePredecessorFrame handles a report of the predecessor: a submission or a disconnect on one of its client
// connections, the end of a call or attempt, or new connection counts.
func (r *Relay) handlePredecessorFrame(evs []policy.Event, subs []*submission, f frame) ([]policy.Event, []*submission) {
	pred := r.predecessor
	switch {
	case pred == nil:
	case f.In != nil && f.In.Message != nil:
		f.In.Message.Body = f.In.Body
		sub := &submission{msg: f.In.Message, class: r.names.Load().classes[f.In.Class], reply: make(chan answer, 1)}
		go r.sendAnswerBack(pred.link, f.In.Seq, sub)
		if sub.class == nil { // removed, or not known here yet: the client may submit the message again
			sub.reply <- answer{status: http.StatusServiceUnavailable, retryAfter: policy.RetryAdvice}
			break
		}
		subs = append(subs, sub)
	case f.Left != 0:
		evs = r.clientDisconnected(evs, f.Left)
	case f.Cut != nil:
		if c := pred.remoteCalls[f.Cut.Call]; c != nil && f.Cut.Part >= 0 && f.Cut.Part < len(c.attempts) {
			evs = r.attemptEnded(evs, c.attempts[f.Cut.Part], result{outcome: policy.Timeout})
		}
	case f.End != nil:
		if c := pred.remoteCalls[f.End.Call]; c != nil && len(f.End.Results) == len(c.attempts) {
			delete(pred.remoteCalls, f.End.Call)
			e := &callEnd{call: c}
			for _, x := range f.End.Results {
				e.results = append(e.results, result{x.Outcome, x.Gone, x.Wait, x.Report})
			}
			evs = r.callEnded(evs, e)
		}
	case f.Held != nil:
		r.limitConns(*f.Held)
	}
	return evs, subs
}

// sendAnswerBack sends the answer to a forwarded message to the predecessor, which has the client's connection.
func (r *Relay) sendAnswerBack(l *link, seq int, sub *submission) {
	select {
	case a := <-sub.reply:
		l.send(frame{Answer: &forwardedAnswer{seq, a.status, a.retryAfter, sub.msg.ID, a.policyNumber}}) // an error closes the link
	case <-r.loopDone:
	}
}

// predecessorGone ends the calls that the predecessor had in flight. Their outcomes are unknown, so they may have run.
func (r *Relay) predecessorGone(evs []policy.Event) []policy.Event {
	if r.predecessor == nil {
		return evs
	}
	r.log.Info("the predecessor is gone", "calls without an end", len(r.predecessor.remoteCalls))
	for _, c := range r.predecessor.remoteCalls {
		evs = r.callEnded(evs, &callEnd{c, sameResult(c, result{outcome: policy.Cancelled})})
	}
	r.predecessor = nil
	r.limitConns(connCounts{})
	return evs
}

// awaitSuccessors accepts successors and posts them to the loop one at a time, until ctx ends.
func (r *Relay) awaitSuccessors(ctx context.Context, l *net.UnixListener) {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	for {
		conn, err := l.AcceptUnix()
		if err != nil {
			if ctx.Err() == nil {
				r.log.Warn("no successor can take over", "err", err)
			}
			return
		}
		req := &successorRequest{conn, make(chan struct{})}
		var hello takeoverRequest
		conn.SetReadDeadline(time.Now().Add(linkSendTimeout))
		// A decoder of its own is safe: the successor sends nothing more until it has received the state.
		if err := json.NewDecoder(conn).Decode(&hello); err != nil || hello.Version != linkVersion || !r.post(req) {
			r.log.Warn("not handed over", "version", hello.Version, "err", err)
			conn.Close()
			continue
		}
		select {
		case <-req.done:
		case <-r.loopDone:
			return
		}
	}
}

// handOver hands the relay over to a successor between two steps. No process decides until the successor reports that it
// is ready; if it does not, this process continues.
func (r *Relay) handOver(req *successorRequest) {
	defer close(req.done)
	startedAt := time.Now()
	err := r.transferState(req.conn)
	if err == nil {
		r.log.Info("handed over", "messages", len(r.msgs), "calls out", r.callsInFlight, "took", time.Since(startedAt))
		r.becomeForwarder(newLink(req.conn))
		return
	}
	req.conn.Close()
	r.log.Warn("not handed over", "err", err)
	if r.lock != nil {
		return
	}
	for r.lock, err = wal.Acquire(r.cfg.StateDir); err != nil && time.Since(startedAt) < handoverTimeout+reclaimTimeout; {
		time.Sleep(takeoverRetryInterval)
		r.lock, err = wal.Acquire(r.cfg.StateDir)
	}
	if err == nil {
		err = r.wal.CheckUnmodified()
	}
	if err != nil {
		r.log.Error("the write-ahead log belongs to another process: starting the relay again", "err", err)
		r.wal.CloseUnflushed()
		if r.lock != nil {
			r.lock.Release()
			r.lock = nil
		}
		r.exitForRestart()
	}
}

// transferState sends the listener and the state to a successor, releases the log's lock, and waits until the successor
// reports that it is ready.
func (r *Relay) transferState(conn *net.UnixConn) error {
	if r.sendsStopped || r.predecessor != nil || r.clients == nil || len(r.deferredEvents) > 0 {
		return errors.New("a handover is not possible in the current state")
	}
	if err := r.wal.Flush(); err != nil {
		return err
	}
	if err := conn.SetDeadline(time.Now().Add(handoverTimeout)); err != nil {
		return err
	}
	if err := sendListener(conn, r.clients.Listener); err != nil {
		return err
	}
	data, err := json.Marshal(r.handoverState())
	if err != nil {
		return err
	}
	lock := r.lock
	r.lock = nil
	if err := lock.Release(); err != nil {
		return err
	}
	if _, err := conn.Write(data); err != nil {
		return err
	}
	// This decoder may read ahead without losing anything: the successor sends nothing more before it gets a frame.
	var f frame
	if err := json.NewDecoder(conn).Decode(&f); err != nil {
		return fmt.Errorf("the successor did not take the relay over: %w", err)
	}
	if !f.Ready {
		return errors.New("the successor did not take the relay over")
	}
	return conn.SetDeadline(time.Time{})
}

// handoverState returns the state that a successor needs in addition to the write-ahead log.
func (r *Relay) handoverState() handoverState {
	h := handoverState{
		Version: linkVersion, Module: r.sender.State(), Zones: r.cfg.Zones, Kinds: r.cfg.Kinds,
		ListVersion: r.listVersion, LastID: r.lastID, Held: r.connCounts(),
	}
	for _, host := range r.routes {
		h.Routes = append(h.Routes, routeState{host.Listing, host.addr})
	}
	for _, m := range r.msgs {
		h.Msgs = append(h.Msgs, messageState{m.ID, m.Trace, m.sends, m.ended, m.counted, m.resubmitted, m.withdrawn})
	}
	for c := range r.liveCalls {
		x := callState{ID: c.id, Route: c.route, Addr: c.addr, Zone: c.zone, Sent: c.sentAt.UnixNano()}
		for _, a := range c.attempts {
			x.Parts = append(x.Parts, attemptState{a.msg.ID, a.number, a.finished})
		}
		h.Calls = append(h.Calls, x)
	}
	h.Now, h.Wall = r.now(), time.Now().UnixNano()
	return h
}

// connCounts returns the number of connections that this process has.
func (r *Relay) connCounts() connCounts { return connCounts{r.clients.count(), r.hosts.count()} }

// becomeForwarder switches this process to forwarding: results of its calls are reported to the successor, and submissions
// on its client connections are passed on.
func (r *Relay) becomeForwarder(l *link) {
	r.forwarder = &forwarder{link: l, pending: map[int]*submission{}}
	r.handedOver.Store(true)
	r.stopDeciding() // the successor follows discovery and sends notices now
	r.wal.CloseUnflushed()
	r.hosts.close()
	r.msgs, r.byTrace, r.held = map[uint32]*message{}, map[string]*message{}, 0
	r.metrics.active.Store(0)
	// Only the state of this process's client listener is left to decide. A new decision module without messages or hosts
	// does that.
	sender, err := policy.New(r.cfg.Settings, r.cfg.Seed)
	if err != nil {
		r.log.Error("handed over, but no decision module for the client listener", "err", err) // the settings were checked before
		r.exitForRestart()
		return
	}
	r.sender = sender
	go r.receiveFrames(l)
	evs := []policy.Event{{Kind: policy.HandedOver}}
	if r.ending.Load() {
		evs = append(evs, policy.Event{Kind: policy.Ending})
	}
	r.applyListenerActions(evs)
}

// applyListenerActions passes events to the forwarder's decision module and carries out its actions. The module has no
// messages or hosts, so that it returns no actions of other kinds.
func (r *Relay) applyListenerActions(evs []policy.Event) {
	for _, a := range r.sender.Step(r.now(), evs) {
		switch a.Kind {
		case policy.SetListener:
			r.applyListenerState(a.Listener)
		case policy.Wake:
			r.wakeAt = time.Now().Add(a.Delay)
		}
	}
}

// forwardStep handles a batch of events in a process whose relay has been taken over.
func (r *Relay) forwardStep(batch []any) {
	fwd := r.forwarder
	var evs []policy.Event
	for _, e := range batch {
		switch e := e.(type) {
		case *submission:
			fwd.seq++
			if r.successorLost.Load() || fwd.link.send(frame{In: &forwardedMessage{fwd.seq, e.class.name, e.msg, e.msg.Body}}) != nil {
				e.reply <- answer{status: http.StatusInternalServerError}
				continue
			}
			fwd.pending[fwd.seq] = e
		case withdrawal:
			fwd.link.send(frame{Left: e.id})
		case attemptTimeout:
			for i, a := range e.attempt.attempts {
				if a == e.attempt {
					fwd.link.send(frame{Cut: &attemptCut{e.attempt.id, i}})
				}
			}
		case *callEnd:
			r.callsInFlight--
			delete(r.liveCalls, e.call)
			end := &callOutcome{Call: e.call.id}
			for _, x := range e.results {
				end.Results = append(end.Results, attemptOutcome{x.outcome, x.messageEnded, x.retryAfter, x.report})
			}
			fwd.link.send(frame{End: end})
		case clearanceRequest:
			e.reply <- nil // a forwarder starts no calls
		case reconfigured:
			r.reconfigure(e.cfg) // for the class and customer names that clients use
		case *successorRequest:
			e.conn.Close()
			close(e.done)
		case linkFrame:
			if a := e.Answer; a != nil && fwd.pending[a.Seq] != nil {
				sub := fwd.pending[a.Seq]
				delete(fwd.pending, a.Seq)
				sub.msg.ID = a.ID
				sub.reply <- answer{a.Status, a.Again, a.Policy}
			}
		case linkDown:
			r.successorGone()
		case idleCheck:
			r.idleCheckPending = false
		case policy.EventKind:
			evs = append(evs, policy.Event{Kind: e})
		}
	}
	r.applyListenerActions(evs)
	if now := r.connCounts(); now != fwd.reportedConns {
		fwd.reportedConns = now
		fwd.link.send(frame{Held: &now})
	}
	r.exitIfIdle()
}

// successorGone makes the process start the relay again, unless it is ending. Forwarded messages without an answer may
// have been accepted, so they are answered with an error after which a client must not submit them again.
func (r *Relay) successorGone() {
	for seq, sub := range r.forwarder.pending {
		delete(r.forwarder.pending, seq)
		sub.reply <- answer{status: http.StatusInternalServerError}
	}
	r.successorLost.Store(true)
	if !r.ending.Load() {
		r.log.Warn("the successor is gone")
		r.exitForRestart()
	}
}

// exitForRestart makes Run return ErrSuccessorGone, so that the process starts the relay again.
func (r *Relay) exitForRestart() {
	r.sendsStopped = true
	if !r.exiting {
		r.exiting = true
		r.restart.Store(true)
		close(r.exit)
	}
}
