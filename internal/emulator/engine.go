package emulator

import (
	"math"
	"time"
)

// jobState is the state of a job that is queued or running.
type jobState struct {
	job            Job
	arrivalSeq     uint64
	cachedParts    []*cachedPart // cached parts that the job uses
	uncachedTokens int           // reserved tokens that are not in cachedParts; -1: the job has left the batch
	pendingPrefill int           // tokens that are not prefilled yet
	generated      int           // output tokens generated so far, including those before a preemption
	emitted        int           // output tokens that events have reported
	lastEvent      int           // number of the last event
	prefillChunk   int           // tokens that the current step prefills
	decoding       bool          // the current step decodes a token for the job
}

// Engine simulates an inference engine with continuous batching, chunked prefill and a prefix cache. It advances in steps: each step
// decodes one token for every fully prefilled job and prefills up to ChunkTokens tokens of the others.
type Engine struct {
	options     EngineOptions
	cache       *cache
	queue       queue
	batch       []*jobState // running jobs in order of admission
	stepEnd     time.Time
	stepActive  bool // a step is in progress and ends at stepEnd
	lastStepEnd time.Time
	lastArrival uint64

	prefilledTokens uint64 // since the engine was created
}

// NewEngine returns an idle engine.
func NewEngine(options EngineOptions) *Engine {
	options = options.WithDefaults()
	return &Engine{options: options, cache: newCache(options.KVCapacity)}
}

// Submit queues a job. It returns false if the job exceeds the KV capacity or the queue is full.
func (e *Engine) Submit(now time.Time, job Job) bool {
	if job.promptTokens()+job.Output > e.options.KVCapacity {
		return false
	}
	if len(e.batch)+e.queue.len() >= e.options.Slots+e.options.Queue {
		return false
	}
	e.lastArrival++
	e.queue.add(&jobState{job: job, arrivalSeq: e.lastArrival, generated: job.Delivered, emitted: job.Delivered,
		lastEvent: e.eventNumber(job.Delivered)})
	e.startStep(now)
	return true
}

// eventNumber returns the number of the event that contains the given output token, both counted from 1. It returns 0 for 0.
func (e *Engine) eventNumber(tokens int) int {
	return (tokens + e.options.TokensPerEvent - 1) / e.options.TokensPerEvent
}

// Cancel removes a job whose caller has gone. Its cached prompt parts stay in the cache.
func (e *Engine) Cancel(now time.Time, id JobID) {
	if e.queue.remove(id) != nil {
		return
	}
	for _, member := range e.batch {
		if member.job.ID == id {
			e.removeFromBatch(member)
			break
		}
	}
	if len(e.batch) == 0 {
		e.stepActive = false
		e.startStep(now)
	}
}

// Next returns the end of the current step, or false if no step is in progress.
func (e *Engine) Next() (time.Time, bool) {
	if e.stepActive {
		return e.stepEnd, true
	}
	return time.Time{}, false
}

// Advance runs all steps that end up to now.
func (e *Engine) Advance(now time.Time) []Event {
	var events []Event
	for e.stepActive && !e.stepEnd.After(now) {
		e.lastStepEnd = e.stepEnd
		events = e.endStep(events)
		e.stepActive = false
		events = e.expireQueued(e.lastStepEnd, events)
		e.startStep(e.lastStepEnd)
	}
	return events
}

// Load returns the current load.
func (e *Engine) Load() Load {
	return Load{Queued: e.queue.len(), Running: len(e.batch), KVUsed: e.cache.usedTokens, KVTotal: e.options.KVCapacity}
}

// PrefilledTokens returns the number of tokens prefilled since the engine was created.
func (e *Engine) PrefilledTokens() uint64 { return e.prefilledTokens }

// startStep starts the next step, unless one is in progress or there are no jobs.
func (e *Engine) startStep(now time.Time) {
	if e.stepActive {
		return
	}
	e.admit()
	if len(e.batch) == 0 {
		return
	}
	prefillTokens := e.planChunks()
	e.prefilledTokens += uint64(prefillTokens)
	e.stepEnd = now.Add(e.stepTime(prefillTokens))
	e.stepActive = true
}

// stepTime returns the duration of a step that prefills the given number of tokens.
func (e *Engine) stepTime(prefillTokens int) time.Duration {
	prefillTime := time.Duration(math.Round(float64(prefillTokens) / e.options.PrefillPerMs * float64(time.Millisecond)))
	return e.options.StepTime + time.Duration(len(e.batch))*e.options.StepTimePerJob + prefillTime
}

// planChunks assigns the tokens that the next step prefills to jobs, in order of admission, and returns their number.
func (e *Engine) planChunks() (prefillTokens int) {
	for _, member := range e.batch {
		member.decoding = member.pendingPrefill == 0
		member.prefillChunk = min(member.pendingPrefill, e.options.ChunkTokens-prefillTokens)
		prefillTokens += member.prefillChunk
	}
	return prefillTokens
}

// endStep applies the results of the finished step to the running jobs.
func (e *Engine) endStep(events []Event) []Event {
	for _, member := range append([]*jobState(nil), e.batch...) {
		switch {
		case member.hasLeftBatch(): // preempted by another job in this step
		case member.job.expired(e.lastStepEnd):
			e.removeFromBatch(member)
			events = append(events, Event{Job: member.job.ID, Kind: EventCutOff, At: e.lastStepEnd, Last: true})
		case member.decoding:
			events = e.decode(member, events)
		case member.prefillChunk > 0:
			events = e.prefill(member, events)
		}
	}
	return events
}

// hasLeftBatch reports whether the job has left the batch.
func (s *jobState) hasLeftBatch() bool { return s.uncachedTokens < 0 }

// expired reports whether the job's deadline has passed.
func (j *Job) expired(now time.Time) bool {
	return !j.Deadline.IsZero() && now.After(j.Deadline)
}

// prefill applies a prefilled chunk. The step that prefills the last chunk also generates a token.
func (e *Engine) prefill(member *jobState, events []Event) []Event {
	member.pendingPrefill -= member.prefillChunk
	if member.pendingPrefill > 0 {
		return events
	}
	e.cacheParts(member)
	return e.decode(member, events)
}

// cacheParts puts the prefilled prompt parts into the cache, where other jobs can use them.
func (e *Engine) cacheParts(member *jobState) {
	for _, part := range member.job.Parts[len(member.cachedParts):] {
		member.cachedParts = append(member.cachedParts, e.cache.insert(member.job.Model, part))
		member.uncachedTokens -= part.Tokens
	}
}

// decode generates one token of a job. Jobs are preempted while there is no memory for the token, possibly this job itself.
func (e *Engine) decode(member *jobState, events []Event) []Event {
	for !e.cache.reserve(1) {
		victim := e.preemptionVictim()
		e.preempt(victim)
		if victim == member {
			return events
		}
	}
	member.uncachedTokens++
	member.generated++
	last := member.generated >= member.job.Output
	if unsent := member.generated - member.emitted; unsent >= e.options.TokensPerEvent || last {
		member.lastEvent++
		member.emitted = member.generated
		events = append(events, Event{Job: member.job.ID, Kind: EventTokens, At: e.lastStepEnd,
			Number: member.lastEvent, Tokens: unsent, Last: last})
	}
	if last {
		e.removeFromBatch(member)
	}
	return events
}

// preemptionVictim returns the job to preempt when memory runs out: the newest among the least urgent.
func (e *Engine) preemptionVictim() *jobState {
	var victim *jobState
	for _, member := range e.batch {
		if victim == nil || victim.precedes(member) {
			victim = member
		}
	}
	return victim
}

// preempt moves a running job back to the queue and frees its memory. Its prompt and the tokens generated so far must be prefilled again,
// except for prompt parts that are still cached by then.
func (e *Engine) preempt(member *jobState) {
	requeued := *member
	requeued.cachedParts = nil
	e.removeFromBatch(member)
	e.queue.add(&requeued)
}

// removeFromBatch removes a job from the batch and frees its memory.
func (e *Engine) removeFromBatch(member *jobState) {
	for i, other := range e.batch {
		if other == member {
			e.batch = append(e.batch[:i], e.batch[i+1:]...)
			break
		}
	}
	for _, cached := range member.cachedParts {
		e.cache.discard(cached)
	}
	e.cache.free(member.uncachedTokens)
	member.uncachedTokens = -1
}

// admit moves jobs from the queue to the batch, the most urgent first, while slots and memory are available.
func (e *Engine) admit() {
	for len(e.batch) < e.options.Slots {
		next := e.queue.peek()
		if next == nil || !e.allocate(next) {
			return
		}
		e.queue.remove(next.job.ID)
		e.batch = append(e.batch, next)
	}
}

// allocate reserves the memory that a job needs for its prompt and the tokens generated so far. It returns false if there is too little.
func (e *Engine) allocate(member *jobState) bool {
	parts := e.cache.cachedPrefix(member.job.Model, member.job.Parts)
	cachedTokens := 0
	for _, cached := range parts {
		e.cache.acquire(cached)
		cachedTokens += cached.tokens
	}
	needed := member.job.promptTokens() + member.generated - cachedTokens
	if !e.cache.reserve(needed) {
		for _, cached := range parts {
			e.cache.release(cached)
		}
		return false
	}
	member.cachedParts = parts
	member.uncachedTokens = needed
	member.pendingPrefill = needed
	return true
}

// expireQueued removes the queued jobs whose deadline has passed and appends an event for each.
func (e *Engine) expireQueued(now time.Time, events []Event) []Event {
	for _, waiting := range e.queue.removeExpired(now) {
		kind := EventExpired
		if waiting.generated > waiting.job.Delivered {
			kind = EventCutOff // it had run before it was preempted
		}
		events = append(events, Event{Job: waiting.job.ID, Kind: kind, At: now, Last: true})
	}
	return events
}

// UncachedTokens returns the number of prompt tokens of a job that are not in the cache and would have to be prefilled.
func (e *Engine) UncachedTokens(job Job) int {
	uncached := job.promptTokens()
	for _, cached := range e.cache.cachedPrefix(job.Model, job.Parts) {
		uncached -= cached.tokens
	}
	return uncached
}

// PendingPrefill returns the number of tokens that running and queued jobs still have to prefill. Of a queued job only the prompt counts.
func (e *Engine) PendingPrefill() int {
	pending := 0
	for _, member := range e.batch {
		pending += member.pendingPrefill
	}
	for _, waiting := range e.queue.waiting {
		pending += e.UncachedTokens(waiting.job)
	}
	return pending
}
