package experiment

import (
	"cmp"
	"slices"
	"time"

	"wallflow/internal/emulator"
	"wallflow/internal/virtualtime"
)

const modelName = "m"

// One-way network delays: within a region, and between regions.
const (
	intraRegionDelay = time.Millisecond
	interRegionDelay = 35 * time.Millisecond
)

// startTime is the virtual time at which every simulation starts.
var startTime = time.Unix(1_000_000, 0)

// simulation is the state of a discrete-event simulation.
type simulation struct {
	options   *Options
	now       time.Time
	events    virtualtime.Queue
	engines   []*engine
	policy    policy
	generator *generator
	attempts  map[emulator.JobID]*attempt
	lastJob   emulator.JobID
	recorder  *recorder
}

// engine is an emulated engine in a region.
type engine struct {
	*emulator.Engine
	region           int
	advanceScheduled bool // an event that advances the engine is scheduled
	unreachable      bool
}

// newSimulation creates a simulation whose engines are spread over the regions in rotation.
func newSimulation(options *Options, newPolicy policyConstructor) *simulation {
	sim := &simulation{
		options:  options,
		now:      startTime,
		attempts: map[emulator.JobID]*attempt{},
		recorder: newRecorder(options),
	}
	for index := range options.Engines {
		sim.engines = append(sim.engines, &engine{Engine: emulator.NewEngine(options.engineOptions(index)), region: index % options.Regions})
	}
	sim.generator = newGenerator(options, sim.now)
	sim.policy = newPolicy(sim)
	return sim
}

func (sim *simulation) regionOfRelay(relay int) int { return relay % sim.options.Regions }

// engineDelay returns the one-way network delay between a relay and an engine.
func (sim *simulation) engineDelay(relay, engine int) time.Duration {
	if sim.regionOfRelay(relay) == sim.engines[engine].region {
		return intraRegionDelay
	}
	return interRegionDelay
}

// relayDelay returns the one-way network delay between two relays.
func (sim *simulation) relayDelay(from, to int) time.Duration {
	if sim.regionOfRelay(from) == sim.regionOfRelay(to) {
		return intraRegionDelay
	}
	return interRegionDelay
}

// schedule runs a function at a virtual time.
func (sim *simulation) schedule(when time.Time, run func()) { sim.events.At(when, run) }

// run processes events until none is left; every request has then ended.
func (sim *simulation) run() {
	sim.scheduleArrivals()
	if sim.options.RegionFailureAt > 0 {
		sim.schedule(startTime.Add(sim.options.RegionFailureAt), sim.loseLastRegion)
	}
	for {
		at, runEvent, ok := sim.events.Pop()
		if !ok {
			return
		}
		sim.now = at
		runEvent()
	}
}

// scheduleArrivals schedules the arrival and the deadline of the next request. Each arrival schedules the one after it.
func (sim *simulation) scheduleArrivals() {
	next := sim.generator.nextRequest()
	if next.arrived.Sub(startTime) > sim.options.Duration {
		return
	}
	sim.schedule(next.arrived, func() {
		sim.scheduleArrivals()
		sim.policy.requestArrived(next)
	})
	sim.schedule(next.deadline, func() { sim.expireRequest(next) })
}

// send starts an attempt: the relay sends the request to an engine.
func (sim *simulation) send(r *request, engineIndex int, policyState any) {
	sim.lastJob++
	r.attemptCount++
	a := &attempt{request: r, engine: engineIndex, id: sim.lastJob, policyState: policyState}
	r.attempt = a
	sim.attempts[a.id] = a
	sim.schedule(sim.now.Add(sim.engineDelay(r.relay, engineIndex)), func() { sim.deliverAttempt(a) })
}

// deliverAttempt submits an attempt that has reached its engine. The engine may reject it.
func (sim *simulation) deliverAttempt(a *attempt) {
	if a.finished {
		return
	}
	engine := sim.engines[a.engine]
	if engine.unreachable {
		sim.rejectAttempt(a)
		return
	}
	if engine.Submit(sim.now, a.request.job(a.id)) {
		sim.scheduleAdvance(engine)
		return
	}
	sim.rejectAttempt(a)
}

// rejectAttempt informs the relay, after the network delay, that the engine rejected an attempt.
func (sim *simulation) rejectAttempt(a *attempt) {
	sim.schedule(sim.now.Add(sim.engineDelay(a.request.relay, a.engine)), func() {
		if sim.finishAttempt(a) {
			sim.policy.attemptRejected(a)
		}
	})
}

// loseLastRegion makes the engines of the last region unreachable. Requests whose response has started fail; other attempts are rejected,
// so that their requests can be tried at other engines.
func (sim *simulation) loseLastRegion() {
	for _, engine := range sim.engines {
		engine.unreachable = engine.region == sim.options.Regions-1
	}
	var affected []*attempt
	for _, a := range sim.attempts {
		if sim.engines[a.engine].unreachable {
			affected = append(affected, a)
		}
	}
	slices.SortFunc(affected, func(a, b *attempt) int { return cmp.Compare(a.id, b.id) })
	for _, a := range affected {
		if a.request.firstTokenAt.IsZero() {
			sim.rejectAttempt(a)
			continue
		}
		sim.finishAttempt(a)
		sim.policy.attemptAborted(a)
		sim.endRequest(a.request)
	}
}

// scheduleAdvance schedules the next advance of an engine, unless one is scheduled already or the engine is idle or unreachable.
func (sim *simulation) scheduleAdvance(engine *engine) {
	next, busy := engine.Next()
	if !busy || engine.advanceScheduled || engine.unreachable {
		return
	}
	engine.advanceScheduled = true
	sim.schedule(next, func() {
		engine.advanceScheduled = false
		if engine.unreachable {
			return
		}
		for _, event := range engine.Advance(sim.now) {
			sim.sendEvent(event)
		}
		sim.scheduleAdvance(engine)
	})
}

// sendEvent delivers an engine's event to the relay after the network delay.
func (sim *simulation) sendEvent(event emulator.Event) {
	a := sim.attempts[event.Job]
	if a == nil {
		return
	}
	sim.schedule(sim.now.Add(sim.engineDelay(a.request.relay, a.engine)), func() { sim.receiveEvent(a, event) })
}

// receiveEvent handles an engine's event at the relay.
func (sim *simulation) receiveEvent(a *attempt, event emulator.Event) {
	r := a.request
	if a.finished || r.ended {
		return
	}
	if event.Kind != emulator.EventTokens {
		if sim.finishAttempt(a) {
			sim.endRequest(r)
		}
		return
	}
	if r.firstTokenAt.IsZero() {
		r.firstTokenAt = sim.now
		sim.policy.firstTokenReceived(a)
	} else {
		r.longestGap = max(r.longestGap, sim.now.Sub(r.lastTokenAt))
	}
	r.lastTokenAt = sim.now
	if event.Last && sim.finishAttempt(a) {
		r.inTime = r.firstTokenAt.Sub(r.arrived) <= r.kind.Target
		sim.policy.attemptCompleted(a)
		sim.endRequest(r)
	}
}

// finishAttempt marks an attempt as finished. It returns false if it was finished already.
func (sim *simulation) finishAttempt(a *attempt) bool {
	if a.finished {
		return false
	}
	a.finished = true
	delete(sim.attempts, a.id)
	if a.request.attempt == a {
		a.request.attempt = nil
	}
	return true
}

// expireRequest ends a request at its deadline and cancels its attempt.
func (sim *simulation) expireRequest(r *request) {
	if r.ended {
		return
	}
	if a := r.attempt; a != nil && sim.finishAttempt(a) {
		sim.engines[a.engine].Cancel(sim.now, a.id)
		sim.policy.attemptAborted(a)
	}
	sim.endRequest(r)
}

// rejectRequest ends a request for which the policy selects no engine.
func (sim *simulation) rejectRequest(r *request) { sim.endRequest(r) }

// endRequest ends a request and records its metrics.
func (sim *simulation) endRequest(r *request) {
	if r.ended {
		return
	}
	r.ended = true
	sim.recorder.add(r)
}
