package budget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

const service = "advisor"

// countRequests counts a number of requests at once.
func countRequests(b *RetryBudget, now time.Time, count int) {
	for range count {
		b.CountRequest(now, service)
	}
}

// takeRetries asks for a number of retries and returns how many were allowed.
func takeRetries(b *RetryBudget, now time.Time, attempts int) int {
	count := 0
	for range attempts {
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
		{"no requests", 0, 0, 0},
		{"too few requests for one retry", 4, 0, 0},
		{"one retry", 5, 0, 1},
		{"twenty retries", 100, 0, 20},
		{"only slack", 0, 3, 3},
		{"ratio and slack", 10, 3, 5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := NewRetryBudget(Options{Ratio: 0.2, Window: 10 * time.Second})
			b.SetSlack(service, c.slack)
			countRequests(b, start, c.requests)
			assert.Equal(t, takeRetries(b, start, 100), c.wanted)
		})
	}
}

func TestRetryBudgetKeepsServicesApart(t *testing.T) {
	b := NewRetryBudget(Options{Ratio: 0.2, Window: 10 * time.Second})
	countRequests(b, start, 100)
	assert.Assert(t, !b.Take(start, "register"))
	assert.Assert(t, b.Take(start, service))
}

func TestRetryBudgetFollowsItsWindow(t *testing.T) {
	b := NewRetryBudget(Options{Ratio: 0.2, Window: 10 * time.Second})
	countRequests(b, start, 50)
	assert.Equal(t, takeRetries(b, start, 100), 10)
	later := start.Add(11 * time.Second)
	assert.Equal(t, takeRetries(b, later, 1), 0, "requests that left the window allow no retries")
	countRequests(b, later, 5)
	assert.Equal(t, takeRetries(b, later, 5), 1, "retries that left the window no longer count")
}

func TestRetryBudgetForgetsServices(t *testing.T) {
	b := NewRetryBudget(Options{Ratio: 0.2, Window: 10 * time.Second})
	b.SetSlack(service, 5)
	b.Retain(func(string) bool { return false })
	assert.Assert(t, !b.Take(start, service))
}

// TestRetryBudgetNeverExceeded runs random sequences of requests and retries, and counts both in every window that ends with a retry.
func TestRetryBudgetNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * time.Second
		ratio := rapid.Float64Range(0, 1).Draw(t, "ratio")
		slack := rapid.IntRange(0, 5).Draw(t, "slack")
		b := NewRetryBudget(Options{Ratio: ratio, Window: window})
		b.SetSlack(service, slack)
		now := start
		var requests, retries []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.CountRequest(now, service)
				requests = append(requests, now)
				continue
			}
			if b.Take(now, service) {
				retries = append(retries, now)
				allowed := ratio*float64(countWithin(requests, now, window)) + float64(slack)
				if got := countWithin(retries, now, window); float64(got) > allowed {
					t.Fatalf("%d retries in a window that allows %.1f", got, allowed)
				}
			}
		}
	})
}

// countWithin returns the number of times within the window that ends at now.
func countWithin(times []time.Time, now time.Time, window time.Duration) int {
	count := 0
	for _, at := range times {
		if now.Sub(at) < window {
			count++
		}
	}
	return count
}
