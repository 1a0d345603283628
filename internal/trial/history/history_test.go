package history

import (
	"bytes"
	"reflect"
	"strings"
	"testing"
)

func TestReadReturnsWrittenHistory(t *testing.T) {
	var b bytes.Buffer
	h := Header{Scenario: "calm", Load: "small", Seed: 7, Relays: []string{"n0"}, Rules: Rules{Cells: map[string]int{"s-1": 3}, DiskLimit: 9}}
	r := NewRecorder(&b, h)
	r.Add(Event{Kind: Submit, Relay: "n0", ID: "m1", FirstID: "m1", Class: "c", Expires: 4})
	r.AddAll([]Event{{Kind: Call, ID: "m1", Number: 1}, {Kind: Reply, ID: "m1", Number: 1, Outcome: OK, Wait: 5}})
	if err := r.Flush(); err != nil {
		t.Fatal(err)
	}
	got, events, err := Read("x", &b)
	if err != nil {
		t.Fatal(err)
	}
	if got.Seed != 7 || got.Rules.Cells["s-1"] != 3 || got.Format != Format || !reflect.DeepEqual(events, r.Events()) {
		t.Errorf("%+v\n%+v\nwant\n%+v", got, events, r.Events())
	}
}

func TestMalformedHistoryIsReportedByLine(t *testing.T) {
	head := `{"format":"wallflow history 1"}` + "\n"
	for text, want := range map[string]string{
		"":                                    "x: empty",
		"{\n":                                 "x:1: ",
		`{"format":"other"}`:                  `x:1: format "other"`,
		head + `{"at":1}` + "\n" + `{"at`:     "x:3: ",
		head + `{"at":5}` + "\n" + `{"at":4}`: "x:3: time goes back from 5 to 4",
		head + `{"at":"soon"}`:                "x:2: ",
	} {
		if _, _, err := Read("x", strings.NewReader(text)); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}

// Reading arbitrary bytes does not panic, and accepted events are in order.
func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"format":"wallflow history 1"}` + "\n" + `{"at":1,"kind":"hand"}` + "\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, events, err := Read("x", bytes.NewReader(data))
		for i := 1; err == nil && i < len(events); i++ {
			if events[i].At < events[i-1].At {
				t.Fatal("out of order")
			}
		}
	})
}
