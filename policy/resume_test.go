package policy

import (
	"testing"
	"time"
)

// resumeSettings have one keyed class whose repeats are dropped in a zone for 10 s.
func resumeSettings() Settings {
	return Settings{
		Classes: []Class{{
			Effect: Keyed, DedupWindow: 10 * time.Second, Aim: 3 * time.Second, GiveUp: 16 * time.Second, Value: 1,
		}},
		Kinds: []Kind{{Separate: true, PerCall: 1}}, MaxAttempts: 8, MaxRetryAfter: 3 * time.Second,
	}
}

// twoZones is a list of a better route in zone 1 and another in zone 0.
func twoZones() Event {
	return Event{Kind: ListWhole, List: []Listing{
		{Route: "best", Destination: 5, Zone: 1, Weight: 50, InService: true},
		{Route: "other", Destination: 5, Zone: 0, Weight: 20, InService: true},
	}}
}

func resumeStep(t *testing.T, r *Resumed) []Action {
	t.Helper()
	s, err := New(resumeSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	return s.Step(time.Second, []Event{
		twoZones(), {Kind: Taken, ID: 1, Destination: 5, Left: 8 * time.Second, Resumed: r},
	})
}

func TestResumedMessagesKeepTheirZoneAndWindow(t *testing.T) {
	for _, c := range []struct {
		name    string
		resumed Resumed
		route   string // "" if none may be tried
	}{
		{"nothing ran", Resumed{Attempts: 1}, "best"},
		{"one may have run in zone 0", Resumed{Attempts: 1, Ran: true, RanAgo: 5 * time.Second}, "other"},
		{"too long ago", Resumed{Attempts: 1, Ran: true, RanAgo: 11 * time.Second}, ""},
		{"no attempts left", Resumed{Attempts: 8}, ""},
	} {
		route := ""
		for _, a := range resumeStep(t, &c.resumed) {
			if a.Kind == Send {
				route = a.Route
			}
		}
		if route != c.route {
			t.Errorf("%s: sent to %q, want %q", c.name, route, c.route)
		}
	}
}

func TestOverdueMessagesEndAtOnce(t *testing.T) {
	for _, c := range []struct {
		resumed Resumed
		want    ActionKind
	}{{Resumed{}, Refuse}, {Resumed{Attempts: 1, Ran: true}, Fail}} {
		s, err := New(resumeSettings(), 1)
		if err != nil {
			t.Fatal(err)
		}
		acts := s.Step(time.Second, []Event{twoZones(), {Kind: Taken, ID: 1, Destination: 5, Left: -time.Second, Resumed: &c.resumed}})
		if len(acts) == 0 || acts[0].Kind != c.want {
			t.Errorf("%+v: %+v", c.resumed, acts)
		}
	}
}

func TestABacklogIsNotPouredOut(t *testing.T) {
	s, err := New(resumeSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	evs := []Event{twoZones()}
	for i := range uint32(40) {
		evs = append(evs, Event{Kind: Taken, ID: i, Destination: 5, Left: 8 * time.Second, Resumed: &Resumed{}})
	}
	sends := 0
	for _, a := range s.Step(time.Second, evs) {
		if a.Kind == Send {
			sends++
		}
	}
	if sends == 0 || sends > 4 { // one for each route, and what rounding adds
		t.Errorf("%d sends at once", sends)
	}
}

func TestACallMayNoLongerLeave(t *testing.T) {
	s, err := New(resumeSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	s.Step(time.Second, []Event{twoZones(), {Kind: Taken, ID: 1, Destination: 5, Left: 8 * time.Second}})
	if !s.MayStill(1, "best", time.Second) || !s.MayStill(1, "other", time.Second) || s.MayStill(1, "none", time.Second) {
		t.Error("routes in service may be called, others not")
	}
	// A wait that comes with a delivery, as in a bundle's answer, binds too.
	s.Step(2*time.Second, []Event{{Kind: Finished, ID: 9, Route: "best", Outcome: OK, Ended: true, Wait: time.Second}})
	if s.MayStill(1, "best", 2900*time.Millisecond) || !s.MayStill(1, "best", 3*time.Second) {
		t.Error("the wait ends at 3 s")
	}
	s.Step(4*time.Second, []Event{{Kind: ListChanges, List: []Listing{
		{Route: "best", Destination: 5, Zone: 1, Weight: 50}, {Route: "other", Gone: true},
	}}})
	if s.MayStill(1, "best", 4*time.Second) || s.MayStill(1, "other", 4*time.Second) {
		t.Error("one drains, one is gone")
	}
}

// A repeat whose connection came up late must not leave once hosts have stopped dropping repeats, nor what is over.
func TestARepeatHeldUpLeavesInsideItsWindowOnly(t *testing.T) {
	s, err := New(resumeSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	ran := &Resumed{Attempts: 1, Ran: true, RanAgo: 5 * time.Second}
	s.Step(time.Second, []Event{
		twoZones(),
		{Kind: Taken, ID: 1, Destination: 5, Left: 14 * time.Second, Resumed: ran},
		{Kind: Taken, ID: 2, Destination: 5, Left: 14 * time.Second},
	})
	if !s.MayStill(1, "other", 5900*time.Millisecond) {
		t.Error("a repeat inside the window was held back")
	}
	if s.MayStill(1, "other", 6*time.Second) {
		t.Error("a repeat may leave when repeats are dropped no longer")
	}
	if !s.MayStill(2, "other", 6*time.Second) {
		t.Error("a first try has no window")
	}
	s.Step(7*time.Second, []Event{{Kind: Withdrawn, ID: 2}})
	if s.MayStill(2, "other", 7*time.Second) || s.MayStill(3, "other", 7*time.Second) {
		t.Error("what is over or unknown may leave")
	}
}

// A message that no route may ever take again gets its answer then, not at its deadline.
func TestSpentMessagesEndAtOnce(t *testing.T) {
	s, err := New(resumeSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	ends := func(at time.Duration, evs ...Event) (kinds []ActionKind) {
		for _, a := range s.Step(at, evs) {
			if a.Kind == Refuse || a.Kind == Fail {
				kinds = append(kinds, a.Kind)
			}
		}
		return kinds
	}
	if got := ends(time.Second, twoZones(),
		Event{Kind: Taken, ID: 1, Destination: 5, Left: 14 * time.Second, Resumed: &Resumed{Attempts: 8, Ran: true, RanZone: 2}},
		Event{Kind: Taken, ID: 2, Destination: 5, Left: 14 * time.Second, Resumed: &Resumed{Attempts: 2, Ran: true, RanZone: 2}},
	); len(got) != 1 || got[0] != Fail {
		t.Errorf("with no attempts left: %v", got)
	}
	// No route stands in zone 2, where the second may have run: it waits for one as long as repeats are dropped.
	if got := ends(10900 * time.Millisecond); len(got) != 0 {
		t.Errorf("inside the window: %v", got)
	}
	if got := ends(11 * time.Second); len(got) != 1 || got[0] != Fail {
		t.Errorf("after the window: %v", got)
	}
}

// A fleet of 300 found 9,180 messages in its journals, and gave 9,069 of them up at once: a sender's part of a limit was a call
// in 100 s, and who waits for a pace that opens after its time was refused. What is found untried is called, in a time
// drawn for each, and held until it can be where a wait, a skip, a cold route or an unknown list is in the way.
func TestWhatARestartFindsUntriedIsTried(t *testing.T) {
	const found, left = 30, 12 * time.Second
	route := Listing{Route: "a", Destination: 5, Weight: 3, InService: true}
	for name, c := range map[string]struct {
		listed time.Duration // the list comes so long after the start
		wait   time.Duration // told with an answer at the start
		fails  time.Duration // calls fail for so long
	}{
		"nothing in the way": {},
		"no list":            {listed: 3 * time.Second},
		"a told wait":        {wait: 3 * time.Second},
		"an outage":          {fails: 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			set := resumeSettings()
			set.Senders, set.Slots, set.OverloadWindow, set.WarmWithin, set.OverloadFactor = 300, 6, 2*time.Second, 10*time.Second, 1.5
			calls := make([]int, 3)
			tried, given := 0, 0
			for seed := range uint64(40) {
				s, err := New(set, seed)
				if err != nil {
					t.Fatal(err)
				}
				start := time.Minute
				var evs []Event
				if c.listed == 0 {
					evs = append(evs, Event{Kind: ListWhole, List: []Listing{route}})
				}
				if c.wait > 0 {
					evs = append(evs, Event{Kind: Finished, ID: 999, Route: "a", Outcome: OK, Wait: c.wait})
				}
				for id := range uint32(found) {
					evs = append(evs, Event{Kind: Taken, ID: id, Destination: 5, Left: left, Resumed: &Resumed{}})
				}
				called := map[uint32]bool{}
				for now := start; now < start+left; now += 10 * time.Millisecond {
					if c.listed > 0 && now == start+c.listed {
						evs = append(evs, Event{Kind: ListWhole, List: []Listing{route}})
					}
					acts := s.Step(now, evs)
					evs = []Event{{Kind: Woken}}
					for _, a := range acts {
						switch a.Kind {
						case Send:
							if now < start+c.wait {
								t.Fatalf("called %v after the start, told to wait", now-start)
							}
							if !called[a.ID] {
								calls[min(2, int(3*(now-start)/left))]++
							}
							n := 0
							if called[a.ID] {
								n = 1
							}
							called[a.ID] = true
							e := Event{Kind: Finished, ID: a.ID, Attempt: n, Route: "a", Outcome: OK, Ended: true, Took: 10 * ms}
							if now < start+c.fails {
								e.Outcome, e.Ended = ConnectFailed, false
							}
							evs = append(evs, e)
						case Refuse, Fail:
							if !called[a.ID] {
								given++
							}
						}
					}
				}
				tried += len(called)
			}
			// An outage is told of by the calls that fail, and a cold route takes few: those may run out of time, held to its end.
			least := 40 * found * 9 / 10
			if name == "an outage" {
				least = 40
			}
			if tried < least || given > 40*found-tried {
				t.Errorf("%d of %d called, %d given up with no call", tried, 40*found, given)
			}
			if sum := calls[0] + calls[1] + calls[2]; name == "nothing in the way" && (calls[0] > sum/2 || calls[1] < sum/4) {
				t.Errorf("calls by thirds of the time left: %v", calls)
			}
		})
	}
}

// A repeat tells until when it may leave; a first try, and what may be repeated at any time, do not.
func TestARepeatTellsItsWindowsEnd(t *testing.T) {
	for name, c := range map[string]struct {
		effect Effect
		r      Resumed
		want   time.Duration
	}{
		"a first try":     {Keyed, Resumed{}, 0},
		"never ran":       {Keyed, Resumed{Attempts: 1}, 0},
		"may have run":    {Keyed, Resumed{Attempts: 1, Ran: true, RanAgo: 400 * ms}, time.Minute + 600*ms - endMargin},
		"may be repeated": {Safe, Resumed{Attempts: 1, Ran: true, RanAgo: 400 * ms}, 0},
	} {
		set := resumeSettings()
		set.Classes[0].Effect, set.Classes[0].DedupWindow = c.effect, time.Second
		s, err := New(set, 1)
		if err != nil {
			t.Fatal(err)
		}
		sent := false
		for _, a := range s.Step(time.Minute, []Event{twoZones(), {Kind: Taken, ID: 1, Destination: 5, Left: 8 * time.Second, Resumed: &c.r}}) {
			if a.Kind == Send {
				sent = true
				if a.Leave != c.want {
					t.Errorf("%s: until %v, wanted %v", name, a.Leave, c.want)
				}
			}
		}
		if !sent {
			t.Errorf("%s: not sent", name)
		}
	}
}
