package policy

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// The state of a Sender as one process hands it to the next. This file makes no decisions: it writes the records of
// state.go, with times of the same clock, and leaves out what follows from other fields. The field names are stored
// data: they stay when identifiers change.

// State is all that a Sender knows, except its settings and the classes of its messages.
type State struct {
	Now    time.Duration
	Dests  []destState
	Gates  []gateState
	Calls  []callState
	Msgs   []msgState
	Turns  []turnState
	Shares map[string]record // by customer
	Least  map[int]float64
	Scarce map[int]time.Duration
}

// record maps field names to pointers to the fields, or to raw JSON after unmarshaling. Unknown names are ignored and
// missing fields keep their zero values, so that slightly different builds understand each other.
type record map[string]any

func (r record) unmarshal(data map[string]json.RawMessage) error {
	for name, field := range r {
		if raw, ok := data[name]; ok {
			if err := json.Unmarshal(raw, field); err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
		}
	}
	return nil
}

// UnmarshalJSON keeps the fields as raw JSON until copyTo stores them.
func (r *record) UnmarshalJSON(data []byte) error {
	var raw map[string]json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return err
	}
	*r = record{}
	for name, x := range raw {
		(*r)[name] = x
	}
	return nil
}

// copyTo stores raw fields in the variables that fields points to.
func (r record) copyTo(fields record) error {
	data := make(map[string]json.RawMessage, len(r))
	for name, x := range r {
		if raw, ok := x.(json.RawMessage); ok {
			data[name] = raw
		}
	}
	return fields.unmarshal(data)
}

type destState struct {
	ID     int
	Opens  time.Duration
	BareAt time.Duration
}

type gateState struct {
	Dest     int
	Separate bool
	Kind     int
	Fields   record
	Routes   []routeState
}

type routeState struct {
	Listing Listing
	Fields  record
}

type callState struct {
	Listing Listing // its route, which may have been removed
	Fields  record
}

type msgState struct {
	ID     uint32
	Dest   int
	Avoid  string
	Queued bool
	Out    []attemptState
	Fields record
}

type attemptState struct{ N, Call int }

type turnState struct {
	Key  string
	Rest time.Duration
	Line []uint32
}

func (sc *scope) fields() record {
	return record{"wait": &sc.waitUntil, "pace": &sc.pacingRate, "ceiling": &sc.refusedRate, "halvedAt": &sc.halvedAt,
		"creptAt": &sc.grownAt, "tokens": &sc.tokens, "tokensAt": &sc.tokensAt, "sent": &sc.recentSends, "credit": &sc.credit,
		"coldAt": &sc.creditAt, "coldLeft": &sc.suspectLeftAt, "limit": &sc.reportedLimit, "left": &sc.remaining,
		"low": &sc.lowered, "toldAt": &sc.reportedAt, "got": &sc.avgDeliveryRate, "gotAt": &sc.avgDeliveryAt,
		"streak": &sc.failures, "tights": &sc.tableFullRun}
}

func (r *route) fields() record {
	return record{"lot": &r.tieBreak, "skipUntil": &r.skipUntil, "skipLen": &r.skipLen, "down": &r.skipped, "cold": &r.suspected,
		"slight": &r.weak, "back": &r.recoveredAt, "run": &r.successes, "streak": &r.failures, "recent": &r.outcomeBits,
		"refusals": &r.refusals, "refusedAt": &r.firstRefusedAt, "okAt": &r.deliveredAt, "okSent": &r.answeredSentAt, "mean": &r.mean,
		"dev": &r.dev, "group": &r.perCall, "usual": &r.responseMean}
}

func (c *call) fields() record {
	return record{"left": &c.pending, "ok": &c.delivered, "sent": &c.sentAt, "expect": &c.overdueAt, "cut": &c.timeoutAt}
}

func (m *message) fields() record {
	return record{"due": &m.targetAt, "deadline": &m.deadline, "rank": &m.rank, "sends": &m.sends, "ranAt": &m.runSentAt,
		"ran": &m.mayHaveRun, "ranZone": &m.runZone, "timeouts": &m.timeouts, "tryAt": &m.unpacedAt, "ended": &m.ended}
}

func (b *bucket) fields() record { return record{"level": &b.level, "at": &b.at} }

// State returns what the Sender knows. It points into the Sender, so it must be encoded before the next step.
func (s *Sender) State() State {
	st := State{Now: s.now, Shares: map[string]record{}, Least: s.minLimits, Scarce: s.scarceUntil}
	for _, d := range s.destList {
		st.Dests = append(st.Dests, destState{d.id, d.blockedUntil, d.routelessSince})
		for _, sc := range d.scopes {
			x := gateState{Dest: d.id, Separate: sc.separate, Kind: sc.kind, Fields: sc.fields()}
			for _, r := range sc.routes {
				x.Routes = append(x.Routes, routeState{r.Listing, r.fields()})
			}
			st.Gates = append(st.Gates, x)
		}
	}
	calls := map[*call]int{}
	ids := make([]uint32, 0, len(s.msgs))
	for id := range s.msgs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		m := s.msgs[id]
		x := msgState{ID: id, Dest: m.dest.id, Queued: m.queued, Fields: m.fields()}
		if m.avoid != nil {
			x.Avoid = m.avoid.Route
		}
		for _, a := range m.inFlight {
			n, ok := calls[a.call]
			if !ok {
				n = len(st.Calls)
				calls[a.call] = n
				st.Calls = append(st.Calls, callState{a.call.route.Listing, a.call.fields()})
			}
			x.Out = append(x.Out, attemptState{a.number, n})
		}
		st.Msgs = append(st.Msgs, x)
	}
	for _, q := range s.keyQueues {
		x := turnState{Key: q.key, Rest: q.pausedUntil}
		for _, m := range q.messages {
			x.Line = append(x.Line, m.id)
		}
		st.Turns = append(st.Turns, x)
	}
	slices.SortFunc(st.Turns, func(a, b turnState) int { return int(a.Rest - b.Rest) })
	for i := range s.shares {
		st.Shares[s.cfg.Customers[i].Name] = s.shares[i].fields()
	}
	return st
}

// Restore returns a Sender that continues from the state of another one. It has its own settings; terms returns the
// class under which a message was accepted, nil if it is lost.
func Restore(cfg Settings, seed uint64, st State, terms func(id uint32) *Class) (*Sender, error) {
	s, err := New(cfg, seed)
	if err != nil {
		return nil, err
	}
	s.now = st.Now
	for kind, x := range st.Least {
		s.minLimits[kind] = x
	}
	for kind, x := range st.Scarce {
		s.scarceUntil[kind] = x
	}
	for i, c := range s.cfg.Customers {
		if err := st.Shares[c.Name].copyTo(s.shares[i].fields()); err != nil {
			return nil, fmt.Errorf("policy: share of %s: %w", c.Name, err)
		}
	}
	if err := s.restoreRoutes(st); err != nil {
		return nil, fmt.Errorf("policy: %w", err)
	}
	calls, err := s.restoreCalls(st)
	if err != nil {
		return nil, fmt.Errorf("policy: %w", err)
	}
	for _, x := range st.Msgs {
		if err := s.restoreMessage(x, calls, terms(x.ID)); err != nil {
			return nil, fmt.Errorf("policy: message %d: %w", x.ID, err)
		}
	}
	for _, x := range st.Turns {
		for _, id := range x.Line {
			if m := s.msgs[id]; m != nil {
				s.joinKeyQueue(m, x.Key)
			}
		}
		q := s.keyQueues[x.Key]
		if q == nil {
			q = &keyQueue{key: x.Key, idle: true}
			s.keyQueues[x.Key] = q
			s.idleKeys = append(s.idleKeys, q)
		}
		q.pausedUntil = x.Rest
	}
	for _, x := range st.Dests { // examined when it would have been
		s.destination(x.ID).blockedUntil = x.Opens
	}
	return s, nil
}

func (s *Sender) restoreRoutes(st State) error {
	for _, x := range st.Dests {
		d := s.destination(x.ID)
		if d.routelessSince = x.BareAt; d.routelessSince > 0 {
			s.routeless = append(s.routeless, d)
		}
	}
	for _, x := range st.Gates {
		d := s.destination(x.Dest)
		sc := &scope{dest: d, separate: x.Separate, kind: x.Kind}
		if err := x.Fields.copyTo(sc.fields()); err != nil {
			return fmt.Errorf("destination %d: %w", x.Dest, err)
		}
		d.scopes = append(d.scopes, sc)
		for _, y := range x.Routes {
			r := &route{Listing: y.Listing, scope: sc}
			if err := y.Fields.copyTo(r.fields()); err != nil {
				return fmt.Errorf("route %s: %w", r.Route, err)
			}
			sc.routes = append(sc.routes, r)
			s.routes[r.Route] = r
		}
	}
	return nil
}

func (s *Sender) restoreCalls(st State) ([]*call, error) {
	var calls []*call
	for _, x := range st.Calls {
		r := s.routes[x.Listing.Route]
		if r == nil { // removed: it accepts no new calls, and its calls count until they end
			r = &route{Listing: x.Listing}
			r.Gone = true
			r.scope = &scope{dest: s.destination(x.Listing.Destination), separate: true, kind: x.Listing.Kind}
		}
		c := &call{route: r}
		if err := x.Fields.copyTo(c.fields()); err != nil {
			return nil, fmt.Errorf("call to %s: %w", r.Route, err)
		}
		calls = append(calls, c)
		s.usedSlots++
		r.scope.inFlight++
		r.calls = append(r.calls, c)
	}
	for _, c := range calls {
		slices.SortFunc(c.route.calls, func(a, b *call) int { return int(a.sentAt - b.sentAt) })
	}
	return calls, nil
}

func (s *Sender) restoreMessage(x msgState, calls []*call, terms *Class) error {
	if terms == nil {
		terms = &Class{Effect: Unsafe, Ordered: true, Attempts: s.cfg.MaxAttempts}
	}
	m := &message{id: x.ID, class: terms, dest: s.destination(x.Dest), avoid: s.routes[x.Avoid], unpacedAt: never}
	if err := x.Fields.copyTo(m.fields()); err != nil {
		return err
	}
	for _, a := range x.Out {
		if a.Call < 0 || a.Call >= len(calls) {
			return fmt.Errorf("no call %d", a.Call)
		}
		m.inFlight = append(m.inFlight, attempt{a.N, calls[a.Call]})
	}
	s.msgs[m.id] = m
	m.dest.held++
	if m.ended {
		return nil
	}
	s.held++
	heap.Push(&s.timers, timer{m.deadline, m})
	if m.targetAt > s.now {
		heap.Push(&s.timers, timer{m.targetAt, m})
	}
	if m.mayHaveRun && m.class.Effect == Keyed {
		heap.Push(&s.timers, timer{m.dedupEnd(), m})
	}
	if x.Queued {
		s.enqueue(m)
	}
	return nil
}
