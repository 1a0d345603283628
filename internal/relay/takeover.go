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

// One relay in two processes while the one replaces the other. At any moment one of them decides, and that one holds
// the journal's lock: the elder until it has been told that the successor is ready, the successor from then on.

// ErrBack tells that the process that this one handed its relay to is gone: it is to start over, from the journal.
var ErrBack = errors.New("relay: the successor is gone")

const (
	handOverIn  = 2 * time.Second // for the successor to take the relay
	takeBackIn  = time.Second     // for its lock to be free again if it did not
	takePause   = 25 * time.Millisecond
	takeLogEach = 5 * time.Second
	leastRoom   = 8 // connections that a successor has, however many its elder holds
)

// The events of a replacement.
type (
	handOver struct {
		conn *net.UnixConn
		done chan struct{}
	}
	linkFrame struct{ frame } // from the other process
	linkDown  struct{}        // the other process is gone
)

// handing is what a process keeps when its relay is another's.
type handing struct {
	link    *link
	pending map[int]*handIn // passed on and not answered
	seq     int
	told    held
}

// inherits is what a successor has from its elder.
type inherits struct {
	handoff
	link     *link
	listener net.Listener
	remote   map[int]*call // out in the elder
}

// Start returns a relay that may decide: from the journal if no process holds it, else from the process that does.
func Start(ctx context.Context, cfg Config, log *slog.Logger) (*Relay, error) {
	var logged time.Time
	for {
		r, err := New(cfg, log)
		if !errors.Is(err, wal.ErrLocked) {
			return r, err
		}
		// One of a fleet asks to be let in first: its elder goes on meanwhile.
		if err = letIn(ctx, cfg); err == nil {
			if r, err = takeOver(cfg, log); err == nil {
				return r, nil
			}
		}
		if time.Since(logged) > takeLogEach {
			logged = time.Now()
			log.Warn("another process has the relay and has not handed it over", "err", err)
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(takePause):
		}
	}
}

// takeOver asks the process that has the relay for it. What fails here leaves the relay with that process.
func takeOver(cfg Config, log *slog.Logger) (_ *Relay, err error) {
	conn, err := dialLink(cfg.StateDir)
	if err != nil {
		return nil, err
	}
	in := &inherits{link: newLink(conn), remote: map[int]*call{}}
	defer func() {
		if err == nil {
			return
		}
		conn.Close()
		if in.listener != nil {
			in.listener.Close()
		}
	}()
	if err := in.link.send(hello{linkVersion}); err != nil {
		return nil, err
	}
	if err := conn.SetReadDeadline(time.Now().Add(handOverIn)); err != nil {
		return nil, err
	}
	if in.listener, err = takeListener(conn); err != nil {
		return nil, err
	}
	if err := in.link.in.Decode(&in.handoff); err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	switch {
	case in.Version != linkVersion:
		return nil, fmt.Errorf("link: the other process speaks version %d", in.Version)
	case !starts(cfg.Zones, in.Zones) || !starts(cfg.Kinds, in.Kinds):
		return nil, errors.New("link: zones or kinds of the configuration are others")
	}
	lock, err := wal.Acquire(cfg.StateDir)
	if err != nil {
		return nil, err
	}
	r, err := open(cfg, log, lock)
	if err != nil {
		return nil, errors.Join(err, lock.Release())
	}
	defer func() {
		if err != nil {
			err = errors.Join(err, r.wal.Leave(), lock.Release())
		}
	}()
	if err := r.inherit(in); err != nil {
		return nil, err
	}
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		return nil, err
	}
	// From here on this process decides, whatever becomes of the other.
	if err := in.link.send(frame{Ready: true}); err != nil {
		return nil, err
	}
	return r, nil
}

// inherit takes up what the elder handed over. The journal has the messages that are owed an end; others are known
// for the sake of their calls alone.
func (r *Relay) inherit(in *inherits) error {
	found := map[uint32]*wal.Message{}
	for _, w := range r.found.Messages {
		found[w.ID] = w
	}
	for _, x := range in.Msgs {
		w := found[x.ID]
		if w == nil {
			if !x.Ended {
				return fmt.Errorf("link: the journal lacks message %d", x.ID)
			}
			w = &wal.Message{ID: x.ID, Trace: x.Trace}
		}
		delete(found, x.ID)
		var c *class
		if r.wal.Owes(w) {
			c = r.classOf(w)
		}
		m := r.newMessage(w, c)
		m.sends, m.ended, m.counted, m.again, m.withdrawn = x.Sends, x.Ended, x.Counted, x.Again, x.Withdrawn
		r.msgs[m.ID] = m
		if r.wal.Owes(w) {
			r.traces[m.Trace] = m
		}
		if !m.ended {
			r.held++
		}
	}
	if len(found) > 0 {
		return fmt.Errorf("link: %d messages of the journal were not handed over", len(found))
	}
	r.lastID = in.LastID
	for _, x := range in.Routes {
		r.routes[x.Listing.Route] = target{x.Listing, x.Addr}
	}
	for _, x := range in.Calls {
		c := &call{id: x.ID, route: x.Route, addr: x.Addr, zone: x.Zone, sent: time.Unix(0, x.Sent)}
		for _, p := range x.Parts {
			m := r.msgs[p.Msg]
			if m == nil {
				return fmt.Errorf("link: a call of message %d, which is not there", p.Msg)
			}
			c.attempts = append(c.attempts, &attempt{call: c, m: m, n: p.N, over: p.Over})
			if !p.Over {
				m.out++
			}
		}
		in.remote[x.ID] = c
		r.out++
	}
	sender, err := policy.Restore(r.cfg.Settings, r.cfg.Seed, in.Module, func(id uint32) *policy.Class {
		if m := r.msgs[id]; m != nil && m.class != nil {
			return &m.class.terms
		}
		return nil
	})
	if err != nil {
		return err
	}
	r.sender = sender
	r.cfg.Known.Version, r.listVersion = in.ListVersion, in.ListVersion
	r.started = time.Now().Add(-in.Now - time.Duration(time.Now().UnixNano()-in.Wall))
	r.inherited = in
	return nil
}

// resumeInherited goes on where the elder stood, and hears what it still has to tell.
func (r *Relay) resumeInherited() {
	r.found = wal.Recovery{}
	for _, m := range r.msgs {
		if m.ended && m.Final != nil && r.wal.Owes(m.Message) {
			r.notify(m)
		}
	}
	r.listed.Store(len(r.routes) > 0)
	r.makeRoomFor(r.inherited.Held)
	r.log.Info("took over", "messages", len(r.msgs), "calls out", len(r.inherited.remote), "clients", r.inherited.Held.Clients)
	r.carryOut(r.sender.Step(r.now(), nil), nil)
	go r.hear(r.inherited.link)
}

// hear posts what the other process tells, until it is gone.
func (r *Relay) hear(l *link) {
	defer l.conn.Close()
	for {
		var f frame
		if err := l.in.Decode(&f); err != nil {
			r.post(linkDown{})
			return
		}
		if !r.post(linkFrame{f}) {
			return
		}
	}
}

// makeRoomFor leaves the elder's connections their part of the limits.
func (r *Relay) makeRoomFor(h held) {
	if r.entry != nil {
		r.entry.allow(max(leastRoom, shares(r.cfg.Limits.Sockets).clients-h.Clients))
	}
	r.hosts.allow(max(leastRoom, shares(r.cfg.Limits.Sockets).hosts-h.Hosts))
}

// fromElder takes what the elder tells: ends of its calls, and what came in on its connections.
func (r *Relay) fromElder(evs []policy.Event, ins []*handIn, f frame) ([]policy.Event, []*handIn) {
	in := r.inherited
	switch {
	case in == nil:
	case f.In != nil && f.In.Message != nil:
		f.In.Message.Body = f.In.Body
		h := &handIn{m: f.In.Message, class: r.names.Load().classes[f.In.Class], reply: make(chan answer, 1)}
		go r.answerElder(in.link, f.In.Seq, h)
		if h.class == nil { // dropped, or not known here yet: whoever sent it may come again
			h.reply <- answer{status: http.StatusServiceUnavailable, again: policy.RetryAdvice}
			break
		}
		ins = append(ins, h)
	case f.Left != 0:
		evs = r.clientLeft(evs, f.Left)
	case f.Cut != nil:
		if c := in.remote[f.Cut.Call]; c != nil && f.Cut.Part >= 0 && f.Cut.Part < len(c.attempts) {
			evs = r.attemptEnded(evs, c.attempts[f.Cut.Part], result{outcome: policy.Timeout})
		}
	case f.End != nil:
		if c := in.remote[f.End.Call]; c != nil && len(f.End.Results) == len(c.attempts) {
			delete(in.remote, f.End.Call)
			e := &callEnd{c: c}
			for _, x := range f.End.Results {
				e.results = append(e.results, result{x.Outcome, x.Gone, x.Wait, x.Report})
			}
			evs = r.callEnded(evs, e)
		}
	case f.Held != nil:
		r.makeRoomFor(*f.Held)
	}
	return evs, ins
}

// answerElder passes the answer to a message back that came by the elder.
func (r *Relay) answerElder(l *link, seq int, in *handIn) {
	select {
	case a := <-in.reply:
		l.send(frame{Answer: &answerHand{seq, a.status, a.again, in.m.ID, a.policy}}) // its failing ends the link
	case <-r.over:
	}
}

// elderGone ends what the elder had out: how, nobody knows, so that all of it may have run.
func (r *Relay) elderGone(evs []policy.Event) []policy.Event {
	if r.inherited == nil {
		return evs
	}
	r.log.Info("the process before is gone", "calls without an end", len(r.inherited.remote))
	for _, c := range r.inherited.remote {
		evs = r.callEnded(evs, &callEnd{c, alike(c, result{outcome: policy.Cancelled})})
	}
	r.inherited = nil
	r.makeRoomFor(held{})
	return evs
}

// await hands successors to the loop, one after the other, until ctx ends.
func (r *Relay) await(ctx context.Context, l *net.UnixListener) {
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
		h := &handOver{conn, make(chan struct{})}
		var hi hello
		conn.SetReadDeadline(time.Now().Add(linkSend))
		// Read to the line's end alone: the decoder must hold nothing of what follows.
		if err := json.NewDecoder(conn).Decode(&hi); err != nil || hi.Version != linkVersion || !r.post(h) {
			r.log.Warn("not handed over", "version", hi.Version, "err", err)
			conn.Close()
			continue
		}
		select {
		case <-h.done:
		case <-r.over:
			return
		}
	}
}

// handRelayOver gives the relay to a successor, in between two steps. Until it says that it is ready, nothing is
// decided anywhere; if it does not say so, this process goes on.
func (r *Relay) handRelayOver(h *handOver) {
	defer close(h.done)
	began := time.Now()
	err := r.passOn(h.conn)
	if err == nil {
		r.log.Info("handed over", "messages", len(r.msgs), "calls out", r.out, "took", time.Since(began))
		r.beHands(newLink(h.conn))
		return
	}
	h.conn.Close()
	r.log.Warn("not handed over", "err", err)
	if r.lock != nil {
		return
	}
	for r.lock, err = wal.Acquire(r.cfg.StateDir); err != nil && time.Since(began) < handOverIn+takeBackIn; {
		time.Sleep(takePause)
		r.lock, err = wal.Acquire(r.cfg.StateDir)
	}
	if err == nil {
		err = r.wal.Untouched()
	}
	if err != nil {
		r.log.Error("the journal is another's: starting over", "err", err)
		r.wal.Leave()
		if r.lock != nil {
			r.lock.Release()
			r.lock = nil
		}
		r.giveUp()
	}
}

// passOn tells a successor everything and waits for its word.
func (r *Relay) passOn(conn *net.UnixConn) error {
	if r.noSends || r.inherited != nil || r.entry == nil || len(r.later) > 0 {
		return errors.New("not now")
	}
	if err := r.wal.Flush(); err != nil {
		return err
	}
	if err := conn.SetDeadline(time.Now().Add(handOverIn)); err != nil {
		return err
	}
	if err := passListener(conn, r.entry.Listener); err != nil {
		return err
	}
	data, err := json.Marshal(r.handoff())
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
	// One byte at a time would do as well; the decoder may read ahead, since nothing follows before a frame of ours.
	var f frame
	if err := json.NewDecoder(conn).Decode(&f); err != nil {
		return fmt.Errorf("the successor did not take it: %w", err)
	}
	if !f.Ready {
		return errors.New("the successor did not take it")
	}
	return conn.SetDeadline(time.Time{})
}

// handoff is all that a successor has to know.
func (r *Relay) handoff() handoff {
	h := handoff{
		Version: linkVersion, Module: r.sender.State(), Zones: r.cfg.Zones, Kinds: r.cfg.Kinds,
		ListVersion: r.listVersion, LastID: r.lastID, Held: r.connections(),
	}
	for _, t := range r.routes {
		h.Routes = append(h.Routes, routeHand{t.Listing, t.addr})
	}
	for _, m := range r.msgs {
		h.Msgs = append(h.Msgs, msgHand{m.ID, m.Trace, m.sends, m.ended, m.counted, m.again, m.withdrawn})
	}
	for c := range r.live {
		x := callHand{ID: c.id, Route: c.route, Addr: c.addr, Zone: c.zone, Sent: c.sent.UnixNano()}
		for _, a := range c.attempts {
			x.Parts = append(x.Parts, partHand{a.m.ID, a.n, a.over})
		}
		h.Calls = append(h.Calls, x)
	}
	h.Now, h.Wall = r.now(), time.Now().UnixNano()
	return h
}

func (r *Relay) connections() held { return held{r.entry.count(), r.hosts.count()} }

// beHands makes this process the successor's hands: what it has out is reported, what comes in is passed on.
func (r *Relay) beHands(l *link) {
	r.hands = &handing{link: l, pending: map[int]*handIn{}}
	r.handed.Store(true)
	r.letGo() // discovery and notices are the successor's
	r.wal.Leave()
	r.hosts.close()
	r.msgs, r.traces, r.held = map[uint32]*message{}, map[string]*message{}, 0
	r.figures.active.Store(0)
	// What is left to decide here is what this process's door does; a module that knows nothing else decides it.
	sender, err := policy.New(r.cfg.Settings, r.cfg.Seed)
	if err != nil {
		r.log.Error("handed over", "err", err) // they were checked
		r.giveUp()
		return
	}
	r.sender = sender
	go r.hear(l)
	evs := []policy.Event{{Kind: policy.HandedOver}}
	if r.ending.Load() {
		evs = append(evs, policy.Event{Kind: policy.Ending})
	}
	r.passActs(evs)
}

// passActs has the door's module decide. It holds no message and no route, so that nothing else can come of it.
func (r *Relay) passActs(evs []policy.Event) {
	for _, a := range r.sender.Step(r.now(), evs) {
		switch a.Kind {
		case policy.SetListener:
			r.attend(a.Listener)
		case policy.Wake:
			r.wakeAt = time.Now().Add(a.Delay)
		}
	}
}

// pass is the step of a process whose relay is another's.
func (r *Relay) pass(batch []any) {
	h := r.hands
	var evs []policy.Event
	for _, e := range batch {
		switch e := e.(type) {
		case *handIn:
			h.seq++
			if r.alone.Load() || h.link.send(frame{In: &handInHand{h.seq, e.class.name, e.m, e.m.Body}}) != nil {
				e.reply <- answer{status: http.StatusInternalServerError}
				continue
			}
			h.pending[h.seq] = e
		case withdrawal:
			h.link.send(frame{Left: e.id})
		case cutOff:
			for i, a := range e.a.attempts {
				if a == e.a {
					h.link.send(frame{Cut: &cutHand{e.a.id, i}})
				}
			}
		case *callEnd:
			r.out--
			delete(r.live, e.c)
			end := &endHand{Call: e.c.id}
			for _, x := range e.results {
				end.Results = append(end.Results, resultHand{x.outcome, x.gone, x.wait, x.report})
			}
			h.link.send(frame{End: end})
		case clearance:
			e.reply <- nil // no call leaves here any more
		case reconfigured:
			r.reconfigure(e.cfg) // for the names that clients use
		case *handOver:
			e.conn.Close()
			close(e.done)
		case linkFrame:
			if a := e.Answer; a != nil && h.pending[a.Seq] != nil {
				in := h.pending[a.Seq]
				delete(h.pending, a.Seq)
				in.m.ID = a.ID
				in.reply <- answer{a.Status, a.Again, a.Policy}
			}
		case linkDown:
			r.successorGone()
		case look:
			r.looking = false
		case policy.EventKind:
			evs = append(evs, policy.Event{Kind: e})
		}
	}
	r.passActs(evs)
	if now := r.connections(); now != h.told {
		h.told = now
		h.link.send(frame{Held: &now})
	}
	r.endIfIdle()
}

// successorGone has the process start over, unless it is ending. What was passed on may have been taken on: whoever
// handed it in must not do so again.
func (r *Relay) successorGone() {
	for seq, in := range r.hands.pending {
		delete(r.hands.pending, seq)
		in.reply <- answer{status: http.StatusInternalServerError}
	}
	r.alone.Store(true)
	if !r.ending.Load() {
		r.log.Warn("the successor is gone")
		r.giveUp()
	}
}

// giveUp ends the relay in this process, which may start another.
func (r *Relay) giveUp() {
	r.noSends = true
	if !r.idled {
		r.idled = true
		r.back.Store(true)
		close(r.idle)
	}
}
