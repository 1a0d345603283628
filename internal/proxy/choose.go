package proxy

import (
	"sync"
	"time"

	"wallflow/internal/selector"
)

// Chooser decides where requests are sent and learns how that went. It is called with Options.Lock held. A selector.Selector is
// one.
type Chooser interface {
	// Choose says what happens next to a request.
	Choose(now time.Time, request *selector.Request) selector.Decision
	// FirstByte takes that an answer, or the first event of one, has come.
	FirstByte(now time.Time, attempt *selector.Attempt)
	// Done takes how an attempt ended.
	Done(now time.Time, attempt *selector.Attempt, outcome selector.Outcome)
	// Report takes what an endpoint tells of itself.
	Report(now time.Time, instanceID string, report selector.EngineReport)
	// Abandon takes that a request waits no longer.
	Abandon(request *selector.Request)
	// Woken returns the waiting requests that are to ask again, each once.
	Woken() []*selector.Request
}

// guarded calls a Chooser under its lock, and wakes the requests that may go on after each call.
type guarded struct {
	lock    sync.Locker
	chooser Chooser
	now     func() time.Time
}

func (g *guarded) choose(request *selector.Request) selector.Decision {
	g.lock.Lock()
	defer g.release()
	return g.chooser.Choose(g.now(), request)
}

func (g *guarded) firstByte(attempt *selector.Attempt) {
	g.lock.Lock()
	defer g.release()
	g.chooser.FirstByte(g.now(), attempt)
}

func (g *guarded) done(attempt *selector.Attempt, outcome selector.Outcome) {
	g.lock.Lock()
	defer g.release()
	g.chooser.Done(g.now(), attempt, outcome)
}

func (g *guarded) report(instanceID string, report selector.EngineReport) {
	g.lock.Lock()
	defer g.release()
	g.chooser.Report(g.now(), instanceID, report)
}

func (g *guarded) abandon(request *selector.Request) {
	g.lock.Lock()
	defer g.release()
	g.chooser.Abandon(request)
}

// release wakes who may go on, and unlocks.
func (g *guarded) release() {
	WakeAll(g.chooser)
	g.lock.Unlock()
}

// WakeAll wakes the requests that a Chooser wants to be asked for again. Whoever changes what a Chooser knows from outside this
// package calls it afterwards, with the lock held.
func WakeAll(chooser Chooser) {
	for _, request := range chooser.Woken() {
		if request.Waiter != nil {
			request.Waiter.Wake()
		}
	}
}

var _ Chooser = (*selector.Selector)(nil)
