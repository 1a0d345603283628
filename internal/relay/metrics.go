package relay

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

// metrics counts what the relay has done since the process started, and what it holds. Counting and reading never block:
// the counters are atomics, and the lock is held only to look up a class.
type metrics struct {
	active, poolSize, poolEjected atomic.Int64 // as of the loop's last step
	applied, rejected             atomic.Int64 // configurations

	mu      sync.Mutex
	classes map[string]*classCounters // all classes that any configuration has named
}

// classCounters holds the counters of one class.
type classCounters struct {
	name                              string
	delivered, refused, failed, tries atomic.Int64
}

// forClass returns the counters of a class, and creates them if necessary.
func (m *metrics) forClass(class string) *classCounters {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.classes[class]
	if c == nil {
		if m.classes == nil {
			m.classes = map[string]*classCounters{}
		}
		c = &classCounters{name: class}
		m.classes[class] = c
	}
	return c
}

// write writes all metrics, one per line.
func (m *metrics) write(w io.Writer) {
	m.mu.Lock()
	all := make([]*classCounters, 0, len(m.classes))
	for _, c := range m.classes {
		all = append(all, c)
	}
	m.mu.Unlock()
	slices.SortFunc(all, func(a, b *classCounters) int { return strings.Compare(a.name, b.name) })
	for _, c := range all {
		fmt.Fprintf(w, "relay.ok.%s=%d\nrelay.shed.%s=%d\nrelay.errors.%s=%d\nrelay.tries.%s=%d\n",
			c.name, c.delivered.Load(), c.name, c.refused.Load(), c.name, c.failed.Load(), c.name, c.tries.Load())
	}
	fmt.Fprintf(w, "relay.active=%d\nrelay.pool_size=%d\nrelay.pool_ejected=%d\n",
		m.active.Load(), m.poolSize.Load(), m.poolEjected.Load())
	fmt.Fprintf(w, "relay.config_applied=%d\nrelay.config_rejected=%d\n", m.applied.Load(), m.rejected.Load())
}

// countTry counts a message that was written completely to a host.
func (c *classCounters) countTry() {
	if c != nil {
		c.tries.Add(1)
	}
}

// uncountTry undoes countTry if part of the call turns out not to have been written.
func (c *classCounters) uncountTry() {
	if c != nil {
		c.tries.Add(-1)
	}
}

// messageEnd is how a message ended, for the metrics.
type messageEnd int

const (
	delivered messageEnd = iota
	refused
	failed
	withdrawn // its client disconnected; not counted
)

// count counts the end of a message. Only the first call for a message has an effect.
func (m *message) count(e messageEnd) {
	if m.counted {
		return
	}
	m.counted = true
	m.counters.count(e)
}

// count counts the end of a message of the class.
func (c *classCounters) count(e messageEnd) {
	if c == nil {
		return
	}
	switch e {
	case delivered:
		c.delivered.Add(1)
	case refused:
		c.refused.Add(1)
	case failed:
		c.failed.Add(1)
	}
}
