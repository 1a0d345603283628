package policy

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

// handOver encodes a Sender's state and restores it under the same settings.
func handOver(t *testing.T, s *Sender, cfg Settings) *Sender {
	t.Helper()
	data, err := json.Marshal(s.State())
	if err != nil {
		t.Fatal(err)
	}
	var st State
	if err := json.Unmarshal(data, &st); err != nil {
		t.Fatal(err)
	}
	terms := map[uint32]*Class{}
	for id, m := range s.msgs {
		terms[id] = m.class
	}
	next, err := Restore(cfg, 1, st, func(id uint32) *Class { return terms[id] })
	if err != nil {
		t.Fatal(err)
	}
	next.rng = s.rng // a successor has its own random numbers; here they must be the same
	return next
}

func handoverSettings() Settings {
	sec := time.Second
	return Settings{
		Classes: []Class{
			{Effect: Keyed, DedupWindow: 4 * sec, Aim: 2 * sec, GiveUp: 8 * sec, Value: 1},
			{Effect: Unsafe, Aim: 2 * sec, GiveUp: 8 * sec, Value: 2, Ordered: true},
		},
		Kinds:     []Kind{{Separate: true, PerCall: 4}, {PerCall: 1}},
		Customers: []Customer{{Name: "a", Quota: 3}, {Name: "b", Quota: 9}},
		Senders:   2, Slots: 6, MaxHeld: 60, MaxAttempts: 5, MaxRetryAfter: 2 * sec,
		OverloadFactor: 2, OverloadWindow: 3 * sec, WarmWithin: 10 * sec, OrderPause: 100 * time.Millisecond,
	}
}

// A Sender that is handed over at any moment of a run with failures decides as one that is not: the handover loses and
// adds nothing.
func TestHandedOverSenderDecidesAlike(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			cfg := handoverSettings()
			a, err := New(cfg, seed)
			if err != nil {
				t.Fatal(err)
			}
			b, err := New(cfg, seed)
			if err != nil {
				t.Fatal(err)
			}
			rng := rand.New(rand.NewPCG(seed, 1))
			var list []Listing
			for i := range 9 {
				list = append(list, Listing{Route: fmt.Sprint("r", i), Destination: i / 3, Kind: i / 3 % 2, Zone: i % 2,
					Weight: float64(2 + i%3), InService: true})
			}
			type sentCall struct {
				id uint32
				n  int
				at time.Duration
				r  string
			}
			var calls []sentCall
			sends := map[uint32]int{}
			lastID := uint32(0)
			handovers := 0
			for now := time.Second; now < 40*time.Second; now += 10 * time.Millisecond {
				var evs []Event
				if now == time.Second {
					evs = append(evs, Event{Kind: ListWhole, List: list})
				}
				if rng.IntN(500) == 0 {
					i := rng.IntN(len(list))
					list[i].InService = !list[i].InService
					evs = append(evs, Event{Kind: ListChanges, List: []Listing{list[i]}})
				}
				if rng.IntN(8) == 0 {
					lastID++
					evs = append(evs, Event{Kind: Accepted, ID: lastID, Class: rng.IntN(2), Customer: rng.IntN(2),
						Destination: rng.IntN(3), TimeLeft: 8 * time.Second, Key: fmt.Sprint("k", rng.IntN(20))})
				}
				calls = slices.DeleteFunc(calls, func(c sentCall) bool {
					if rng.IntN(20) > 0 && now-c.at < 2*time.Second {
						return false
					}
					e := Event{Kind: Finished, ID: c.id, Attempt: c.n, Route: c.r, Took: now - c.at}
					switch rng.IntN(8) {
					case 0:
						e.Outcome, e.RetryAfter = Full, time.Duration(rng.IntN(900))*time.Millisecond
					case 1:
						e.Outcome = Timeout
					case 2:
						e.Outcome = ConnectFailed
					case 3:
						e.Outcome = Reset
					default:
						e.Outcome, e.Ended, e.Report = OK, true, Report{Told: true, Left: 0.5, Limit: 6}
					}
					evs = append(evs, e)
					return true
				})
				want := slices.Clone(a.Step(now, slices.Clone(evs)))
				got := slices.Clone(b.Step(now, slices.Clone(evs)))
				wake := func(x Action) bool { return x.Kind == Wake } // a successor requests its own wakes
				want, got = slices.DeleteFunc(want, wake), slices.DeleteFunc(got, wake)
				if !reflect.DeepEqual(got, want) && len(got)+len(want) > 0 {
					t.Fatalf("at %v, after %d handovers: decides\n%+v, not\n%+v", now, handovers, got, want)
				}
				for _, x := range want {
					if x.Kind == Send {
						calls = append(calls, sentCall{x.ID, sends[x.ID], now, x.Route})
						sends[x.ID]++
					}
				}
				if rng.IntN(100) == 0 {
					handovers++
					b = handOver(t, b, cfg)
				}
			}
			if handovers < 10 || lastID < 200 {
				t.Errorf("%d handovers, %d messages: too few to be conclusive", handovers, lastID)
			}
		})
	}
}

// An invalid state is an error and no panic.
func TestInvalidStateIsRejected(t *testing.T) {
	for _, text := range []string{
		`{"Msgs":[{"ID":1,"Out":[{"N":0,"Call":3}]}]}`,
		`{"Gates":[{"Dest":1,"Fields":{"wait":"long"}}]}`,
		`{"Gates":[{"Dest":1,"Fields":{},"Routes":[{"Listing":{},"Fields":{"down":3}}]}]}`,
		`{"Calls":[{"Listing":{"Route":"x"},"Fields":{"sent":[]}}]}`,
	} {
		var st State
		if err := json.Unmarshal([]byte(text), &st); err != nil {
			t.Fatal(err)
		}
		if _, err := Restore(handoverSettings(), 1, st, func(uint32) *Class { return nil }); err == nil {
			t.Errorf("accepted: %s", text)
		}
	}
}

// After a handover the Sender only decides on the client side, and the process still exits in time.
func TestProcessExitsInTimeAfterHandover(t *testing.T) {
	s, sec := newLifecycleSender(t), time.Second
	for _, k := range []EventKind{HandedOver, Active, Standby} {
		if d := listenerAt(s, 2*sec, k); d.Listen || d.Send || d.Ready || d.Exit {
			t.Errorf("after %v: %+v", k, d)
		}
	}
	if d := listenerAt(s, 60*sec); d.Exit {
		t.Error("it ended before the Ending event")
	}
	listenerAt(s, 61*sec, Ending)
	if d := listenerAt(s, 64*sec); d.Exit || d.Listen {
		t.Errorf("while it ends: %+v", d)
	}
	if d := listenerAt(s, 64*sec+400*time.Millisecond); !d.Exit {
		t.Errorf("no exit: %+v", d)
	}
	s = newLifecycleSender(t)
	listenerAt(s, sec, Ending)
	if d := listenerAt(s, 2*sec, HandedOver); d.Listen || d.Send {
		t.Errorf("handed over while it ends: %+v", d)
	}
	if d := listenerAt(s, sec+3400*time.Millisecond); !d.Exit {
		t.Errorf("the handover delayed the exit: %+v", d)
	}
}
