package relay

// This file translates what happens into events for the decision module (package policy): accepted and withdrawn
// messages, finished calls, host lists.

import (
	"net/http"
	"time"

	"wallflow/internal/wal"
	"wallflow/policy"
)

// applyListenerState applies the decision module's instructions for client connections.
func (r *Relay) applyListenerState(state policy.ListenerState) {
	r.log.Info("client listener state changed", "ready", state.Ready, "keep", state.KeepAlive,
		"listen", state.Listen, "send", state.Send, "over", state.Exit)
	r.listenerState.Store(&state)
	if r.clients != nil {
		r.clients.applyState(state)
	}
}

// acceptSubmissions writes new messages to the write-ahead log and returns the accepted ones, which the decision module
// must be told of and which still need an answer. All others are answered here.
func (r *Relay) acceptSubmissions(subs []*submission) []*submission {
	var accepted []*submission
	var msgs []*wal.Message
	// Checked against the current time, since the process may have been suspended after it last checked: the policy that it
	// follows may no longer be in force.
	accepting := r.fleet == nil || r.fleet.acceptsUnder(r.policyNumber, time.Now())
	for _, sub := range subs {
		c := r.currentClass(sub.class)
		switch {
		case r.byTrace[sub.msg.Trace] != nil:
			sub.reply <- r.answerResubmission(r.byTrace[sub.msg.Trace])
		case c == nil || r.cfg.Settings.MaxHeld > 0 && r.held >= r.cfg.Settings.MaxHeld:
			sub.class.counters.count(refused)
			sub.reply <- answer{status: http.StatusServiceUnavailable, retryAfter: policy.RetryAdvice}
		case !accepting:
			sub.class.counters.count(refused)
			sub.reply <- answer{status: http.StatusServiceUnavailable, retryAfter: policy.RetryAdvice}
		default:
			r.lastID++
			sub.msg.ID, sub.msg.Terms, sub.msg.Policy = r.lastID, c.termsNumber, max(0, r.policyNumber)
			if r.fleet != nil {
				r.fleet.checkStamp(sub.msg.Policy)
			}
			m := r.newMessage(sub.msg, c)
			r.msgs[m.ID], r.byTrace[m.Trace] = m, m
			r.held++
			accepted, msgs = append(accepted, sub), append(msgs, sub.msg)
		}
	}
	if len(msgs) == 0 {
		return nil
	}
	if err := r.wal.Accept(msgs...); err != nil {
		// With a full disk the relay still delivers the messages that it holds, and refuses new ones.
		if !r.walFull {
			r.log.Warn("refusing new messages", "err", err)
		}
		r.walFull = true
		for _, sub := range accepted {
			r.held--
			delete(r.msgs, sub.msg.ID)
			delete(r.byTrace, sub.msg.Trace)
			sub.class.counters.count(refused)
			sub.reply <- answer{status: http.StatusServiceUnavailable, retryAfter: policy.RetryAdvice}
		}
		return nil
	}
	r.walFull = false
	return accepted
}

// answerResubmission answers a message that a client sends again under the same id, because the first answer was lost
// or its connection closed while the request was on its way. From then on the message belongs to the latest
// connection: a disconnect of an earlier one no longer withdraws it.
func (r *Relay) answerResubmission(m *message) answer {
	if m.withdrawn {
		return answer{status: http.StatusServiceUnavailable, retryAfter: policy.RetryAdvice} // ended, but an attempt is still in flight
	}
	m.resubmitted = true
	return answer{status: http.StatusAccepted, policyNumber: m.Policy}
}

// clientDisconnected ends a message whose client disconnected before it was answered, unless the client has submitted
// the message again since.
func (r *Relay) clientDisconnected(evs []policy.Event, id uint32) []policy.Event {
	m := r.msgs[id]
	if m == nil || m.resubmitted {
		return evs
	}
	m.withdrawn = true
	m.count(withdrawn)
	return r.endMessage(evs, id)
}

// endMessage ends a message that needs no further attempt, and tells the decision module.
func (r *Relay) endMessage(evs []policy.Event, id uint32) []policy.Event {
	m := r.msgs[id]
	if m == nil {
		return evs
	}
	r.markEnded(m)
	r.wal.RecordEnd(m.Message)
	r.forgetIfFinished(m)
	return append(evs, policy.Event{Kind: policy.Withdrawn, ID: id})
}

// callEnded handles the end of a call: it records the outcome of each of its attempts.
func (r *Relay) callEnded(evs []policy.Event, e *callEnd) []policy.Event {
	r.callsInFlight--
	delete(r.liveCalls, e.call)
	for i, a := range e.call.attempts {
		evs = r.attemptEnded(evs, a, e.results[i])
	}
	return evs
}

// attemptEnded records the outcome of an attempt in the write-ahead log and reports it to the decision module.
func (r *Relay) attemptEnded(evs []policy.Event, a *attempt, res result) []policy.Event {
	m := a.msg
	ok := res.outcome == policy.OK
	if a.finished {
		// The attempt timed out earlier, while its call went on for other messages. If it was delivered after all, the
		// message ends now.
		if ok {
			m.count(delivered)
			evs = r.endMessage(evs, m.ID)
		}
		return evs
	}
	a.finished = true
	if a.timer != nil {
		a.timer.Stop()
	}
	m.inFlight--
	switch res.outcome {
	case policy.Full, policy.ConnectFailed, policy.Moot:
		r.wal.RecordNeverRan(m.Message, a.number)
	}
	if ok || res.messageEnded {
		if res.messageEnded {
			m.count(failed)
		} else {
			m.count(delivered)
		}
		r.markEnded(m)
		r.wal.RecordEnd(m.Message)
	}
	r.forgetIfFinished(m)
	return append(evs, policy.Event{
		Kind: policy.Finished, ID: m.ID, Attempt: a.number, Route: a.route, Outcome: res.outcome, Took: time.Since(a.sentAt),
		Ended: ok || res.messageEnded, RetryAfter: res.retryAfter, Report: res.report,
	})
}

// markEnded notes that the decision module has finished with a message.
func (r *Relay) markEnded(m *message) {
	if m.ended {
		return
	}
	m.ended = true
	r.held--
	if m.recovered {
		r.recoveryCounts.countEnd(m, time.Now())
		if r.recoveryCounts.remaining() == 0 {
			r.log.Info("all recovered messages have ended", "counts", r.recoveryCounts)
		}
	}
}

// forgetIfFinished drops a message that has ended, has no attempt in flight and no notice to deliver.
func (r *Relay) forgetIfFinished(m *message) {
	if m.inFlight == 0 && m.ended && !r.wal.IsUnfinished(m.Message) {
		delete(r.msgs, m.ID)
		if r.byTrace[m.Trace] == m {
			delete(r.byTrace, m.Trace)
		}
	}
}

// applyList applies a complete host list, or changes to the current one. An unreadable entry is ignored; if it names a
// known host, that host stays as it was.
func (r *Relay) applyList(l HostList) policy.Event {
	e := policy.Event{Kind: policy.ListChanges}
	if l.Full {
		e.Kind = policy.ListWhole
	}
	routes := map[string]listedHost{}
	for _, raw := range l.Entries {
		entry, addr, err := r.cfg.parseHost(raw)
		if err != nil {
			r.logBadEntry(raw, err)
			if known, ok := r.routes[entry.Route]; ok {
				routes[entry.Route] = known
				e.List = append(e.List, known.Listing)
			}
			continue
		}
		e.List = append(e.List, entry)
		if entry.Gone {
			delete(r.routes, entry.Route)
		} else {
			routes[entry.Route] = listedHost{entry, addr}
		}
	}
	if l.Full {
		r.routes = routes
	} else {
		for id, host := range routes {
			r.routes[id] = host
		}
	}
	if len(r.routes) > 0 {
		r.hasList.Store(true)
	}
	r.listVersion = l.Version
	return e
}

// logBadEntry logs that an entry of a host list is unreadable. It logs at most once per badValueLogInterval, with the
// number of such entries since the last line.
func (r *Relay) logBadEntry(raw []byte, err error) {
	r.badEntries++
	if time.Since(r.badEntryLoggedAt) < badValueLogInterval {
		return
	}
	r.log.Warn("unreadable entry in the host list", "entry", string(raw[:min(len(raw), 200)]), "err", err, "times", r.badEntries)
	r.badEntryLoggedAt, r.badEntries = time.Now(), 0
}
