package experiment

import (
	"time"

	"github.com/gravitational/trace"
)

// policy selects engines for the requests of all relays. The simulation calls its methods as a request progresses.
type policy interface {
	requestArrived(r *request)     // a request has arrived at its relay
	attemptRejected(a *attempt)    // the engine rejected the attempt or is unreachable
	firstTokenReceived(a *attempt) // the first token has arrived
	attemptCompleted(a *attempt)   // the whole response has arrived
	attemptAborted(a *attempt)     // the attempt ended without a full response: the client gave up, or the engine failed
}

// policyConstructor creates a policy for a simulation.
type policyConstructor func(sim *simulation) policy

// Names of the policies.
const (
	PolicySelector         = "selector"
	PolicySelectorAlone    = "selector-alone"
	PolicyLeastOutstanding = "least-outstanding"
	PolicyRoundRobin       = "round-robin"
	PolicyOracle           = "oracle"
)

// Policies returns the names of all policies, the relays' selector first.
func Policies() []string {
	return []string{PolicySelector, PolicySelectorAlone, PolicyLeastOutstanding, PolicyRoundRobin, PolicyOracle}
}

// lookupPolicy returns the constructor of the policy with the given name.
func lookupPolicy(name string) (policyConstructor, error) {
	switch name {
	case PolicySelector:
		return newSelectorPolicy, nil
	case PolicySelectorAlone:
		return newSelectorAlonePolicy, nil
	case PolicyLeastOutstanding:
		return func(sim *simulation) policy { return &leastCostPolicy{sim: sim, costs: newLeastOutstanding(sim)} }, nil
	case PolicyRoundRobin:
		return func(sim *simulation) policy { return &leastCostPolicy{sim: sim, costs: newRoundRobin(sim)} }, nil
	case PolicyOracle:
		return func(sim *simulation) policy { return &leastCostPolicy{sim: sim, costs: &oracle{sim: sim}} }, nil
	}
	return nil, trace.Wrap(&OptionsError{Option: "policy",
		Requirement: "one of selector, selector-alone, least-outstanding, round-robin, oracle"})
}

// costModel estimates the cost of sending a request to an engine, and is notified of the attempts that are sent and end.
type costModel interface {
	estimate(r *request, engine int) float64
	attemptSent(r *request, engine int)
	attemptEnded(a *attempt)
}

// allFullRetryDelay is the wait before a request is tried again after all engines have rejected it.
const allFullRetryDelay = 50 * time.Millisecond

// leastCostPolicy sends each request to the engine with the lowest estimated cost, and to the next one if that engine rejects it.
type leastCostPolicy struct {
	sim   *simulation
	costs costModel
}

func (p *leastCostPolicy) requestArrived(r *request) { p.send(r, nil) }

// send sends the request to the best engine that is not excluded. Engines that have rejected the request are excluded.
func (p *leastCostPolicy) send(r *request, excluded map[int]bool) {
	best, lowest := -1, 0.0
	for index := range p.sim.engines {
		if excluded[index] {
			continue
		}
		if cost := p.costs.estimate(r, index); best < 0 || cost < lowest {
			best, lowest = index, cost
		}
	}
	if best < 0 {
		p.sim.schedule(p.sim.now.Add(allFullRetryDelay), func() {
			if !r.ended {
				p.send(r, nil)
			}
		})
		return
	}
	p.costs.attemptSent(r, best)
	p.sim.send(r, best, excluded)
}

func (p *leastCostPolicy) attemptRejected(a *attempt) {
	p.costs.attemptEnded(a)
	excluded, _ := a.policyState.(map[int]bool)
	extended := map[int]bool{a.engine: true}
	for index := range excluded {
		extended[index] = true
	}
	p.send(a.request, extended)
}

func (p *leastCostPolicy) firstTokenReceived(*attempt) {}
func (p *leastCostPolicy) attemptCompleted(a *attempt) { p.costs.attemptEnded(a) }
func (p *leastCostPolicy) attemptAborted(a *attempt)   { p.costs.attemptEnded(a) }

// leastOutstanding estimates cost by the number of requests that a relay has outstanding at an engine. The network delay breaks ties in
// favor of the relay's own region.
type leastOutstanding struct {
	sim         *simulation
	outstanding [][]int // by relay and engine
}

func newLeastOutstanding(sim *simulation) *leastOutstanding {
	l := &leastOutstanding{sim: sim}
	for range sim.options.Relays {
		l.outstanding = append(l.outstanding, make([]int, len(sim.engines)))
	}
	return l
}

func (l *leastOutstanding) estimate(r *request, engine int) float64 {
	return float64(l.outstanding[r.relay][engine]) + l.sim.engineDelay(r.relay, engine).Seconds()
}

func (l *leastOutstanding) attemptSent(r *request, engine int) { l.outstanding[r.relay][engine]++ }
func (l *leastOutstanding) attemptEnded(a *attempt)            { l.outstanding[a.request.relay][a.engine]-- }

// roundRobin sends requests to the engines of the relay's own region in rotation.
type roundRobin struct {
	sim        *simulation
	sentCounts [][]int // attempts, by relay and engine
}

func newRoundRobin(sim *simulation) *roundRobin {
	rr := &roundRobin{sim: sim}
	for range sim.options.Relays {
		rr.sentCounts = append(rr.sentCounts, make([]int, len(sim.engines)))
	}
	return rr
}

// otherRegionPenalty is an added cost that exceeds any count, so that a request goes to another region only after all engines of the
// relay's own region have rejected it.
const otherRegionPenalty = 1e12

func (rr *roundRobin) estimate(r *request, engine int) float64 {
	cost := float64(rr.sentCounts[r.relay][engine])
	if rr.sim.regionOfRelay(r.relay) != rr.sim.engines[engine].region {
		cost += otherRegionPenalty
	}
	return cost
}

func (rr *roundRobin) attemptSent(r *request, engine int) { rr.sentCounts[r.relay][engine]++ }
func (rr *roundRobin) attemptEnded(*attempt)              {}

// oracle estimates cost from the actual state of every engine: its cached prefixes, its pending prefill and its running jobs.
type oracle struct {
	sim *simulation
}

// estimate returns the estimated time to the first token in nanoseconds. If no slot is free, it adds the request's timeout.
func (o *oracle) estimate(r *request, engine int) float64 {
	target := o.sim.engines[engine]
	options := o.sim.options.Engine
	load := target.Load()
	pendingTokens := float64(target.UncachedTokens(r.job(0)) + target.PendingPrefill())
	step := options.StepTime + time.Duration(load.Running+load.Queued+1)*options.StepTimePerJob
	steps := 1 + pendingTokens/float64(options.ChunkTokens)
	prefillTime := pendingTokens / options.PrefillPerMs * float64(time.Millisecond)
	cost := prefillTime + steps*float64(step) + 2*float64(o.sim.engineDelay(r.relay, engine))
	if load.Running+load.Queued >= options.Slots {
		cost += float64(r.kind.Timeout)
	}
	return cost
}

func (o *oracle) attemptSent(*request, int) {}
func (o *oracle) attemptEnded(*attempt)     {}
