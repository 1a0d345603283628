package policy

import (
	"testing"
	"time"
)

// doorAt steps a sender at a time and returns what its door does then.
func doorAt(s *Sender, at time.Duration, kinds ...EventKind) Door {
	var evs []Event
	for _, k := range kinds {
		evs = append(evs, Event{Kind: k})
	}
	s.Step(at, evs)
	return s.duty.told
}

func dutySender(t *testing.T) *Sender {
	t.Helper()
	s, err := New(Settings{Classes: []Class{{Aim: time.Second, GiveUp: 10 * time.Second}}, Kinds: []Kind{{}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// A drain says no at once and goes on listening; no idle connection outlives it, and active undoes it at any time.
func TestADrainEndsConnectionsAndIsUndone(t *testing.T) {
	s, sec := dutySender(t), time.Second
	if d := doorAt(s, sec); d != open {
		t.Errorf("before: %+v", d)
	}
	want := Door{IdleFor: spareFor, Listen: true, Send: true}
	if d := doorAt(s, 2*sec, Standby); d != want {
		t.Errorf("at once: %+v", d)
	}
	if d := doorAt(s, 4*sec, Standby); d != want {
		t.Errorf("called again: %+v", d)
	}
	if d := doorAt(s, 2*sec+drainIdle); d != (Door{Listen: true, Send: true}) {
		t.Errorf("the second call began the drain anew: %+v", d)
	}
	for range 2 {
		if d := doorAt(s, 6*sec, Active); d != open {
			t.Errorf("undone: %+v", d)
		}
	}
	if d := doorAt(s, 7*sec, Standby, Active); d != open {
		t.Errorf("undone in one step: %+v", d)
	}
}

// The module asks to be woken for each time of its table, and tells of a change once.
func TestADrainWakesForItsStages(t *testing.T) {
	s := dutySender(t)
	told := 0
	for _, a := range s.Step(time.Second, []Event{{Kind: Standby}}) {
		switch a.Kind {
		case Attend:
			told++
		case Wake:
			if a.Delay != drainIdle {
				t.Errorf("wakes after %v", a.Delay)
			}
		}
	}
	for _, a := range s.Step(1100*time.Millisecond, nil) {
		if a.Kind == Attend {
			told++
		}
	}
	if told != 1 {
		t.Errorf("told %d times", told)
	}
}

// The end is final: no drain and no active takes its place, sends stop in time, and it is over before SIGKILL.
func TestTheEndIsFinal(t *testing.T) {
	s, sec := dutySender(t), time.Second
	s.Step(sec, []Event{{Kind: ListWhole, List: []Listing{{Route: "a", Destination: 7, InService: true}}}})
	doorAt(s, sec, Standby)
	if d := doorAt(s, 2*sec, Ending); d != (Door{Listen: true, Send: true}) {
		t.Errorf("at once: %+v", d)
	}
	if d := doorAt(s, 2*sec+600*time.Millisecond, Active); d != (Door{Send: true}) {
		t.Errorf("after active: %+v", d)
	}
	if d := doorAt(s, 4*sec+300*time.Millisecond, Standby); d != (Door{}) {
		t.Errorf("at the end of the sends: %+v", d)
	}
	for _, a := range s.Step(4*sec+400*time.Millisecond, []Event{{Kind: Taken, ID: 1, Destination: 7, Left: 5 * sec}}) {
		if a.Kind == Send {
			t.Error("sent when it would be cut off")
		}
	}
	if s.MayStill(1, "a", 4*sec+400*time.Millisecond) {
		t.Error("a call held up may still leave")
	}
	if d := doorAt(s, 2*sec+3500*time.Millisecond); !d.Over {
		t.Errorf("not over: %+v", d)
	}
}

// What is taken on before or in a drain is still sent.
func TestADrainGoesOnSending(t *testing.T) {
	s := dutySender(t)
	s.Step(time.Second, []Event{{Kind: ListWhole, List: []Listing{{Route: "a", Destination: 7, InService: true}}}, {Kind: Standby}})
	sent := 0
	for _, a := range s.Step(6*time.Second, []Event{{Kind: Taken, ID: 1, Destination: 7, Left: 5 * time.Second}}) {
		if a.Kind == Send {
			sent++
		}
	}
	if sent != 1 {
		t.Errorf("%d sends", sent)
	}
}
