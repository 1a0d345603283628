package selector

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestFirstMatchingRuleDecides has one outcome come to an endpoint and says which rule must match and whether it is skipped.
func TestFirstMatchingRuleDecides(t *testing.T) {
	run := Outcome{Kind: Reset, MayHaveRun: true}
	cases := []struct {
		name    string
		before  []Outcome
		outcome Outcome
		rule    RuleName
		skipped bool
	}{
		{"another instance", nil, Outcome{Kind: Misdirected}, "misdirected", true},
		{"a told wait", nil, Outcome{Kind: Full, ToldWait: time.Second}, "told wait", true},
		{"full", nil, Outcome{Kind: Full}, "full", false},
		{"full after failures", []Outcome{run, run}, Outcome{Kind: Full}, "full", false},
		{"declined", nil, Outcome{Kind: NotExecuted}, "declined", false},
		{"one failed connection", nil, Outcome{Kind: ConnectFailed}, "failed", false},
		{"two failed connections", []Outcome{{Kind: ConnectFailed}}, Outcome{Kind: ConnectFailed}, "failed", false},
		{"three failed connections", []Outcome{{Kind: ConnectFailed}, {Kind: ConnectFailed}}, Outcome{Kind: ConnectFailed}, "in a row", true},
		{"three time-outs", []Outcome{{Kind: TimedOut}, {Kind: TimedOut}}, Outcome{Kind: TimedOut, MayHaveRun: true}, "in a row", true},
		{"mixed failures", []Outcome{run, {Kind: TimedOut}}, Outcome{Kind: ConnectFailed}, "in a row", true},
		{"an answer between", []Outcome{run, run, {Kind: Success}}, run, "failed", false},
		{"errors of its own", []Outcome{{Kind: EndpointError}}, Outcome{Kind: EndpointError}, "failed", false},
		{"mostly errors", []Outcome{{Kind: EndpointError}, {Kind: EndpointError}, {Kind: Success}, {Kind: EndpointError}, {Kind: EndpointError}},
			Outcome{Kind: EndpointError}, "mostly failing", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t)
			f.plain(homeZone, 1)
			for _, outcome := range append(c.before, c.outcome) {
				f.after(10 * time.Millisecond)
				d := f.sent(f.request("gate"))
				f.after(10 * time.Millisecond)
				f.s.Done(f.now, d.Attempt, outcome)
			}
			assert.Assert(t, f.count(c.rule) > 0, "%v", f.s.Counts(f.now).Matched)
			assert.Equal(t, f.s.Counts(f.now).Skipped > 0, c.skipped)
		})
	}
}

func TestOversizeRequestSaysNothingOfTheEndpoint(t *testing.T) {
	f := newFleet(t)
	f.engines(homeZone, 1)
	r := f.dossier(1)
	r.TokensIn = 400_000
	d := f.sent(r)
	f.done(d, Full)
	assert.Equal(t, f.count("oversize"), uint64(1))
	assert.Equal(t, f.endpoint(d.Instance.ID).pace.rate, 0.0)
}

func TestClientGoneSaysNothing(t *testing.T) {
	f := newFleet(t)
	f.plain(homeZone, 1)
	for range 10 {
		f.fail("gate", ClientGone)
	}
	assert.Equal(t, f.s.Counts(f.now).Skipped, 0)
	assert.Equal(t, len(f.s.Counts(f.now).Matched), 0)
}

func TestSlowAnswersBetweenOthersSkipNothing(t *testing.T) {
	f := newFleet(t)
	f.engines(homeZone, 1)
	for range 5 {
		slow, quick := f.sent(f.request("query")), f.sent(f.request("query"))
		f.served(quick, 50*time.Millisecond)
		f.after(time.Second)
		f.done(slow, TimedOut)
	}
	assert.Equal(t, f.s.Counts(f.now).Skipped, 0)
}

func TestSkipEndsWithOneTrial(t *testing.T) {
	f := newFleet(t)
	f.plain(homeZone, 1)
	f.plain(nextZone, 1)
	for range 3 {
		assert.Equal(t, f.fail("gate", ConnectFailed).Zone, homeZone)
	}
	assert.Equal(t, f.sent(f.request("gate")).Instance.Zone, nextZone, "skipped: the next tier")
	f.after(skipFirst + skipFirst/2)
	trial := f.sent(f.request("gate"))
	assert.Equal(t, trial.Instance.Zone, homeZone, "the trial")
	assert.Equal(t, f.sent(f.request("gate")).Instance.Zone, nextZone, "one trial at a time")
	f.served(trial, 10*time.Millisecond)
	e := f.endpoint(trial.Instance.ID)
	assert.Equal(t, e.pace.rate, paceRestart, "after a skip the pace restarts")
	assert.Equal(t, f.sent(f.request("gate")).Instance.Zone, nextZone, "beyond the pace: the next tier")
	f.after(time.Second)
	d := f.sent(f.request("gate"))
	assert.Equal(t, d.Instance.Zone, homeZone)
	f.served(d, 10*time.Millisecond)
	assert.Assert(t, e.pace.rate > paceRestart, "it creeps back on success")
}

func TestSkipsGrowToTenSecondsAndVary(t *testing.T) {
	f := newFleet(t)
	f.plain(homeZone, 1)
	for range 3 {
		f.fail("gate", ConnectFailed)
	}
	e := f.endpoint(f.list[0].ID)
	var lengths []time.Duration
	for range 8 {
		length := e.skip.until.Sub(f.now)
		assert.Assert(t, length <= skipMost)
		lengths = append(lengths, length)
		f.now = e.skip.until
		f.fail("gate", ConnectFailed)
	}
	assert.Assert(t, lengths[0] < 3*time.Second)
	assert.Assert(t, lengths[7] >= 8*time.Second)
	assert.Assert(t, lengths[6] != lengths[7], "skips vary")
}

func TestFailuresFromBeforeTheSkipAddNothing(t *testing.T) {
	f := newFleet(t)
	f.plain(homeZone, 1)
	var out []Decision
	for range 6 {
		out = append(out, f.sent(f.request("gate")))
	}
	f.after(10 * time.Millisecond)
	for _, d := range out {
		f.done(d, Reset)
	}
	e := f.endpoint(f.list[0].ID)
	assert.Equal(t, e.skip.length, skipFirst)
	assert.Equal(t, f.count("in a row"), uint64(1))
}

func TestFullHalvesThePaceOnce(t *testing.T) {
	f := newFleet(t)
	f.plain(homeZone, 1)
	var out []Decision
	for range 8 {
		out = append(out, f.sent(f.request("gate")))
	}
	f.after(100 * time.Millisecond)
	for _, d := range out {
		f.done(d, Full)
	}
	e := f.endpoint(f.list[0].ID)
	assert.Equal(t, e.pace.rate, 4.0, "half the last second's rate")
	assert.Equal(t, f.s.Counts(f.now).Skipped, 0, "full is not skipped")
}

func TestToldWaitIsKept(t *testing.T) {
	f := newFleet(t)
	f.plain(homeZone, 1)
	f.plain(nextZone, 1)
	d := f.sent(f.request("gate"))
	f.s.Done(f.now, d.Attempt, Outcome{Kind: Full, ToldWait: 4 * time.Second})
	for range 15 {
		other := f.sent(f.request("gate"))
		assert.Equal(t, other.Instance.Zone, nextZone)
		f.served(other, 250*time.Millisecond)
	}
	f.after(500 * time.Millisecond)
	assert.Equal(t, f.sent(f.request("gate")).Instance.Zone, homeZone)
}

func TestHangingEndpointIsSkippedBeforeItsTimeOuts(t *testing.T) {
	f := newFleet(t)
	f.engines(homeZone, 1)
	f.engines(lastZone, 1)
	for range 4 {
		assert.Equal(t, f.sent(f.request("query")).Instance.Zone, homeZone)
	}
	f.after(1500 * time.Millisecond) // no answer to any
	assert.Equal(t, f.sent(f.request("query")).Instance.Zone, lastZone)
	assert.Equal(t, f.s.Counts(f.now).Skipped, 1)
}

func TestHangingTrialFailsWithoutItsTimeOut(t *testing.T) {
	f := newFleet(t)
	f.engines(homeZone, 1)
	f.engines(lastZone, 1)
	for range 3 {
		f.fail("query", ConnectFailed)
		f.after(time.Millisecond)
	}
	f.after(3 * time.Second)
	assert.Equal(t, f.sent(f.request("query")).Instance.Zone, homeZone, "the trial")
	f.after(2 * time.Second)
	assert.Equal(t, f.sent(f.request("query")).Instance.Zone, lastZone)
	assert.Equal(t, f.s.Counts(f.now).Skipped, 1, "skipped again, for longer")
}

func TestOldCallsDoNotSkipAnEndpointThatCameBack(t *testing.T) {
	f := newFleet(t)
	f.engines(homeZone, 1)
	var old []Decision
	for range 6 {
		old = append(old, f.sent(f.request("query")))
	}
	f.after(1500 * time.Millisecond)
	f.choose(f.request("query")) // it hangs: skipped
	f.after(3 * time.Second)
	f.served(f.sent(f.request("query")), 50*time.Millisecond)
	for _, d := range old {
		f.done(d, Reset)
	}
	assert.Equal(t, f.s.Counts(f.now).Skipped, 0)
}

// TestSkipHoldsWhileItsTierIsLookedThrough asks twice for an endpoint that enters the skip table with the first question, as when it
// is drawn by chance twice.
func TestSkipHoldsWhileItsTierIsLookedThrough(t *testing.T) {
	f := newFleet(t)
	f.engines(homeZone, 1)
	for range 4 {
		f.sent(f.request("query"))
	}
	f.after(1500 * time.Millisecond)
	r, e := f.request("query"), f.endpoint(f.list[0].ID)
	for range 2 {
		assert.Equal(t, f.s.admits(f.now, r, e, false), e.skip.until)
		assert.Assert(t, e.skip.until.After(f.now))
	}
}
