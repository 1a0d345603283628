package dataplane

import (
	"time"
)

// announce tells the other processes whether clients should come here.
func (p *Process) announce(now time.Time) {
	serving := !p.leaving && (p.ready.Load() || p.canServe())
	if serving == p.ready.Load() {
		return
	}
	p.ready.Store(serving)
	p.spread(p.members.SetMeta(now, p.meta(serving)))
}

// canServe tells whether there is a configuration and, as far as is known, an endpoint. To wait until control has heard of all of
// them after a loss of everything would leave clients without a relay for longer than most endpoints take to be known.
func (p *Process) canServe() bool {
	return p.compiled.Load() != nil && (p.subscriber.Complete() || len(p.zoneOf) > 0)
}

// Stop has clients sent elsewhere. The process serves on.
func (p *Process) Stop(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = true
	p.announce(now)
}
