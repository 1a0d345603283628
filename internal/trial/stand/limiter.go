package stand

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"wallflow/internal/trial/load"
)

// Behavior of partners, scaled to the shortened times of the test protocol.
const (
	burstSeconds   = 0.25 // seconds' worth of a rate limit that may be used at once
	queueSeconds   = 0.6  // seconds' worth of a partner's capacity that may wait in its queue
	OverloadWindow = time.Second
	OverloadFactor = 2.0 // a cold partner collapses if it receives more than this multiple of its capacity for OverloadWindow
)

// limiter enforces one rate limit and models the capacity behind it. It belongs to a partner, or to an endpoint if
// endpoints have separate limits.
type limiter struct {
	mu             sync.Mutex
	kind           *load.Kind
	fullLimit      float64 // calls per second unless lowered
	limit          float64 // calls per second at present
	rng            *rand.Rand
	tokens         float64 // of the token bucket, if the kind has no counting window
	refilledAt     time.Time
	windowEnd      time.Time // end of the present counting window
	windowCount    float64
	reportedAt     time.Time // when reportedShare was last updated
	reportInterval time.Duration
	reportedShare  float64
	slots          int // calls processed at once when warm
	busySlots      int
	queued         int
	recoveredAt    time.Time // when it came back from an outage; zero if warm
	recentCalls    []time.Time
	collapsed      bool
}

func newLimiter(k *load.Kind, limit, spareFactor float64, work time.Duration, seed uint64) *limiter {
	l := &limiter{kind: k, fullLimit: limit, limit: limit, rng: rand.New(rand.NewPCG(seed, 0x67617465)), reportedShare: 1}
	l.slots = max(1, int(math.Ceil(limit*spareFactor*work.Seconds())))
	return l
}

// burstLimit returns how many calls the token bucket lets through at once.
func (l *limiter) burstLimit() float64 { return math.Max(2, l.limit*burstSeconds) }

// admit counts a call against the rate limit. If the call is refused, wait is the wait to advise; 0 for none.
func (l *limiter) admit(now time.Time) (ok bool, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	remaining := 0.0
	if window := l.kind.Window.Duration; window > 0 {
		if now.After(l.windowEnd) {
			l.windowEnd, l.windowCount = now.Add(window), 0
		}
		maxCalls := math.Max(1, l.limit*window.Seconds())
		ok = l.windowCount+1 <= maxCalls
		if ok || l.kind.Counted {
			l.windowCount++
		}
		remaining = 1 - l.windowCount/maxCalls
		wait = l.windowEnd.Sub(now)
	} else {
		if l.refilledAt.IsZero() {
			l.tokens = l.burstLimit()
		} else {
			l.tokens = math.Min(l.burstLimit(), l.tokens+now.Sub(l.refilledAt).Seconds()*l.limit)
		}
		l.refilledAt = now
		ok = l.tokens >= 1
		if ok || l.kind.Counted {
			l.tokens = math.Max(-l.burstLimit(), l.tokens-1)
		}
		remaining = l.tokens / l.burstLimit()
		wait = time.Duration((1-l.tokens)/l.limit*float64(time.Second)) + time.Millisecond // at least one token is available by then
	}
	if now.Sub(l.reportedAt) >= l.reportInterval {
		l.reportedAt, l.reportInterval, l.reportedShare = now, drawSpan(l.rng, l.kind.Report), math.Max(0, math.Min(1, remaining))
	}
	if ok || l.rng.Float64() >= l.kind.Tells.Of1 {
		return ok, 0
	}
	return false, max(wait, drawSpan(l.rng, l.kind.Wait))
}

// reportedLoad returns what answers report: the share of the limit that was left at the last update, and the limit.
func (l *limiter) reportedLoad() (remaining, limit float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reportedShare, l.limit
}

// capacityShare returns the share of the full capacity that is available now.
func (l *limiter) capacityShare(now time.Time) float64 {
	if l.recoveredAt.IsZero() {
		return 1
	}
	progress := now.Sub(l.recoveredAt).Seconds() / l.kind.ColdFor.Seconds()
	if l.kind.ColdFor.Duration == 0 || progress >= 1 {
		l.recoveredAt = time.Time{}
		return 1
	}
	return l.kind.ColdFrom.Of1 + (1-l.kind.ColdFrom.Of1)*progress
}

// acquire takes a processing slot, or a place in the queue if all slots are busy. ok is false if the queue is full as
// well. collapsed is true if this call made the partner collapse.
func (l *limiter) acquire(now time.Time) (ok, queued, collapsed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.collapsed {
		return false, false, false
	}
	capacity := l.capacityShare(now)
	if capacity < 1 {
		l.recentCalls = append(l.recentCalls, now)
		for len(l.recentCalls) > 0 && now.Sub(l.recentCalls[0]) > OverloadWindow {
			l.recentCalls = l.recentCalls[1:]
		}
		// The rate limit equals the capacity when warm.
		if maxCalls := OverloadFactor * capacity * l.limit * OverloadWindow.Seconds(); now.Sub(l.recoveredAt) > OverloadWindow &&
			float64(len(l.recentCalls)) > maxCalls+2 {
			l.collapsed = true
			return false, false, true
		}
	}
	slots := max(1, int(float64(l.slots)*capacity))
	if l.busySlots < slots {
		l.busySlots++
		return true, false, false
	}
	if float64(l.queued) >= math.Max(2, queueSeconds*float64(l.slots)/0.075) { // 75 ms is the usual processing time of a call
		return false, false, false
	}
	l.queued++
	return true, true, false
}

// startQueued moves a call from the queue to a slot, if one is free.
func (l *limiter) startQueued(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.busySlots >= max(1, int(float64(l.slots)*l.capacityShare(now))) {
		return false
	}
	l.queued--
	l.busySlots++
	return true
}

// leaveQueue removes a call from the queue.
func (l *limiter) leaveQueue() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queued--
}

func (l *limiter) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.busySlots--
}

// setLimitShare sets the limit to a share of the full one.
func (l *limiter) setLimitShare(share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = l.fullLimit * share
}

// startCold marks the end of an outage: capacity starts low and rises.
func (l *limiter) startCold(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recoveredAt, l.recentCalls = now, nil
}

// drawSpan draws a duration from a span, uniformly.
func drawSpan(rng *rand.Rand, s load.Span) time.Duration {
	return s.Low.Duration + time.Duration(rng.Float64()*float64(s.High.Duration-s.Low.Duration))
}
