package policy

import (
	"testing"
	"time"
)

// resumeSettings has one keyed class; destinations drop repeats within a zone for 10 s.
func resumeSettings() Settings {
	return Settings{
		Classes: []Class{{
			Effect: Keyed, DedupWindow: 10 * time.Second, Aim: 3 * time.Second, GiveUp: 16 * time.Second, Value: 1,
		}},
		Kinds: []Kind{{Separate: true, PerCall: 1}}, MaxAttempts: 8, MaxRetryAfter: 3 * time.Second,
	}
}

// twoZones lists a preferred route in zone 1 and another in zone 0.
func twoZones() Event {
	return Event{Kind: ListWhole, List: []Listing{
		{Route: "best", Destination: 5, Zone: 1, Weight: 50, InService: true},
		{Route: "other", Destination: 5, Zone: 0, Weight: 20, InService: true},
	}}
}

func stepWithResumed(t *testing.T, r *Resumed) []Action {
	t.Helper()
	s, err := New(resumeSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	return s.Step(time.Second, []Event{
		twoZones(), {Kind: Accepted, ID: 1, Destination: 5, TimeLeft: 8 * time.Second, Resumed: r},
	})
}

func TestResumedMessagesKeepTheirZoneAndWindow(t *testing.T) {
	for _, c := range []struct {
		name    string
		resumed Resumed
		route   string // "" if no route may be tried
	}{
		{"nothing ran", Resumed{Attempts: 1}, "best"},
		{"one may have run in zone 0", Resumed{Attempts: 1, MayHaveRun: true, SentAgo: 5 * time.Second}, "other"},
		{"too long ago", Resumed{Attempts: 1, MayHaveRun: true, SentAgo: 11 * time.Second}, ""},
		{"no attempts left", Resumed{Attempts: 8}, ""},
	} {
		route := ""
		for _, a := range stepWithResumed(t, &c.resumed) {
			if a.Kind == Send {
				route = a.Route
			}
		}
		if route != c.route {
			t.Errorf("%s: sent to %q, want %q", c.name, route, c.route)
		}
	}
}

func TestExpiredResumedMessagesEndAtOnce(t *testing.T) {
	for _, c := range []struct {
		resumed Resumed
		want    ActionKind
	}{{Resumed{}, Refuse}, {Resumed{Attempts: 1, MayHaveRun: true}, Fail}} {
		s, err := New(resumeSettings(), 1)
		if err != nil {
			t.Fatal(err)
		}
		acts := s.Step(time.Second, []Event{twoZones(), {Kind: Accepted, ID: 1, Destination: 5, TimeLeft: -time.Second, Resumed: &c.resumed}})
		if len(acts) == 0 || acts[0].Kind != c.want {
			t.Errorf("%+v: %+v", c.resumed, acts)
		}
	}
}

func TestResumedBacklogIsPaced(t *testing.T) {
	s, err := New(resumeSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	evs := []Event{twoZones()}
	for i := range uint32(40) {
		evs = append(evs, Event{Kind: Accepted, ID: i, Destination: 5, TimeLeft: 8 * time.Second, Resumed: &Resumed{}})
	}
	sends := 0
	for _, a := range s.Step(time.Second, evs) {
		if a.Kind == Send {
			sends++
		}
	}
	if sends == 0 || sends > 4 { // one for each route, and rounding
		t.Errorf("%d sends at once", sends)
	}
}

func TestMayStillReportsBlockedCalls(t *testing.T) {
	s, err := New(resumeSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	s.Step(time.Second, []Event{twoZones(), {Kind: Accepted, ID: 1, Destination: 5, TimeLeft: 8 * time.Second}})
	if !s.MayStillSend(1, "best", time.Second) || !s.MayStillSend(1, "other", time.Second) || s.MayStillSend(1, "none", time.Second) {
		t.Error("routes in service may be called, others not")
	}
	// A retry-after that comes with a delivery, as in the response to a batch, applies too.
	s.Step(2*time.Second, []Event{{Kind: Finished, ID: 9, Route: "best", Outcome: OK, Ended: true, RetryAfter: time.Second}})
	if s.MayStillSend(1, "best", 2900*time.Millisecond) || !s.MayStillSend(1, "best", 3*time.Second) {
		t.Error("the retry-after ends at 3 s")
	}
	s.Step(4*time.Second, []Event{{Kind: ListChanges, List: []Listing{
		{Route: "best", Destination: 5, Zone: 1, Weight: 50}, {Route: "other", Gone: true},
	}}})
	if s.MayStillSend(1, "best", 4*time.Second) || s.MayStillSend(1, "other", 4*time.Second) {
		t.Error("one route drains and one is removed: neither may be called")
	}
}

// A repeat delayed by a slow connection must not be sent once hosts no longer drop repeats, nor a message that has
// ended.
func TestDelayedRepeatIsSentOnlyInsideItsWindow(t *testing.T) {
	s, err := New(resumeSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	ran := &Resumed{Attempts: 1, MayHaveRun: true, SentAgo: 5 * time.Second}
	s.Step(time.Second, []Event{
		twoZones(),
		{Kind: Accepted, ID: 1, Destination: 5, TimeLeft: 14 * time.Second, Resumed: ran},
		{Kind: Accepted, ID: 2, Destination: 5, TimeLeft: 14 * time.Second},
	})
	if !s.MayStillSend(1, "other", 5900*time.Millisecond) {
		t.Error("a repeat inside the window may not be sent")
	}
	if s.MayStillSend(1, "other", 6*time.Second) {
		t.Error("a repeat may be sent after the window")
	}
	if !s.MayStillSend(2, "other", 6*time.Second) {
		t.Error("a first attempt has no window")
	}
	s.Step(7*time.Second, []Event{{Kind: Withdrawn, ID: 2}})
	if s.MayStillSend(2, "other", 7*time.Second) || s.MayStillSend(3, "other", 7*time.Second) {
		t.Error("an ended or unknown message may be sent")
	}
}

// A message that no route may ever accept again gets its final answer at once, not at its deadline.
func TestExhaustedMessagesEndAtOnce(t *testing.T) {
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
		Event{Kind: Accepted, ID: 1, Destination: 5, TimeLeft: 14 * time.Second, Resumed: &Resumed{Attempts: 8, MayHaveRun: true, SentZone: 2}},
		Event{Kind: Accepted, ID: 2, Destination: 5, TimeLeft: 14 * time.Second, Resumed: &Resumed{Attempts: 2, MayHaveRun: true, SentZone: 2}},
	); len(got) != 1 || got[0] != Fail {
		t.Errorf("with no attempts left: %v", got)
	}
	// Zone 2, where the second message may have run, has no route: it waits for one while repeats are dropped.
	if got := ends(10900 * time.Millisecond); len(got) != 0 {
		t.Errorf("inside the window: %v", got)
	}
	if got := ends(11 * time.Second); len(got) != 1 || got[0] != Fail {
		t.Errorf("after the window: %v", got)
	}
}

// In a fleet of 300, a sender's share of a limit may be one call in 100 s. If pacing then holds journaled messages
// beyond their deadlines, they are refused: 9,069 of 9,180 at one restart. So messages not sent yet are sent at random
// times after a restart, and held while a retry-after, a skip, a cold route or a missing list blocks them.
func TestUnsentMessagesAreSentAfterARestart(t *testing.T) {
	const found, left = 30, 12 * time.Second
	route := Listing{Route: "a", Destination: 5, Weight: 3, InService: true}
	for name, c := range map[string]struct {
		listed time.Duration // delay of the list after the start
		wait   time.Duration // retry-after received at the start
		fails  time.Duration // time during which calls fail
	}{
		"nothing blocks them": {},
		"no list":             {listed: 3 * time.Second},
		"a retry-after":       {wait: 3 * time.Second},
		"an outage":           {fails: 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := resumeSettings()
			cfg.Senders, cfg.Slots, cfg.OverloadWindow, cfg.WarmWithin, cfg.OverloadFactor = 300, 6, 2*time.Second, 10*time.Second, 1.5
			calls := make([]int, 3)
			sent, ended := 0, 0
			for seed := range uint64(40) {
				s, err := New(cfg, seed)
				if err != nil {
					t.Fatal(err)
				}
				start := time.Minute
				var evs []Event
				if c.listed == 0 {
					evs = append(evs, Event{Kind: ListWhole, List: []Listing{route}})
				}
				if c.wait > 0 {
					evs = append(evs, Event{Kind: Finished, ID: 999, Route: "a", Outcome: OK, RetryAfter: c.wait})
				}
				for id := range uint32(found) {
					evs = append(evs, Event{Kind: Accepted, ID: id, Destination: 5, TimeLeft: left, Resumed: &Resumed{}})
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
								t.Fatalf("sent %v after the start, before the retry-after ended", now-start)
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
								ended++
							}
						}
					}
				}
				sent += len(called)
			}
			// In an outage some calls must fail first, and a cold route accepts few: the other messages may be held to their deadlines.
			want := 40 * found * 9 / 10
			if name == "an outage" {
				want = 40
			}
			if sent < want || ended > 40*found-sent {
				t.Errorf("%d of %d sent, %d ended unsent", sent, 40*found, ended)
			}
			if sum := calls[0] + calls[1] + calls[2]; name == "nothing blocks them" && (calls[0] > sum/2 || calls[1] < sum/4) {
				t.Errorf("first sends in each third of the time left: %v", calls)
			}
		})
	}
}

// The Send of a repeat carries the time until which it may leave; a first attempt and a safe message have none.
func TestRepeatCarriesItsWindowEnd(t *testing.T) {
	for name, c := range map[string]struct {
		effect Effect
		r      Resumed
		want   time.Duration
	}{
		"a first attempt": {Keyed, Resumed{}, 0},
		"never ran":       {Keyed, Resumed{Attempts: 1}, 0},
		"may have run":    {Keyed, Resumed{Attempts: 1, MayHaveRun: true, SentAgo: 400 * ms}, time.Minute + 600*ms - deadlineMargin},
		"may be repeated": {Safe, Resumed{Attempts: 1, MayHaveRun: true, SentAgo: 400 * ms}, 0},
	} {
		cfg := resumeSettings()
		cfg.Classes[0].Effect, cfg.Classes[0].DedupWindow = c.effect, time.Second
		s, err := New(cfg, 1)
		if err != nil {
			t.Fatal(err)
		}
		sent := false
		for _, a := range s.Step(time.Minute, []Event{twoZones(),
			{Kind: Accepted, ID: 1, Destination: 5, TimeLeft: 8 * time.Second, Resumed: &c.r}}) {
			if a.Kind == Send {
				sent = true
				if a.LeaveBy != c.want {
					t.Errorf("%s: may leave until %v, want %v", name, a.LeaveBy, c.want)
				}
			}
		}
		if !sent {
			t.Errorf("%s: not sent", name)
		}
	}
}
