package budget

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestColdBoundPerOwner(t *testing.T) {
	cases := []struct {
		name   string
		bound  ColdBound
		wanted int
	}{
		{"as deployed", ColdBound{PerSecond: 21, Overshoot: 1.5, Slack: 5}, 17},
		{"never above the configured rate", ColdBound{PerSecond: 4, Overshoot: 1.5, Slack: 50}, 4},
		{"no slack", ColdBound{PerSecond: 10, Overshoot: 1, Slack: 0}, 4},
		{"less than one", ColdBound{PerSecond: 0.5, Overshoot: 1.5, Slack: 5}, 0},
		{"nothing", ColdBound{}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, c.bound.PerOwner(), c.wanted) })
	}
}

func TestTwoOwnersStayWithinTheColdBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := ColdBound{
			PerSecond: rapid.Float64Range(0, 200).Draw(t, "per second"),
			Overshoot: rapid.Float64Range(1, 3).Draw(t, "overshoot"),
			Slack:     rapid.Float64Range(0, 20).Draw(t, "slack"),
		}
		both := float64(maxColdOwners * bound.PerOwner())
		if allowed := bound.PerSecond*bound.Overshoot + bound.Slack; both > allowed {
			t.Fatalf("two owners send %.0f, the bound is %.1f", both, allowed)
		}
	})
}

func TestColdLimiterNextAt(t *testing.T) {
	l := NewColdLimiter()
	assert.Assert(t, l.Take(start, "i-1", 2))
	assert.Assert(t, l.Take(start.Add(300*time.Millisecond), "i-1", 2))
	soon := start.Add(400 * time.Millisecond)
	assert.Assert(t, !l.Take(soon, "i-1", 2))
	allowedAt := l.NextAt(soon, "i-1", 2)
	assert.Equal(t, allowedAt, start.Add(coldWindow+coldWindowMargin))
	assert.Assert(t, l.Take(allowedAt, "i-1", 2))
	assert.Assert(t, !l.Take(allowedAt, "i-1", 2))
	assert.Assert(t, l.Take(soon, "i-2", 2), "each endpoint has a limit of its own")
}

func TestColdLimiterMemoryIsBounded(t *testing.T) {
	l := NewColdLimiter()
	now := start
	for index := range 10_000 {
		now = now.Add(50 * time.Millisecond)
		l.Take(now, fmt.Sprintf("i-%d", index), 5)
	}
	assert.Assert(t, len(l.sendTimes) <= 128, "%d", len(l.sendTimes))
}

// TestColdLimitInEverySecond runs random sequences of sends, including reductions of the limit.
func TestColdLimitInEverySecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewColdLimiter()
		now, limit := start, rapid.IntRange(0, 8).Draw(t, "limit")
		var sent []time.Time
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 150).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 30).Draw(t, "change") == 0 {
				limit = rapid.IntRange(0, limit).Draw(t, "new limit")
			}
			if !l.Take(now, "i-1", limit) {
				continue
			}
			sent = append(sent, now)
			if got := countWithin(sent, now, time.Second); got > limit {
				t.Fatalf("%d sends in a second, the limit is %d", got, limit)
			}
		}
	})
}
