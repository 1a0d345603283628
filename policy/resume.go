package policy

import (
	"container/heap"
	"time"
)

// What a real relay needs beyond the simulator's events: messages that outlast a process, and calls that take
// time to leave.

const owedFrom, owedUntil = 0.25, 0.75 // of its time left: when a message of the journal is called at the latest

// resume gives a message what an earlier process knew of it, so that the guards hold across a restart. Guards
// also against a backlog that a fresh Sender, free of any pace, would pour onto hosts as one: the pace of its
// destination starts at this sender's part.
func (s *Sender) resume(m *message, e *Resumed) {
	if e == nil {
		return
	}
	m.sends = e.Attempts
	if e.Ran {
		s.mark(m, s.now-e.RanAgo, e.RanZone)
	}
	if s.spent(m) {
		heap.Push(&s.ends, end{s.now, m}) // ends in this step
	}
	if m.turn != nil && e.Ran {
		m.turn.rest = max(m.turn.rest, s.now+s.set.OrderPause) // a call out when the process ended may still run
	}
	for _, g := range m.dest.gates {
		if g.pace == 0 {
			s.paced(g)
		}
	}
	// What the journal holds and has surely not run is called whatever the pace: at a time drawn for each, so that a fleet
	// that comes back as one does not pour its journals out as one.
	if left := m.deadline - s.now; !m.ran && left > 0 {
		m.tryAt = s.now + time.Duration((owedFrom+(owedUntil-owedFrom)*s.rng.Float64())*float64(left))
	}
}

// MayStill tells whether a message may leave for a route at now, though its call was decided earlier. Guards against
// one that was held up, by a slow connection say, while a drain or a wait was told or repeats stopped being dropped.
func (s *Sender) MayStill(id uint32, route string, now time.Duration) bool {
	r, m := s.routes[route], s.msgs[id]
	if r == nil || !r.InService || now < r.gate.wait || !s.duty.told.Send || m == nil || m.ended {
		return false
	}
	return !m.ran || m.class.Effect == Safe || now < m.windowEnd()
}
