package control

import (
	"sync"
	"time"
)

const (
	// maxPause is the time between two ticks from which on the process counts as having stood still. It is shorter than the time after
	// which an operator gives up a call and sends it elsewhere.
	maxPause = 500 * time.Millisecond
	// acceptDelay bounds the time after a pause in which connections are accepted that were opened during it.
	acceptDelay = 500 * time.Millisecond
)

// knownChanges is the number of changes of the configuration (config.State.Changes) that this process knows of. It dates connections: a
// request is newer than the changes that were known before its connection was opened. The kernel opens connections while the process
// stands still, and their requests may wait for as long.
type knownChanges struct {
	mu          sync.Mutex
	current     uint64
	lastTick    time.Time
	atLastTick  uint64
	pauseEnd    time.Time // when the process noticed that it had stood still
	beforePause uint64    // known before that
}

func newKnownChanges(now time.Time) *knownChanges {
	return &knownChanges{lastTick: now, pauseEnd: now.Add(-acceptDelay)}
}

// learn records that a number of changes has been made, as the state or the answer to an order says.
func (k *knownChanges) learn(changes uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.current = max(k.current, changes)
}

// now returns the number of changes that are known at this moment.
func (k *knownChanges) now() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.current
}

// tick notices pauses of the process. It is called every tickInterval.
func (k *knownChanges) tick(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now.Sub(k.lastTick) >= maxPause {
		k.pauseEnd, k.beforePause = now, k.atLastTick
	}
	k.lastTick, k.atLastTick = now, k.current
}

// beforeAccept returns a number of changes that were known before a connection was opened which is accepted now.
func (k *knownChanges) beforeAccept(now time.Time) uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case now.Sub(k.lastTick) >= maxPause: // the pause has ended just now
		return k.atLastTick
	case now.Sub(k.pauseEnd) < acceptDelay:
		return k.beforePause
	}
	return k.current
}
