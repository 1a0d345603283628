package relay

import (
	"log/slog"
	"time"
)

// recoveryCounts counts the messages that a process recovered from the log, and how they ended. An unsent message, one that
// has certainly not run, must be attempted before its deadline.
type recoveryCounts struct {
	found, unsent int // all recovered messages, and the unsent ones among them
	attempted     int // unsent ones that ended after an attempt of this process
	endedEarly    int // unsent ones that ended without an attempt before their deadline
	expired       int // unsent ones that ended without an attempt at their deadline
	mayHaveRun    int // others that have ended
}

// countEnd counts the end of a recovered message.
func (c *recoveryCounts) countEnd(m *message, now time.Time) {
	switch {
	case m.mayHaveRun:
		c.mayHaveRun++
	case m.attempted:
		c.attempted++
	case now.Before(m.Deadline.Add(-deadlineMargin)):
		c.endedEarly++
	default:
		c.expired++
	}
}

// deadlineMargin is how long before its deadline a message may already be ended as expired.
const deadlineMargin = 50 * time.Millisecond

// remaining returns the number of recovered messages that have not ended.
func (c *recoveryCounts) remaining() int {
	return c.found - c.attempted - c.endedEarly - c.expired - c.mayHaveRun
}

// LogValue returns the counts as one group.
func (c recoveryCounts) LogValue() slog.Value {
	return slog.GroupValue(slog.Int("found", c.found), slog.Int("untried", c.unsent), slog.Int("called", c.attempted),
		slog.Int("no_call_early", c.endedEarly), slog.Int("no_call_in_time", c.expired), slog.Int("may_have_run", c.mayHaveRun))
}
