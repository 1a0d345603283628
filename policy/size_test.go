package policy

import (
	"math"
	"testing"
	"time"
)

// What is harmless from one sender and harmful from 80 at once.

// firstCalls gives each of 80 senders four messages for one route, all at the same time, and tells when calls leave.
func firstCalls(t *testing.T, weight float64, perCall int, resumed *Resumed) []time.Duration {
	t.Helper()
	set := settings()
	set.Senders, set.Kinds = 80, []Kind{{Separate: true, PerCall: perCall}}
	var calls []time.Duration
	for seed := range uint64(80) {
		s, err := New(set, seed)
		if err != nil {
			t.Fatal(err)
		}
		start := time.Minute
		evs := []Event{{Kind: ListWhole, List: []Listing{{Route: "a", Weight: weight, InService: true}}}}
		for id := range uint32(4) {
			evs = append(evs, Event{Kind: Taken, ID: id + 1, Left: 12 * time.Second, Resumed: resumed})
		}
		left := 4
		for now := start; left > 0 && now < start+12*time.Second; {
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
			left -= sent
			now, evs = next, []Event{{Kind: Woken}}
		}
		if left > 0 {
			t.Errorf("sender %d: %d messages never left", seed, left)
		}
	}
	return calls
}

// The first call of a pace was free: 80 senders made 80 at once where 20 a second are taken, and after a mass kill
// again with what the journals held. Bundles are worth waiting for.
func TestManySendersStartAtTheirParts(t *testing.T) {
	const weight = 20
	for name, resumed := range map[string]*Resumed{"new": nil, "from the journal": {}} {
		calls := firstCalls(t, weight, 10, resumed)
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
			t.Errorf("%s: %d calls for 80 bundles", name, len(calls))
		}
	}
}

// A clump for a destination that takes singles went out at once from all 80 senders, into refusals that used the
// limit up.
func TestManySendersSpreadAClumpOfSingles(t *testing.T) {
	const weight = 100
	calls, within := firstCalls(t, weight, 1, nil), 0
	for _, at := range calls {
		if at < time.Second {
			within++
		}
	}
	if within > weight*5/2 {
		t.Errorf("%d of %d calls in the first second at a limit of %d", within, len(calls), weight)
	}
}

// The first success of a pace counted for all the time before it began: eight seconds, six times the pace.
func TestTheFirstSuccessOfAPaceCountsFromItsStart(t *testing.T) {
	set := settings()
	set.Senders, set.Kinds = 80, []Kind{{Separate: true, PerCall: 10}}
	d := newDesk(t, set, Listing{Route: "a", Weight: 80})
	g := d.s.routes["a"].gate
	was := g.pace
	for id := uint32(1); len(d.s.routes["a"].calls) == 0; id++ {
		d.now += 100 * ms
		d.take(id, 0)
	}
	d.end(1, "a", OK, 100*ms, 0)
	if most := was * math.Pow(1+paceCreep, (d.now-time.Minute).Seconds()+1); g.pace > most {
		t.Errorf("pace %.2f after %v, from %.2f", g.pace, d.now-time.Minute, was)
	}
}

// Paces grew on success alone, so that 80 senders overshot the limit by turns: what is left of it is told.
func TestAPaceGrowsNotWhereLittleIsLeft(t *testing.T) {
	for _, c := range []struct {
		senders int
		left    float64
		grows   bool
	}{{80, 0.1, false}, {80, 0.9, true}, {3, 0.1, true}} {
		set := settings()
		set.Senders = c.senders
		d := newDesk(t, set, Listing{Route: "a", Weight: 20})
		g := d.s.routes["a"].gate
		g.pace = 0.25
		d.take(1, 0)
		d.now += 100 * ms
		d.step(Event{Kind: Finished, ID: 1, Route: "a", Took: 100 * ms, Ended: true,
			Report: Report{Told: true, Left: c.left, Limit: 20}})
		if got := g.pace > 0.25; got != c.grows {
			t.Errorf("%+v: grown %v", c, got)
		}
	}
}

// Where a sender of 80 meets a route once in four seconds, each success more than doubled its pace, and together they
// overshot the limit by half before any was refused. Refused calls use the limit up, and it stayed used up.
func TestAPaceCrawlsBeyondItsPart(t *testing.T) {
	for _, c := range []struct {
		senders    int
		of         float64 // the part
		least, top float64 // growth with a success after 4 s
	}{{80, 0.5, 1.99, 2.001}, {80, 1.2, 1, 1.2}, {3, 1.2, 2, 3}} {
		set := settings()
		set.Senders = c.senders
		d := newDesk(t, set, Listing{Route: "a", Weight: float64(c.senders) / 4})
		g := d.s.routes["a"].gate
		d.s.now = d.now
		was := c.of * d.s.part(g)
		g.pace, g.creptAt = was, d.now-4*time.Second
		d.s.creep(g)
		if got := g.pace / was; got <= c.least || got > c.top {
			t.Errorf("%+v: grown by %.2f", c, got)
		}
	}
}

// Told of a limit lowered to half, 80 senders went on until each had been refused, and came back as slowly.
func TestAPaceFollowsTheToldLimit(t *testing.T) {
	for _, c := range []struct {
		senders int
		told    float64
		want    float64
	}{{80, 20, 0.5}, {80, 80, 2}, {80, 40, 1}, {3, 20, 1}} {
		set := settings()
		set.Senders = c.senders
		d := newDesk(t, set, Listing{Route: "a", Weight: 40})
		g := d.s.routes["a"].gate
		d.s.now = d.now
		// The first report moves nothing: the pace came from the listed weight, or from what calls met.
		d.s.least[0] = 5
		g.pace = 0.4
		d.s.report(d.s.routes["a"], Report{Told: true, Left: 0.1, Limit: 40})
		if g.pace != 0.4 {
			t.Errorf("%+v: the first report made the pace %.2f", c, g.pace)
		}
		d.s.report(d.s.routes["a"], Report{Told: true, Left: 0.1, Limit: c.told})
		if got := g.pace / 0.4; math.Abs(got-c.want) > 0.01 {
			t.Errorf("%+v: pace changed by %.2f", c, got)
		}
	}
}

// After a refusal each of 80 senders stayed away for up to four calls' time at a pace already halved: half of a
// lowered limit stood unused while messages ran out of time.
func TestARefusedSparseSenderComesBackSoon(t *testing.T) {
	for seed := range uint64(50) {
		set := settings()
		set.Senders = 80
		s, err := New(set, seed)
		if err != nil {
			t.Fatal(err)
		}
		s.Step(time.Minute, []Event{{Kind: ListWhole, List: []Listing{{Route: "a", Weight: 8, InService: true}}}})
		r := s.routes["a"]
		if !s.sparse(r.gate) {
			t.Fatal("not sparse")
		}
		s.halve(r, sample{outcome: Full, sent: s.now})
		if calls := (s.opensAt(r, never) - s.now).Seconds() * r.gate.pace; calls < 0.4 || calls > 1.6 {
			t.Errorf("seed %d: away for %.1f calls' time", seed, calls)
		}
	}
}

// Nonsense in a report leaves a pace as it was once a report makes sense again, and never without bound.
func TestNonsenseInAReportMovesNoPaceForGood(t *testing.T) {
	for _, told := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -5, 0, 1e300, 1e-9, 1e5} {
		set := settings()
		set.Senders = 80
		d := newDesk(t, set, Listing{Route: "a", Weight: 40})
		r := d.s.routes["a"]
		d.s.report(r, Report{Told: true, Left: 0.5, Limit: 40})
		was := r.gate.pace
		d.s.report(r, Report{Told: true, Left: math.NaN(), Limit: told})
		if got := r.gate.pace; !(got >= was/4 && got <= was*4) {
			t.Errorf("told %v: pace %v from %v", told, got, was)
		}
		d.s.report(r, Report{Told: true, Left: 0.5, Limit: 40})
		if got := r.gate.pace; math.Abs(got-was) > 1e-9 {
			t.Errorf("told %v, then sense: pace %v from %v", told, got, was)
		}
	}
}

// A relay of few takes up its journal as before: its first success makes good the time of the restart.
func TestFewSendersResumeAtTheirPart(t *testing.T) {
	set := settings()
	set.Senders = 3
	d := newDesk(t, set, Listing{Route: "a", Weight: 3})
	acts := d.step(Event{Kind: Taken, ID: 1, Left: 12 * time.Second, Resumed: &Resumed{}})
	if goesTo(acts) != "a" {
		t.Fatal("the first message of the journal waits")
	}
	g := d.s.routes["a"].gate
	was := g.pace
	d.end(1, "a", OK, 100*ms, 0)
	if g.pace < 2*was {
		t.Errorf("pace %.2f after the first success, from %.2f", g.pace, was)
	}
}

// gathering plays 300 senders, or fewer, that are each handed four messages for one route, 100 ms apart, where each may make so
// many calls a second, and tells how many calls they make in all and when the first leaves.
func gathering(t *testing.T, senders, perCall int, rate float64) (calls int, first time.Duration) {
	t.Helper()
	set := settings()
	set.Senders, set.Kinds = senders, []Kind{{Separate: true, PerCall: perCall}}
	first = math.MaxInt64
	for range senders {
		d := newDesk(t, set, Listing{Route: "a", Weight: rate * float64(senders)})
		d.s.routes["a"].gate.tokens = 1 // how long a sender waits for its first is drawn
		start := d.now
		for id := range uint32(50) { // 100 ms each
			acts := d.step(Event{Kind: Woken})
			if id < 4 {
				acts = append(acts, d.take(id+1, 0)...)
			}
			if has(acts, Send) {
				calls++
				first = min(first, d.now-start)
			}
			d.now += 100 * ms
		}
	}
	return calls, first
}

// Senders that each call for one message at once are over a limit that has room for ten times their messages, and where
// refused calls count as well it serves nobody. Waiting for a part of the aim costs nothing; where calls are plenty, it is
// no longer than between two of them.
func TestSendersGatherMessagesForACall(t *testing.T) {
	for _, senders := range []int{300, 3} {
		if calls, first := gathering(t, senders, 10, 1); calls != senders || first != 500*ms {
			t.Errorf("%d calls of %d senders, the first after %v; want one each, after a quarter of the aim", calls, senders, first)
		}
		if calls, first := gathering(t, senders, 2, 1); calls != 2*senders || first != 100*ms {
			t.Errorf("%d calls of two messages, the first after %v; want two each, once there are two", calls, first)
		}
		if calls, first := gathering(t, senders, 1, 1); calls != 4*senders || first != 0 {
			t.Errorf("%d calls of singles, the first after %v; want them at once", calls, first)
		}
		if calls, first := gathering(t, senders, 10, 100); calls != 4*senders || first != 100*ms {
			t.Errorf("%d calls where there may be a hundred a second, the first after %v; want them at the next look", calls, first)
		}
	}
}

// What was tried before has waited enough.
func TestASecondTryWaitsForNoOthers(t *testing.T) {
	set := settings()
	set.Senders, set.Kinds = 300, []Kind{{Separate: true, PerCall: 10}}
	d := newDesk(t, set, Listing{Route: "a", Weight: 30000}, Listing{Route: "b", Weight: 20000})
	d.take(1, 0)
	d.now += 500 * ms
	if acts := d.step(Event{Kind: Woken}); goesTo(acts) != "a" {
		t.Fatalf("after a quarter of the aim: %+v", acts)
	}
	if acts := d.end(1, "a", Moot, 10*ms, 0); goesTo(acts) == "" {
		t.Errorf("the second try waits: %+v", acts)
	}
}

// hearer is a sender of many that has been told the listed limits of routes a, b and c, each a destination of its own.
func hearer(t *testing.T, senders int) (d *desk, tell func(route string, limit float64)) {
	t.Helper()
	set := settings()
	set.Senders, set.Kinds = senders, []Kind{{Separate: true, PerCall: 10}}
	d = newDesk(t, set, Listing{Route: "a", Destination: 1, Weight: 100}, Listing{Route: "b", Destination: 2, Weight: 60},
		Listing{Route: "c", Destination: 3, Weight: 30}, Listing{Route: "d", Destination: 4})
	tell = func(route string, limit float64) {
		d.now += 100 * ms
		d.step(Event{Kind: Probed, Route: route, Outcome: OK, Report: Report{Told: true, Left: 0.9, Limit: limit}})
	}
	tell("a", 100)
	tell("b", 60)
	tell("c", 30)
	tell("d", 20)
	d.now += 10 * time.Second
	for _, r := range d.s.routes {
		r.gate.pace = 1 // what became of it does not matter here
	}
	return d, tell
}

// Limits fall together. A sender of 300 meets a route once in seconds: 300 calls at a limit of 29 a second were refused,
// one of each sender, in the five seconds that it took them all to be told by that route itself.
func TestLoweredLimitsAreHeardOfElsewhere(t *testing.T) {
	d, tell := hearer(t, 300)
	c := d.s.routes["c"].gate
	tell("a", 50)
	tell("a", 48)
	if c.pace != 1 || c.limit != 30 {
		t.Fatalf("one gate alone tells of no other: pace %v, limit %v", c.pace, c.limit)
	}
	tell("b", 30)
	if math.Abs(c.pace-0.5) > 0.01 || c.limit != 15 {
		t.Errorf("two gates at half their limits: pace %v, limit %v of the third; want half", c.pace, c.limit)
	}
	if x := d.s.routes["d"].gate; x.limit != 20 {
		t.Errorf("a gate with no listed limit has %v", x.limit)
	}
	// What it tells itself counts, and is no word about others.
	tell("c", 30)
	if c.pace < 0.99 || c.limit != 30 || d.s.routes["b"].gate.limit != 30 {
		t.Errorf("told otherwise itself: pace %v, limit %v", c.pace, c.limit)
	}
}

func TestLimitsThatReturnAreHeardOfElsewhere(t *testing.T) {
	d, tell := hearer(t, 300)
	tell("a", 50)
	tell("b", 30)
	tell("c", 15)
	c := d.s.routes["c"].gate
	low := c.pace
	d.now += 5 * time.Second
	tell("a", 100)
	tell("b", 60)
	if math.Abs(c.pace-2*low) > 0.1*low || c.limit != 30 {
		t.Errorf("pace %v, limit %v; want twice %v, and the listed 30", c.pace, c.limit, low)
	}
}

func TestWhatIsFarApartOrOfFewSendersIsNoSign(t *testing.T) {
	d, tell := hearer(t, 300)
	tell("a", 50)
	d.now += 2 * lowSpan
	tell("b", 30)
	if c := d.s.routes["c"].gate; c.limit != 30 {
		t.Errorf("limits that fell far apart: limit %v of the third", c.limit)
	}
	d, tell = hearer(t, 3)
	tell("a", 50)
	tell("b", 30)
	if c := d.s.routes["c"].gate; c.limit != 30 {
		t.Errorf("of three senders: limit %v of the third", c.limit)
	}
}
