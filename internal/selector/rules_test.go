package selector

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestFirstMatchingRuleDecides ends attempts with the given outcomes and checks which rule matches the last one, and
// whether the endpoint is skipped.
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
		{"an advised wait", nil, Outcome{Kind: Full, RetryAfter: time.Second}, "told wait", true},
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
				f.advance(10 * time.Millisecond)
				d := f.mustSend(f.request("gate"))
				f.advance(10 * time.Millisecond)
				f.s.Done(f.now, d.Attempt, outcome)
			}
			assert.Assert(t, f.ruleCount(c.rule) > 0, "%v", f.s.Counts(f.now).Matched)
			assert.Equal(t, f.s.Counts(f.now).Skipped > 0, c.skipped)
		})
	}
}

func TestOversizeRequestIsNotHeldAgainstEndpoint(t *testing.T) {
	f := newFleet(t)
	f.engines(homeZone, 1)
	r := f.dossier(1)
	r.TokensIn = 400_000
	d := f.mustSend(r)
	f.finish(d, Full)
	assert.Equal(t, f.ruleCount("oversize"), uint64(1))
	assert.Equal(t, f.endpoint(d.Instance.ID).pacer.rate, 0.0)
}

func TestClientGoneIsNotHeldAgainstEndpoint(t *testing.T) {
	f := newFleet(t)
	f.plain(homeZone, 1)
	for range 10 {
		f.fail("gate", ClientGone)
	}
	assert.Equal(t, f.s.Counts(f.now).Skipped, 0)
	assert.Equal(t, len(f.s.Counts(f.now).Matched), 0)
}

func TestTimeoutsBetweenAnswersDoNotSkip(t *testing.T) {
	f := newFleet(t)
	f.engines(homeZone, 1)
	for range 5 {
		slow, quick := f.mustSend(f.request("query")), f.mustSend(f.request("query"))
		f.serve(quick, 50*time.Millisecond)
		f.advance(time.Second)
		f.finish(slow, TimedOut)
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
	assert.Equal(t, f.mustSend(f.request("gate")).Instance.Zone, nextZone, "skipped: the next tier")
	f.advance(firstSkip + firstSkip/2)
	trial := f.mustSend(f.request("gate"))
	assert.Equal(t, trial.Instance.Zone, homeZone, "the trial")
	assert.Equal(t, f.mustSend(f.request("gate")).Instance.Zone, nextZone, "one trial at a time")
	f.serve(trial, 10*time.Millisecond)
	e := f.endpoint(trial.Instance.ID)
	assert.Equal(t, e.pacer.rate, restartRate, "after a skip the pacing rate restarts")
	assert.Equal(t, f.mustSend(f.request("gate")).Instance.Zone, nextZone, "beyond the pacing rate: the next tier")
	f.advance(time.Second)
	d := f.mustSend(f.request("gate"))
	assert.Equal(t, d.Instance.Zone, homeZone)
	f.serve(d, 10*time.Millisecond)
	assert.Assert(t, e.pacer.rate > restartRate, "the rate grows with successes")
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
		assert.Assert(t, length <= maxSkip)
		lengths = append(lengths, length)
		f.now = e.skip.until
		f.fail("gate", ConnectFailed)
	}
	assert.Assert(t, lengths[0] < 3*time.Second)
	assert.Assert(t, lengths[7] >= 8*time.Second)
	assert.Assert(t, lengths[6] != lengths[7], "skips vary")
}

func TestFailuresSentBeforeSkipDoNotExtendIt(t *testing.T) {
	f := newFleet(t)
	f.plain(homeZone, 1)
	var sent []Decision
	for range 6 {
		sent = append(sent, f.mustSend(f.request("gate")))
	}
	f.advance(10 * time.Millisecond)
	for _, d := range sent {
		f.finish(d, Reset)
	}
	e := f.endpoint(f.list[0].ID)
	assert.Equal(t, e.skip.length, firstSkip)
	assert.Equal(t, f.ruleCount("in a row"), uint64(1))
}

func TestFullHalvesPacingRateOnce(t *testing.T) {
	f := newFleet(t)
	f.plain(homeZone, 1)
	var sent []Decision
	for range 8 {
		sent = append(sent, f.mustSend(f.request("gate")))
	}
	f.advance(100 * time.Millisecond)
	for _, d := range sent {
		f.finish(d, Full)
	}
	e := f.endpoint(f.list[0].ID)
	assert.Equal(t, e.pacer.rate, 4.0, "half of the last second's calls")
	assert.Equal(t, f.s.Counts(f.now).Skipped, 0, "a full endpoint is not skipped")
}

func TestAdvisedWaitIsHonored(t *testing.T) {
	f := newFleet(t)
	f.plain(homeZone, 1)
	f.plain(nextZone, 1)
	d := f.mustSend(f.request("gate"))
	f.s.Done(f.now, d.Attempt, Outcome{Kind: Full, RetryAfter: 4 * time.Second})
	for range 15 {
		other := f.mustSend(f.request("gate"))
		assert.Equal(t, other.Instance.Zone, nextZone)
		f.serve(other, 250*time.Millisecond)
	}
	f.advance(500 * time.Millisecond)
	assert.Equal(t, f.mustSend(f.request("gate")).Instance.Zone, homeZone)
}

func TestHangingEndpointIsSkippedBeforeItsTimeOuts(t *testing.T) {
	f := newFleet(t)
	f.engines(homeZone, 1)
	f.engines(lastZone, 1)
	for range 4 {
		assert.Equal(t, f.mustSend(f.request("query")).Instance.Zone, homeZone)
	}
	f.advance(1500 * time.Millisecond) // none of them was answered
	assert.Equal(t, f.mustSend(f.request("query")).Instance.Zone, lastZone)
	assert.Equal(t, f.s.Counts(f.now).Skipped, 1)
}

func TestHangingTrialFailsWithoutItsTimeOut(t *testing.T) {
	f := newFleet(t)
	f.engines(homeZone, 1)
	f.engines(lastZone, 1)
	for range 3 {
		f.fail("query", ConnectFailed)
		f.advance(time.Millisecond)
	}
	f.advance(3 * time.Second)
	assert.Equal(t, f.mustSend(f.request("query")).Instance.Zone, homeZone, "the trial")
	f.advance(2 * time.Second)
	assert.Equal(t, f.mustSend(f.request("query")).Instance.Zone, lastZone)
	assert.Equal(t, f.s.Counts(f.now).Skipped, 1, "skipped again, for longer")
}

func TestOldCallsDoNotSkipRestoredEndpoint(t *testing.T) {
	f := newFleet(t)
	f.engines(homeZone, 1)
	var old []Decision
	for range 6 {
		old = append(old, f.mustSend(f.request("query")))
	}
	f.advance(1500 * time.Millisecond)
	f.choose(f.request("query")) // the endpoint hangs and is skipped
	f.advance(3 * time.Second)
	f.serve(f.mustSend(f.request("query")), 50*time.Millisecond)
	for _, d := range old {
		f.finish(d, Reset)
	}
	assert.Equal(t, f.s.Counts(f.now).Skipped, 0)
}

// TestSkipHoldsWithinTierSearch calls admitAt twice for an endpoint that is skipped by the first call, as happens
// when the endpoint is drawn at random twice.
func TestSkipHoldsWithinTierSearch(t *testing.T) {
	f := newFleet(t)
	f.engines(homeZone, 1)
	for range 4 {
		f.mustSend(f.request("query"))
	}
	f.advance(1500 * time.Millisecond)
	r, e := f.request("query"), f.endpoint(f.list[0].ID)
	for range 2 {
		assert.Equal(t, f.s.admitAt(f.now, r, e, false), e.skip.until)
		assert.Assert(t, e.skip.until.After(f.now))
	}
}
