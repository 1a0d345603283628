package check

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"wallflow/internal/trial/history"
)

// soundList returns a history of list servers without violations: two writers, a reader and two followers.
func soundList() []history.Event {
	write := func(from, to int64, who, id string, value int64, outcome string) history.Event {
		return history.Event{At: to * ms, Kind: history.ListWrite, Relay: who, ID: id, Value: value, Outcome: outcome, Began: from * ms}
	}
	read := func(from, to int64, values map[string]int64) history.Event {
		return history.Event{At: to * ms, Kind: history.ListRead, Relay: "r0", Values: values, Began: from * ms}
	}
	update := func(at int64, who string, version int64, digest string) history.Event {
		return history.Event{At: at * ms, Kind: history.FollowerUpdate, Relay: who, Version: version, State: "c1", Note: digest}
	}
	final := func(at int64, who string) history.Event {
		return history.Event{At: at * ms, Kind: history.FollowerFinal, Relay: who, Version: 4, State: "c1", Note: "d4", Status: 1}
	}
	return []history.Event{
		write(10, 20, "w0", "k-0", 1, history.OK), update(25, "f0", 1, "d1"), update(26, "f1", 1, "d1"),
		read(30, 40, map[string]int64{"k-0": 1}),
		write(35, 60, "w1", "k-1", 2, history.ConnectionLost), // outcome unknown
		write(45, 50, "w0", "k-0", 3, history.Refused),
		read(70, 80, map[string]int64{"k-0": 1}),
		write(90, 95, "w0", "k-0", 0, history.OK), update(96, "f0", 2, "d2"),
		read(100, 110, map[string]int64{"k-1": 2}), // the write of unknown outcome took effect late
		write(120, 130, "w0", "k-0", 4, history.OK), update(131, "f1", 4, "d4"), update(132, "f0", 4, "d4"),
		read(140, 150, map[string]int64{"k-0": 4, "k-1": 2}),
		final(160, "f0"), final(161, "f1"),
	}
}

func TestSoundListHistoryHolds(t *testing.T) {
	v := Check(rules(), soundList())
	if !v.Held() || len(v.Excused) > 0 {
		t.Fatalf("violations: %v, excused: %v", v.Violations, v.Excused)
	}
	if v.Judged[AcknowledgedIsKept] != 3 || v.Judged[VersionsRise] != 5 || v.Judged[WatchIsWhole] != 2 {
		t.Errorf("%v", v.Judged)
	}
	if v := Check(rules(), soundHistory()); v.Judged[WatchIsWhole] != 0 || len(v.Judged) != len(Names) {
		t.Errorf("without list servers: %v", v.Judged)
	}
}

func TestListViolationsAreReported(t *testing.T) {
	nth := func(e []history.Event, kind history.Kind, n int) *history.Event {
		for i := range e {
			if e[i].Kind == kind {
				if n == 0 {
					return &e[i]
				}
				n--
			}
		}
		t.Fatalf("no %s number %d", kind, n)
		return nil
	}
	for _, c := range []struct {
		what, name, id, text string
		inject               func(e []history.Event)
	}{
		{"an acknowledged write is lost", AcknowledgedIsKept, "k-0", "a confirmed read from 30 to 40 ms has value 0",
			func(e []history.Event) { nth(e, history.ListRead, 0).Values = nil }},
		{"a removed entry is read again", AcknowledgedIsKept, "k-0", "a confirmed read from 100 to 110 ms has value 1",
			func(e []history.Event) { nth(e, history.ListRead, 2).Values = map[string]int64{"k-0": 1, "k-1": 2} }},
		{"a read returns an older value", AcknowledgedIsKept, "k-1", "a confirmed read from 140 to 150 ms has value 0",
			func(e []history.Event) { nth(e, history.ListRead, 3).Values = map[string]int64{"k-0": 4} }},
		{"a refused write is read", AcknowledgedIsKept, "k-0", "has value 3",
			func(e []history.Event) { nth(e, history.ListRead, 1).Values = map[string]int64{"k-0": 3} }},
		{"a version has two contents", VersionsRise, "f1", "version 1 has one content at f0 and another at f1",
			func(e []history.Event) { nth(e, history.FollowerUpdate, 1).Note = "other" }},
		{"a version goes back", VersionsRise, "f0", "it had version 9, and holds 4 after that",
			func(e []history.Event) { nth(e, history.FollowerUpdate, 2).Version = 9 }},
		{"a follower has another version at the end", WatchIsWhole, "f1", "it ends with version 3",
			func(e []history.Event) { nth(e, history.FollowerFinal, 1).Version = 3 }},
		{"a follower has other entries at the end", WatchIsWhole, "f1", "or with other entries",
			func(e []history.Event) { nth(e, history.FollowerFinal, 1).Note = "other" }},
		{"a follower never reaches the last version", WatchIsWhole, "f0", "it never came to the last version",
			func(e []history.Event) { nth(e, history.FollowerFinal, 0).Status = 0 }},
	} {
		e := slices.Clone(soundList())
		c.inject(e)
		v := Check(rules(), e)
		for _, x := range v.Violations {
			if x.Name != c.name || x.ID != c.id || !strings.Contains(x.Text, c.text) || len(x.Lines) == 0 {
				t.Errorf("%s: %v", c.what, x)
			}
		}
		if len(v.Violations) != 1 {
			t.Errorf("%s: %d violations", c.what, len(v.Violations))
		}
	}
	// Versions of another list are independent.
	e := soundList()
	other := *nth(e, history.FollowerUpdate, 4)
	other.At, other.State, other.Version, other.Note = other.At+1, "c2", 1, "d9"
	if v := Check(rules(), slices.Insert(e, len(e)-3, other)); v.Violated(VersionsRise) {
		t.Errorf("%v", v.Violations)
	}
}

// Any history that results from some real order of operations is accepted, however they overlap; a value that was never
// written is not.
func TestAnyRealOrderIsAccepted(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var e []history.Event
		now := map[string]int64{}
		ids := []string{"k-0", "k-1"}
		for i := range int64(60) { // each takes effect at its own time, and was in progress around it
			at := i * 10
			from, to := (at-rng.Int64N(25))*ms, (at+rng.Int64N(25))*ms
			if rng.IntN(2) == 0 {
				id := ids[rng.IntN(2)]
				now[id] = i + 1
				outcome := history.OK
				if rng.IntN(4) == 0 {
					outcome = history.ConnectionLost
				}
				e = append(e, history.Event{At: to, Began: from, Kind: history.ListWrite, Relay: "w", ID: id, Value: i + 1, Outcome: outcome})
			} else {
				e = append(e, history.Event{At: to, Began: from, Kind: history.ListRead, Relay: "r",
					Values: map[string]int64{"k-0": now["k-0"], "k-1": now["k-1"]}})
			}
		}
		if v := Check(rules(), e); !v.Held() {
			t.Fatalf("seed %d: %v", seed, v.Violations)
		}
		last := e[len(e)-1].At + ms
		e = append(e, history.Event{At: last + ms, Began: last, Kind: history.ListRead, Relay: "r",
			Values: map[string]int64{"k-0": 1000, "k-1": now["k-1"]}})
		if v := Check(rules(), e); now["k-0"] > 0 && !v.Violated(AcknowledgedIsKept) {
			t.Fatalf("seed %d: a value that was never written is accepted", seed)
		}
	}
}

// A notice that an agent has acknowledged must be forwarded.
func TestNoticeNotForwardedIsReported(t *testing.T) {
	notice := history.Event{At: 155 * ms, Kind: history.Notice, Relay: "n0", ID: "m1", End: "undeliverable"}
	forwarded := history.Event{At: 156 * ms, Kind: history.NoticeForwarded, Relay: "n0", ID: "m1"}
	e := slices.Insert(soundList(), len(soundList())-2, notice)
	if v := Check(rules(), e); v.Judged[NoticesPassOn] != 0 {
		t.Errorf("no events were examined: %v", v)
	}
	examined := history.Event{At: 170 * ms, Kind: history.NoticeForwarded, Number: len(e)}
	laterNotice := notice // after the examined events
	laterNotice.ID, laterNotice.At = "m2", 169*ms
	e = append(e, laterNotice, examined)
	v := Check(rules(), e)
	if !v.Violated(NoticesPassOn) || v.Judged[NoticesPassOn] != 1 {
		t.Errorf("%v", v)
	}
	if v := Check(rules(), slices.Insert(e, len(e)-2, forwarded)); v.Violated(NoticesPassOn) {
		t.Errorf("%v", v)
	}
}

// A notice may be late by as long as the relay's agent was down, and no longer.
func TestNoticeMayWaitForAgentDowntime(t *testing.T) {
	checkDelayedNotice := func(by int64, agent ...history.Event) Verdict {
		e := undisturbed(soundHistory())
		i := find(t, e, history.Notice, "m4")
		x := e[i]
		x.At = (1100 + 4000 + 350 + by) * ms
		e = slices.Delete(e, i, i+1)
		e = append(e, agent...)
		e = append(e, x)
		slices.SortStableFunc(e, func(a, b history.Event) int { return int(a.At - b.At) })
		return Check(rules(), e)
	}
	proc := func(at int64, note string) history.Event {
		return history.Event{At: at * ms, Kind: history.ProcessState, Relay: "n0" + AgentSuffix, Incarnation: 1, Note: note}
	}
	if v := checkDelayedNotice(400); !v.Violated(TakenIsEnded) {
		t.Error("a notice late by 400 ms is not reported")
	}
	if v := checkDelayedNotice(400, proc(5000, history.Kill), proc(5100, history.Ended), proc(5300, history.Ready)); v.Violated(TakenIsEnded) {
		t.Errorf("%v", v.Violations)
	}
	if v := checkDelayedNotice(400, proc(2000, history.Kill), proc(2100, history.Ended),
		proc(2300, history.Ready)); !v.Violated(TakenIsEnded) {
		t.Error("an earlier downtime of the agent excuses the notice")
	}
}

// An endpoint that was not drained must not be reported as gone, even while agents or list servers are down.
func TestShrinkingListIsReported(t *testing.T) {
	listUpdate := func(id, state string) history.Event {
		return history.Event{At: 152 * ms, Kind: history.ListUpdate, Relay: "n0", Endpoint: id, State: state}
	}
	drain := history.Event{At: 151 * ms, Kind: history.Fault, Endpoint: "s-0b", Note: "drain"}
	e := slices.Insert(soundList(), len(soundList())-2, listUpdate("s-0a", "ready"), drain, listUpdate("s-0b", "gone"),
		listUpdate("k-0", "gone"))
	if v := Check(rules(), e); v.Violated(ListOutlives) || v.Judged[ListOutlives] != 2 {
		t.Errorf("%v", v)
	}
	e = slices.Insert(e, len(e)-2, listUpdate("s-0a", "gone"))
	if v := Check(rules(), e); !v.Violated(ListOutlives) || len(v.Violations) != 1 {
		t.Errorf("%v", v.Violations)
	}
}
