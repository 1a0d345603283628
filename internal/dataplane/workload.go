package dataplane

import (
	"context"
	"time"

	"wallflow/internal/proxy"
	"wallflow/internal/transport"
	"wallflow/internal/workload"
)

// exchangeLoads periodically reports this relay's load at endpoints to the other relays, and passes their load to the selector, until
// the context is canceled.
func (p *Process) exchangeLoads(ctx context.Context) {
	ticker := time.NewTicker(workload.LocalInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			p.tickLoads(now)
		}
	}
}

func (p *Process) tickLoads(now time.Time) {
	p.selectorLock.Lock()
	report := p.selector.TakeReport(now)
	p.selectorLock.Unlock()

	p.mu.Lock()
	sends := p.loads.Tick(now, report)
	otherLoads, otherSums, known := p.loads.Others(now)
	prefillSamples := p.loads.TakePrefills()
	p.mu.Unlock()
	for _, send := range sends {
		p.mesh.Send(send.To, transport.KindWorkload, send.Message)
	}
	p.selectorLock.Lock()
	defer p.selectorLock.Unlock()
	p.selector.SetOtherLoads(now, otherLoads, known)
	p.selector.SetOtherSpeedSums(otherSums)
	p.selector.RecordPrefills(now, prefillSamples)
	proxy.WakeAll(p.selector)
}

// recordConnectTime reports to the selector how long connecting to an endpoint took.
func (p *Process) recordConnectTime(instanceID string, elapsed time.Duration) {
	p.selectorLock.Lock()
	defer p.selectorLock.Unlock()
	p.selector.RecordConnectTime(instanceID, elapsed)
}
