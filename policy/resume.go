package policy

import (
	"container/heap"
	"time"
)

// What a real relay needs beyond the simulator's events: messages that outlive a process, and calls whose sending is delayed.

const resumeEarliest, resumeLatest = 0.25, 0.75 // range of the latest send of a journaled message, as fractions of its time left

// restoreMessageState applies what a previous process knew of a message, so that the sending rules hold across a
// restart. It also prevents a backlog from reaching hosts in one burst from a new Sender without pacing rates: the
// pacing of its destination starts at this sender's share.
func (s *Sender) restoreMessageState(m *message, e *Resumed) {
	if e == nil {
		return
	}
	m.sends = e.Attempts
	if e.MayHaveRun {
		s.markMayHaveRun(m, s.now-e.SentAgo, e.SentZone)
	}
	if s.exhausted(m) {
		heap.Push(&s.timers, timer{s.now, m}) // handled in this step
	}
	if m.keyQueue != nil && e.MayHaveRun {
		m.keyQueue.pausedUntil = max(m.keyQueue.pausedUntil, s.now+s.cfg.OrderPause) // a call in flight at the end of the process may run
	}
	for _, sc := range m.dest.scopes {
		if sc.pacingRate == 0 {
			s.startAtFairShare(sc)
		}
	}
	// A journaled message that has certainly not run is sent whatever the pacing rate, at a random time, so that a fleet
	// that restarts as one does not send its journals in one burst.
	if left := m.deadline - s.now; !m.mayHaveRun && left > 0 {
		m.unpacedAt = s.now + time.Duration((resumeEarliest+(resumeLatest-resumeEarliest)*s.rng.Float64())*float64(left))
	}
}

// MayStillSend reports whether a message may still be sent to a route at now, though its call was decided earlier. Prevents
// a call delayed by a slow connection, for example, from leaving after a drain or a retry-after was announced, or after
// the destination stopped dropping duplicates.
func (s *Sender) MayStillSend(id uint32, route string, now time.Duration) bool {
	r, m := s.routes[route], s.msgs[id]
	if r == nil || !r.InService || now < r.scope.waitUntil || !s.lifecycle.state.Send || m == nil || m.ended {
		return false
	}
	return !m.mayHaveRun || m.class.Effect == Safe || now < m.dedupEnd()
}
