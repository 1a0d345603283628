package accord

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func report(t *testing.T, s *State, x Session) {
	t.Helper()
	if _, err := s.Apply(Op{Report: &x}); err != nil {
		t.Fatal(err)
	}
}

func propose(t *testing.T, s *State) int64 {
	t.Helper()
	n, err := s.Apply(Op{Propose: &Propose{Document: modelDocument, HoldMS: 1000, WithinMS: 1000}})
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// A valid document is unchanged by canonicalization; an invalid one is rejected with the field that is wrong.
func TestInvalidDocumentIsRejectedWithItsField(t *testing.T) {
	for text, want := range map[string]string{
		`{"form":1,"classes":{"order":{"attempts":3,"advice_ms":800}},"customers":{"a":{"quota_per_s":2.5}},"destinations":{"7":{"routes":["x","y"]}},"skip":{"first_ms":500,"most_ms":9000}}`: "",
		`{"form":2}`: "form: 2, this build reads 1",
		`{"form":1,"classes":{"order":{"attempts":-1}}}`:           "classes.order.attempts: -1",
		`{"form":1,"classes":{"order":{"advice_ms":60001}}}`:       "classes.order.advice_ms: 60001",
		`{"form":1,"customers":{"a":{"quota_per_s":0}}}`:           "customers.a.quota_per_s: 0",
		`{"form":1,"destinations":{"07":{"routes":["x"]}}}`:        "destinations.07: is no number",
		`{"form":1,"destinations":{"7":{"routes":["x","y","x"]}}}`: `destinations.7.routes[2]: "x" stands there twice`,
		`{"form":1,"destinations":{"7":{"routes":[]}}}`:            "destinations.7.routes: has 0 ids",
		`{"form":1,"skip":{"first_ms":900,"most_ms":800}}`:         "skip: first_ms 900",
		`{"form":1,"weather":{}}`:                                  "weather: this build does not know it",
		`{"form":1} {}`:                                            "something follows it",
	} {
		d, err := ParseDocument(json.RawMessage(text))
		if want == "" {
			if err != nil {
				t.Errorf("%s: %v", text, err)
				continue
			}
			one, err := d.Canonical()
			if err != nil || string(one) != text {
				t.Errorf("canonical form %s, %v", one, err)
			}
		} else if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", text, err, want)
		}
	}
}

// A change waits for silent sessions and for sessions whose name another agent took, until they leave or are retired.
func TestChangeWaitsForEverySession(t *testing.T) {
	s := New("e")
	report(t, s, Session{ID: "1", Name: "a", Boot: 1})
	report(t, s, Session{ID: "2", Name: "b", Boot: 1})
	n := propose(t, s)
	waits := func(want string) {
		t.Helper()
		var names []string
		for _, x := range s.Missing() {
			names = append(names, x.Name+x.ID)
		}
		if got := strings.Join(names, " "); got != want {
			t.Errorf("waits for %q, want %q", got, want)
		}
	}
	waits("a1 b2")
	s.Apply(Op{Lapse: "2"})
	waits("a1 b2") // silence does not remove it
	if s.Sessions["2"].State != Lapsed {
		t.Errorf("state %q", s.Sessions["2"].State)
	}
	report(t, s, Session{ID: "3", Name: "b", Boot: 1}) // agent b starts with a new data folder
	waits("a1 b2 b3")
	if s.Sessions["2"].State != Displaced {
		t.Errorf("state of the previous session: %q", s.Sessions["2"].State)
	}
	report(t, s, Session{ID: "2", Name: "b", Boot: 1, Staged: n})
	if s.Sessions["2"].State != Displaced || s.Sessions["3"].State != Present {
		t.Error("the displaced session took its name back")
	}
	if _, err := s.Apply(Op{Retire: "2"}); err != nil {
		t.Fatal(err)
	}
	waits("a1 b3")
	if _, err := s.Apply(Op{Report: &Session{ID: "2", Name: "b", Boot: 2}}); !errors.Is(err, ErrSessionEnded) {
		t.Errorf("report of a retired session: %v", err)
	}
	if _, err := s.Apply(Op{Leave: &Session{ID: "3", Boot: 1}}); err != nil {
		t.Fatal(err)
	}
	waits("a1")
	report(t, s, Session{ID: "3", Name: "b", Boot: 2}) // a session that left may register again, and changes wait for it
	waits("a1 b3")
	if _, err := s.Apply(Op{Report: &Session{ID: "3", Name: "b", Boot: 1}}); !errors.Is(err, ErrStaleBoot) {
		t.Errorf("report of an older process of the same data folder: %v", err)
	}
}

// Only one change is in flight at a time, a key is used once, and only a sealed change comes into force.
func TestOnlyOneChangeInFlight(t *testing.T) {
	s := New("e")
	p := Propose{Key: "k", Document: modelDocument, HoldMS: 1000, WithinMS: 1000}
	n, err := s.Apply(Op{Propose: &p})
	if err != nil || n != 1 {
		t.Fatal(n, err)
	}
	if again, err := s.Apply(Op{Propose: &p}); again != n || err != nil {
		t.Errorf("repeated proposal: %d, %v", again, err)
	}
	p.Key = "other"
	if _, err := s.Apply(Op{Propose: &p}); !errors.Is(err, ErrInFlight) || !strings.Contains(err.Error(), "number 1") {
		t.Errorf("second proposal: %v", err)
	}
	if _, err := s.Apply(Op{Seal: n}); !errors.Is(err, ErrNoChange) {
		t.Errorf("seal before arm: %v", err)
	}
	if _, err := s.Apply(Op{Drop: &Drop{n, "no"}}); err != nil || s.InForce.Number != 0 || s.Decided() != 1 {
		t.Errorf("dropped: %v, %d in force, %d decided", err, s.InForce.Number, s.Decided())
	}
	if _, err := s.Apply(Op{Seal: n}); !errors.Is(err, ErrNoChange) {
		t.Errorf("seal after drop: %v", err)
	}
	p.Key = "k"
	if again, err := s.Apply(Op{Propose: &p}); again != n || err != nil {
		t.Errorf("repeated proposal of a dropped change: %d, %v", again, err)
	}
	// A service that was created anew numbers its changes above the numbers that its fleet knows.
	report(t, s, Session{ID: "1", Name: "a", Boot: 1, KnownPolicy: 40})
	if m := propose(t, s); m != 41 {
		t.Errorf("number %d", m)
	}
	report(t, s, Session{ID: "1", Name: "a", Boot: 1, KnownPolicy: 40, Staged: 41})
	if _, err := s.Apply(Op{Arm: 41}); err != nil {
		t.Error(err)
	}
}

// For any sequence of operations: numbers never fall, a policy in force was promised by every session, the state survives encoding,
// a rejected operation changes nothing, and State.WouldChange predicts whether a report modifies the state.
func TestStateInvariantsUnderRandomOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New("e")
		for range rapid.IntRange(1, 60).Draw(t, "ops") {
			var o Op
			number := s.Last - rapid.Int64Range(0, 1).Draw(t, "older")
			id := fmt.Sprint(rapid.IntRange(1, 4).Draw(t, "id"))
			switch rapid.IntRange(0, 9).Draw(t, "kind") {
			case 0:
				o.Propose = &Propose{Document: modelDocument, HoldMS: 1000, WithinMS: 1000}
			case 1:
				o.Arm = max(1, number)
			case 2:
				o.Seal = max(1, number)
			case 3:
				o.Drop = &Drop{Number: number}
			case 4:
				o.Retire = id
			case 5:
				o.Leave = &Session{ID: id, Boot: 1}
			case 6:
				o.Lapse = id
			default:
				o.Report = &Session{ID: id, Name: "n" + fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "name")), Boot: 1, KnownPolicy: s.InForce.Number,
					Staged: number, Promised: number * rapid.Int64Range(0, 1).Draw(t, "promised")}
			}
			was := s.Clone()
			changes := o.Report != nil && s.WouldChange(*o.Report)
			_, err := s.Apply(o)
			before, _ := json.Marshal(was)
			after, _ := json.Marshal(s)
			switch {
			case err != nil && string(before) != string(after):
				t.Fatalf("%+v was rejected (%v) but changed the state", o, err)
			case o.Report != nil && err == nil && changes != (string(before) != string(after)):
				t.Fatalf("report %+v changes the state: %v, predicted %v", *o.Report, !changes, changes)
			case s.InForce.Number < was.InForce.Number || s.Last < was.Last:
				t.Fatalf("numbers fell: %s, then %s", before, after)
			case s.InForce.Number != was.InForce.Number:
				for _, x := range was.Sessions {
					if x.Promised != s.InForce.Number {
						t.Fatalf("policy %d is in force, but %s has not promised it", s.InForce.Number, x.Name)
					}
				}
			}
			var back State
			if err := json.Unmarshal(after, &back); err != nil || back.Check() != nil {
				t.Fatalf("%s cannot be decoded: %v, %v", after, err, back.Check())
			}
		}
	})
}

// A restarted agent does not know when the policy in force begins: it admits no process before every relay must have stopped under
// the previous policy.
func TestRestartedAgentWaitsUntilPolicyBegins(t *testing.T) {
	at := func(s float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }
	runs := func(Process) bool { return true }
	l := &Ledger{ID: "1"}
	l.Start(at(0))
	relay := Process{PID: 7, Start: 1}
	if l.Admit(relay, at(0), runs) {
		t.Error("admitted before the policy was known")
	}
	if err := l.ApplyUpdate(ServiceUpdate{Epoch: "e", InForce: Policy{Number: 3, Document: modelDocument},
		BeginIn: 2 * time.Second, HoldMS: 4000, Decided: 3, ReceivedAt: at(1)}); err != nil {
		t.Fatal(err)
	}
	if l.Admit(relay, at(2.9), runs) {
		t.Error("admitted before the policy began")
	}
	back := l.Clone()
	back.Start(at(2.5))
	if back.Admit(relay, at(6.4), runs) {
		t.Error("admitted after a restart before the hold time ended")
	}
	if err := back.ApplyUpdate(ServiceUpdate{Epoch: "e", InForce: Policy{Number: 3}, Decided: 3, ReceivedAt: at(4)}); err != nil {
		t.Fatal(err)
	}
	if !back.Admit(relay, at(4), runs) || !back.ReplyTo(relay, at(4)).Admitted {
		t.Error("not admitted although the service reported that the policy has begun")
	}
	if !l.MarkBegun(at(3)) || !l.Admit(relay, at(3), runs) {
		t.Error("not admitted after the policy began")
	}
	if l.TryLeave(runs) {
		t.Error("it left while its relay was running")
	}
	if !l.TryLeave(func(Process) bool { return false }) || l.Admit(relay, at(9), runs) {
		t.Error("after leaving, it admitted a relay without an update from the service")
	}
}
