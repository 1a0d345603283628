package relay

// This file holds what each event means to the decision module: messages that come and go, calls that end, lists.

import (
	"net/http"
	"time"

	"wallflow/internal/wal"
	"wallflow/policy"
)

// attend has the client side do what the module decided.
func (r *Relay) attend(does policy.ListenerState) {
	r.log.Info("door", "ready", does.Ready, "keep", does.KeepAlive, "listen", does.Listen, "send", does.Send, "over", does.Exit)
	r.does.Store(&does)
	if r.entry != nil {
		r.entry.attend(does)
	}
}

// accept puts new messages in the log and returns those that the module is to be told of. The others have
// their answers.
func (r *Relay) accept(ins []*handIn) []*handIn {
	var fresh []*handIn
	var ms []*wal.Message
	// Under which policy is asked of the clock now: a process that stood still meanwhile must not go by what held before.
	takes := r.fleet == nil || r.fleet.takesUnder(r.follows, time.Now())
	for _, in := range ins {
		c := r.current(in.class)
		switch {
		case r.traces[in.m.Trace] != nil:
			in.reply <- r.handedInAgain(r.traces[in.m.Trace])
		case c == nil || r.cfg.Settings.MaxHeld > 0 && r.held >= r.cfg.Settings.MaxHeld:
			in.class.tally.count(handedBack)
			in.reply <- answer{status: http.StatusServiceUnavailable, again: policy.RetryAdvice}
		case !takes:
			in.class.tally.count(handedBack)
			in.reply <- answer{status: http.StatusServiceUnavailable, again: policy.RetryAdvice}
		default:
			r.lastID++
			in.m.ID, in.m.Terms, in.m.Policy = r.lastID, c.wal, max(0, r.follows)
			if r.fleet != nil {
				r.fleet.stamped(in.m.Policy)
			}
			m := r.newMessage(in.m, c)
			r.msgs[m.ID], r.traces[m.Trace] = m, m
			r.held++
			fresh, ms = append(fresh, in), append(ms, in.m)
		}
	}
	if len(ms) == 0 {
		return nil
	}
	if err := r.wal.Accept(ms...); err != nil {
		// A full disk is no reason to die: what is held goes on, new work is refused.
		if !r.full {
			r.log.Warn("refusing new messages", "err", err)
		}
		r.full = true
		for _, in := range fresh {
			r.held--
			delete(r.msgs, in.m.ID)
			delete(r.traces, in.m.Trace)
			in.class.tally.count(handedBack)
			in.reply <- answer{status: http.StatusServiceUnavailable, again: policy.RetryAdvice}
		}
		return nil
	}
	r.full = false
	return fresh
}

// handedInAgain answers a message that came once more under its id: its answer was lost on the way, or its
// connection was closed crosswise. From then on it is owed to the connection it came on last, whatever becomes
// of the one before.
func (r *Relay) handedInAgain(m *message) answer {
	if m.withdrawn {
		return answer{status: http.StatusServiceUnavailable, again: policy.RetryAdvice} // over, and an attempt of it still out
	}
	m.again = true
	return answer{status: http.StatusAccepted, policy: m.Policy}
}

// clientLeft ends a message whose client has left before its answer, unless it has come again meanwhile.
func (r *Relay) clientLeft(evs []policy.Event, id uint32) []policy.Event {
	m := r.msgs[id]
	if m == nil || m.again {
		return evs
	}
	m.withdrawn = true
	m.count(withdrawn)
	return r.withdraw(evs, id)
}

// withdraw ends a message that needs no further attempt.
func (r *Relay) withdraw(evs []policy.Event, id uint32) []policy.Event {
	m := r.msgs[id]
	if m == nil {
		return evs
	}
	r.done(m)
	r.wal.End(m.Message)
	r.retire(m)
	return append(evs, policy.Event{Kind: policy.Withdrawn, ID: id})
}

// callEnded takes the end of a call.
func (r *Relay) callEnded(evs []policy.Event, e *callEnd) []policy.Event {
	r.out--
	delete(r.live, e.c)
	for i, a := range e.c.attempts {
		evs = r.attemptEnded(evs, a, e.results[i])
	}
	return evs
}

// attemptEnded takes the outcome of an attempt: in the log, and for the module.
func (r *Relay) attemptEnded(evs []policy.Event, a *attempt, res result) []policy.Event {
	m := a.m
	ok := res.outcome == policy.OK
	if a.over {
		// It was cut off, and its call went on for others. A delivery still ends the message.
		if ok {
			m.count(delivered)
			evs = r.withdraw(evs, m.ID)
		}
		return evs
	}
	a.over = true
	if a.timer != nil {
		a.timer.Stop()
	}
	m.out--
	switch res.outcome {
	case policy.Full, policy.ConnectFailed, policy.Moot:
		r.wal.NeverRan(m.Message, a.n)
	}
	if ok || res.gone {
		if res.gone {
			m.count(failed)
		} else {
			m.count(delivered)
		}
		r.done(m)
		r.wal.End(m.Message)
	}
	r.retire(m)
	return append(evs, policy.Event{
		Kind: policy.Finished, ID: m.ID, Attempt: a.n, Route: a.route, Outcome: res.outcome, Took: time.Since(a.sent),
		Ended: ok || res.gone, RetryAfter: res.wait, Report: res.report,
	})
}

// done books that the module has done with a message.
func (r *Relay) done(m *message) {
	if m.ended {
		return
	}
	m.ended = true
	r.held--
	if m.found {
		r.recovered.ended(m, time.Now())
		if r.recovered.left() == 0 {
			r.log.Info("recovered messages have ended", "counts", r.recovered)
		}
	}
}

// retire forgets a message for which nothing is owed and nothing is out.
func (r *Relay) retire(m *message) {
	if m.out == 0 && m.ended && !r.wal.Owes(m.Message) {
		delete(r.msgs, m.ID)
		if r.traces[m.Trace] == m {
			delete(r.traces, m.Trace)
		}
	}
}

// list takes a list of hosts, or changes to it. An entry that cannot be read is passed over; if it names a host
// that is known, that host stays as it was.
func (r *Relay) list(l List) policy.Event {
	e := policy.Event{Kind: policy.ListChanges}
	if l.Full {
		e.Kind = policy.ListWhole
	}
	routes := map[string]target{}
	for _, raw := range l.Entries {
		entry, addr, err := r.cfg.listing(raw)
		if err != nil {
			r.oddEntry(raw, err)
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
			routes[entry.Route] = target{entry, addr}
		}
	}
	if l.Full {
		r.routes = routes
	} else {
		for id, t := range routes {
			r.routes[id] = t
		}
	}
	if len(r.routes) > 0 {
		r.listed.Store(true)
	}
	r.listVersion = l.Version
	return e
}

// oddEntry says that an entry of a list cannot be read: once in a while, with how often that came.
func (r *Relay) oddEntry(raw []byte, err error) {
	r.oddEntries++
	if time.Since(r.oddEntryAt) < oddEvery {
		return
	}
	r.log.Warn("unreadable entry of the list", "entry", string(raw[:min(len(raw), 200)]), "err", err, "times", r.oddEntries)
	r.oddEntryAt, r.oddEntries = time.Now(), 0
}
