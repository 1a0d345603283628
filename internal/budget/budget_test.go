package budget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

const service = "advisor"

func requests(b *RetryBudget, now time.Time, count int) {
	for range count {
		b.Request(now, service)
	}
}

func taken(b *RetryBudget, now time.Time, tries int) int {
	count := 0
	for range tries {
		if b.Take(now, service) {
			count++
		}
	}
	return count
}

func TestRetryBudgetAllowsItsRatio(t *testing.T) {
	cases := []struct {
		name     string
		requests int
		slack    int
		wanted   int
	}{
		{"nothing measured", 0, 0, 0},
		{"too few for one", 4, 0, 0},
		{"just one", 5, 0, 1},
		{"twenty", 100, 0, 20},
		{"slack alone", 0, 3, 3},
		{"ratio and slack", 10, 3, 5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := NewRetryBudget(Options{Ratio: 0.2, Window: 10 * time.Second})
			b.SetSlack(service, c.slack)
			requests(b, start, c.requests)
			assert.Equal(t, taken(b, start, 100), c.wanted)
		})
	}
}

func TestRetryBudgetKeepsServicesApart(t *testing.T) {
	b := NewRetryBudget(Options{Ratio: 0.2, Window: 10 * time.Second})
	requests(b, start, 100)
	assert.Assert(t, !b.Take(start, "register"))
	assert.Assert(t, b.Take(start, service))
}

func TestRetryBudgetForgetsWithTheWindow(t *testing.T) {
	b := NewRetryBudget(Options{Ratio: 0.2, Window: 10 * time.Second})
	requests(b, start, 50)
	assert.Equal(t, taken(b, start, 100), 10)
	later := start.Add(11 * time.Second)
	assert.Equal(t, taken(b, later, 1), 0, "requests that left the window pay for nothing")
	requests(b, later, 5)
	assert.Equal(t, taken(b, later, 5), 1, "repeats that left the window are free again")
}

func TestRetryBudgetForgetsServices(t *testing.T) {
	b := NewRetryBudget(Options{Ratio: 0.2, Window: 10 * time.Second})
	b.SetSlack(service, 5)
	b.Keep(func(string) bool { return false })
	assert.Assert(t, !b.Take(start, service))
}

// TestRetryBudgetNeverExceeded plays any order of requests and repeats and counts them anew in every window that ends with a repeat.
func TestRetryBudgetNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * time.Second
		ratio := rapid.Float64Range(0, 1).Draw(t, "ratio")
		slack := rapid.IntRange(0, 5).Draw(t, "slack")
		b := NewRetryBudget(Options{Ratio: ratio, Window: window})
		b.SetSlack(service, slack)
		now := start
		var asked, repeats []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.Request(now, service)
				asked = append(asked, now)
				continue
			}
			if b.Take(now, service) {
				repeats = append(repeats, now)
				most := ratio*float64(within(asked, now, window)) + float64(slack)
				if got := within(repeats, now, window); float64(got) > most {
					t.Fatalf("%d repeats in a window that allows %.1f", got, most)
				}
			}
		}
	})
}

// within counts the times in the window that ends at now.
func within(times []time.Time, now time.Time, window time.Duration) int {
	count := 0
	for _, at := range times {
		if now.Sub(at) < window {
			count++
		}
	}
	return count
}
