package relay

// This file holds the start of a relay: restoring messages and outages from the write-ahead log of a previous process.

import (
	"time"

	"wallflow/internal/wal"
	"wallflow/policy"
)

// resume passes the configured host list and what a previous process left to the decision module, in one step.
func (r *Relay) resume() {
	if r.predecessor != nil {
		r.resumeTakeover()
		return
	}
	recovered := r.walRecovery
	r.walRecovery = wal.Recovery{}
	var evs []policy.Event
	if len(r.cfg.KnownHosts.Entries) > 0 {
		known := r.cfg.KnownHosts
		known.Full = true
		evs = append(evs, r.applyList(known))
	}
	if len(recovered.Suspicions) > 0 {
		evs = append(evs, r.suspicionsEvent(recovered.Suspicions))
	}
	for _, w := range recovered.Messages {
		m := r.newMessage(w, r.classOfRecovered(w))
		m.sends = w.Attempts
		r.msgs[m.ID], r.byTrace[m.Trace] = m, m
		r.lastID = max(r.lastID, m.ID)
		switch {
		case w.Final != nil:
			m.ended, m.counted = true, true // counted by the process that decided on it
			r.queueNotice(m)
		case recovered.Damaged:
			// Attempts may be missing from the log, so the message may have run and is not sent again.
			m.ended = true
			m.count(failed)
			r.wal.RecordFinal(w, wal.Final{})
			r.queueNotice(m)
		default:
			r.held++
			m.recovered, m.mayHaveRun = true, len(m.MayRun) > 0
			if r.recoveryCounts.found++; !m.mayHaveRun {
				r.recoveryCounts.unsent++
			}
			evs = append(evs, r.resumedEvent(m))
		}
	}
	if recovered.Unreadable > 0 {
		r.log.Warn("part of the write-ahead log was unreadable and is ignored", "bytes", recovered.Unreadable)
	}
	if len(recovered.Messages) > 0 || recovered.Damaged {
		r.log.Info("recovered", "messages", len(recovered.Messages), "owed_a_try", r.recoveryCounts.unsent, "may_have_run",
			r.recoveryCounts.found-r.recoveryCounts.unsent, "damaged", recovered.Damaged)
	}
	r.applyActions(r.sender.Step(r.now(), evs), nil)
}

// recordSuspicions writes the hosts that the decision module suspects of an outage to the log, for the next process.
func (r *Relay) recordSuspicions() {
	var suspected []wal.Suspicion
	for _, d := range r.sender.Suspicions() {
		x := wal.Suspicion{Host: d.Route, Slight: d.Weak}
		if d.SinceDelivery > 0 {
			x.Back = time.Now().Add(-d.SinceDelivery)
		}
		suspected = append(suspected, x)
	}
	r.wal.SetSuspicions(suspected)
}

// suspicionsEvent returns the event that tells the decision module what the previous process knew of outages.
func (r *Relay) suspicionsEvent(found []wal.Suspicion) policy.Event {
	e := policy.Event{Kind: policy.SuspicionsRestored}
	for _, d := range found {
		x := policy.Suspicion{Route: d.Host, Weak: d.Slight}
		if !d.Back.IsZero() {
			x.SinceDelivery = max(1, time.Since(d.Back))
		}
		e.Suspicions = append(e.Suspicions, x)
	}
	return e
}

// newMessage returns a message of a class; c is nil if the terms under which it was accepted are lost.
func (r *Relay) newMessage(w *wal.Message, c *class) *message {
	m := &message{Message: w, class: c}
	if c != nil {
		m.counters = c.counters
	}
	return m
}

// resumedEvent returns the event for a message that a previous process accepted. Its times are relative to now, because the
// decision module's clock has started anew.
func (r *Relay) resumedEvent(m *message) policy.Event {
	e := r.acceptedEvent(m)
	e.Resumed = &policy.Resumed{Attempts: m.Attempts}
	if len(m.MayRun) > 0 {
		first := m.MayRun[0]
		e.Resumed.MayHaveRun, e.Resumed.SentZone = true, first.Zone
		e.Resumed.SentAgo = max(0, time.Since(first.At))
	}
	return e
}

// acceptedEvent returns the event for an accepted message.
func (r *Relay) acceptedEvent(m *message) policy.Event {
	e := policy.Event{
		Kind: policy.Accepted, ID: m.ID, Key: m.Order, Class: -1, Customer: m.Customer, Destination: m.Dest,
		TimeLeft: time.Until(m.Deadline),
	}
	if m.class != nil {
		e.Terms = &m.class.terms
	}
	return e
}
