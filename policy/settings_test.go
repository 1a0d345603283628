package policy

import (
	"encoding/json"
	"testing"
	"time"
)

// A held message keeps the class under which it was accepted; a message accepted later has the new one.
func TestOpenMessagesKeepTheirClass(t *testing.T) {
	sec := time.Second
	set := func(e Effect, attempts int) Settings {
		return Settings{Classes: []Class{{Effect: e, Aim: 4 * sec, GiveUp: 20 * sec}}, Kinds: []Kind{{}}, MaxAttempts: attempts}
	}
	s, err := New(set(Safe, 3), 1)
	if err != nil {
		t.Fatal(err)
	}
	s.Step(sec, []Event{{Kind: ListWhole, List: []Listing{{Route: "a", Destination: 7, InService: true}}}})
	accept := func(at time.Duration, id uint32) {
		s.Step(at, []Event{{Kind: Accepted, ID: id, Destination: 7, TimeLeft: 20 * sec}})
	}
	accept(sec, 1)
	changed := set(Unsafe, 1)
	s.Step(sec, []Event{{Kind: Configured, Settings: &changed}})
	accept(sec, 2)
	failed := func(id uint32) bool {
		ended := false
		for _, a := range s.Step(2*sec, []Event{{Kind: Finished, ID: id, Route: "a", Outcome: Error, Took: sec}}) {
			ended = ended || a.Kind == Fail && a.ID == id
		}
		return ended
	}
	if failed(1) {
		t.Error("a message of the old, safe class failed under the new class")
	}
	if !failed(2) {
		t.Error("a message of the new, unsafe class did not fail")
	}
	if changed.Classes[0].Attempts != 0 {
		t.Error("the caller's settings were modified")
	}
}

// The use of a share stays with its customer when the order of customers changes.
func TestCustomersKeepTheirShareUsage(t *testing.T) {
	set := Settings{Classes: []Class{{GiveUp: time.Second}}, Kinds: []Kind{{}},
		Customers: []Customer{{Name: "a", Quota: 1}, {Name: "b", Quota: 1}}}
	s, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	for range 4 {
		s.chargeShare(0)
	}
	set.Customers = []Customer{{Name: "c", Quota: 1}, {Name: "b", Quota: 1}, {Name: "a", Quota: 1}}
	s.Step(0, []Event{{Kind: Configured, Settings: &set}})
	if !s.chargeShare(2) || s.chargeShare(0) || s.chargeShare(1) {
		t.Error("the use of a share was lost, or went to another customer")
	}
}

// Journals store a class's deduplication window under its older name.
func TestClassOfAJournalKeepsItsDedupWindow(t *testing.T) {
	var c Class
	if err := json.Unmarshal([]byte(`{"Effect":1,"Window":1000000000,"Aim":5}`), &c); err != nil ||
		c.DedupWindow != time.Second || c.Effect != Keyed {
		t.Errorf("%+v, %v", c, err)
	}
}
