package dataplane

import (
	"context"
	"time"

	"wallflow/internal/proxy"
	"wallflow/internal/transport"
	"wallflow/internal/workload"
)

// shareLoads tells the other relays what this one has at endpoints, and the selector what they have, until the context ends.
func (p *Process) shareLoads(ctx context.Context) {
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
	own := p.selector.TakeReport(now)
	p.selectorLock.Unlock()

	p.mu.Lock()
	sends := p.loads.Tick(now, own)
	others, sums, known := p.loads.Others(now)
	readings := p.loads.TakePrefills()
	p.mu.Unlock()
	for _, send := range sends {
		p.mesh.Send(send.To, transport.KindWorkload, send.Message)
	}
	p.selectorLock.Lock()
	defer p.selectorLock.Unlock()
	p.selector.SetOtherLoads(now, others, known)
	p.selector.SetOtherSpeedSums(sums)
	p.selector.RecordPrefills(now, readings)
	proxy.WakeAll(p.selector)
}

// connected tells the selector how long it took to connect to an endpoint.
func (p *Process) connected(instanceID string, took time.Duration) {
	p.selectorLock.Lock()
	defer p.selectorLock.Unlock()
	p.selector.RecordConnectTime(instanceID, took)
}
