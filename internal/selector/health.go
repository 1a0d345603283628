package selector

import (
	"math"
	"math/bits"
	"time"
)

const (
	maxFailureStreak  = 3 // failures in a row after which an endpoint is skipped
	maxRecentFailures = 5 // failures among the last eight outcomes after which it is skipped
	// An answer is overdue after overdueFactor times the expected time plus minOverdueDelay.
	overdueFactor   = 2
	minOverdueDelay = 400 * time.Millisecond
	// failureCostMs is the cost in milliseconds that each recent failure adds to an endpoint, and failureHalfLife the
	// half-life of that cost.
	failureCostMs   = 300
	failureHalfLife = 5 * time.Second
)

// health is what the outcomes at an endpoint say about it.
type health struct {
	failureStreak  int       // failures in a row: connections not made or broken, and timeouts
	recentOutcomes uint8     // last eight outcomes, the newest in the lowest bit; 1: failure
	lastReceivedAt time.Time // when data was last received from the endpoint
	restoredAt     time.Time // first success after the last skip
	lastFailureAt  time.Time // of the newest failure
}

// recordReceived records that data was received from the endpoint, which ends a streak of failures.
func (h *health) recordReceived(now time.Time) {
	h.lastReceivedAt = now
	h.failureStreak = 0
}

func (h *health) recordSuccess() { h.recentOutcomes <<= 1 }

func (h *health) recordFailure(now time.Time) {
	h.recentOutcomes = h.recentOutcomes<<1 | 1
	h.lastFailureAt = now
}

// penaltyMs is the cost, in milliseconds, that recent failures add to an endpoint. In a large fleet a relay uses a
// bad endpoint too seldom to skip it, and an endpoint that fails at once looks idle.
func (h *health) penaltyMs(now time.Time) float64 {
	if h.recentOutcomes == 0 {
		return 0
	}
	decay := math.Exp2(-now.Sub(h.lastFailureAt).Seconds() / failureHalfLife.Seconds())
	return failureCostMs * float64(bits.OnesCount8(h.recentOutcomes)) * decay
}

// mostlyFailing reports whether most of the recent outcomes were failures.
func (h *health) mostlyFailing() bool { return bits.OnesCount8(h.recentOutcomes) >= maxRecentFailures }

// overdueAt is when an attempt without an answer counts as overdue.
func (a *Attempt) overdueAt() time.Time {
	return a.sentAt.Add(overdueFactor*a.expectedFirstByte() + minOverdueDelay)
}

// countOverdue counts the overdue attempts at an endpoint from which nothing was received since they were sent. It
// starts from the oldest, and counts up to limit.
func (e *endpoint) countOverdue(now time.Time, limit int) int {
	count := 0
	for attempt := e.load.firstUnanswered; attempt != nil && count < limit; attempt = attempt.next {
		if !now.After(attempt.overdueAt()) || !e.health.lastReceivedAt.Before(attempt.sentAt) {
			return count
		}
		count++
	}
	return count
}

// isHanging reports whether as many attempts are overdue as failures in a row skip an endpoint.
func (e *endpoint) isHanging(now time.Time) bool {
	return e.countOverdue(now, maxFailureStreak) >= maxFailureStreak
}
