package budget

import "time"

const (
	// coldWindow is the time for which the limit of a cold endpoint holds.
	coldWindow = time.Second
	// coldWindowMargin is added to the window because network latency varies: requests may arrive closer together than they were sent.
	coldWindowMargin = 20 * time.Millisecond
	// maxColdOwners is the number of relays that may consider themselves the owner of an endpoint while ownership moves.
	maxColdOwners = 2
	// minSweepSize is the minimum number of endpoints at which idle ones are dropped.
	minSweepSize = 16
)

// ColdBound is the limit of requests to a cold endpoint: PerSecond*Overshoot + Slack in any second, over all relays.
type ColdBound struct {
	PerSecond float64 // configured for the service
	Overshoot float64 // factor of the limit
	Slack     float64 // added to the limit
}

// Total returns the limit.
func (b ColdBound) Total() float64 { return b.PerSecond*b.Overshoot + b.Slack }

// PerOwner returns the number of requests that one owner may send to an endpoint in any second: less than half of the limit, since
// there may be two owners while ownership moves, and never more than the configured PerSecond.
func (b ColdBound) PerOwner() int {
	share := int(b.Total()/maxColdOwners) - 1
	return max(0, min(share, int(b.PerSecond)))
}

// ColdLimiter limits the rate of requests that this relay sends to each cold endpoint. Use NewColdLimiter to create one.
type ColdLimiter struct {
	sendTimes map[string]*timeRing // by instance ID
	sweepSize int                  // number of endpoints at which idle ones are dropped next
}

// timeRing is a ring of the times of the last sends to one endpoint.
type timeRing struct {
	times []time.Time
	next  int // index of the oldest time, which is overwritten next
}

// NewColdLimiter returns a limiter without recorded sends.
func NewColdLimiter() *ColdLimiter {
	return &ColdLimiter{sendTimes: map[string]*timeRing{}}
}

// Take reports whether one more request may be sent to an instance, and records it if so. A request may be sent if fewer than limit
// requests were sent within the last coldWindow plus coldWindowMargin.
func (l *ColdLimiter) Take(now time.Time, instanceID string, limit int) bool {
	if limit < 1 || l.NextAt(now, instanceID, limit).After(now) {
		return false
	}
	l.sweep(now)
	ring := l.sendTimes[instanceID]
	if ring == nil || len(ring.times) != limit {
		ring = resizedRing(ring, limit)
		l.sendTimes[instanceID] = ring
	}
	ring.times[ring.next] = now
	ring.next = (ring.next + 1) % limit
	return true
}

// NextAt returns the time from which the next send to an instance is allowed: now or later.
func (l *ColdLimiter) NextAt(now time.Time, instanceID string, limit int) time.Time {
	ring := l.sendTimes[instanceID]
	if ring == nil {
		return now
	}
	oldest := ring.nthLatest(limit)
	if oldest.IsZero() {
		return now
	}
	if allowedAt := oldest.Add(coldWindow + coldWindowMargin); allowedAt.After(now) {
		return allowedAt
	}
	return now
}

// sweep drops the endpoints to which nothing was sent within the window, once their number reaches sweepSize. The others are kept even if
// they are warm or gone by now, since they may be cold again within the window.
func (l *ColdLimiter) sweep(now time.Time) {
	if len(l.sendTimes) < l.sweepSize {
		return
	}
	for id, ring := range l.sendTimes {
		if now.Sub(ring.nthLatest(1)) > coldWindow+coldWindowMargin {
			delete(l.sendTimes, id)
		}
	}
	l.sweepSize = 2*len(l.sendTimes) + minSweepSize
}

// nthLatest returns the time of the n-th latest send, or the zero time if the ring is shorter or has fewer sends.
func (r *timeRing) nthLatest(n int) time.Time {
	size := len(r.times)
	if n > size {
		return time.Time{}
	}
	return r.times[(r.next+size-n)%size]
}

// resizedRing returns a ring of another size with the newest send times of a ring, which may be nil.
func resizedRing(ring *timeRing, size int) *timeRing {
	copied := &timeRing{times: make([]time.Time, size)}
	if ring == nil {
		return copied
	}
	for n := min(size, len(ring.times)); n >= 1; n-- {
		copied.times[copied.next] = ring.nthLatest(n)
		copied.next = (copied.next + 1) % size
	}
	return copied
}
