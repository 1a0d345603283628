package budget

import "time"

const (
	coldWindow = time.Second
	// coldMargin widens the window, for the time that a request travels may vary.
	coldMargin = 20 * time.Millisecond
	// coldOwners is how many relays may believe for a moment that they own an endpoint.
	coldOwners = 2
	sweepLeast = 16
)

// ColdBound is how many requests a cold endpoint bears.
type ColdBound struct {
	PerSecond float64 // what the service's configuration names
	Overshoot float64 // factor of the rule
	Slack     float64 // addend of the rule
}

// PerOwner is how many requests one owner may send to an endpoint in any second: less than half of the rule's bound, since there
// may be two owners while ownership moves, and never more than the endpoint is configured for.
func (b ColdBound) PerOwner() int {
	share := int((b.PerSecond*b.Overshoot+b.Slack)/coldOwners) - 1
	return max(0, min(share, int(b.PerSecond)))
}

// ColdLimiter counts the requests that this relay sends to cold endpoints. The zero value is not ready: use NewColdLimiter.
type ColdLimiter struct {
	sends   map[string]*recent
	sweepAt int // number of endpoints at which those without a send of late are dropped
}

// recent holds the times of the last sends to one endpoint, in a ring.
type recent struct {
	times []time.Time
	next  int // the oldest, overwritten next
}

// NewColdLimiter returns a limiter with nothing counted.
func NewColdLimiter() *ColdLimiter {
	return &ColdLimiter{sends: map[string]*recent{}}
}

// Take asks for one send to an instance, and counts it if fewer than most were sent in the second before now.
func (l *ColdLimiter) Take(now time.Time, instanceID string, most int) bool {
	if most < 1 || l.NextAt(now, instanceID, most).After(now) {
		return false
	}
	l.sweep(now)
	ring := l.sends[instanceID]
	if ring == nil || len(ring.times) != most {
		ring = resized(ring, most)
		l.sends[instanceID] = ring
	}
	ring.times[ring.next] = now
	ring.next = (ring.next + 1) % most
	return true
}

// NextAt is when the next send to an instance is allowed: now, or later.
func (l *ColdLimiter) NextAt(now time.Time, instanceID string, most int) time.Time {
	ring := l.sends[instanceID]
	if ring == nil {
		return now
	}
	oldest := ring.last(most)
	if oldest.IsZero() {
		return now
	}
	if free := oldest.Add(coldWindow + coldMargin); free.After(now) {
		return free
	}
	return now
}

// sweep drops the endpoints that got nothing within the window. They may be warm or gone, or cold again within it, so that nothing
// is dropped sooner.
func (l *ColdLimiter) sweep(now time.Time) {
	if len(l.sends) < l.sweepAt {
		return
	}
	for id, ring := range l.sends {
		if now.Sub(ring.last(1)) > coldWindow+coldMargin {
			delete(l.sends, id)
		}
	}
	l.sweepAt = 2*len(l.sends) + sweepLeast
}

// last is the time of the send that lies so many sends back, the zero time if there were fewer.
func (r *recent) last(back int) time.Time {
	size := len(r.times)
	if back > size {
		return time.Time{}
	}
	return r.times[(r.next+size-back)%size]
}

// resized copies the newest sends of a ring into one of another size.
func resized(ring *recent, size int) *recent {
	grown := &recent{times: make([]time.Time, size)}
	if ring == nil {
		return grown
	}
	for back := min(size, len(ring.times)); back >= 1; back-- {
		grown.times[grown.next] = ring.last(back)
		grown.next = (grown.next + 1) % size
	}
	return grown
}
