package dataplane

import (
	"time"
)

// updateServing announces to the other processes whether clients may be sent to this relay, when that has changed.
func (p *Process) updateServing(now time.Time) {
	serving := !p.stopping && (p.ready.Load() || p.canServe())
	if serving == p.ready.Load() {
		return
	}
	p.ready.Store(serving)
	p.sendMembership(p.members.SetMeta(now, p.meta(serving)))
}

// canServe reports whether this relay has a configuration, and either a complete list of endpoints or at least one endpoint. After an
// outage of all machines it does not wait for the complete list: that would leave clients without a relay for longer than most endpoints
// take to register.
func (p *Process) canServe() bool {
	return p.compiled.Load() != nil && (p.subscriber.Complete() || len(p.zoneByInstance) > 0)
}

// Stop announces that clients are to be sent to other relays. Requests that still arrive are served.
func (p *Process) Stop(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopping = true
	p.updateServing(now)
}
