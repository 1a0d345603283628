package policy

import "time"

// How long a call may take before it times out.

const maxSlowFactor = 12 // mean response times that a response of a slow route may take

// expectedTime is how long a response of a route may take: its mean plus devs mean deviations.
func (s *Sender) expectedTime(r *route, devs int) time.Duration {
	if r.mean == 0 {
		return 2 * minExpectedTime
	}
	return max(minExpectedTime, r.mean+time.Duration(devs)*r.dev)
}

// slowTimeout is how long a route that has become slow may still take: maxSlowFactor times its mean response time, or half of the target
// time if that is less or no mean is known. Prevents calls with no response from holding slots for many times the longest response time.
func slowTimeout(m *message, mean time.Duration) time.Duration {
	if mean == 0 {
		return m.class.Aim / 2
	}
	return min(m.class.Aim/2, maxSlowFactor*mean)
}

// attemptTimeout is when an attempt times out: it follows the route's response times, with at most half of the time left. An unsafe
// message has no second attempt and waits twice as long; a trial of a skipped route has the shortest timeout.
func (s *Sender) attemptTimeout(m *message, r *route) time.Duration {
	left, slowLimit := m.deadline-s.now, slowTimeout(m, r.mean)
	timeout := max(s.expectedTime(r, timeoutDevs), slowLimit)
	if m.class.Effect == Keyed && !m.class.GroupAll {
		timeout = max(timeout, 2*slowLimit) // its repeats are bound to the routes of one zone
	}
	if s.cfg.Slots > 0 && 2*s.usedSlots > s.cfg.Slots {
		timeout = min(timeout, 2*slowTimeout(m, r.responseMean)) // timeouts do not count here
	}
	if r.skipped {
		timeout = slowLimit
	}
	if m.class.Effect == Unsafe {
		return s.now + min(left, 2*timeout)
	}
	// If half of the time is less than a response may take, one attempt has all of it.
	if left/2 >= s.expectedTime(r, overdueDevs) {
		left /= 2
	}
	return s.now + min(left, timeout)
}
