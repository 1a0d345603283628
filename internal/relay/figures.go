package relay

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

// figures are what the relay has done since this process began, and what it holds. Whoever counts or asks waits for
// nobody: the counts are atomics, and the lock is held only to find a class.
type figures struct {
	active, poolSize, poolEjected atomic.Int64 // as of the loop's last step
	applied, rejected             atomic.Int64 // configurations

	mu      sync.Mutex
	classes map[string]*tally // those ever named by a configuration
}

// tally counts for one class.
type tally struct {
	name                    string
	ok, shed, errors, tries atomic.Int64
}

// of returns the tally of a class, a new one at need.
func (f *figures) of(class string) *tally {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.classes[class]
	if t == nil {
		if f.classes == nil {
			f.classes = map[string]*tally{}
		}
		t = &tally{name: class}
		f.classes[class] = t
	}
	return t
}

// write tells all figures, a line each.
func (f *figures) write(w io.Writer) {
	f.mu.Lock()
	all := make([]*tally, 0, len(f.classes))
	for _, t := range f.classes {
		all = append(all, t)
	}
	f.mu.Unlock()
	slices.SortFunc(all, func(a, b *tally) int { return strings.Compare(a.name, b.name) })
	for _, t := range all {
		fmt.Fprintf(w, "relay.ok.%s=%d\nrelay.shed.%s=%d\nrelay.errors.%s=%d\nrelay.tries.%s=%d\n",
			t.name, t.ok.Load(), t.name, t.shed.Load(), t.name, t.errors.Load(), t.name, t.tries.Load())
	}
	fmt.Fprintf(w, "relay.active=%d\nrelay.pool_size=%d\nrelay.pool_ejected=%d\n",
		f.active.Load(), f.poolSize.Load(), f.poolEjected.Load())
	fmt.Fprintf(w, "relay.config_applied=%d\nrelay.config_rejected=%d\n", f.applied.Load(), f.rejected.Load())
}

// tried counts a message written whole to a host.
func (t *tally) tried() {
	if t != nil {
		t.tries.Add(1)
	}
}

// untried takes back a message of whose call not all was written after all.
func (t *tally) untried() {
	if t != nil {
		t.tries.Add(-1)
	}
}

// ending is how a message ended, as the figures have it.
type ending int

const (
	delivered ending = iota
	handedBack
	failed
	withdrawn // its client had left: nobody waits for a count
)

// count books the end of a message, the first that it comes to.
func (m *message) count(e ending) {
	if m.counted {
		return
	}
	m.counted = true
	m.tally.count(e)
}

func (t *tally) count(e ending) {
	if t == nil {
		return
	}
	switch e {
	case delivered:
		t.ok.Add(1)
	case handedBack:
		t.shed.Add(1)
	case failed:
		t.errors.Add(1)
	}
}
