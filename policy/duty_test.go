package policy

import (
	"testing"
	"time"
)

// listenerAt steps a sender at a time and returns the state of its client side.
func listenerAt(s *Sender, at time.Duration, kinds ...EventKind) ListenerState {
	var evs []Event
	for _, k := range kinds {
		evs = append(evs, Event{Kind: k})
	}
	s.Step(at, evs)
	return s.lifecycle.state
}

func newLifecycleSender(t *testing.T) *Sender {
	t.Helper()
	s, err := New(Settings{Classes: []Class{{Aim: time.Second, GiveUp: 10 * time.Second}}, Kinds: []Kind{{}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// A drain fails the health check at once and goes on listening; no idle connection outlasts it, and Active ends it at
// any time.
func TestDrainClosesConnectionsAndCanBeUndone(t *testing.T) {
	s, sec := newLifecycleSender(t), time.Second
	if d := listenerAt(s, sec); d != servingState {
		t.Errorf("before: %+v", d)
	}
	want := ListenerState{IdleTimeout: drainIdleTimeout, Listen: true, Send: true}
	if d := listenerAt(s, 2*sec, Standby); d != want {
		t.Errorf("at once: %+v", d)
	}
	if d := listenerAt(s, 4*sec, Standby); d != want {
		t.Errorf("drained again: %+v", d)
	}
	if d := listenerAt(s, 2*sec+drainIdleCloseDelay); d != (ListenerState{Listen: true, Send: true}) {
		t.Errorf("the second event restarted the drain: %+v", d)
	}
	for range 2 {
		if d := listenerAt(s, 6*sec, Active); d != servingState {
			t.Errorf("undone: %+v", d)
		}
	}
	if d := listenerAt(s, 7*sec, Standby, Active); d != servingState {
		t.Errorf("undone in one step: %+v", d)
	}
}

// The Sender requests a wake for each stage and emits each change of state once.
func TestDrainRequestsWakesForItsStages(t *testing.T) {
	s := newLifecycleSender(t)
	updates := 0
	for _, a := range s.Step(time.Second, []Event{{Kind: Standby}}) {
		switch a.Kind {
		case SetListener:
			updates++
		case Wake:
			if a.Delay != drainIdleCloseDelay {
				t.Errorf("wakes after %v", a.Delay)
			}
		}
	}
	for _, a := range s.Step(1100*time.Millisecond, nil) {
		if a.Kind == SetListener {
			updates++
		}
	}
	if updates != 1 {
		t.Errorf("%d changes of state, want 1", updates)
	}
}

// An end is final: neither a drain nor Active replaces it, sending stops in time, and the process exits before SIGKILL.
func TestEndingIsFinal(t *testing.T) {
	s, sec := newLifecycleSender(t), time.Second
	s.Step(sec, []Event{{Kind: ListWhole, List: []Listing{{Route: "a", Destination: 7, InService: true}}}})
	listenerAt(s, sec, Standby)
	if d := listenerAt(s, 2*sec, Ending); d != (ListenerState{Listen: true, Send: true}) {
		t.Errorf("at once: %+v", d)
	}
	if d := listenerAt(s, 2*sec+600*time.Millisecond, Active); d != (ListenerState{Send: true}) {
		t.Errorf("after active: %+v", d)
	}
	if d := listenerAt(s, 4*sec+300*time.Millisecond, Standby); d != (ListenerState{}) {
		t.Errorf("at the end of the sends: %+v", d)
	}
	for _, a := range s.Step(4*sec+400*time.Millisecond, []Event{{Kind: Accepted, ID: 1, Destination: 7, TimeLeft: 5 * sec}}) {
		if a.Kind == Send {
			t.Error("sent a call that the exit would cut off")
		}
	}
	if s.MayStillSend(1, "a", 4*sec+400*time.Millisecond) {
		t.Error("a delayed call may still be sent")
	}
	if d := listenerAt(s, 2*sec+3500*time.Millisecond); !d.Exit {
		t.Errorf("no exit: %+v", d)
	}
}

// Messages accepted before or during a drain are still sent.
func TestDrainKeepsSending(t *testing.T) {
	s := newLifecycleSender(t)
	s.Step(time.Second, []Event{{Kind: ListWhole, List: []Listing{{Route: "a", Destination: 7, InService: true}}}, {Kind: Standby}})
	sent := 0
	for _, a := range s.Step(6*time.Second, []Event{{Kind: Accepted, ID: 1, Destination: 7, TimeLeft: 5 * time.Second}}) {
		if a.Kind == Send {
			sent++
		}
	}
	if sent != 1 {
		t.Errorf("%d sends", sent)
	}
}
