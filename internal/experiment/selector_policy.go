package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"wallflow/internal/config"
	"wallflow/internal/registry"
	"wallflow/internal/selector"
)

const backendName = "model"

// selectorPolicy gives each relay a selector.Selector of its own.
type selectorPolicy struct {
	sim           *simulation
	selectors     []*selector.Selector
	routes        map[*RequestKind]*config.Route
	engineIndexes map[string]int // index of the engine, by instance ID
	waiting       map[*selector.Request]*request
}

// newSelectorPolicy returns a policy whose relays share their loads with each other.
func newSelectorPolicy(sim *simulation) policy { return buildSelectorPolicy(sim, true) }

// newSelectorAlonePolicy returns a policy whose relays know only their own requests.
func newSelectorAlonePolicy(sim *simulation) policy { return buildSelectorPolicy(sim, false) }

func buildSelectorPolicy(sim *simulation, shareLoads bool) policy {
	p := &selectorPolicy{
		sim:           sim,
		routes:        map[*RequestKind]*config.Route{},
		engineIndexes: map[string]int{},
		waiting:       map[*selector.Request]*request{},
	}
	compiled := p.compileConfig()
	zones := map[string]string{}
	for region := range sim.options.Regions {
		zones[zoneName(region)] = regionName(region)
	}
	instances := p.instances()
	for relay := range sim.options.Relays {
		region := sim.regionOfRelay(relay)
		relaySelector := selector.New(selector.Options{
			Zone:        zoneName(region),
			Region:      regionName(region),
			Zones:       zones,
			Random:      rand.New(rand.NewPCG(sim.options.Seed, uint64(relay)+2)),
			RegionDelay: interRegionDelay,
		})
		relaySelector.SetConfig(sim.now, compiled)
		relaySelector.SetInstances(sim.now, instances)
		relaySelector.SetPeers(sim.now, sim.options.Relays/sim.options.Regions, func(string) bool { return true })
		p.selectors = append(p.selectors, relaySelector)
	}
	if shareLoads {
		startLoadSharing(sim, p.selectors)
	}
	return p
}

func zoneName(region int) string   { return fmt.Sprintf("zone-%d", region) }
func regionName(region int) string { return fmt.Sprintf("region-%d", region) }

// compileConfig builds a configuration with one route for each kind of request.
func (p *selectorPolicy) compileConfig() *config.Compiled {
	engine := p.sim.options.Engine
	document := &config.Document{
		Generation: 1,
		Backends: []config.Backend{{
			Name:     backendName,
			MaxConns: 1000,
			Engine:   &config.Engine{Slots: engine.Slots, KVCapacity: int64(engine.KVCapacity), Stride: engine.TokensPerEvent},
		}},
	}
	for index := range p.sim.options.Load {
		kind := &p.sim.options.Load[index]
		document.Routes = append(document.Routes, config.Route{
			Name:       kind.Name,
			Host:       "experiment",
			PathPrefix: "/" + kind.Name + "/",
			Kind:       config.KindStreaming,
			TimeoutMs:  float64(kind.Timeout.Milliseconds()),
			TargetMs:   float64(kind.Target.Milliseconds()),
			Priority:   kind.Priority,
			Backend:    backendName,
			Retries:    1,
			Sticky:     true,
		})
	}
	for index := range document.Routes {
		p.routes[&p.sim.options.Load[index]] = &document.Routes[index]
	}
	return config.Compile(document)
}

// instances returns the engines as registered instances.
func (p *selectorPolicy) instances() []registry.Instance {
	var instances []registry.Instance
	for index, engine := range p.sim.engines {
		id := fmt.Sprintf("i-%d", index)
		p.engineIndexes[id] = index
		instances = append(instances, registry.Instance{
			ID:      id,
			Backend: backendName,
			Address: fmt.Sprintf("10.0.%d.%d:1", index/250, index%250+1),
			Zone:    zoneName(engine.region),
			Slots:   p.sim.options.Engine.Slots,
			State:   registry.StateReady,
		})
	}
	return instances
}

func (p *selectorPolicy) requestArrived(r *request) {
	r.selectorRequest = selector.Request{
		Route:     p.routes[r.kind],
		ID:        fmt.Sprint(r.id),
		Parts:     r.selectorParts,
		TokensIn:  r.engineParts[0].Tokens + r.engineParts[1].Tokens,
		TokensOut: r.outputTokens,
		Arrived:   r.arrived,
		Deadline:  r.deadline,
	}
	p.choose(r)
}

// choose asks the relay's selector for a decision on a request and carries it out. A waiting request is tried again when its wait ends.
func (p *selectorPolicy) choose(r *request) {
	if r.ended || r.attempt != nil {
		return
	}
	relaySelector := p.selectors[r.relay]
	delete(p.waiting, &r.selectorRequest)
	decision := relaySelector.Choose(p.sim.now, &r.selectorRequest)
	switch decision.Kind {
	case selector.Send:
		p.sim.send(r, p.engineIndexes[decision.Instance.ID], decision.Attempt)
	case selector.Wait:
		p.waiting[&r.selectorRequest] = r
		p.sim.schedule(notBefore(decision.Until, p.sim.now), func() {
			if p.waiting[&r.selectorRequest] == r {
				p.choose(r)
			}
		})
	default:
		p.sim.rejectRequest(r)
	}
	p.retryWoken(r.relay)
}

// notBefore returns the later of earliest and now, so that no event is scheduled in the past.
func notBefore(earliest, now time.Time) time.Time {
	if earliest.Before(now) {
		return now
	}
	return earliest
}

// retryWoken retries the waiting requests of a relay that its selector has woken after a change.
func (p *selectorPolicy) retryWoken(relay int) {
	for _, woken := range p.selectors[relay].Woken() {
		r := p.waiting[woken]
		if r == nil {
			continue
		}
		p.sim.schedule(p.sim.now, func() {
			if p.waiting[woken] == r {
				p.choose(r)
			}
		})
	}
}

// reportOutcome reports the outcome of an attempt to the relay's selector.
func (p *selectorPolicy) reportOutcome(a *attempt, outcome selector.Outcome) {
	if attempt, ok := a.policyState.(*selector.Attempt); ok {
		p.selectors[a.request.relay].Done(p.sim.now, attempt, outcome)
	}
	p.retryWoken(a.request.relay)
}

func (p *selectorPolicy) attemptRejected(a *attempt) {
	kind := selector.Full
	if p.sim.engines[a.engine].unreachable {
		kind = selector.ConnectFailed
	}
	p.reportOutcome(a, selector.Outcome{Kind: kind})
	p.choose(a.request)
}

func (p *selectorPolicy) firstTokenReceived(a *attempt) {
	if attempt, ok := a.policyState.(*selector.Attempt); ok {
		p.selectors[a.request.relay].FirstByte(p.sim.now, attempt)
	}
	p.retryWoken(a.request.relay)
}

func (p *selectorPolicy) attemptCompleted(a *attempt) {
	p.reportOutcome(a, selector.Outcome{Kind: selector.Success})
}

func (p *selectorPolicy) attemptAborted(a *attempt) {
	p.reportOutcome(a, selector.Outcome{Kind: selector.ClientGone, MayHaveRun: true})
}
