package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"time"
)

// The property test runs long random but valid sequences of events against a Sender and checks its actions against the
// six sending rules. The checker keeps its own records and shares no code with the checks of the Sender.
// TestCheckerDetectsMissingChecks shows that it can fail: it hides from a Sender what one of the rules depends on.

// injectedFault changes what the Sender is told, as if one of its checks were missing.
type injectedFault struct {
	name        string
	rule        int
	settings    func(*Settings)
	event       func(*Event)
	anySettings bool // no fault, but arbitrary settings
}

type attemptRecord struct {
	route      string
	sentAt     time.Duration
	inFlight   bool // without an outcome
	mayHaveRun bool // it may have taken effect
}

type heldMessage struct {
	id       uint32
	class    Class
	key      string
	dest     int
	deadline time.Duration
	attempts []attemptRecord
	ended    bool
}

type pendingEvent struct {
	at    time.Duration
	event Event
	call  *openCall
}

// openCall is one call of the simulation: messages sent to one route in one step.
type openCall struct{ pending int }

// simulation is the clients, the routes and the checker.
type simulation struct {
	rng              *rand.Rand
	cfg              Settings
	now              time.Duration
	routes           []Listing
	listed           map[string]Listing // as the Sender knows it
	msgs             map[uint32]*heldMessage
	keys             map[string][]*heldMessage
	keyPauses        map[string]time.Duration
	blockedUntil     map[string]time.Duration   // by scope
	outage           map[int][2]time.Duration   // by destination: from, to
	reportedFailures map[string]int             // consecutive failures reported to the Sender, by scope
	recoverySends    map[string][]time.Duration // by scope, since the end of the outage
	pending          []pendingEvent
	nextID           uint32
	slots            int
	violations       map[int]string
	delivered        int
	actionCounts     [3]int // sends, refusals, failures
}

func (sim *simulation) recordViolation(rule int, format string, args ...any) {
	if sim.violations[rule] == "" {
		sim.violations[rule] = fmt.Sprintf("at %v: ", sim.now) + fmt.Sprintf(format, args...)
	}
}

func (sim *simulation) scope(l Listing) string {
	if sim.cfg.Kinds[l.Kind].Separate {
		return l.Route
	}
	return fmt.Sprint(l.Destination)
}

func fixedClassSettings(rng *rand.Rand) Settings {
	return Settings{
		Classes: []Class{
			{Effect: Safe, Aim: 2 * time.Second, GiveUp: 8 * time.Second, Value: 1},
			{Effect: Keyed, DedupWindow: 4 * time.Second, Aim: 2 * time.Second, GiveUp: 9 * time.Second, Value: 2},
			{Effect: Keyed, GroupAll: true, DedupWindow: 5 * time.Second, Aim: time.Second, GiveUp: 6 * time.Second},
			{Effect: Unsafe, Ordered: true, Aim: 2 * time.Second, GiveUp: 10 * time.Second, Value: 4},
			{Effect: Safe, Ordered: true, Aim: time.Second, GiveUp: 5 * time.Second, Value: 1},
		},
		Kinds:     []Kind{{Separate: false, PerCall: 1 + 3*rng.IntN(2)}, {Separate: true, PerCall: 1}},
		Customers: []Customer{{Quota: 5}, {}},
		Senders:   1, Slots: 3 + rng.IntN(12), MaxHeld: 30 + rng.IntN(200), MaxAttempts: 4 + rng.IntN(8),
		MaxRetryAfter: 2 * time.Second,
		ColdShare:     0.05, WarmWithin: 20 * time.Second, OverloadFactor: 1, OverloadWindow: 3 * time.Second,
		OrderPause: 150 * time.Millisecond,
	}
}

// arbitrarySettings are random settings within the range of any customer.
func arbitrarySettings(rng *rand.Rand) Settings {
	span := func(least, most time.Duration) time.Duration { // short ones are more frequent
		return least + time.Duration(float64(most-least)*rng.Float64()*rng.Float64())
	}
	cfg := Settings{
		Kinds: []Kind{{Separate: rng.IntN(2) == 0, PerCall: 1 + rng.IntN(10)}, {Separate: rng.IntN(2) == 0, PerCall: 1 + 4*rng.IntN(2)}},
		Slots: 2 + rng.IntN(20), MaxHeld: 16 + rng.IntN(300), MaxAttempts: 2 + rng.IntN(12),
		Senders:   []int{1, 2, 3, 7, 30, 300}[rng.IntN(6)],
		NoWeights: rng.IntN(2) == 0, AskList: rng.IntN(2) == 0, MaxRetryAfter: span(0, 5*time.Second),
		ColdShare: 0.05 + 0.4*rng.Float64(), WarmWithin: 5*time.Second + span(0, 20*time.Second),
		OverloadFactor: 1 + rng.Float64(), OverloadWindow: time.Second + span(0, 3*time.Second),
		OrderPause: span(0, 400*time.Millisecond),
	}
	for range 1 + rng.IntN(6) {
		c := Class{Effect: []Effect{Safe, Keyed, Unsafe}[rng.IntN(3)], GroupAll: rng.IntN(2) == 0, Ordered: rng.IntN(4) == 0,
			DedupWindow: time.Second + span(0, 9*time.Second), GiveUp: span(300*time.Millisecond, time.Minute), Value: 4 * rng.Float64()}
		c.Aim = max(100*time.Millisecond, time.Duration(rng.Float64()*float64(c.GiveUp)))
		cfg.Classes = append(cfg.Classes, c)
	}
	for range rng.IntN(4) {
		cfg.Customers = append(cfg.Customers, Customer{Quota: 8 * rng.Float64()})
	}
	return cfg
}

func newSimulation(seed uint64, anySettings bool) *simulation {
	rng := rand.New(rand.NewPCG(seed, 7))
	sim := &simulation{rng: rng, cfg: fixedClassSettings(rng), now: time.Minute, violations: map[int]string{}, nextID: 1}
	if anySettings {
		sim.cfg = arbitrarySettings(rng)
	}
	sim.outage = map[int][2]time.Duration{}
	for d := range 4 {
		for i := range 1 + rng.IntN(3) {
			sim.routes = append(sim.routes, Listing{
				Route: fmt.Sprintf("r%d-%d", d, i), Destination: d, Kind: d % 2, Zone: i % 2, Weight: 6, InService: true,
			})
		}
		from := sim.now + time.Duration(5+rng.IntN(20))*time.Second
		sim.outage[d] = [2]time.Duration{from, from + time.Duration(6+rng.IntN(8))*time.Second}
	}
	sim.reset()
	return sim
}

// reset clears the records, as for a new Sender.
func (sim *simulation) reset() {
	sim.listed, sim.msgs, sim.keys = map[string]Listing{}, map[uint32]*heldMessage{}, map[string][]*heldMessage{}
	sim.keyPauses, sim.blockedUntil, sim.reportedFailures = map[string]time.Duration{}, map[string]time.Duration{}, map[string]int{}
	sim.recoverySends, sim.pending, sim.slots = map[string][]time.Duration{}, nil, 0
}

// events returns the pending events that are due, and new random ones unless quiet.
func (sim *simulation) events(quiet bool) []Event {
	var evs []Event
	slices.SortStableFunc(sim.pending, func(a, b pendingEvent) int { return int(a.at - b.at) })
	for len(sim.pending) > 0 && sim.pending[0].at <= sim.now {
		p := sim.pending[0]
		sim.pending = sim.pending[1:]
		if p.call != nil {
			if p.call.pending--; p.call.pending == 0 {
				sim.slots--
			}
		}
		if p.event.Kind == Finished {
			sim.recordOutcome(&p.event)
		}
		evs = append(evs, p.event)
	}
	if quiet {
		return evs
	}
	for sim.rng.IntN(4) == 0 {
		c := sim.rng.IntN(len(sim.cfg.Classes))
		key := ""
		if sim.cfg.Classes[c].Ordered {
			key = fmt.Sprint("k", sim.rng.IntN(5))
		}
		m := &heldMessage{id: sim.nextID, class: sim.cfg.Classes[c], key: key, dest: sim.rng.IntN(5)}
		left := m.class.GiveUp - time.Duration(sim.rng.IntN(2000))*time.Millisecond
		m.deadline = sim.now + left
		sim.nextID++
		sim.msgs[m.id] = m
		if key != "" {
			sim.keys[key] = append(sim.keys[key], m)
		}
		evs = append(evs, Event{Kind: Accepted, ID: m.id, Key: key, Class: c, Customer: sim.rng.IntN(2),
			Destination: m.dest, TimeLeft: left})
	}
	switch sim.rng.IntN(400) {
	case 0: // a route drains, or returns to service
		l := &sim.routes[sim.rng.IntN(len(sim.routes))]
		l.InService = !l.InService
		sim.listed[l.Route] = *l
		evs = append(evs, Event{Kind: ListChanges, List: []Listing{*l}})
	case 1: // a route is removed and replaced by another
		i := sim.rng.IntN(len(sim.routes))
		old := sim.routes[i]
		old.Gone, old.InService = true, false
		sim.listed[old.Route] = old
		sim.routes[i].Route += "n"
		sim.routes[i].InService = true
		sim.listed[sim.routes[i].Route] = sim.routes[i]
		evs = append(evs, Event{Kind: ListChanges, List: []Listing{old, sim.routes[i]}})
	case 2: // a client disconnects
		for id := uint32(1); id < sim.nextID; id++ {
			if m := sim.msgs[id]; m != nil && !m.ended {
				m.ended = true
				evs = append(evs, Event{Kind: Withdrawn, ID: id})
				break
			}
		}
	case 3: // events of unknown messages
		evs = append(evs, Event{Kind: Finished, ID: 4e9, Route: "nowhere", Outcome: Timeout},
			Event{Kind: Withdrawn, ID: 4e9 + 1}, Event{Kind: Woken})
	}
	return evs
}

// recordOutcome records an outcome before the Sender receives it.
func (sim *simulation) recordOutcome(e *Event) {
	m := sim.msgs[e.ID]
	if m == nil {
		return
	}
	t := &m.attempts[e.Attempt]
	t.inFlight = false
	t.mayHaveRun = e.Outcome != Full && e.Outcome != ConnectFailed && e.Outcome != Moot
	if e.Outcome == OK {
		m.ended = true
		sim.delivered++
	}
	e.Ended = m.ended
	if e.Outcome == Timeout || e.Outcome == Reset || e.Outcome == Cancelled {
		sim.keyPauses[m.key] = max(sim.keyPauses[m.key], sim.now+sim.cfg.OrderPause)
	}
	l := sim.listed[e.Route]
	if e.RetryAfter > 0 {
		sim.blockedUntil[sim.scope(l)] = max(sim.blockedUntil[sim.scope(l)], sim.now+e.RetryAfter)
	}
	switch e.Outcome {
	case OK:
		sim.reportedFailures[sim.scope(l)] = 0
	case Timeout, ConnectFailed, Error, Reset:
		if span := sim.outage[m.dest]; sim.now-e.Took >= span[0] && sim.now < span[1] {
			sim.reportedFailures[sim.scope(l)]++
		}
	}
}

func (sim *simulation) applyActions(acts []Action) {
	calls := map[string]*openCall{}
	for _, a := range acts {
		m := sim.msgs[a.ID]
		if (a.Kind == Send || a.Kind == Refuse || a.Kind == Fail) && m == nil {
			sim.recordViolation(1, "an action for unknown message %d", a.ID)
			continue
		}
		switch a.Kind {
		case Send:
			sim.actionCounts[0]++
			sim.checkSend(m, a)
			sim.startCall(m, a, calls)
		case Refuse:
			sim.actionCounts[1]++
			repeatable := m.class.Effect == Safe || m.class.Effect == Keyed && m.class.GroupAll
			for _, t := range m.attempts {
				if (t.mayHaveRun || t.inFlight) && !repeatable {
					sim.recordViolation(2, "message %d refused though it may have run", m.id)
				}
			}
			m.ended = true
		case Fail:
			sim.actionCounts[2]++
			m.ended = true
		case Wake:
			sim.pending = append(sim.pending, pendingEvent{at: sim.now + a.Delay, event: Event{Kind: Woken}})
		}
	}
}

func (sim *simulation) checkSend(m *heldMessage, a Action) {
	l, known := sim.listed[a.Route]
	if m.ended || sim.now >= m.deadline || len(m.attempts) >= sim.cfg.MaxAttempts {
		sim.recordViolation(1, "message %d sent after its end", m.id)
	}
	for _, t := range m.attempts {
		if t.inFlight {
			sim.recordViolation(2, "message %d sent while an attempt is in flight", m.id)
		}
	}
	if i := slices.IndexFunc(m.attempts, func(t attemptRecord) bool { return t.mayHaveRun }); i >= 0 {
		first := m.attempts[i]
		switch {
		case m.class.Effect == Unsafe:
			sim.recordViolation(2, "unsafe message %d sent again", m.id)
		case m.class.Effect == Keyed && sim.now >= first.sentAt+m.class.DedupWindow:
			sim.recordViolation(2, "keyed message %d sent after its window", m.id)
		case m.class.Effect == Keyed && !m.class.GroupAll && sim.listed[first.route].Zone != l.Zone:
			sim.recordViolation(2, "keyed message %d sent outside its group", m.id)
		}
	}
	if !known || !l.InService || l.Gone || l.Destination != m.dest {
		sim.recordViolation(3, "message %d sent to %s, which is not in service", m.id, a.Route)
	}
	if sim.blockedUntil[sim.scope(l)] > sim.now {
		sim.recordViolation(5, "message %d sent to %s before its retry-after ended", m.id, a.Route)
	}
	if m.key != "" {
		for _, o := range sim.keys[m.key] {
			if o == m {
				break
			}
			if !o.ended || slices.ContainsFunc(o.attempts, func(t attemptRecord) bool { return t.inFlight }) {
				sim.recordViolation(6, "message %d sent before %d", m.id, o.id)
			}
		}
		if len(m.attempts) == 0 && sim.keyPauses[m.key] > sim.now {
			sim.recordViolation(6, "message %d sent while its key is paused", m.id)
		}
	}
}

// checkRecovery checks the recovery budget of a destination that returned cold: the calls of any window since the
// return, from a Sender that received its failures.
func (sim *simulation) checkRecovery(d string, recoveredAt time.Duration) {
	sim.recoverySends[d] = append(sim.recoverySends[d], sim.now)
	n := 0
	for _, at := range sim.recoverySends[d] {
		if at > sim.now-sim.cfg.OverloadWindow {
			n++
		}
	}
	share := sim.cfg.ColdShare + (1-sim.cfg.ColdShare)*float64(sim.now-recoveredAt)/float64(sim.cfg.WarmWithin)
	if share >= 1 {
		return
	}
	limit := sim.cfg.OverloadFactor*share*6*sim.cfg.OverloadWindow.Seconds() + 1.5 // 6: the listed weight
	if float64(n) > limit {
		sim.recordViolation(4, "%d calls to %s in %v, want at most %.1f", n, d, sim.cfg.OverloadWindow, limit)
	}
}

// startCall simulates an attempt: its outcome follows later, at its timeout at the latest.
func (sim *simulation) startCall(m *heldMessage, a Action, calls map[string]*openCall) {
	l := sim.listed[a.Route]
	e := Event{Kind: Finished, ID: m.id, Attempt: len(m.attempts), Route: a.Route}
	m.attempts = append(m.attempts, attemptRecord{route: a.Route, sentAt: sim.now, inFlight: true})
	c := calls[a.Route]
	if c == nil || c.pending >= sim.cfg.Kinds[l.Kind].PerCall {
		c = &openCall{}
		calls[a.Route] = c
		if sim.slots++; sim.slots > sim.cfg.Slots {
			sim.recordViolation(1, "%d calls in flight, want at most %d", sim.slots, sim.cfg.Slots)
		}
		span := sim.outage[m.dest]
		sc := sim.scope(l)
		if sim.now >= span[1] && sim.now < span[1]+sim.cfg.WarmWithin && (sim.reportedFailures[sc] >= 3 || sim.recoverySends[sc] != nil) {
			sim.checkRecovery(sc, span[1])
		}
	}
	c.pending++
	took := time.Duration(20+sim.rng.IntN(400)) * time.Millisecond
	failing := sim.now >= sim.outage[m.dest][0] && sim.now < sim.outage[m.dest][1]
	switch n := sim.rng.IntN(40); {
	case failing && m.dest%3 == 0:
		took = time.Hour // no response
	case failing && m.dest%3 == 1:
		e.Outcome = ConnectFailed
	case failing:
		e.Outcome = Error
	case n < 4:
		e.Outcome = Full
		if n < 2 {
			e.RetryAfter = time.Duration(200+sim.rng.IntN(900)) * time.Millisecond
		}
	case n == 4:
		e.Outcome = []Outcome{Error, Reset, Cancelled, Moot}[sim.rng.IntN(4)]
	case n == 5:
		took = time.Hour
	}
	if m.dest%3 == 2 && sim.now >= sim.outage[m.dest][0]-time.Second {
		took = min(took, 300*time.Millisecond)
	}
	at := sim.now + took
	if timeoutAt := min(a.TimeoutAt, m.deadline); at > timeoutAt {
		at, e.Outcome, e.RetryAfter = max(timeoutAt, sim.now+time.Millisecond), Timeout, 0
	}
	e.Took = at - sim.now
	sim.pending = append(sim.pending, pendingEvent{at: at, event: e, call: c})
}

// simulate runs one simulation; violations holds the rules that were broken.
func simulate(t *testing.T, seed uint64, fault injectedFault) *simulation {
	t.Helper()
	sim := newSimulation(seed, fault.anySettings)
	start := func() (*Sender, []Event) {
		cfg := sim.cfg
		cfg.Classes = slices.Clone(cfg.Classes)
		if fault.settings != nil {
			fault.settings(&cfg)
		}
		s, err := New(cfg, seed)
		if err != nil {
			t.Fatal(err)
		}
		sim.reset()
		for _, l := range sim.routes {
			sim.listed[l.Route] = l
		}
		return s, []Event{{Kind: ListWhole, List: slices.Clone(sim.routes)}}
	}
	s, first := start()
	restart := sim.now + time.Duration(30+sim.rng.IntN(10))*time.Second
	end := sim.now + time.Minute
	for sim.now < end {
		sim.now += 5 * time.Millisecond
		if restart > 0 && sim.now >= restart {
			s, first = start()
			restart = 0
		}
		evs := append(first, sim.events(sim.now > end-15*time.Second)...)
		first = nil
		if fault.event != nil {
			for i := range evs {
				fault.event(&evs[i])
			}
		}
		if len(evs) > 0 {
			sim.applyActions(s.Step(sim.now, evs))
		}
		for id, m := range sim.msgs {
			done := m.ended && !slices.ContainsFunc(m.attempts, func(t attemptRecord) bool { return t.inFlight })
			if !m.ended && sim.now > m.deadline+20*time.Millisecond {
				sim.recordViolation(1, "message %d has no final answer at its deadline", id)
				m.ended = true
			}
			if done && m.key == "" {
				delete(sim.msgs, id)
			}
		}
	}
	return sim
}

func TestSixSendingRules(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			sim := simulate(t, seed, injectedFault{})
			for rule := 1; rule <= 6; rule++ {
				if sim.violations[rule] != "" {
					t.Errorf("seed %d, rule %d: %s", seed, rule, sim.violations[rule])
				}
			}
			if sim.delivered < 150 || sim.actionCounts[1] == 0 || sim.actionCounts[2] == 0 {
				t.Errorf("seed %d: %d delivered, %v sends, refusals, failures: the run is too short to be conclusive",
					seed, sim.delivered, sim.actionCounts)
			}
		})
	}
}

func TestCheckerDetectsMissingChecks(t *testing.T) {
	for _, fault := range []injectedFault{
		{name: "deadline", rule: 1, event: func(e *Event) { e.TimeLeft += time.Second }},
		{name: "unsafe", rule: 2, settings: func(s *Settings) { s.Classes[3].Effect = Safe }},
		{name: "group", rule: 2, settings: func(s *Settings) { s.Classes[1].GroupAll = true }},
		{name: "window", rule: 2, settings: func(s *Settings) { s.Classes[1].DedupWindow = time.Hour }},
		{name: "drain", rule: 3, event: func(e *Event) {
			if e.Kind == ListChanges {
				e.List = nil
			}
		}},
		{name: "recovery", rule: 4, settings: func(s *Settings) { s.OverloadFactor = 1000 }},
		{name: "retry-after", rule: 5, event: func(e *Event) { e.RetryAfter = 0 }},
		{name: "order", rule: 6, settings: func(s *Settings) { s.Classes[3].Ordered, s.Classes[4].Ordered = false, false }},
		{name: "pause", rule: 6, settings: func(s *Settings) { s.OrderPause = 0 }},
	} {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(12) {
				if simulate(t, seed, fault).violations[fault.rule] != "" {
					return
				}
			}
			t.Errorf("no run without its check broke rule %d", fault.rule)
		})
	}
}

// The sending rules hold under the settings of any customer: all classes and effects, windows of a second and more,
// with or without shares, any limits, fees and deadlines, one sender or hundreds.
func TestSixSendingRulesUnderAnySettings(t *testing.T) {
	var answered atomic.Int64
	t.Run("seeds", func(t *testing.T) {
		for seed := range uint64(60) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				sim := simulate(t, 1000+seed, injectedFault{anySettings: true})
				for rule := 1; rule <= 6; rule++ {
					if sim.violations[rule] != "" {
						t.Errorf("seed %d, rule %d: %s; %+v", seed, rule, sim.violations[rule], sim.cfg)
					}
				}
				answered.Add(int64(sim.delivered))
			})
		}
	})
	if answered.Load() < 60*100 {
		t.Errorf("%d delivered in all: the runs are too short to be conclusive", answered.Load())
	}
}

// Equal events give equal actions.
func TestDeterminism(t *testing.T) {
	a, b := simulate(t, 3, injectedFault{}), simulate(t, 3, injectedFault{})
	if a.actionCounts != b.actionCounts || a.delivered != b.delivered || a.nextID != b.nextID {
		t.Errorf("two runs differ: %v %d, %v %d", a.actionCounts, a.delivered, b.actionCounts, b.delivered)
	}
}
