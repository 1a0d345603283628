package relay

// This file holds what a relay that starts again takes up from its write-ahead log.

import (
	"time"

	"wallflow/internal/wal"
	"wallflow/policy"
)

// resume hands the module the known list and what an earlier process left, in one step.
func (r *Relay) resume() {
	if r.inherited != nil {
		r.resumeInherited()
		return
	}
	found := r.found
	r.found = wal.Recovery{}
	var evs []policy.Event
	if len(r.cfg.Known.Entries) > 0 {
		known := r.cfg.Known
		known.Full = true
		evs = append(evs, r.list(known))
	}
	if len(found.Doubts) > 0 {
		evs = append(evs, r.recalled(found.Doubts))
	}
	for _, w := range found.Messages {
		m := r.newMessage(w, r.classOf(w))
		m.sends = w.Attempts
		r.msgs[m.ID], r.traces[m.Trace] = m, m
		r.lastID = max(r.lastID, m.ID)
		switch {
		case w.Final != nil:
			m.ended, m.counted = true, true // by the process that decided it
			r.notify(m)
		case found.Damaged:
			// What it has sent may be missing from the log: nothing can be promised.
			m.ended = true
			m.count(failed)
			r.wal.Decide(w, wal.Final{})
			r.notify(m)
		default:
			r.held++
			m.found, m.foundRan = true, len(m.MayRun) > 0
			if r.recovered.found++; !m.foundRan {
				r.recovered.untried++
			}
			evs = append(evs, r.resumed(m))
		}
	}
	if found.Unreadable > 0 {
		r.log.Warn("a part of the journal was unreadable and is passed over", "bytes", found.Unreadable)
	}
	if len(found.Messages) > 0 || found.Damaged {
		r.log.Info("recovered", "messages", len(found.Messages), "owed_a_try", r.recovered.untried, "may_have_run",
			r.recovered.found-r.recovered.untried, "damaged", found.Damaged)
	}
	r.carryOut(r.sender.Step(r.now(), evs), nil)
}

// noteDoubts has the log know what the module knows of outages, for the next process.
func (r *Relay) noteDoubts() {
	var now []wal.Doubt
	for _, d := range r.sender.Suspicions() {
		x := wal.Doubt{Host: d.Route, Slight: d.Weak}
		if d.SinceDelivery > 0 {
			x.Back = time.Now().Add(-d.SinceDelivery)
		}
		now = append(now, x)
	}
	r.wal.Doubt(now)
}

// recalled tells the module what the process before knew of outages.
func (r *Relay) recalled(found []wal.Doubt) policy.Event {
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

// newMessage is a message of a class, nil where its terms are lost.
func (r *Relay) newMessage(w *wal.Message, c *class) *message {
	m := &message{Message: w, class: c}
	if c != nil {
		m.tally = c.tally
	}
	return m
}

// resumed tells the module of a message of an earlier process, in the module's own time.
func (r *Relay) resumed(m *message) policy.Event {
	e := r.taken(m)
	e.Resumed = &policy.Resumed{Attempts: m.Attempts}
	if len(m.MayRun) > 0 {
		first := m.MayRun[0]
		e.Resumed.MayHaveRun, e.Resumed.SentZone = true, first.Zone
		e.Resumed.SentAgo = max(0, time.Since(first.At))
	}
	return e
}

func (r *Relay) taken(m *message) policy.Event {
	e := policy.Event{
		Kind: policy.Accepted, ID: m.ID, Key: m.Order, Class: -1, Customer: m.Customer, Destination: m.Dest,
		TimeLeft: time.Until(m.Deadline),
	}
	if m.class != nil {
		e.Terms = &m.class.terms
	}
	return e
}
