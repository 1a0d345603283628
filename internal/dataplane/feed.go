package dataplane

import (
	"time"

	"wallflow/internal/config"
	"wallflow/internal/distribution"
	"wallflow/internal/proxy"
	"wallflow/internal/registry"
)

// evacuationView is what the selector was last told of evacuations.
type evacuationView struct {
	restored map[string]uint64 // revision of the newest restoration of a zone that was taken on
}

// takeFeed carries out what the subscriber wants and takes on what has changed.
func (p *Process) takeFeed(now time.Time, output distribution.Output) {
	p.deliver(output.Sends)
	if output.ConfigChanged {
		p.takeConfig(now)
		if output.AppliedUpdate != nil {
			p.deliver(p.home.SetConfig(now, *output.AppliedUpdate).Sends)
		}
	}
	if len(output.InstancesChanged) > 0 {
		p.takeInstances(now, output.InstancesChanged)
		p.deliver(p.home.SetInstances(now, output.InstancesChanged).Sends)
	}
}

// takeConfig puts the newest configuration and the evacuations in force.
func (p *Process) takeConfig(now time.Time) {
	state := p.subscriber.Config()
	compiled := p.compiled.Load()
	changed := false
	if state.Document != nil && (compiled == nil || compiled.Generation() != state.Generation) {
		document, err := p.documents.Read(state.Document)
		if err != nil {
			p.log.Error("the configuration can't be read", "revision", state.Revision, "error", err)
			return
		}
		compiled, changed = config.Compile(document), true
	}
	p.selectorLock.Lock()
	if changed {
		p.selector.SetConfig(now, compiled)
	}
	p.zones.apply(now, p, state)
	proxy.WakeAll(p.selector)
	p.selectorLock.Unlock()
	if changed {
		p.compiled.Store(compiled)
		p.server.ApplyLimits(compiled.Document().Limits)
		p.log.Info("configuration in force", "generation", state.Generation, "revision", state.Revision)
	}
}

// apply tells the selector which zones are evacuated. A zone whose evacuation began and ended unseen is told as both, so that
// its endpoints count as cold. Callers hold the selector's lock.
func (v *evacuationView) apply(now time.Time, p *Process, state distribution.ConfigState) {
	zones := make([]string, 0, len(state.Evacuated))
	for _, evacuation := range state.Evacuated {
		zones = append(zones, evacuation.Zone)
	}
	unseen := zones
	for _, restoration := range state.Restored {
		if v.restored[restoration.Zone] >= restoration.Revision {
			continue
		}
		if v.restored == nil {
			v.restored = make(map[string]uint64)
		}
		v.restored[restoration.Zone] = restoration.Revision
		unseen = append(unseen, restoration.Zone)
	}
	if len(unseen) > len(zones) {
		p.selector.SetEvacuated(now, unseen)
	}
	p.selector.SetEvacuated(now, zones)
}

// takeInstances tells the selector and the connections what has changed.
func (p *Process) takeInstances(now time.Time, changed []registry.Instance) {
	p.selectorLock.Lock()
	for _, instance := range changed {
		if instance.State == registry.StateGone {
			delete(p.zoneOf, instance.ID)
		} else {
			p.zoneOf[instance.ID] = instance.Zone
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
