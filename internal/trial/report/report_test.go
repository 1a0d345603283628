package report

import (
	"bytes"
	"math"
	"strings"
	"testing"

	"wallflow/internal/trial/check"
	"wallflow/internal/trial/history"
)

const ms = 1000

var classes = map[string]history.Class{"notice": {Target: 1000 * ms, GiveUp: 4000 * ms, Value: 1, LateValue: 0.4},
	"payment": {Target: 1000 * ms, GiveUp: 4000 * ms, Value: 2, LateValue: 0.5}}

// sampleHistory returns a history with one message of each outcome, in the first of two seconds.
func sampleHistory() (history.Header, []history.Event) {
	var events []history.Event
	add := func(at int64, e history.Event) {
		e.At = at * ms
		events = append(events, e)
	}
	want := func(at int64, id, class string) {
		add(at, history.Event{Kind: history.Want, FirstID: id, Class: class, Relay: "n0"})
	}
	submit := func(at int64, id, first string, status int, note string) {
		add(at, history.Event{Kind: history.Submit, ID: id, FirstID: first, Relay: "n0"})
		add(at, history.Event{Kind: history.Answer, ID: id, Status: status, Note: note, Relay: "n0"})
	}
	call := func(at int64, n int, id, outcome string) {
		add(at, history.Event{Kind: history.Call, ID: id, Number: n, Sent: at * ms, Began: at * ms})
		add(at, history.Event{Kind: history.Reply, ID: id, Number: n, Outcome: outcome})
	}
	add(0, history.Event{Kind: history.Fault, Note: LoadBegins})
	want(100, "a", "payment") // within its target, after a refusal
	submit(110, "a", "a", 503, "")
	submit(200, "a2", "a", 202, "")
	call(300, 1, "a2", history.OK)
	want(100, "b", "notice") // later than its target
	submit(110, "b", "b", 202, "")
	call(1600, 2, "b", history.OK)
	want(100, "c", "notice") // deferred
	submit(110, "c", "c", 202, "")
	call(120, 3, "c", history.Refused)
	add(500, history.Event{Kind: history.Notice, ID: "c", End: "deferred"})
	want(100, "d", "payment") // failed
	submit(110, "d", "d", 202, "")
	call(120, 4, "d", history.ConnectionLost)
	add(500, history.Event{Kind: history.Notice, ID: "d", End: "undeliverable"})
	want(100, "e", "notice") // its relay was down
	want(100, "f", "notice") // its client disconnected and does not count as wanting it
	submit(110, "f", "f", 0, "left")
	add(700, history.Event{Kind: history.Fault, Relay: "n0", Note: "kill", Duration: 200 * ms})
	add(900, history.Event{Kind: history.Sample, Relay: "n0", Incarnation: 1, Memory: 7, Disk: 512, Descriptors: 5, CPU: 300 * ms})
	add(950, history.Event{Kind: history.Sample, Relay: "n0", Incarnation: 2, Memory: 6, Disk: 1024, Descriptors: 4, CPU: 200 * ms})
	add(2000, history.Event{Kind: history.Fault, Note: LoadEnds})
	return history.Header{Relays: []string{"n0"}, Rules: history.Rules{Classes: classes}}, events
}

func almostEqual(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

func TestSummarizeCountsEachOutcome(t *testing.T) {
	f := Summarize(sampleHistory())
	n, p := f.Classes[0], f.Classes[1]
	if n.Name != "notice" || n.Wanted != 3 || n.InTarget != 0 || n.Late != 1 || n.Refused != 1 || n.Failed != 0 || n.NotSubmitted != 1 ||
		!almostEqual(n.Service, 0.5/3) {
		t.Errorf("%+v", n)
	}
	if p.Name != "payment" || p.Wanted != 2 || p.InTarget != 1 || p.Failed != 1 || !almostEqual(p.Service, 0.5) || p.P50 < 199 || p.P50 > 201 {
		t.Errorf("%+v", p)
	}
	if !almostEqual(f.Service, 2.5/7) || !almostEqual(f.Worst, 2.5/7) || f.Seconds != 2 {
		t.Errorf("service %v, worst %v, %v s", f.Service, f.Worst, f.Seconds)
	}
	if f.Submissions != 6 || f.RefusedSubmissions != 1 || f.Deferred != 1 || f.Undeliverable != 1 || f.Calls != 4 || f.CallsRefused != 1 ||
		f.CallsBroken != 1 || !almostEqual(f.AttemptsPerMessage, 1) {
		t.Errorf("%+v", f)
	}
	if !almostEqual(f.RelayCPU, 0.5) || f.MemoryMax != 7 || f.DiskMax != 1024 || f.DescriptorsMax != 5 {
		t.Errorf("%+v", f)
	}
	if len(f.Points) != 4 || f.Points[0].Wanted != 5 || f.Points[0].Calls != 3 || f.Points[3].Calls != 1 || len(f.Faults) != 1 ||
		!almostEqual(f.Faults[0].For, 0.2) {
		t.Errorf("%+v %+v", f.Points, f.Faults)
	}
}

func TestValueShareHalvesDownToLateValue(t *testing.T) {
	for took, want := range map[int64]float64{0: 1, 1000: 1, 1001: 0.5, 2000: 0.5, 2001: 0.4, 4000: 0.4, 4001: 0} {
		if got := valueShareAfter(classes["notice"], took*ms); !almostEqual(got, want) {
			t.Errorf("after %d ms: %v, want %v", took, got, want)
		}
	}
}

func TestUnfinishedTracker(t *testing.T) {
	_, events := sampleHistory()
	o := NewUnfinishedTracker()
	highest := 0
	for i := range events {
		highest = max(highest, o.Update(events[:i+1]))
	}
	if unfinished := o.Update(events); unfinished != 0 || highest < 1 || o.Submitted != 6 || o.LastFault != "kill n0" {
		t.Errorf("%d unfinished, %d at most, %d submitted, last fault %q", unfinished, highest, o.Submitted, o.LastFault)
	}
}

func TestHTMLHasPlotsAndEscapesNames(t *testing.T) {
	f := Summarize(sampleHistory())
	var b bytes.Buffer
	if err := HTML(&b, "x <y>", &f, []check.Violation{{Name: "drain-kept", ID: "<m>"}}); err != nil {
		t.Fatal(err)
	}
	page := b.String()
	if strings.Count(page, "<svg") != 4 || strings.Contains(page, "<y>") || strings.Contains(page, "<m>") ||
		!strings.Contains(page, "drain-kept") {
		t.Errorf("%d plots in %.300s", strings.Count(page, "<svg"), page)
	}
	// A trial that ended at once has a report too.
	if err := HTML(&b, "x", &Metrics{}, nil); err != nil {
		t.Error(err)
	}
}
