package relay

// This file holds the event loop: it collects events, passes them to the decision module in steps, and stops once nothing
// is left to do.

import (
	"context"
	"time"

	"wallflow/policy"
)

// loop is the only goroutine that makes decisions. Each step handles the events since the last one. Steps are at least
// the configured tick apart, so that messages that arrive close together can share a call.
func (r *Relay) loop(ctx context.Context) {
	defer close(r.loopDone)
	timer := time.NewTimer(0)
	defer timer.Stop()
	var batch []any
	var last time.Time
	for {
		batch = batch[:0]
		select {
		case <-ctx.Done():
			r.drainEvents()
			return
		case e := <-r.events:
			batch = append(batch, e)
		case k := <-r.dutyRequests:
			batch = append(batch, k)
		case <-timer.C:
		}
		if rest := r.cfg.Tick - time.Since(last); rest > 0 {
			time.Sleep(rest)
		}
	gather:
		for len(batch) < maxBatch {
			select {
			case e := <-r.events:
				batch = append(batch, e)
			default:
				break gather
			}
		}
		last = time.Now()
		r.stepOrForward(batch)
		clear(batch)
		if !r.wakeAt.IsZero() {
			timer.Reset(time.Until(r.wakeAt))
		}
	}
}

// drainEvents handles the events that are still queued when the loop ends: it answers clients and writes the log, but
// starts no attempts.
func (r *Relay) drainEvents() {
	r.sendsStopped = true
	for {
		select {
		case e := <-r.events:
			r.stepOrForward([]any{e})
		default:
			return
		}
	}
}

// stepOrForward handles a batch of events here, or forwards it if a successor process has taken over the relay.
func (r *Relay) stepOrForward(batch []any) {
	if r.forwarder != nil {
		r.forwardStep(batch)
		return
	}
	r.step(batch)
}

// step passes a batch of events to the decision module and carries out its decisions.
func (r *Relay) step(batch []any) {
	now := r.now()
	if !r.wakeAt.IsZero() && !time.Now().Before(r.wakeAt) {
		r.wakeAt = time.Time{}
	}
	evs := append([]policy.Event(nil), r.deferredEvents...)
	r.deferredEvents = r.deferredEvents[:0]
	var clearances []clearanceRequest
	var subs []*submission
	var successor *successorRequest
	for _, e := range batch {
		switch e := e.(type) {
		case *submission:
			subs = append(subs, e)
		case withdrawal:
			evs = r.clientDisconnected(evs, e.id)
		case *callEnd:
			evs = r.callEnded(evs, e)
		case attemptTimeout:
			evs = r.attemptEnded(evs, e.attempt, result{outcome: policy.Timeout})
		case HostList:
			evs = append(evs, r.applyList(e))
		case clearanceRequest:
			clearances = append(clearances, e)
		case noticesAccepted:
			for _, id := range e.ids {
				if m := r.msgs[id]; m != nil {
					r.wal.RecordEnd(m.Message)
					r.forgetIfFinished(m)
				}
			}
		case linkFrame:
			evs, subs = r.handlePredecessorFrame(evs, subs, e.frame)
		case linkDown:
			evs = r.predecessorGone(evs)
		case *successorRequest:
			if successor != nil {
				successor.conn.Close()
				close(successor.done)
			}
			successor = e
		case idleCheck:
			r.idleCheckPending = false
		case reconfigured:
			evs = append(evs, r.reconfigure(e.cfg)...)
		case policy.EventKind:
			evs = append(evs, policy.Event{Kind: e})
		}
	}
	evs = append(evs, r.switchPolicy()...)
	accepted := r.acceptSubmissions(subs)
	if !r.sendsStopped {
		for _, sub := range accepted {
			evs = append(evs, r.acceptedEvent(r.msgs[sub.msg.ID]))
		}
		actions := r.sender.Step(now, evs)
		r.recordSuspicions()
		r.applyActions(actions, accepted)
	} else {
		r.applyActions(nil, accepted)
	}
	for _, c := range clearances {
		c.reply <- r.clearAttempts(c.call)
	}
	r.metrics.active.Store(int64(r.held))
	r.metrics.poolSize.Store(int64(len(r.routes)))
	r.metrics.poolEjected.Store(int64(r.sender.SkippedRoutes()))
	r.exitIfIdle()
	if successor != nil {
		r.handOver(successor)
	}
}

// exitIfIdle lets Run return once the decision module has ended the relay, or once the listener is closed and no message,
// call or client connection is left. Otherwise it schedules another check.
func (r *Relay) exitIfIdle() {
	state := r.listenerState.Load()
	if r.exiting || state.Listen && !state.Exit {
		return
	}
	done := len(r.msgs) == 0 || !state.Send && r.callsInFlight == 0
	if r.forwarder != nil { // the successor still depends on this process until SIGTERM
		done = r.ending.Load() && r.callsInFlight == 0 && len(r.forwarder.pending) == 0
	}
	if state.Exit || done && r.clients.count() == 0 {
		r.exiting = true
		close(r.exit)
		return
	}
	if !r.idleCheckPending {
		r.idleCheckPending = true
		time.AfterFunc(idleCheckInterval, func() { r.post(idleCheck{}) })
	}
}
