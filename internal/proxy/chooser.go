package proxy

import (
	"sync"
	"time"

	"wallflow/internal/selector"
)

// Chooser decides to which endpoint a request is sent, and learns how each attempt ended. Its methods are called with
// Options.Lock held. selector.Selector implements it.
type Chooser interface {
	// Choose decides what to do next with a request.
	Choose(now time.Time, request *selector.Request) selector.Decision
	// FirstByte reports that a response, or the first event of a stream, has arrived.
	FirstByte(now time.Time, attempt *selector.Attempt)
	// Done reports how an attempt ended.
	Done(now time.Time, attempt *selector.Attempt, outcome selector.Outcome)
	// Report passes on what an endpoint reports about its state.
	Report(now time.Time, instanceID string, report selector.EngineReport)
	// Abandon removes a request that no longer waits for an endpoint.
	Abandon(request *selector.Request)
	// Woken returns the waiting requests for which Choose is to be called again, each once.
	Woken() []*selector.Request
}

// lockedChooser calls a Chooser under its lock, and after each call wakes the requests that need not wait any longer.
type lockedChooser struct {
	lock    sync.Locker
	chooser Chooser
	now     func() time.Time
}

func (c *lockedChooser) choose(request *selector.Request) selector.Decision {
	c.lock.Lock()
	defer c.wakeAndUnlock()
	return c.chooser.Choose(c.now(), request)
}

func (c *lockedChooser) firstByte(attempt *selector.Attempt) {
	c.lock.Lock()
	defer c.wakeAndUnlock()
	c.chooser.FirstByte(c.now(), attempt)
}

func (c *lockedChooser) done(attempt *selector.Attempt, outcome selector.Outcome) {
	c.lock.Lock()
	defer c.wakeAndUnlock()
	c.chooser.Done(c.now(), attempt, outcome)
}

func (c *lockedChooser) report(instanceID string, report selector.EngineReport) {
	c.lock.Lock()
	defer c.wakeAndUnlock()
	c.chooser.Report(c.now(), instanceID, report)
}

func (c *lockedChooser) abandon(request *selector.Request) {
	c.lock.Lock()
	defer c.wakeAndUnlock()
	c.chooser.Abandon(request)
}

// wakeAndUnlock wakes the requests that Woken returns, and releases the lock.
func (c *lockedChooser) wakeAndUnlock() {
	WakeAll(c.chooser)
	c.lock.Unlock()
}

// WakeAll wakes the waiting requests for which the Chooser is to be called again. Code outside this package that changes the
// state of a Chooser calls it afterwards, with the lock held.
func WakeAll(chooser Chooser) {
	for _, request := range chooser.Woken() {
		if request.Waiter != nil {
			request.Waiter.Wake()
		}
	}
}

var _ Chooser = (*selector.Selector)(nil)
