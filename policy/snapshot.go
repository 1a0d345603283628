package policy

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// The records of a Sender as one process hands them to the next. Nothing is decided here: what is told is what
// state.go holds, in the same clock, and what follows from it is left out.

// State is all that a Sender knows, but for its settings and the terms of its messages.
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

// record are fields by name. Writing reads what they point to, and reading writes it; unknown names are passed over,
// and what is not told keeps its zero, so that builds a little apart understand one another.
type record map[string]any

func (r record) read(data map[string]json.RawMessage) error {
	for name, field := range r {
		if raw, ok := data[name]; ok {
			if err := json.Unmarshal(raw, field); err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
		}
	}
	return nil
}

// UnmarshalJSON keeps the fields as they came, until read takes them to their places.
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

// into takes fields that came to where they belong.
func (r record) into(fields record) error {
	data := make(map[string]json.RawMessage, len(r))
	for name, x := range r {
		if raw, ok := x.(json.RawMessage); ok {
			data[name] = raw
		}
	}
	return fields.read(data)
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
	Listing Listing // of its route, which may be gone
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

func (g *gate) fields() record {
	return record{"wait": &g.wait, "pace": &g.pace, "ceiling": &g.ceiling, "halvedAt": &g.halvedAt,
		"creptAt": &g.creptAt, "tokens": &g.tokens, "tokensAt": &g.tokensAt, "sent": &g.sent, "credit": &g.credit,
		"coldAt": &g.coldAt, "coldLeft": &g.coldLeft, "limit": &g.limit, "left": &g.left, "low": &g.low, "toldAt": &g.toldAt, "got": &g.got, "gotAt": &g.gotAt,
		"streak": &g.streak, "tights": &g.tights}
}

func (r *route) fields() record {
	return record{"lot": &r.lot, "skipUntil": &r.skipUntil, "skipLen": &r.skipLen, "down": &r.down, "cold": &r.cold,
		"slight": &r.slight, "back": &r.back, "run": &r.run, "streak": &r.streak, "recent": &r.recent,
		"refusals": &r.refusals, "refusedAt": &r.refusedAt, "okAt": &r.okAt, "okSent": &r.okSent, "mean": &r.mean,
		"dev": &r.dev, "group": &r.group, "usual": &r.usual}
}

func (c *call) fields() record {
	return record{"left": &c.left, "ok": &c.ok, "sent": &c.sent, "expect": &c.expect, "cut": &c.cut}
}

func (m *message) fields() record {
	return record{"due": &m.due, "deadline": &m.deadline, "rank": &m.rank, "sends": &m.sends, "ranAt": &m.ranAt,
		"ran": &m.ran, "ranZone": &m.ranZone, "timeouts": &m.timeouts, "tryAt": &m.tryAt, "ended": &m.ended}
}

func (b *bucket) fields() record { return record{"level": &b.level, "at": &b.at} }

// State tells what the Sender knows. It points into the Sender: it is to be written out before the next step.
func (s *Sender) State() State {
	st := State{Now: s.now, Shares: map[string]record{}, Least: s.least, Scarce: s.scarce}
	for _, d := range s.order {
		st.Dests = append(st.Dests, destState{d.id, d.opens, d.bareAt})
		for _, g := range d.gates {
			x := gateState{Dest: d.id, Separate: g.separate, Kind: g.kind, Fields: g.fields()}
			for _, r := range g.routes {
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
		for _, a := range m.out {
			n, ok := calls[a.call]
			if !ok {
				n = len(st.Calls)
				calls[a.call] = n
				st.Calls = append(st.Calls, callState{a.call.r.Listing, a.call.fields()})
			}
			x.Out = append(x.Out, attemptState{a.n, n})
		}
		st.Msgs = append(st.Msgs, x)
	}
	for _, t := range s.turns {
		x := turnState{Key: t.key, Rest: t.rest}
		for _, m := range t.line {
			x.Line = append(x.Line, m.id)
		}
		st.Turns = append(st.Turns, x)
	}
	slices.SortFunc(st.Turns, func(a, b turnState) int { return int(a.Rest - b.Rest) })
	for i := range s.shares {
		st.Shares[s.set.Customers[i].Name] = s.shares[i].fields()
	}
	return st
}

// Restore returns a Sender that goes on where another stood. Settings are its own; terms tells those that a message
// was taken on under, nil if they are lost.
func Restore(set Settings, seed uint64, st State, terms func(id uint32) *Class) (*Sender, error) {
	s, err := New(set, seed)
	if err != nil {
		return nil, err
	}
	s.now = st.Now
	for kind, x := range st.Least {
		s.least[kind] = x
	}
	for kind, x := range st.Scarce {
		s.scarce[kind] = x
	}
	for i, c := range s.set.Customers {
		if err := st.Shares[c.Name].into(s.shares[i].fields()); err != nil {
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
				s.join(m, x.Key)
			}
		}
		t := s.turns[x.Key]
		if t == nil {
			t = &turn{key: x.Key, parked: true}
			s.turns[x.Key] = t
			s.parked = append(s.parked, t)
		}
		t.rest = x.Rest
	}
	for _, x := range st.Dests { // looked at when it would have been
		s.destination(x.ID).opens = x.Opens
	}
	return s, nil
}

func (s *Sender) restoreRoutes(st State) error {
	for _, x := range st.Dests {
		d := s.destination(x.ID)
		if d.bareAt = x.BareAt; d.bareAt > 0 {
			s.bare = append(s.bare, d)
		}
	}
	for _, x := range st.Gates {
		d := s.destination(x.Dest)
		g := &gate{dest: d, separate: x.Separate, kind: x.Kind}
		if err := x.Fields.into(g.fields()); err != nil {
			return fmt.Errorf("destination %d: %w", x.Dest, err)
		}
		d.gates = append(d.gates, g)
		for _, y := range x.Routes {
			r := &route{Listing: y.Listing, gate: g}
			if err := y.Fields.into(r.fields()); err != nil {
				return fmt.Errorf("route %s: %w", r.Route, err)
			}
			g.routes = append(g.routes, r)
			s.routes[r.Route] = r
		}
	}
	return nil
}

func (s *Sender) restoreCalls(st State) ([]*call, error) {
	var calls []*call
	for _, x := range st.Calls {
		r := s.routes[x.Listing.Route]
		if r == nil { // off the list: it takes nothing more, and its calls count until they end
			r = &route{Listing: x.Listing}
			r.Gone = true
			r.gate = &gate{dest: s.destination(x.Listing.Destination), separate: true, kind: x.Listing.Kind}
		}
		c := &call{r: r}
		if err := x.Fields.into(c.fields()); err != nil {
			return nil, fmt.Errorf("call to %s: %w", r.Route, err)
		}
		calls = append(calls, c)
		s.slots++
		r.gate.out++
		r.calls = append(r.calls, c)
	}
	for _, c := range calls {
		slices.SortFunc(c.r.calls, func(a, b *call) int { return int(a.sent - b.sent) })
	}
	return calls, nil
}

func (s *Sender) restoreMessage(x msgState, calls []*call, terms *Class) error {
	if terms == nil {
		terms = &Class{Effect: Unsafe, Ordered: true, Attempts: s.set.MaxAttempts}
	}
	m := &message{id: x.ID, class: terms, dest: s.destination(x.Dest), avoid: s.routes[x.Avoid], tryAt: never}
	if err := x.Fields.into(m.fields()); err != nil {
		return err
	}
	for _, a := range x.Out {
		if a.Call < 0 || a.Call >= len(calls) {
			return fmt.Errorf("no call %d", a.Call)
		}
		m.out = append(m.out, attempt{a.N, calls[a.Call]})
	}
	s.msgs[m.id] = m
	m.dest.held++
	if m.ended {
		return nil
	}
	s.held++
	heap.Push(&s.ends, end{m.deadline, m})
	if m.due > s.now {
		heap.Push(&s.ends, end{m.due, m})
	}
	if m.ran && m.class.Effect == Keyed {
		heap.Push(&s.ends, end{m.windowEnd(), m})
	}
	if x.Queued {
		s.enqueue(m)
	}
	return nil
}
