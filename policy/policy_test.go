package policy

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// harness drives one Sender with an explicit clock.
type harness struct {
	t        *testing.T
	s        *Sender
	now      time.Duration
	attempts map[uint32]int
}

func settings() Settings {
	return Settings{
		Classes: []Class{
			{Effect: Safe, Aim: 2 * time.Second, GiveUp: 60 * time.Second, Value: 1},
			{Effect: Keyed, DedupWindow: 10 * time.Second, Aim: 2 * time.Second, GiveUp: 60 * time.Second, Value: 1},
			{Effect: Unsafe, Ordered: true, Aim: 2 * time.Second, GiveUp: 60 * time.Second, Value: 1},
		},
		Kinds:   []Kind{{PerCall: 1}, {Separate: true, PerCall: 1}, {PerCall: 3}},
		Senders: 1, ColdShare: 0.2, WarmWithin: 10 * time.Second, OverloadFactor: 2,
		OverloadWindow: 2 * time.Second, OrderPause: 100 * ms,
	}
}

func newHarness(t *testing.T, cfg Settings, list ...Listing) *harness {
	t.Helper()
	s, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, s: s, now: time.Minute, attempts: map[uint32]int{}}
	for i := range list {
		list[i].InService = true
	}
	h.step(Event{Kind: ListWhole, List: list})
	return h
}

// step passes events at the current time and returns the actions other than wakes.
func (h *harness) step(evs ...Event) []Action {
	var acts []Action
	for _, a := range h.s.Step(h.now, evs) {
		if a.Kind != Wake {
			acts = append(acts, a)
		}
	}
	return acts
}

func (h *harness) accept(id uint32, class int) []Action {
	return h.step(Event{Kind: Accepted, ID: id, Class: class, TimeLeft: 60 * time.Second})
}

func (h *harness) finish(id uint32, route string, o Outcome, took, retryAfter time.Duration) []Action {
	h.now += took
	n := h.attempts[id]
	h.attempts[id]++
	return h.step(Event{Kind: Finished, ID: id, Attempt: n, Route: route, Outcome: o, Took: took, RetryAfter: retryAfter,
		Ended: o == OK})
}

// advance lets time pass and wakes the Sender.
func (h *harness) advance(after time.Duration) []Action {
	h.now += after
	return h.step(Event{Kind: Woken})
}

// sentTo returns the route of the first Send among the actions; "" if there is none.
func sentTo(acts []Action) string {
	for _, a := range acts {
		if a.Kind == Send {
			return a.Route
		}
	}
	return ""
}

func has(acts []Action, k ActionKind) bool {
	return slices.ContainsFunc(acts, func(a Action) bool { return a.Kind == k })
}

func TestRoutesAreOrderedByWeightFeeAndTieBreak(t *testing.T) {
	cfg := settings()
	cfg.ZoneFees = []float64{0, 0.03}
	h := newHarness(t, cfg, Listing{Route: "a", Kind: 1, Zone: 1, Weight: 5}, Listing{Route: "c", Kind: 1, Weight: 5},
		Listing{Route: "b", Kind: 1, Weight: 5}, Listing{Route: "z", Kind: 1, Zone: 1, Weight: 9})
	var got []string
	got = append(got, sentTo(h.accept(1, 0)))
	for range 3 {
		got = append(got, sentTo(h.finish(1, got[len(got)-1], Full, 10*ms, 0)))
	}
	// After a refusal the pacing rate of the scope has no token left, so the message moves on.
	slices.Sort(got[1:3]) // equal routes are in random order
	if want := []string{"z", "b", "c", "a"}; !slices.Equal(got, want) {
		t.Errorf("order %v, want %v", got, want)
	}
}

// Without a random tie-break, hundreds of senders load the first of several equal routes while the others stay idle.
func TestSendersSpreadOverEqualRoutes(t *testing.T) {
	first := map[string]int{}
	for seed := range uint64(60) {
		cfg := settings()
		cfg.Senders = 60
		s, err := New(cfg, seed)
		if err != nil {
			t.Fatal(err)
		}
		acts := s.Step(time.Minute, []Event{
			{Kind: ListWhole, List: []Listing{{Route: "a", InService: true}, {Route: "b", InService: true},
				{Route: "c", InService: true}}},
			{Kind: Accepted, ID: 1, TimeLeft: 9 * time.Second}})
		first[sentTo(acts)]++
	}
	if first["a"] < 10 || first["b"] < 10 || first["c"] < 10 {
		t.Errorf("first choices of 60 senders: %v", first)
	}
}

func TestFailureRules(t *testing.T) {
	now := time.Minute
	for _, c := range []struct {
		rule string
		r    route
		o    sample
		skip bool
	}{
		{"shut", route{}, sample{outcome: Full, retryAfter: 5 * time.Second}, true},
		{"shut", route{refusals: outageRefusals, firstRefusedAt: now - minRefusalSpan}, sample{outcome: Full}, true},
		{"full", route{refusals: outageRefusals, firstRefusedAt: now - minRefusalSpan + 1},
			sample{outcome: Full, retryAfter: time.Second}, false},
		{"trial failed", route{skipped: true}, sample{outcome: Error}, true},
		{"crowded", route{failures: 1}, sample{outcome: ConnectFailed, tableFull: true}, false},
		{"failed", route{failures: 1}, sample{outcome: ConnectFailed}, false},
		{"in a row", route{failures: 3, deliveredAt: now - time.Second}, sample{outcome: ConnectFailed}, true},
		{"mostly failing", route{failures: 1, outcomeBits: 0b10111010}, sample{outcome: Error}, true},
		{"failed", route{failures: 1, outcomeBits: 0b1011010}, sample{outcome: Error}, false},
		{"failed", route{failures: 2}, sample{outcome: Timeout}, false},
	} {
		s := &Sender{now: now}
		r := &c.r
		i := slices.IndexFunc(failureRules, func(f failureRule) bool { return f.match(s, r, c.o) })
		if i < 0 || failureRules[i].name != c.rule || failureRules[i].skip != c.skip {
			t.Errorf("%+v, %+v: rule %d, want %q with skip %v", c.r, c.o, i, c.rule, c.skip)
		}
	}
}

func TestSkipExpires(t *testing.T) {
	h := newHarness(t, settings(), Listing{Route: "a", Kind: 1, Weight: 9}, Listing{Route: "b", Kind: 1, Weight: 5})
	for id := range uint32(3) {
		h.now += time.Second // the recovery budget of a suspected route
		if got := sentTo(h.accept(id, 0)); got != "a" {
			t.Fatalf("message %d to %q before the skip", id, got)
		}
		h.finish(id, "a", Error, 10*ms, 0)
		h.step(Event{Kind: Withdrawn, ID: id})
	}
	if got := sentTo(h.accept(10, 0)); got != "b" {
		t.Errorf("message to %q while a is skipped", got)
	}
	h.now += time.Duration(float64(firstSkip) * (1 + skipJitter))
	if got := sentTo(h.accept(11, 0)); got != "a" {
		t.Errorf("message to %q after the skip", got)
	}
	if got := sentTo(h.accept(12, 0)); got != "b" {
		t.Errorf("second message to %q during the trial", got)
	}
	if got := sentTo(h.accept(13, 2)); got != "b" {
		t.Errorf("unsafe message to %q during the trial", got)
	}
}

func TestPacingRateHalvesGrowsAndRestarts(t *testing.T) {
	h := newHarness(t, settings(), Listing{Route: "a", Kind: 1, Weight: 2})
	for id := range uint32(8) {
		h.accept(id, 0)
	}
	sc := h.s.routes["a"].scope
	if sc.pacingRate != 0 {
		t.Fatalf("the pacing rate starts at %v, want unlimited", sc.pacingRate)
	}
	h.finish(0, "a", Full, 100*ms, 0)
	if sc.pacingRate != 4 {
		t.Errorf("pacing rate %v after a refusal at 8 in the last second, want 4", sc.pacingRate)
	}
	h.finish(1, "a", Full, ms, 0)
	if sc.pacingRate != 4 {
		t.Errorf("pacing rate %v after a refusal of the same burst, want 4", sc.pacingRate)
	}
	h.finish(2, "a", OK, ms, 0)
	if want := 4 * (1 + rateGrowth); sc.pacingRate != want {
		t.Errorf("pacing rate %v after a delivery, want %v", sc.pacingRate, want)
	}
	for id := uint32(3); id < 6; id++ {
		h.finish(id, "a", Error, ms, 0)
	}
	r := h.s.routes["a"]
	if !r.skipped {
		t.Fatal("three consecutive failures did not skip the route")
	}
	h.s.observe(r, sample{outcome: OK, sentAt: h.now}, ms)
	if want := restartRate * (1 + rateGrowth); r.skipped || sc.pacingRate != want {
		t.Errorf("pacing rate %v at the end of a skip, want %v", sc.pacingRate, want)
	}
}

// Repeatedly halving inaccurate counts of a few calls a second starves scopes whose limit is known.
func TestPacingRateKeepsItsEvenShare(t *testing.T) {
	h := newHarness(t, settings(), Listing{Route: "a", Kind: 1, Weight: 20})
	r := h.s.routes["a"]
	for range 5 {
		h.now += time.Second
		h.s.now = h.now
		h.s.backOff(r, sample{outcome: Full, sentAt: h.now})
	}
	if want := 20 * minEvenShareRatio; r.scope.pacingRate != want {
		t.Errorf("pacing rate %v after five refusals, want %v", r.scope.pacingRate, want)
	}
}

func TestFinalAnswers(t *testing.T) {
	for _, c := range []struct {
		class   int
		outcome Outcome
		want    ActionKind
		early   bool
	}{
		{0, Timeout, Refuse, false}, // safe: the client may send it again
		{1, Full, Refuse, false},    // keyed, never ran
		{1, Timeout, Fail, true},    // keyed, may have run: repeats are dropped for 10 s only
		{2, ConnectFailed, Refuse, false},
	} {
		h := newHarness(t, settings(), Listing{Route: "a"})
		h.accept(1, c.class)
		h.step(Event{Kind: ListChanges, List: []Listing{{Route: "a", Gone: true}}})
		h.finish(1, "a", c.outcome, time.Second, 0)
		if acts := h.advance(58900 * ms); has(acts, c.want) != c.early || !c.early && len(acts) != 0 {
			t.Errorf("%+v: %+v before the deadline", c, acts)
		}
		if c.early {
			continue
		}
		if acts := h.advance(90 * ms); len(acts) != 1 || acts[0].Kind != c.want {
			t.Errorf("%+v: %+v at the deadline", c, acts)
		}
	}
	h := newHarness(t, settings(), Listing{Route: "a"})
	h.accept(1, 2)
	if acts := h.finish(1, "a", Timeout, time.Second, 0); !has(acts, Fail) || has(acts, Send) {
		t.Errorf("an unsafe message that may have run: %+v", acts)
	}
}

func TestDrainingRouteGetsNoCalls(t *testing.T) {
	h := newHarness(t, settings(), Listing{Route: "a"})
	acts := h.step(Event{Kind: ListChanges, List: []Listing{{Route: "a"}}},
		Event{Kind: Accepted, ID: 1, TimeLeft: 9 * time.Second})
	if has(acts, Send) {
		t.Errorf("sent to a draining route: %+v", acts)
	}
}

func TestRetryAfterBlocksTheScope(t *testing.T) {
	h := newHarness(t, settings(), Listing{Route: "a"}, Listing{Route: "b"})
	h.accept(1, 0)
	h.finish(1, "a", Full, 10*ms, 700*ms)
	if acts := h.accept(2, 0); has(acts, Send) {
		t.Errorf("sent before the retry-after ended: %+v", acts)
	}
	if acts := h.advance(699 * ms); has(acts, Send) {
		t.Errorf("sent before the retry-after ended: %+v", acts)
	}
	if acts := h.advance(2 * time.Second); !has(acts, Send) {
		t.Error("nothing sent after the retry-after")
	}
}

// A retry-after for one message of a call also applies if the other messages were delivered.
func TestRetryAfterOfAPartlyDeliveredCall(t *testing.T) {
	h := newHarness(t, settings(), Listing{Route: "a", Kind: 2})
	h.step(Event{Kind: Accepted, ID: 1, TimeLeft: 9 * time.Second}, Event{Kind: Accepted, ID: 2, TimeLeft: 9 * time.Second})
	h.step(Event{Kind: Finished, ID: 1, Route: "a", Outcome: OK, Ended: true},
		Event{Kind: Finished, ID: 2, Route: "a", Outcome: Full, RetryAfter: time.Second})
	if got := h.s.routes["a"].scope.waitUntil; got != h.now+time.Second {
		t.Errorf("blocked until %v, want %v", got, h.now+time.Second)
	}
}

func TestRecoveryBudgetSpacesCalls(t *testing.T) {
	h := newHarness(t, settings(), Listing{Route: "a", Kind: 1, Weight: 5})
	r := h.s.routes["a"]
	h.s.now = h.now
	h.s.suspect(r)
	r.scope.credit = 0
	// 2/3 of the overload at the window's end, 2*0.36*5*2 calls, less half a call, in a window longer by the credit expiry.
	rate := (awareSenderRatio*2*0.36*5*2 - 0.5) / (2 * (1 + creditExpiryRatio)) * (1 - ownRatio)
	if got, want := h.s.recoveryAt(r), h.now+interval(rate); got != want {
		t.Errorf("next call at %v, want %v", got, want)
	}
	r.recoveredAt, h.s.now = h.now, h.now+10*time.Second
	if got := h.s.recoveryAt(r); got != 0 || r.suspected {
		t.Errorf("after the warm-up: next call at %v", got)
	}
}

// Senders that wait for the end of a retry-after must not accrue recovery credit meanwhile: all of them would call as
// the destination returns.
func TestRetryAfterAccruesNoRecoveryCredit(t *testing.T) {
	cfg := settings()
	cfg.Senders = 400
	callers := 0
	for seed := range uint64(400) {
		s, err := New(cfg, seed)
		if err != nil {
			t.Fatal(err)
		}
		s.Step(time.Minute, []Event{{Kind: ListWhole, List: []Listing{{Route: "a", Weight: 400, InService: true}}}})
		r := s.routes["a"]
		r.scope.waitUntil = s.now + 10*time.Second
		s.observe(r, sample{outcome: Full, retryAfter: 10 * time.Second, sentAt: s.now}, ms)
		s.recoveryAt(r)
		if s.now = r.scope.waitUntil; s.recoveryAt(r) <= s.now {
			callers++
		}
	}
	if callers > 4 {
		t.Errorf("%d of 400 senders call at the end of the retry-after", callers)
	}
}

// One of hundreds of senders may see a single failure of an outage: it is enough to suspect the route, and one delivery
// ends the suspicion.
func TestSparseSenderSuspectsOnOneFailure(t *testing.T) {
	for _, c := range []struct {
		senders   int
		suspected bool
	}{{1, false}, {3, false}, {100, true}, {400, true}} {
		cfg := settings()
		cfg.Senders = c.senders
		h := newHarness(t, cfg, Listing{Route: "a", Weight: 4})
		r := h.s.routes["a"]
		h.s.now = h.now
		h.s.observe(r, sample{outcome: Timeout, sentAt: h.now}, time.Second)
		if r.suspected != c.suspected {
			t.Errorf("%d senders: suspected %v after one failure", c.senders, r.suspected)
		}
		h.s.observe(r, sample{outcome: OK, sentAt: h.now}, ms)
		if r.suspected {
			t.Errorf("%d senders: suspected after a delivery", c.senders)
		}
	}
}

// Otherwise hundreds of senders, refused twice each by a destination in an outage, overload it when it returns.
func TestSparseSenderSuspectsOnTwoRefusals(t *testing.T) {
	for _, c := range []struct {
		senders   int
		gap, wait time.Duration
		suspected bool
	}{
		{20, minRefusalSpan, 0, true},
		{20, minRefusalSpan - ms, 0, false},  // a burst: it has ended by then
		{20, minRefusalSpan, 500 * ms, true}, // destinations in an outage send retry-after too
		{10, minRefusalSpan, 0, true},        // its share is more than one call per overload window
		{1, minRefusalSpan, 0, false},
	} {
		cfg := settings()
		cfg.Senders = c.senders
		h := newHarness(t, cfg, Listing{Route: "a", Weight: 4})
		r := h.s.routes["a"]
		h.s.now = h.now
		h.s.observe(r, sample{outcome: Full, sentAt: h.now, retryAfter: c.wait}, ms)
		h.s.now += c.gap
		h.s.observe(r, sample{outcome: Full, sentAt: h.s.now, retryAfter: c.wait}, ms)
		if r.suspected != c.suspected {
			t.Errorf("%+v: suspected %v", c, r.suspected)
		}
	}
}

// Hundreds of senders, each with one refusal or one failed connection in an outage, overload a destination together
// when it returns. So most of them suspect the route; where each sender sees more of a route, none does yet.
func TestOutageHintsRaiseSuspicionByChance(t *testing.T) {
	for _, c := range []struct {
		senders  int
		outcome  Outcome
		alive    bool
		min, max int // suspected, of 200
	}{
		{400, Full, false, 100, 140},
		{400, ConnectFailed, false, 100, 140},
		{400, Full, true, 0, 0}, // it responded within the last seconds
		{3, Full, false, 0, 0},
		{20, Full, false, 0, 0}, // its share is more than one call per warm-up
	} {
		cfg := settings()
		cfg.Senders = c.senders
		n := 0
		for seed := range uint64(200) {
			s, err := New(cfg, seed)
			if err != nil {
				t.Fatal(err)
			}
			s.Step(time.Minute, []Event{{Kind: ListWhole, List: []Listing{{Route: "a", Weight: 4, InService: true}}}})
			r := s.routes["a"]
			s.scarceUntil[0] = s.now + time.Minute
			if c.alive {
				s.recordDelivery(r, s.now, ms)
			}
			s.observe(r, sample{outcome: c.outcome, sentAt: s.now}, ms)
			if r.suspected {
				n++
			}
		}
		if n < c.min || n > c.max {
			t.Errorf("%+v: %d of 200 suspected", c, n)
		}
	}
}

// Two attempts with half of a short time each would both time out before the response.
func TestShortDeadlineAllowsOneAttempt(t *testing.T) {
	h := newHarness(t, settings(), Listing{Route: "a"})
	for _, c := range []struct{ left, want time.Duration }{
		{1200 * ms, 1200*ms - deadlineMargin},
		{8 * time.Second, 1600 * ms}, // expected response time without a measurement
	} {
		acts := h.step(Event{Kind: Accepted, ID: uint32(c.left), TimeLeft: c.left})
		if len(acts) != 1 || acts[0].Kind != Send || acts[0].TimeoutAt-h.now != c.want {
			t.Errorf("%v left: %+v, want one attempt with a timeout of %v", c.left, acts, c.want)
		}
	}
}

// A message must not wait to its deadline at a destination that is blocked for longer.
func TestMessageThatCannotBeSentInTimeIsRefused(t *testing.T) {
	cfg := settings()
	cfg.Senders = 400
	h := newHarness(t, cfg, Listing{Route: "a", Weight: 4})
	r := h.s.routes["a"]
	h.s.now = h.now
	h.s.suspect(r)
	r.scope.credit = 0
	if acts := h.accept(1, 0); !has(acts, Refuse) {
		t.Errorf("blocked for %v: %+v, want a refusal", h.s.recoveryAt(r)-h.now, acts)
	}
	if acts := h.accept(2, 2); has(acts, Refuse) != h.s.mayRefuse(&message{class: &cfg.Classes[2]}) {
		t.Errorf("unsafe, nothing sent: %+v", acts)
	}
	r.scope.credit = 1 - h.s.recoveryRate(r) // blocked for a second
	h.s.recheck(r.scope.dest)
	if acts := h.accept(3, 0); has(acts, Refuse) {
		t.Errorf("blocked for a second: %+v, want it held", acts)
	}
}

// Otherwise credit that hundreds of senders accrue during a long outage is spent in one burst at its end.
func TestUnusedRecoveryCreditExpires(t *testing.T) {
	cfg := settings()
	h := newHarness(t, cfg, Listing{Route: "a", Kind: 1, Weight: 4})
	r := h.s.routes["a"]
	h.s.now = h.now
	h.s.suspect(r)
	r.scope.credit = 0
	rate := h.s.recoveryRate(r)
	allowed := 0
	const steps = 10000
	for range steps {
		h.s.now += 10 * ms
		if h.s.recoveryAt(r) <= h.s.now {
			allowed++
		}
	}
	want := rate * creditExpiryRatio * cfg.OverloadWindow.Seconds()
	if got := float64(allowed) / steps; math.Abs(got-want) > 0.1*want {
		t.Errorf("a call is allowed %.3f of the time, want %.3f", got, want)
	}
}

// After a wake that comes a fraction early, the Sender requests another one: else the message it was for gets no
// answer.
func TestEarlyWakeIsRequestedAgain(t *testing.T) {
	h := newHarness(t, settings())
	h.accept(1, 0)
	h.now += 1500 * ms
	at := h.now
	h.s.requestWake(at + 500*time.Nanosecond)
	h.s.scheduledWake, h.s.nextWake = h.s.nextWake, 0
	acts := h.s.Step(at, []Event{{Kind: Woken}})
	if !has(acts, Wake) {
		t.Errorf("no wake requested: %+v", acts)
	}
}

// Idle connections of hundreds of senders fill the connection tables of destinations.
func TestScarceConnectionsAreClosedAfterUse(t *testing.T) {
	for _, c := range []struct {
		senders int
		want    bool
	}{{smallFleet, false}, {100, true}} {
		cfg := settings()
		cfg.Senders = c.senders
		h := newHarness(t, cfg, Listing{Route: "a"}, Listing{Route: "b", Destination: 1})
		h.accept(1, 0)
		h.finish(1, "a", ConnectFailed, 10*ms, 0)
		h.step(Event{Kind: Accepted, ID: 2, Destination: 1, TimeLeft: 9 * time.Second})
		if got := has(h.finish(2, "b", OK, 10*ms, 0), CloseIdle); got != c.want {
			t.Errorf("%d senders: closed %v after a failed connection of the kind", c.senders, got)
		}
	}
}

// A sender that uses a connection for a few percent of the time must not keep it open: 80 idle connections fill tables
// of 16 entries, so that three of eight calls fail to connect.
func TestLargeFleetKeepsNoIdleConnectionsForUnbatchedCalls(t *testing.T) {
	for _, c := range []struct {
		senders, kind int
		want          bool
	}{{3, 0, false}, {3, 2, false}, {80, 0, true}, {80, 2, false}} {
		cfg := settings()
		cfg.Senders = c.senders
		h := newHarness(t, cfg, Listing{Route: "a", Kind: c.kind})
		h.accept(1, 0)
		if got := has(h.finish(1, "a", OK, 100*ms, 0), CloseIdle); got != c.want {
			t.Errorf("%d senders, kind %d: closed after use %v", c.senders, c.kind, got)
		}
	}
}

// Two failed connections at a full table must not make a destination suspected for its whole warm-up.
func TestFullTableIsNoOutage(t *testing.T) {
	for _, c := range []struct {
		senders, fails int
		took           time.Duration
		suspected      bool
	}{
		{20, 2, 10 * ms, false},                   // a full table
		{100, maxTableFullRun + 3, 10 * ms, true}, // an outage after all
		{100, 3, time.Second, true},               // not at once: no response
		{3, 3, 10 * ms, true},                     // a small fleet fills no table
	} {
		cfg := settings()
		cfg.Senders = c.senders
		h := newHarness(t, cfg, Listing{Route: "a", Weight: 4}, Listing{Route: "b", Weight: 4})
		h.s.now = h.now
		h.s.scarceUntil[0] = h.now + time.Minute
		for range c.fails {
			h.s.observe(h.s.routes["a"], sample{outcome: ConnectFailed, sentAt: h.now - c.took}, c.took)
		}
		if got := h.s.routes["a"].suspected; got != c.suspected {
			t.Errorf("%+v: suspected %v", c, got)
		}
	}
}

// A pacing rate of one call in some seconds must not recover thirty times slower than one of ten a second.
func TestPacingRateGrowsWithTime(t *testing.T) {
	h := newHarness(t, settings(), Listing{Route: "a", Kind: 1})
	sc := h.s.routes["a"].scope
	sc.pacingRate, sc.halvedAt, sc.tokensAt = 0.1, h.now, h.now
	h.s.now = h.now + 4*time.Second
	h.s.growRate(sc)
	if want := 0.1 * math.Pow(1+rateGrowth, 4); math.Abs(sc.pacingRate-want) > 1e-9 {
		t.Errorf("pacing rate %v after a success in 4 s, want %v", sc.pacingRate, want)
	}
}

// A replacement that is listed during an outage must not be called at the full rate.
func TestReplacementRouteInheritsSuspicion(t *testing.T) {
	h := newHarness(t, settings(), Listing{Route: "a"})
	for id := range uint32(3) {
		h.accept(id, 0)
		h.finish(id, "a", ConnectFailed, time.Second, 0)
		h.step(Event{Kind: Withdrawn, ID: id})
	}
	h.step(Event{Kind: ListChanges, List: []Listing{{Route: "a", Gone: true}, {Route: "n", InService: true}}})
	if h.s.recoveryAt(h.s.routes["n"]) == 0 {
		t.Error("the replacement of a failing route is not under the recovery budget")
	}
}

func TestKeyIsSentInOrderAndPauses(t *testing.T) {
	h := newHarness(t, settings(), Listing{Route: "a"})
	h.step(Event{Kind: Accepted, ID: 1, Key: "k", Class: 2, TimeLeft: 9 * time.Second},
		Event{Kind: Accepted, ID: 2, Key: "k", Class: 2, TimeLeft: 9 * time.Second})
	if acts := h.finish(1, "a", Timeout, time.Second, 0); has(acts, Send) {
		t.Errorf("sent while the key is paused: %+v", acts)
	}
	if acts := h.advance(99 * ms); has(acts, Send) {
		t.Errorf("sent while the key is paused: %+v", acts)
	}
	if acts := h.advance(ms); !has(acts, Send) {
		t.Error("the next message of the key was not sent after the pause")
	}
}

// Timeouts of single lost calls must not skip a route that responded to later calls.
func TestOvertakenTimeoutIsNoEvidence(t *testing.T) {
	h := newHarness(t, settings(), Listing{Route: "a"})
	r := h.s.routes["a"]
	h.s.now = h.now
	h.s.observe(r, sample{outcome: OK, sentAt: h.now}, ms)
	for range 5 {
		h.s.observe(r, sample{outcome: Timeout, sentAt: h.now - time.Second}, time.Second)
	}
	if r.skipped || r.suspected || r.failures != 0 {
		t.Errorf("skipped %v, suspected %v, %d failures after lost calls", r.skipped, r.suspected, r.failures)
	}
}

// Occasional resets must not put a responding route under the recovery budget.
func TestResetAtARespondingRouteIsNoEvidence(t *testing.T) {
	h := newHarness(t, settings(), Listing{Route: "a"})
	r := h.s.routes["a"]
	h.s.now = h.now
	h.s.observe(r, sample{outcome: OK, sentAt: h.now}, ms)
	h.s.observe(r, sample{outcome: Reset, sentAt: h.now + 1}, ms)
	h.s.observe(r, sample{outcome: Reset, sentAt: h.now + 1}, ms)
	if r.suspected {
		t.Error("suspected after two resets within 3 s of a response")
	}
	h.s.now += aliveTime
	for range 3 {
		h.s.observe(r, sample{outcome: Reset, sentAt: h.now + 1}, ms)
	}
	if !r.skipped {
		t.Error("not skipped after three consecutive resets and no response for 3 s")
	}
}

// Under loss without resets, timeouts must not restart the warm-up of a route that goes on responding.
func TestTimeoutsBetweenResponsesKeepTheWarmUp(t *testing.T) {
	h := newHarness(t, settings(), Listing{Route: "a"})
	r := h.s.routes["a"]
	h.s.now = h.now
	h.s.suspect(r)
	h.s.observe(r, sample{outcome: OK, sentAt: h.now}, ms)
	recoveredAt := r.recoveredAt
	for range 6 {
		h.s.now += time.Second
		h.s.observe(r, sample{outcome: Timeout, sentAt: h.s.now - ms}, time.Second)
		h.s.observe(r, sample{outcome: OK, sentAt: h.s.now}, ms)
	}
	if recoveredAt == 0 || r.recoveredAt != recoveredAt || r.skipped {
		t.Errorf("recovered at %v, then %v, skipped %v", recoveredAt, r.recoveredAt, r.skipped)
	}
	h.s.now += time.Second
	for range 2 {
		h.s.observe(r, sample{outcome: Timeout, sentAt: h.s.now}, time.Second)
	}
	if r.recoveredAt != 0 {
		t.Error("two consecutive timeouts did not restart the warm-up")
	}
}

// Calls that their deadlines cut short after milliseconds must not keep a recovered route skipped.
func TestCallCutShortSkipsNoRoute(t *testing.T) {
	h := newHarness(t, settings(), Listing{Route: "a"})
	r := h.s.routes["a"]
	h.s.now = h.now
	for range 5 {
		h.s.observe(r, sample{outcome: Timeout, sentAt: h.now, cutShort: true}, ms)
	}
	if r.skipped || !r.suspected {
		t.Errorf("skipped %v, suspected %v after calls cut short", r.skipped, r.suspected)
	}
}

// After a failure, calls to a route carry one message each, so that a failed trial does not affect ten messages.
func TestBatchesOnlyWithoutFailures(t *testing.T) {
	h := newHarness(t, settings(), Listing{Route: "a", Kind: 2})
	sendThree := func(first uint32) int {
		var evs []Event
		for i := range uint32(3) {
			evs = append(evs, Event{Kind: Accepted, ID: first + i, TimeLeft: 9 * time.Second})
		}
		before := len(h.s.routes["a"].calls)
		h.step(evs...)
		return len(h.s.routes["a"].calls) - before
	}
	if n := sendThree(1); n != 1 {
		t.Errorf("three messages in %d calls, want 1", n)
	}
	h.s.routes["a"].failures = 1
	if n := sendThree(4); n != 3 {
		t.Errorf("three messages in %d calls after a failure, want 3", n)
	}
}

func TestOverdueCallsKeepSlotsFree(t *testing.T) {
	cfg := settings()
	cfg.Slots = 8
	h := newHarness(t, cfg, Listing{Route: "a", Kind: 1})
	h.accept(1, 0)
	h.accept(2, 0)
	h.now += 5 * time.Second
	if acts := h.accept(3, 0); has(acts, Send) {
		t.Errorf("a third call to a silent route: %+v", acts)
	}
}

// A destination that accepts nothing must not fill the capacity: above some queue length its new messages are refused,
// those beyond a customer's share sooner, and other destinations have capacity left. No accepted message is evicted.
func TestQueueLeavesCapacityForOthers(t *testing.T) {
	cfg := settings()
	cfg.MaxHeld, cfg.Customers = 50, []Customer{{Name: "a"}, {Name: "b", Quota: 0.01}}
	h := newHarness(t, cfg)
	id, refused := uint32(0), 0
	submit := func(dest, customer int) bool {
		t.Helper()
		id++
		acts := h.step(Event{Kind: Accepted, ID: id, Destination: dest, Customer: customer, TimeLeft: 60 * time.Second})
		if len(acts) == 0 {
			return true
		}
		if len(acts) > 1 || acts[0].Kind != Refuse || acts[0].ID != id {
			t.Fatalf("message %d was accepted, and evicted for %d", acts[0].ID, id)
		}
		refused++
		return false
	}
	fill := func(dest, customer int) (n int) {
		for submit(dest, customer) {
			n++
		}
		return n
	}
	if n := fill(1, 0); n != 30 {
		t.Errorf("the first queue holds %d of 50, want three fifths", n)
	}
	if n := fill(2, 1); n > 8 {
		t.Errorf("%d beyond their customer's share were accepted", n)
	}
	if n := fill(3, 0); n == 0 || h.s.held >= cfg.MaxHeld {
		t.Errorf("the third queue holds %d; %d of %d are held", n, h.s.held, cfg.MaxHeld)
	}
	if !submit(4, 0) {
		t.Error("no capacity for a destination with an empty queue")
	}
	if refused != 3 {
		t.Errorf("%d were refused, want one of each queue", refused)
	}
}

func TestLateMessagesAreSentAfterThoseWithinTarget(t *testing.T) {
	h := newHarness(t, settings())
	h.accept(1, 0)
	h.advance(3 * time.Second)
	h.accept(2, 0)
	acts := h.step(Event{Kind: ListChanges, List: []Listing{{Route: "a", InService: true}}})
	if len(acts) != 2 || acts[0].ID != 2 || acts[1].ID != 1 {
		t.Errorf("order of sends: %+v", acts)
	}
}

func TestNewRejectsInvalidSettings(t *testing.T) {
	for name, invalidate := range map[string]func(*Settings){
		"no class":       func(s *Settings) { s.Classes = nil },
		"negative slots": func(s *Settings) { s.Slots = -1 },
		"negative aim":   func(s *Settings) { s.Classes[0].Aim = -1 },
		"negative pause": func(s *Settings) { s.OrderPause = -1 },
		"not a number":   func(s *Settings) { s.ColdShare = math.NaN() },
		"infinite value": func(s *Settings) { s.Classes[0].Value = math.Inf(1) },
	} {
		cfg := settings()
		invalidate(&cfg)
		if _, err := New(cfg, 1); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

// A message of an unknown class is handled by the strictest terms; a weight that is not a number is ignored.
func TestUnknownClassAndWeight(t *testing.T) {
	for _, class := range []int{-1, 99} {
		h := newHarness(t, settings(), Listing{Route: "a", Weight: math.NaN()}, Listing{Route: "b", Kind: 77})
		if got := sentTo(h.accept(1, class)); got == "" {
			t.Fatalf("class %d: not sent", class)
		}
		if acts := h.finish(1, "a", Timeout, time.Second, 0); !has(acts, Fail) || has(acts, Send) {
			t.Errorf("class %d: %+v after a timeout", class, acts)
		}
	}
}

func TestIntervalIsBounded(t *testing.T) {
	if interval(0) != time.Hour || interval(1e-9) != time.Hour || interval(math.Inf(1)) != 0 || interval(4) != 250*ms {
		t.Errorf("intervals %v %v %v", interval(0), interval(1e-9), interval(4))
	}
}

// Key queues whose pause outlasts their last message, and destinations without routes, must not be kept for good.
func TestRemovedDestinationsLeaveNoRecords(t *testing.T) {
	cfg := settings()
	cfg.Slots, cfg.MaxHeld = 50, 100
	h := newHarness(t, cfg)
	for i := range 300 {
		id, name := uint32(i), fmt.Sprint("r", i)
		h.step(Event{Kind: ListChanges, List: []Listing{{Route: name, Destination: i, InService: true}}})
		h.step(Event{Kind: Accepted, ID: id, Key: name, Class: 2, Destination: i, TimeLeft: 9 * time.Second})
		h.finish(id, name, Timeout, time.Second, 0)
		h.step(Event{Kind: ListChanges, List: []Listing{{Route: name, Destination: i, Gone: true}}})
	}
	h.now += time.Minute
	h.step(Event{Kind: Woken}, Event{Kind: ListChanges})
	s := h.s
	if n := len(s.keyQueues) + len(s.dests) + len(s.destList) + len(s.routes) + len(s.msgs) + len(s.active) + len(s.routeless); n != 0 {
		t.Errorf("held: %d key queues, %d destinations (%d listed), %d routes, %d messages, %d active, %d without routes",
			len(s.keyQueues), len(s.dests), len(s.destList), len(s.routes), len(s.msgs), len(s.active), len(s.routeless))
	}
}

// A dispatch examines only destinations that are not blocked or that an event concerned.
func TestBlockedDestinationsAreNotScanned(t *testing.T) {
	h := newHarness(t, settings(), Listing{Route: "a"}, Listing{Route: "b", Destination: 1})
	h.accept(1, 0)
	h.finish(1, "a", Full, ms, 5*time.Second)
	if len(h.s.active) != 1 || h.s.active[0].blockedUntil <= h.now {
		t.Fatalf("active %d, want only the waiting destination, blocked", len(h.s.active))
	}
	blockedUntil := h.s.active[0].blockedUntil
	h.step(Event{Kind: Accepted, ID: 2, Destination: 1, TimeLeft: 9 * time.Second})
	if len(h.s.active) != 1 || h.s.active[0].blockedUntil != blockedUntil {
		t.Error("a message for another destination caused a recheck of the blocked one")
	}
}

// Calls with no response must not hold their slots for a target time or two whatever the response times of the route:
// the timeout follows these, and for keyed messages it ends inside the deduplication window.
func TestTimeoutsFollowResponseTimes(t *testing.T) {
	const responseTime = 60 * ms
	cfg := settings()
	cfg.Classes[1].DedupWindow = 3 * time.Second
	for i := range cfg.Classes {
		cfg.Classes[i].Aim, cfg.Classes[i].GiveUp = 4*time.Second, 12*time.Second
	}
	for class, c := range cfg.Classes {
		h := newHarness(t, cfg, Listing{Route: "a"})
		for id := range uint32(20) {
			h.accept(id, 0)
			h.finish(id, "a", OK, responseTime, 0)
		}
		acts := h.accept(100, class)
		if len(acts) != 1 || acts[0].Kind != Send {
			t.Fatalf("class %d: %+v", class, acts)
		}
		if timeout := acts[0].TimeoutAt - h.now; timeout > 2*minExpectedTime || timeout < 10*responseTime {
			t.Errorf("class %d: responses take %v, timeout after %v", class, responseTime, timeout)
		} else if c.Effect == Keyed && timeout >= c.DedupWindow {
			t.Errorf("class %d: timeout after %v, no repeat is left in %v", class, timeout, c.DedupWindow)
		}
	}
}

// A route that always responds slowly may become slower: its timeout is half of the target time, or all of it.
func TestSlowRoutesKeepTheirTimeout(t *testing.T) {
	cfg := settings()
	for i := range cfg.Classes {
		cfg.Classes[i].Aim = 4 * time.Second
	}
	for class, want := range []time.Duration{2 * time.Second, 4 * time.Second, 4 * time.Second} {
		h := newHarness(t, cfg, Listing{Route: "a"})
		for id := range uint32(20) {
			h.accept(id, 0)
			h.finish(id, "a", OK, 300*ms, 0)
		}
		if acts := h.accept(100, class); len(acts) != 1 || acts[0].TimeoutAt-h.now != want {
			t.Errorf("class %d: %+v at %v, want a timeout after %v", class, acts, h.now, want)
		}
	}
}

// Timeouts lengthen the expected response time. Where slots are scarce, they must not lengthen the next timeout: only
// responses count.
func TestTimeoutsAreNotLengthenedWhereSlotsAreScarce(t *testing.T) {
	cfg := settings()
	cfg.Slots = 4
	cfg.Classes[2].Aim, cfg.Classes[2].GiveUp, cfg.Classes[2].Ordered = 4*time.Second, 60*time.Second, false
	h := newHarness(t, cfg, Listing{Route: "a"}, Listing{Route: "b", Destination: 1}, Listing{Route: "c", Destination: 2},
		Listing{Route: "d", Destination: 3})
	sendTo := func(id uint32, dest int) time.Duration {
		t.Helper()
		acts := h.step(Event{Kind: Accepted, ID: id, Class: 2, Destination: dest, TimeLeft: 60 * time.Second})
		if len(acts) != 1 || acts[0].Kind != Send {
			t.Fatalf("message %d: %+v", id, acts)
		}
		return acts[0].TimeoutAt - h.now
	}
	for id := range uint32(20) {
		sendTo(id, 0)
		h.finish(id, "a", OK, 60*ms, 0)
	}
	sendTo(20, 0)
	h.finish(20, "a", Timeout, 3*time.Second, 0)
	sendTo(31, 1) // three of four slots are in use when the call to a is sent
	sendTo(32, 2)
	sendTo(33, 3)
	if timeout := sendTo(21, 0); timeout > 4*maxSlowFactor*60*ms || timeout < minExpectedTime {
		t.Errorf("responses take 60 ms, timeout after %v", timeout)
	}
}

// Messages for destinations that do not exist must not be held to their deadlines, nor leave a record each.
func TestMessageToUnknownDestinationIsRefusedAtOnce(t *testing.T) {
	h := newHarness(t, settings(), Listing{Route: "a", Destination: 1})
	for i := range 100 {
		id := uint32(i + 1)
		acts := h.step(Event{Kind: Accepted, ID: id, Destination: 70_000 + i, TimeLeft: time.Minute})
		if len(acts) != 1 || acts[0].Kind != Refuse || acts[0].ID != id {
			t.Fatalf("message %d: %+v", id, acts)
		}
	}
	if len(h.s.dests) != 1 || len(h.s.destList) != 1 || h.s.held != 0 {
		t.Errorf("%d destinations kept, %d messages held", len(h.s.dests), h.s.held)
	}
	// A destination whose last route was just removed may get another, and a resumed message is held to its deadline.
	h.step(Event{Kind: ListChanges, List: []Listing{{Route: "b", Destination: 2, InService: true}, {Route: "a", Gone: true}}})
	if acts := h.step(Event{Kind: Accepted, ID: 200, Destination: 1, TimeLeft: time.Minute}); len(acts) != 0 {
		t.Errorf("while the destination has no route: %+v", acts)
	}
	e := Event{Kind: Accepted, ID: 201, Destination: 3, TimeLeft: time.Minute, Resumed: &Resumed{}}
	if acts := h.step(e); len(acts) != 0 {
		t.Errorf("resumed: %+v", acts)
	}
	// With no list yet, all destinations are unknown.
	if acts := newHarness(t, settings()).accept(1, 0); len(acts) != 0 {
		t.Errorf("before the list: %+v", acts)
	}
}

// A connection reset loses the whole call, and unsafe messages for good: after one, calls carry a single message, even
// if the route responds to others, and one more with each delivery.
func TestResetReducesMessagesPerCall(t *testing.T) {
	cfg := settings()
	cfg.Classes[2].Ordered = false
	h := newHarness(t, cfg, Listing{Route: "a", Kind: 2, Weight: 1e6}) // the limit is high: no message waits for others
	next := uint32(1)
	call := func(atLeast int) (ids []uint32) {
		t.Helper()
		var evs []Event
		for range 4 { // more than a call carries
			evs = append(evs, Event{Kind: Accepted, ID: next, Class: 2, TimeLeft: 60 * time.Second})
			next++
		}
		acts := h.step(evs...)
		h.now += ms
		for _, a := range append(acts, h.step(Event{Kind: Woken})...) {
			if a.Kind == Send {
				ids = append(ids, a.ID)
			}
		}
		if len(ids) < atLeast {
			t.Fatalf("%d messages sent, want at least %d", len(ids), atLeast)
		}
		return ids
	}
	end := func(o Outcome, ids ...uint32) (sent int) {
		h.now += 50 * ms
		var evs []Event
		for _, id := range ids {
			evs = append(evs, Event{Kind: Finished, ID: id, Route: "a", Outcome: o, Took: 50 * ms, Ended: o == OK})
		}
		for _, a := range h.step(evs...) {
			if a.Kind == Send {
				sent++
			}
		}
		return sent
	}
	first := call(3)
	if n := len(first); n != 4 { // three in one call, and one in another
		t.Fatalf("%d sent", n)
	}
	end(OK, first...) // the route is alive
	r := h.s.routes["a"]
	if n := h.s.callCapacity(r); n != 3 {
		t.Fatalf("%d messages per call before any loss", n)
	}
	broken := call(3)
	end(Reset, broken[:3]...)
	if n := h.s.callCapacity(r); n != 1 {
		t.Errorf("%d messages per call after a reset", n)
	}
	end(OK, broken[3])
	if n := h.s.callCapacity(r); n != 2 {
		t.Errorf("%d messages per call after a delivery", n)
	}
	end(OK, call(2)[:2]...)
	if n := h.s.callCapacity(r); n != 3 {
		t.Errorf("%d messages per call after two deliveries", n)
	}
	end(Timeout, call(3)[:3]...)
	if n := h.s.callCapacity(r); n != 3 {
		t.Errorf("%d messages per call after a timeout, which concerns the route", n)
	}
}
