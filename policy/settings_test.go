package policy

import (
	"encoding/json"
	"testing"
	"time"
)

// An open message keeps the terms that it was taken on under; what is taken on later has the new ones.
func TestOpenMessagesKeepTheirTerms(t *testing.T) {
	sec := time.Second
	set := func(e Effect, attempts int) Settings {
		return Settings{Classes: []Class{{Effect: e, Aim: 4 * sec, GiveUp: 20 * sec}}, Kinds: []Kind{{}}, MaxAttempts: attempts}
	}
	s, err := New(set(Safe, 3), 1)
	if err != nil {
		t.Fatal(err)
	}
	s.Step(sec, []Event{{Kind: ListWhole, List: []Listing{{Route: "a", Destination: 7, InService: true}}}})
	take := func(at time.Duration, id uint32) {
		s.Step(at, []Event{{Kind: Taken, ID: id, Destination: 7, Left: 20 * sec}})
	}
	take(sec, 1)
	changed := set(Unsafe, 1)
	s.Step(sec, []Event{{Kind: Configured, Settings: &changed}})
	take(sec, 2)
	failed := func(id uint32) bool {
		gone := false
		for _, a := range s.Step(2*sec, []Event{{Kind: Finished, ID: id, Route: "a", Outcome: Error, Took: sec}}) {
			gone = gone || a.Kind == Fail && a.ID == id
		}
		return gone
	}
	if failed(1) {
		t.Error("a message that may be repeated failed by the new terms")
	}
	if !failed(2) {
		t.Error("a message of the new terms did not fail by them")
	}
	if changed.Classes[0].Attempts != 0 {
		t.Error("the caller's settings were written to")
	}
}

// A customer's use of its share stays with it when customers change places.
func TestSharesStayWithTheirCustomers(t *testing.T) {
	set := Settings{Classes: []Class{{GiveUp: time.Second}}, Kinds: []Kind{{}},
		Customers: []Customer{{Name: "a", Quota: 1}, {Name: "b", Quota: 1}}}
	s, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	for range 4 {
		s.overShare(0)
	}
	set.Customers = []Customer{{Name: "c", Quota: 1}, {Name: "b", Quota: 1}, {Name: "a", Quota: 1}}
	s.Step(0, []Event{{Kind: Configured, Settings: &set}})
	if !s.overShare(2) || s.overShare(0) || s.overShare(1) {
		t.Error("a share was forgotten, or came to another")
	}
}

// Journals of builds before have a class's deduplication window under its older name.
func TestAJournalsClassKeepsItsDedupWindow(t *testing.T) {
	var c Class
	if err := json.Unmarshal([]byte(`{"Effect":1,"Window":1000000000,"Aim":5}`), &c); err != nil || c.DedupWindow != time.Second || c.Effect != Keyed {
		t.Errorf("%+v, %v", c, err)
	}
}
