package policy

import (
	"math"
	"time"
)

// Whether this process serves clients: what its client side does while it serves, drains or ends. The listener and the client connections
// carry it out. A drain and an end are a table of stages each; the latest event decides, except that an end is final.

// ListenerState is what the client side does now.
type ListenerState struct {
	Ready       bool          // the health check succeeds
	KeepAlive   bool          // an answer keeps its connection open
	IdleTimeout time.Duration // connections without a request for longer are closed; negative: none
	Listen      bool          // new connections are accepted
	Send        bool          // calls may be sent
	Exit        bool          // the process exits
}

// servingState is the state of a relay that serves.
var servingState = ListenerState{Ready: true, KeepAlive: true, IdleTimeout: -1, Listen: true, Send: true}

// stage is the state from some time after an event.
type stage struct {
	after time.Duration
	state ListenerState
}

// drainStages drain the process: load balancers check health every 0.1 s and go on sending clients for a while after
// the first failure. A connection in use is closed with its next answer, an idle one when no client is likely to be
// using it any more; none is left 4 s after the event.
var drainStages = []stage{
	{0, ListenerState{IdleTimeout: drainIdleTimeout, Listen: true, Send: true}},
	{drainIdleCloseDelay, ListenerState{Listen: true, Send: true}},
}

// endStages are the planned end, from SIGTERM; SIGKILL comes no sooner than 3.7 s after it. New connections still
// arrive for up to 0.4 s, so a request that crosses the close of an idle connection is still accepted.
var endStages = []stage{
	{0, ListenerState{Listen: true, Send: true}},
	{500 * time.Millisecond, ListenerState{Send: true}},
	{2200 * time.Millisecond, ListenerState{}}, // a call sent later would be cut off without an outcome
	{3300 * time.Millisecond, ListenerState{Exit: true}},
}

// handedOverStages apply once another process has taken over: the client connections that are still open are served until
// they end, and the process stays in case the other one dies. leaveStages end it.
var (
	handedOverStages = []stage{{0, ListenerState{IdleTimeout: drainIdleTimeout}}}
	leaveStages      = []stage{{0, ListenerState{}}, {3300 * time.Millisecond, ListenerState{Exit: true}}}
)

const (
	drainIdleTimeout    = 1500 * time.Millisecond // a connection idle for longer may be closed in a drain
	drainIdleCloseDelay = 2500 * time.Millisecond // this long after the start of a drain, any idle connection is closed
)

// lifecycle is the table of stages in effect and the state of the client side.
type lifecycle struct {
	stages []stage // nil: it serves
	since  time.Duration
	state  ListenerState
}

// running reports whether a table of stages is in effect.
func (l *lifecycle) running(stages []stage) bool {
	return len(l.stages) == len(stages) && (len(stages) == 0 || &l.stages[0] == &stages[0])
}

// startStages begins a table of stages; nil serves. Beginning the one in effect again changes nothing, an end is final,
// and neither a drain nor a return to service undoes a handover.
func (s *Sender) startStages(stages []stage) {
	l := &s.lifecycle
	switch next := (&lifecycle{stages: stages}); {
	case l.running(stages) || l.running(leaveStages):
	case next.running(handedOverStages) && l.running(endStages):
		l.stages = leaveStages // timed from the signal
	case l.running(handedOverStages) && next.running(endStages):
		l.stages, l.since = leaveStages, s.now
	case !l.running(handedOverStages) && !l.running(endStages):
		l.stages, l.since = stages, s.now
	}
}

// updateListener emits the state of the client side when a stage begins or an event changed the stages.
func (s *Sender) updateListener() {
	state, next := servingState, time.Duration(math.MaxInt64)
	for _, t := range s.lifecycle.stages {
		if at := s.lifecycle.since + t.after; at <= s.now {
			state = t.state
		} else {
			next = min(next, at)
		}
	}
	s.requestWake(next)
	if state != s.lifecycle.state {
		s.lifecycle.state = state
		s.emit(Action{Kind: SetListener, Listener: state})
	}
}
