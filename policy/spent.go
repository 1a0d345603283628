package policy

import (
	"container/heap"
	"time"
)

// When a message has no attempt left. It gets its final answer at once rather than at its deadline: the client may use the time.

// markMayHaveRun records that an attempt of m, sent at sentAt, may have run, and sets a timer for the end of its deduplication window.
func (s *Sender) markMayHaveRun(m *message, sentAt time.Duration, zone int) {
	m.mayHaveRun, m.runSentAt, m.runZone = true, sentAt, zone
	if m.class.Effect == Keyed {
		heap.Push(&s.timers, timer{m.dedupEnd(), m})
	}
}

// dedupEnd is when the last repeat of a keyed message that may have run must be sent.
func (m *message) dedupEnd() time.Duration { return m.runSentAt + m.class.DedupWindow - deadlineMargin }

// exhausted reports whether mayAttempt can never again allow a send of m, whatever happens to the routes.
func (s *Sender) exhausted(m *message) bool {
	switch {
	case m.ended || len(m.inFlight) > 0:
		return false
	case m.class.Attempts > 0 && m.sends >= m.class.Attempts:
		return true
	}
	return m.mayHaveRun && (m.class.Effect == Unsafe || m.class.Effect == Keyed && s.now >= m.dedupEnd())
}

// giveUp gives a message its final answer: a refusal if the rule of effects allows one.
func (s *Sender) giveUp(m *message) {
	if s.mayRefuse(m) {
		s.refuse(m)
		return
	}
	s.fail(m)
}
