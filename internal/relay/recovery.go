package relay

import (
	"log/slog"
	"time"
)

// recovery counts what a process found taken on, and what came of it: what was untried is owed a try while its time lasts.
type recovery struct {
	found, untried int // those that have surely not run are untried
	called         int // of the untried: by this process
	early          int // of the untried: ended with no call before their time was up
	late           int // of the untried: ended with no call once it was
	other          int // ended, of those that may have run
}

// ended counts the end of one.
func (c *recovery) ended(m *message, now time.Time) {
	switch {
	case m.foundRan:
		c.other++
	case m.called:
		c.called++
	case now.Before(m.Deadline.Add(-endRoom)):
		c.early++
	default:
		c.late++
	}
}

// endRoom is how long before its time a message may be ended because that is up.
const endRoom = 50 * time.Millisecond

// left is how many have not ended.
func (c *recovery) left() int { return c.found - c.called - c.early - c.late - c.other }

// LogValue writes the counts as one group.
func (c recovery) LogValue() slog.Value {
	return slog.GroupValue(slog.Int("found", c.found), slog.Int("untried", c.untried), slog.Int("called", c.called),
		slog.Int("no_call_early", c.early), slog.Int("no_call_in_time", c.late), slog.Int("may_have_run", c.other))
}
