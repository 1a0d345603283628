package policy

import (
	"math"
	"time"
)

// Whether this process is there for clients: what its door does while it serves, drains, or ends. The sockets carry
// it out. A drain and an end are one table of times each; the later event decides, but for an end, which is final.

// Door is what the client side does now.
type Door struct {
	Ready   bool          // health says yes
	Keep    bool          // an answer leaves its connection open
	IdleFor time.Duration // connections without a request for longer are closed; negative: none are
	Listen  bool          // new connections are taken
	Send    bool          // calls may leave
	Over    bool          // the process ends
}

// open is the door of a relay that serves.
var open = Door{Ready: true, Keep: true, IdleFor: -1, Listen: true, Send: true}

// stage is what the door does from some time after an event.
type stage struct {
	after time.Duration
	door  Door
}

// standby drains: whoever sends clients asks health every 0.1 s and goes on sending for a while after the first no.
// A connection that is in use ends with its next answer, one that is idle once no client is likely to be using it;
// none is left 4 s after the call.
var standby = []stage{
	{0, Door{IdleFor: spareFor, Listen: true, Send: true}},
	{drainIdle, Door{Listen: true, Send: true}},
}

// ending is the planned end, from SIGTERM; SIGKILL comes no sooner than 3.7 s after it. New connections go on coming
// for up to 0.4 s, so that what crosses the close of an idle connection is still let in.
var ending = []stage{
	{0, Door{Listen: true, Send: true}},
	{500 * time.Millisecond, Door{Send: true}},
	{2200 * time.Millisecond, Door{}}, // a call made later would be cut off with no outcome
	{3300 * time.Millisecond, Door{Over: true}},
}

// handed is what a process does whose relay is another one's: it serves the connections that clients keep until
// they are done with, and stays in case the other dies. leaving is its end.
var (
	handed  = []stage{{0, Door{IdleFor: spareFor}}}
	leaving = []stage{{0, Door{}}, {3300 * time.Millisecond, Door{Over: true}}}
)

const (
	spareFor  = 1500 * time.Millisecond // a kept connection that stood idle for so long may be closed in a drain
	drainIdle = 2500 * time.Millisecond // and any that is idle so long after its start
)

// duty is where the process stands in its table.
type duty struct {
	table []stage // nil: it serves
	since time.Duration
	told  Door
}

// is tells whether a table is under way.
func (d *duty) is(table []stage) bool {
	return len(d.table) == len(table) && (len(table) == 0 || &d.table[0] == &table[0])
}

// turnTo begins a table; a nil one serves. A second call for what is under way changes nothing, an end is final, and
// neither brings back a relay that was handed over.
func (s *Sender) turnTo(table []stage) {
	d := &s.duty
	switch to := (&duty{table: table}); {
	case d.is(table) || d.is(leaving):
	case to.is(handed) && d.is(ending):
		d.table = leaving // by the time of the signal
	case d.is(handed) && to.is(ending):
		d.table, d.since = leaving, s.now
	case !d.is(handed) && !d.is(ending):
		d.table, d.since = table, s.now
	}
}

// attend tells the door where a time of its table has come, or an event changed it.
func (s *Sender) attend() {
	now, next := open, time.Duration(math.MaxInt64)
	for _, t := range s.duty.table {
		if at := s.duty.since + t.after; at <= s.now {
			now = t.door
		} else {
			next = min(next, at)
		}
	}
	s.wake(next)
	if now != s.duty.told {
		s.duty.told = now
		s.act(Action{Kind: Attend, Door: now})
	}
}
