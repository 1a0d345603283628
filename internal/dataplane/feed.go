package dataplane

import (
	"time"

	"wallflow/internal/config"
	"wallflow/internal/distribution"
	"wallflow/internal/proxy"
	"wallflow/internal/registry"
)

// evacuationTracker remembers which restorations of evacuated zones have been passed to the selector.
type evacuationTracker struct {
	appliedRestorations map[string]uint64 // by zone: revision of the newest restoration that was applied
}

// applyFeedOutput sends the subscriber's messages, applies changes of configuration and instances, and forwards them to the relays that
// this one feeds.
func (p *Process) applyFeedOutput(now time.Time, output distribution.Output) {
	p.sendFeed(output.Sends)
	if output.ConfigChanged {
		p.applyConfig(now)
		if output.AppliedUpdate != nil {
			p.sendFeed(p.homePublisher.SetConfig(now, *output.AppliedUpdate).Sends)
		}
	}
	if len(output.InstancesChanged) > 0 {
		p.applyInstances(now, output.InstancesChanged)
		p.sendFeed(p.homePublisher.SetInstances(now, output.InstancesChanged).Sends)
	}
}

// applyConfig puts the newest configuration and the current evacuations into force.
func (p *Process) applyConfig(now time.Time) {
	state := p.subscriber.Config()
	compiled := p.compiled.Load()
	changed := false
	if state.Document != nil && (compiled == nil || compiled.Generation() != state.Generation) {
		document, err := p.documentReader.Read(state.Document)
		if err != nil {
			p.log.Error("cannot parse the configuration", "revision", state.Revision, "error", err)
			return
		}
		compiled, changed = config.Compile(document), true
	}
	p.selectorLock.Lock()
	if changed {
		p.selector.SetConfig(now, compiled)
	}
	p.evacuations.apply(now, p, state)
	proxy.WakeAll(p.selector)
	p.selectorLock.Unlock()
	if changed {
		p.compiled.Store(compiled)
		p.server.ApplyLimits(compiled.Document().Limits)
		p.log.Info("configuration in force", "generation", state.Generation, "revision", state.Revision)
	}
}

// apply tells the selector which zones are evacuated. For a zone that was evacuated and restored between two updates it reports both the
// evacuation and its end, so that the zone's endpoints count as cold. Callers hold selectorLock.
func (t *evacuationTracker) apply(now time.Time, p *Process, state distribution.ConfigState) {
	zones := make([]string, 0, len(state.Evacuated))
	for _, evacuation := range state.Evacuated {
		zones = append(zones, evacuation.Zone)
	}
	withMissed := zones
	for _, restoration := range state.Restored {
		if t.appliedRestorations[restoration.Zone] >= restoration.Revision {
			continue
		}
		if t.appliedRestorations == nil {
			t.appliedRestorations = make(map[string]uint64)
		}
		t.appliedRestorations[restoration.Zone] = restoration.Revision
		withMissed = append(withMissed, restoration.Zone)
	}
	if len(withMissed) > len(zones) {
		p.selector.SetEvacuated(now, withMissed)
	}
	p.selector.SetEvacuated(now, zones)
}

// applyInstances passes changed instances to the selector and drops the connections to those that are gone.
func (p *Process) applyInstances(now time.Time, changed []registry.Instance) {
	p.selectorLock.Lock()
	for _, instance := range changed {
		if instance.State == registry.StateGone {
			delete(p.zoneByInstance, instance.ID)
		} else {
			p.zoneByInstance[instance.ID] = instance.Zone
		}
		p.selector.SetInstance(now, instance)
	}
	proxy.WakeAll(p.selector)
	p.selectorLock.Unlock()
	for _, instance := range changed {
		if instance.State == registry.StateGone {
			p.pool.Forget(instance.ID)
		}
	}
}
