package policy

import (
	"math"
	"testing"
	"time"
)

// Behavior that is harmless from one sender and harmful from 80 at once.

// sendTimes gives each of 80 senders four messages for one route, all at the same time, and returns when their calls
// are sent, counted from then.
func sendTimes(t *testing.T, weight float64, perCall int, resumed *Resumed) []time.Duration {
	t.Helper()
	cfg := settings()
	cfg.Senders, cfg.Kinds = 80, []Kind{{Separate: true, PerCall: perCall}}
	var calls []time.Duration
	for seed := range uint64(80) {
		s, err := New(cfg, seed)
		if err != nil {
			t.Fatal(err)
		}
		start := time.Minute
		evs := []Event{{Kind: ListWhole, List: []Listing{{Route: "a", Weight: weight, InService: true}}}}
		for id := range uint32(4) {
			evs = append(evs, Event{Kind: Accepted, ID: id + 1, TimeLeft: 12 * time.Second, Resumed: resumed})
		}
		unsent := 4
		for now := start; unsent > 0 && now < start+12*time.Second; {
			sent, next := 0, start+12*time.Second
			for _, a := range s.Step(now, evs) {
				switch a.Kind {
				case Send:
					sent++
				case Wake:
					next = now + a.Delay
				}
			}
			for range (sent + perCall - 1) / perCall {
				calls = append(calls, now-start)
			}
			unsent -= sent
			now, evs = next, []Event{{Kind: Woken}}
		}
		if unsent > 0 {
			t.Errorf("sender %d: %d messages were not sent", seed, unsent)
		}
	}
	return calls
}

// A free first call at each sender means 80 calls at once where the limit is 20 a second, and after a restart of the
// whole fleet another burst of journaled messages. Messages that can share a call wait for it.
func TestLargeFleetStartsAtFairShares(t *testing.T) {
	const weight = 20
	for name, resumed := range map[string]*Resumed{"new": nil, "from the journal": {}} {
		calls := sendTimes(t, weight, 10, resumed)
		within := 0
		for _, at := range calls {
			if at < time.Second {
				within++
			}
		}
		if within > weight*3/2 {
			t.Errorf("%s: %d calls in the first second at a limit of %d", name, within, weight)
		}
		if len(calls) > 81 {
			t.Errorf("%s: %d calls for 80 batches", name, len(calls))
		}
	}
}

// A burst of messages for a destination that accepts one message per call must not leave at once from all 80 senders:
// the refusals would use up the limit.
func TestLargeFleetSpreadsUnbatchedCalls(t *testing.T) {
	const weight = 100
	calls, within := sendTimes(t, weight, 1, nil), 0
	for _, at := range calls {
		if at < time.Second {
			within++
		}
	}
	if within > weight*5/2 {
		t.Errorf("%d of %d calls in the first second at a limit of %d", within, len(calls), weight)
	}
}

// The first success must not count for time before the pacing began: as eight seconds it would raise the rate sixfold.
func TestFirstSuccessCountsFromThePacingStart(t *testing.T) {
	cfg := settings()
	cfg.Senders, cfg.Kinds = 80, []Kind{{Separate: true, PerCall: 10}}
	h := newHarness(t, cfg, Listing{Route: "a", Weight: 80})
	sc := h.s.routes["a"].scope
	before := sc.pacingRate
	for id := uint32(1); len(h.s.routes["a"].calls) == 0; id++ {
		h.now += 100 * ms
		h.accept(id, 0)
	}
	h.finish(1, "a", OK, 100*ms, 0)
	if limit := before * math.Pow(1+rateGrowth, (h.now-time.Minute).Seconds()+1); sc.pacingRate > limit {
		t.Errorf("pacing rate %.2f after %v, from %.2f", sc.pacingRate, h.now-time.Minute, before)
	}
}

// Growth on success alone lets 80 senders exceed the limit by turns, so a rate does not grow when little of the limit
// is reported to be left.
func TestPacingRateDoesNotGrowNearTheLimit(t *testing.T) {
	for _, c := range []struct {
		senders int
		left    float64
		grows   bool
	}{{80, 0.1, false}, {80, 0.9, true}, {3, 0.1, true}} {
		cfg := settings()
		cfg.Senders = c.senders
		h := newHarness(t, cfg, Listing{Route: "a", Weight: 20})
		sc := h.s.routes["a"].scope
		sc.pacingRate = 0.25
		h.accept(1, 0)
		h.now += 100 * ms
		h.step(Event{Kind: Finished, ID: 1, Route: "a", Took: 100 * ms, Ended: true,
			Report: Report{Told: true, Left: c.left, Limit: 20}})
		if got := sc.pacingRate > 0.25; got != c.grows {
			t.Errorf("%+v: grown %v", c, got)
		}
	}
}

// If one of 80 senders calls a route once in four seconds and each success doubles its rate, the fleet exceeds the
// limit by half before any sender is refused. Refused calls count against the limit, so that it stays exhausted.
func TestPacingRateGrowsSlowlyAboveFairShare(t *testing.T) {
	for _, c := range []struct {
		senders    int
		ratio      float64 // pacing rate, as a multiple of the fair share
		above, max float64 // growth with a success after 4 s
	}{{80, 0.5, 1.99, 2.001}, {80, 1.2, 1, 1.2}, {3, 1.2, 2, 3}} {
		cfg := settings()
		cfg.Senders = c.senders
		h := newHarness(t, cfg, Listing{Route: "a", Weight: float64(c.senders) / 4})
		sc := h.s.routes["a"].scope
		h.s.now = h.now
		before := c.ratio * h.s.fairShare(sc)
		sc.pacingRate, sc.grownAt = before, h.now-4*time.Second
		h.s.growRate(sc)
		if got := sc.pacingRate / before; got <= c.above || got > c.max {
			t.Errorf("%+v: grown by %.2f", c, got)
		}
	}
}

// When the reported limit falls to half, 80 senders must not go on until each has been refused, nor return as slowly.
func TestPacingRateFollowsTheReportedLimit(t *testing.T) {
	for _, c := range []struct {
		senders  int
		reported float64
		want     float64
	}{{80, 20, 0.5}, {80, 80, 2}, {80, 40, 1}, {3, 20, 1}} {
		cfg := settings()
		cfg.Senders = c.senders
		h := newHarness(t, cfg, Listing{Route: "a", Weight: 40})
		sc := h.s.routes["a"].scope
		h.s.now = h.now
		// The first report changes nothing: the rate comes from the listed weight, or from outcomes.
		h.s.minLimits[0] = 5
		sc.pacingRate = 0.4
		h.s.recordReport(h.s.routes["a"], Report{Told: true, Left: 0.1, Limit: 40})
		if sc.pacingRate != 0.4 {
			t.Errorf("%+v: the first report changed the pacing rate to %.2f", c, sc.pacingRate)
		}
		h.s.recordReport(h.s.routes["a"], Report{Told: true, Left: 0.1, Limit: c.reported})
		if got := sc.pacingRate / 0.4; math.Abs(got-c.want) > 0.01 {
			t.Errorf("%+v: pacing rate changed by a factor of %.2f", c, got)
		}
	}
}

// If each of 80 refused senders waits up to four call intervals at a rate already halved, half of a lowered limit is
// unused while messages expire.
func TestRefusedSparseSenderRetriesSoon(t *testing.T) {
	for seed := range uint64(50) {
		cfg := settings()
		cfg.Senders = 80
		s, err := New(cfg, seed)
		if err != nil {
			t.Fatal(err)
		}
		s.Step(time.Minute, []Event{{Kind: ListWhole, List: []Listing{{Route: "a", Weight: 8, InService: true}}}})
		r := s.routes["a"]
		if !s.sparse(r.scope) {
			t.Fatal("not sparse")
		}
		s.backOff(r, sample{outcome: Full, sentAt: s.now})
		if calls := (s.availableAt(r, never) - s.now).Seconds() * r.scope.pacingRate; calls < 0.4 || calls > 1.6 {
			t.Errorf("seed %d: the next call waits %.1f call intervals", seed, calls)
		}
	}
}

// An invalid report changes a pacing rate within bounds, and the next valid one reverts the change.
func TestInvalidReportHasNoLastingEffect(t *testing.T) {
	for _, reported := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -5, 0, 1e300, 1e-9, 1e5} {
		cfg := settings()
		cfg.Senders = 80
		h := newHarness(t, cfg, Listing{Route: "a", Weight: 40})
		r := h.s.routes["a"]
		h.s.recordReport(r, Report{Told: true, Left: 0.5, Limit: 40})
		before := r.scope.pacingRate
		h.s.recordReport(r, Report{Told: true, Left: math.NaN(), Limit: reported})
		if got := r.scope.pacingRate; !(got >= before/4 && got <= before*4) {
			t.Errorf("reported %v: pacing rate %v from %v", reported, got, before)
		}
		h.s.recordReport(r, Report{Told: true, Left: 0.5, Limit: 40})
		if got := r.scope.pacingRate; math.Abs(got-before) > 1e-9 {
			t.Errorf("reported %v, then a valid limit: pacing rate %v from %v", reported, got, before)
		}
	}
}

// A sender of a small fleet resumes its journal at its fair share: its first success makes up for the time of the
// restart.
func TestSmallFleetResumesAtFairShare(t *testing.T) {
	cfg := settings()
	cfg.Senders = 3
	h := newHarness(t, cfg, Listing{Route: "a", Weight: 3})
	acts := h.step(Event{Kind: Accepted, ID: 1, TimeLeft: 12 * time.Second, Resumed: &Resumed{}})
	if sentTo(acts) != "a" {
		t.Fatal("the first journaled message waits")
	}
	sc := h.s.routes["a"].scope
	before := sc.pacingRate
	h.finish(1, "a", OK, 100*ms, 0)
	if sc.pacingRate < 2*before {
		t.Errorf("pacing rate %.2f after the first success, from %.2f", sc.pacingRate, before)
	}
}

// countBatchedCalls runs the given number of senders, each with four messages for one route, 100 ms apart, where each
// sender may make rate calls a second. It returns the number of all calls and when the first is sent.
func countBatchedCalls(t *testing.T, senders, perCall int, rate float64) (calls int, first time.Duration) {
	t.Helper()
	cfg := settings()
	cfg.Senders, cfg.Kinds = senders, []Kind{{Separate: true, PerCall: perCall}}
	first = math.MaxInt64
	for range senders {
		h := newHarness(t, cfg, Listing{Route: "a", Weight: rate * float64(senders)})
		h.s.routes["a"].scope.tokens = 1 // else the time of the first call is random
		start := h.now
		for id := range uint32(50) { // 100 ms each
			acts := h.step(Event{Kind: Woken})
			if id < 4 {
				acts = append(acts, h.accept(id+1, 0)...)
			}
			if has(acts, Send) {
				calls++
				first = min(first, h.now-start)
			}
			h.now += 100 * ms
		}
	}
	return calls, first
}

// Senders that make a call for each message exceed a limit that has room for ten times their messages, and where
// refused calls count as well nothing is delivered. Waiting for a fraction of the target time costs nothing; where many
// calls are allowed, the wait is no longer than the interval between two of them.
func TestSendersBatchMessages(t *testing.T) {
	for _, senders := range []int{300, 3} {
		if calls, first := countBatchedCalls(t, senders, 10, 1); calls != senders || first != 500*ms {
			t.Errorf("%d calls of %d senders, the first after %v; want one each, after a quarter of the target time", calls, senders, first)
		}
		if calls, first := countBatchedCalls(t, senders, 2, 1); calls != 2*senders || first != 100*ms {
			t.Errorf("%d calls of two messages, the first after %v; want two each, once there are two", calls, first)
		}
		if calls, first := countBatchedCalls(t, senders, 1, 1); calls != 4*senders || first != 0 {
			t.Errorf("%d calls with one message, the first after %v; want them at once", calls, first)
		}
		if calls, first := countBatchedCalls(t, senders, 10, 100); calls != 4*senders || first != 100*ms {
			t.Errorf("%d calls where a hundred a second are allowed, the first after %v; want them at the next step", calls, first)
		}
	}
}

// A message that was sent before has waited enough.
func TestRetryDoesNotWaitForABatch(t *testing.T) {
	cfg := settings()
	cfg.Senders, cfg.Kinds = 300, []Kind{{Separate: true, PerCall: 10}}
	h := newHarness(t, cfg, Listing{Route: "a", Weight: 30000}, Listing{Route: "b", Weight: 20000})
	h.accept(1, 0)
	h.now += 500 * ms
	if acts := h.step(Event{Kind: Woken}); sentTo(acts) != "a" {
		t.Fatalf("after a quarter of the target time: %+v", acts)
	}
	if acts := h.finish(1, "a", Moot, 10*ms, 0); sentTo(acts) == "" {
		t.Errorf("the second attempt waits: %+v", acts)
	}
}

// newLimitReporter returns a sender that has received the listed limits of routes a, b and c, each of its own
// destination, and a function that reports a limit to it.
func newLimitReporter(t *testing.T, senders int) (h *harness, report func(route string, limit float64)) {
	t.Helper()
	cfg := settings()
	cfg.Senders, cfg.Kinds = senders, []Kind{{Separate: true, PerCall: 10}}
	h = newHarness(t, cfg, Listing{Route: "a", Destination: 1, Weight: 100}, Listing{Route: "b", Destination: 2, Weight: 60},
		Listing{Route: "c", Destination: 3, Weight: 30}, Listing{Route: "d", Destination: 4})
	report = func(route string, limit float64) {
		h.now += 100 * ms
		h.step(Event{Kind: Probed, Route: route, Outcome: OK, Report: Report{Told: true, Left: 0.9, Limit: limit}})
	}
	report("a", 100)
	report("b", 60)
	report("c", 30)
	report("d", 20)
	h.now += 10 * time.Second
	for _, r := range h.s.routes {
		r.scope.pacingRate = 1 // the value so far does not matter here
	}
	return h, report
}

// Limits fall together. One of 300 senders calls a route once in some seconds: at a limit lowered to 29 calls a second,
// 300 calls are refused, one of each sender, before each has received a report from that route itself.
func TestLoweredLimitsAreInferredForOtherScopes(t *testing.T) {
	h, report := newLimitReporter(t, 300)
	c := h.s.routes["c"].scope
	report("a", 50)
	report("a", 48)
	if c.pacingRate != 1 || c.reportedLimit != 30 {
		t.Fatalf("one scope alone is no sign for another: pacing rate %v, limit %v", c.pacingRate, c.reportedLimit)
	}
	report("b", 30)
	if math.Abs(c.pacingRate-0.5) > 0.01 || c.reportedLimit != 15 {
		t.Errorf("two scopes at half their limits: pacing rate %v, limit %v of the third; want half", c.pacingRate, c.reportedLimit)
	}
	if x := h.s.routes["d"].scope; x.reportedLimit != 20 {
		t.Errorf("the limit of a scope with no listed limit is %v", x.reportedLimit)
	}
	// Its own report takes precedence and changes no other scope.
	report("c", 30)
	if c.pacingRate < 0.99 || c.reportedLimit != 30 || h.s.routes["b"].scope.reportedLimit != 30 {
		t.Errorf("after its own report: pacing rate %v, limit %v", c.pacingRate, c.reportedLimit)
	}
}

func TestRestoredLimitsAreInferredForOtherScopes(t *testing.T) {
	h, report := newLimitReporter(t, 300)
	report("a", 50)
	report("b", 30)
	report("c", 15)
	c := h.s.routes["c"].scope
	lowRate := c.pacingRate
	h.now += 5 * time.Second
	report("a", 100)
	report("b", 60)
	if math.Abs(c.pacingRate-2*lowRate) > 0.1*lowRate || c.reportedLimit != 30 {
		t.Errorf("pacing rate %v, limit %v; want twice %v, and the listed 30", c.pacingRate, c.reportedLimit, lowRate)
	}
}

func TestNoLimitIsInferredFarApartOrInSmallFleets(t *testing.T) {
	h, report := newLimitReporter(t, 300)
	report("a", 50)
	h.now += 2 * limitChangeWindow
	report("b", 30)
	if c := h.s.routes["c"].scope; c.reportedLimit != 30 {
		t.Errorf("limits that fell far apart: limit %v of the third", c.reportedLimit)
	}
	h, report = newLimitReporter(t, 3)
	report("a", 50)
	report("b", 30)
	if c := h.s.routes["c"].scope; c.reportedLimit != 30 {
		t.Errorf("in a fleet of three: limit %v of the third", c.reportedLimit)
	}
}
