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

var classes = map[string]history.Class{"notice": {Aim: 1000 * ms, GiveUp: 4000 * ms, Worth: 1, LateWorth: 0.4}, "payment": {Aim: 1000 * ms, GiveUp: 4000 * ms, Worth: 2, LateWorth: 0.5}}

// sample has one message of each fate, in the first second of two.
func sample() (history.Header, []history.Event) {
	var all []history.Event
	add := func(at int64, e history.Event) {
		e.At = at * ms
		all = append(all, e)
	}
	want := func(at int64, id, class string) {
		add(at, history.Event{Kind: history.Want, First: id, Class: class, Relay: "n0"})
	}
	hand := func(at int64, id, first string, status int, note string) {
		add(at, history.Event{Kind: history.Hand, ID: id, First: first, Relay: "n0"})
		add(at, history.Event{Kind: history.Answer, ID: id, Status: status, Note: note, Relay: "n0"})
	}
	call := func(at int64, n int, id, outcome string) {
		add(at, history.Event{Kind: history.Call, ID: id, Number: n, Sent: at * ms, Began: at * ms})
		add(at, history.Event{Kind: history.Reply, ID: id, Number: n, Outcome: outcome})
	}
	add(0, history.Event{Kind: history.Fault, Note: LoadBegins})
	want(100, "a", "payment") // in its aim, after a refusal
	hand(110, "a", "a", 503, "")
	hand(200, "a2", "a", 202, "")
	call(300, 1, "a2", history.OK)
	want(100, "b", "notice") // late by one aim
	hand(110, "b", "b", 202, "")
	call(1600, 2, "b", history.OK)
	want(100, "c", "notice") // deferred
	hand(110, "c", "c", 202, "")
	call(120, 3, "c", history.Refused)
	add(500, history.Event{Kind: history.Notice, ID: "c", End: "deferred"})
	want(100, "d", "payment") // failed
	hand(110, "d", "d", 202, "")
	call(120, 4, "d", history.Broken)
	add(500, history.Event{Kind: history.Notice, ID: "d", End: "undeliverable"})
	want(100, "e", "notice") // its relay was away
	want(100, "f", "notice") // its client left, and wants it no more
	hand(110, "f", "f", 0, "left")
	add(700, history.Event{Kind: history.Fault, Relay: "n0", Note: "kill", Took: 200 * ms})
	add(900, history.Event{Kind: history.Sample, Relay: "n0", Life: 1, Memory: 7, Disk: 512, Descriptors: 5, CPU: 300 * ms})
	add(950, history.Event{Kind: history.Sample, Relay: "n0", Life: 2, Memory: 6, Disk: 1024, Descriptors: 4, CPU: 200 * ms})
	add(2000, history.Event{Kind: history.Fault, Note: LoadEnds})
	return history.Header{Relays: []string{"n0"}, Rules: history.Rules{Classes: classes}}, all
}

func near(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

func TestFiguresCountEachFate(t *testing.T) {
	f := Make(sample())
	n, p := f.Classes[0], f.Classes[1]
	if n.Name != "notice" || n.Wanted != 3 || n.InAim != 0 || n.Late != 1 || n.Refused != 1 || n.Failed != 0 || n.NotHanded != 1 || !near(n.Service, 0.5/3) {
		t.Errorf("%+v", n)
	}
	if p.Name != "payment" || p.Wanted != 2 || p.InAim != 1 || p.Failed != 1 || !near(p.Service, 0.5) || p.P50 < 199 || p.P50 > 201 {
		t.Errorf("%+v", p)
	}
	if !near(f.Service, 2.5/7) || !near(f.Worst, 2.5/7) || f.Seconds != 2 {
		t.Errorf("service %v, worst %v, %v s", f.Service, f.Worst, f.Seconds)
	}
	if f.HandIns != 6 || f.RefusedIns != 1 || f.Deferred != 1 || f.Undeliverable != 1 || f.Calls != 4 || f.CallsRefused != 1 || f.CallsBroken != 1 || !near(f.PerMessage, 1) {
		t.Errorf("%+v", f)
	}
	if !near(f.RelayCPU, 0.5) || f.MemoryMax != 7 || f.DiskMax != 1024 || f.FilesMax != 5 {
		t.Errorf("%+v", f)
	}
	if len(f.Points) != 4 || f.Points[0].Wanted != 5 || f.Points[0].Calls != 3 || f.Points[3].Calls != 1 || len(f.Faults) != 1 || !near(f.Faults[0].For, 0.2) {
		t.Errorf("%+v %+v", f.Points, f.Faults)
	}
}

func TestWorthFallsByHalvesToItsLeast(t *testing.T) {
	for took, want := range map[int64]float64{0: 1, 1000: 1, 1001: 0.5, 2000: 0.5, 2001: 0.4, 4000: 0.4, 4001: 0} {
		if got := earned(classes["notice"], took*ms); !near(got, want) {
			t.Errorf("after %d ms: %v, want %v", took, got, want)
		}
	}
}

func TestOwedFollowsTheHistory(t *testing.T) {
	_, events := sample()
	o := NewOwed()
	most := 0
	for i := range events {
		most = max(most, o.Read(events[:i+1]))
	}
	if left := o.Read(events); left != 0 || most < 1 || o.Handed != 6 || o.LastFault != "kill n0" {
		t.Errorf("%d owed, %d at most, %d handed in, %q", left, most, o.Handed, o.LastFault)
	}
}

func TestThePageHasItsPlotsAndEscapesNames(t *testing.T) {
	f := Make(sample())
	var b bytes.Buffer
	if err := HTML(&b, "x <y>", &f, []check.Violation{{Name: "drain-kept", ID: "<m>"}}); err != nil {
		t.Fatal(err)
	}
	page := b.String()
	if strings.Count(page, "<svg") != 4 || strings.Contains(page, "<y>") || strings.Contains(page, "<m>") || !strings.Contains(page, "drain-kept") {
		t.Errorf("%d plots in %.300s", strings.Count(page, "<svg"), page)
	}
	// A trial that ended at once has a page too.
	if err := HTML(&b, "x", &Figures{}, nil); err != nil {
		t.Error(err)
	}
}
