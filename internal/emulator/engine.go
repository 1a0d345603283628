package emulator

import (
	"math"
	"time"
)

// running is a job in the batch.
type running struct {
	job      Job
	arrived  uint64
	parts    []*keptPart // in use
	private  int         // tokens held beyond those parts
	toRead   int         // prompt tokens that are not prefilled yet
	made     int         // tokens made so far, over all runs
	told     int         // tokens that events have told of
	number   int         // of the last event
	chunk    int         // prompt tokens that the step under way reads
	decoding bool        // in the step under way
}

// Engine is the model of a model server.
type Engine struct {
	options EngineOptions
	cache   *cache
	queue   queue
	batch   []*running // in the order of admission
	stepEnd time.Time
	stepped bool // a step is under way
	clock   time.Time
	arrival uint64

	prefilled uint64 // prompt tokens read since the start
}

// NewEngine returns an engine with nothing to do.
func NewEngine(options EngineOptions) *Engine {
	options = options.WithDefaults()
	return &Engine{options: options, cache: newCache(options.KVCapacity)}
}

// Submit takes a job, or returns false: it is too large, or the queue is full.
func (e *Engine) Submit(now time.Time, job Job) bool {
	if job.promptTokens()+job.Output > e.options.KVCapacity {
		return false
	}
	if len(e.batch)+e.queue.len() >= e.options.Slots+e.options.Queue {
		return false
	}
	e.arrival++
	e.queue.add(&running{job: job, arrived: e.arrival, made: job.Done, told: job.Done, number: e.eventOf(job.Done)})
	e.startStep(now)
	return true
}

// eventOf is the number of the event that so many tokens end.
func (e *Engine) eventOf(tokens int) int {
	return (tokens + e.options.TokensPerEvent - 1) / e.options.TokensPerEvent
}

// Cancel ends a job whose caller has gone. What was prefilled of it stays, as far as whole parts go.
func (e *Engine) Cancel(now time.Time, id JobID) {
	if e.queue.remove(id) != nil {
		return
	}
	for _, member := range e.batch {
		if member.job.ID == id {
			e.leave(member)
			break
		}
	}
	if len(e.batch) == 0 {
		e.stepped = false
		e.startStep(now)
	}
}

// Next returns the end of the step under way, or the earliest deadline in the queue where nothing runs.
func (e *Engine) Next() (time.Time, bool) {
	if e.stepped {
		return e.stepEnd, true
	}
	return time.Time{}, false
}

// Advance plays all steps that end up to now.
func (e *Engine) Advance(now time.Time) []Event {
	var events []Event
	for e.stepped && !e.stepEnd.After(now) {
		e.clock = e.stepEnd
		events = e.endStep(events)
		e.stepped = false
		events = e.expire(e.clock, events)
		e.startStep(e.clock)
	}
	return events
}

// Load returns the load as of now.
func (e *Engine) Load() Load {
	return Load{Queued: e.queue.len(), Running: len(e.batch), KVUsed: e.cache.held, KVTotal: e.options.KVCapacity}
}

// Prefilled returns the prompt tokens that were read since the start.
func (e *Engine) Prefilled() uint64 { return e.prefilled }

// startStep begins the next step, unless one is under way or there is nothing to do.
func (e *Engine) startStep(now time.Time) {
	if e.stepped {
		return
	}
	e.admit()
	if len(e.batch) == 0 {
		return
	}
	read := e.planChunks()
	e.prefilled += uint64(read)
	e.stepEnd = now.Add(e.stepTime(read))
	e.stepped = true
}

// stepTime is how long a step takes that reads so many prompt tokens.
func (e *Engine) stepTime(read int) time.Duration {
	reading := time.Duration(math.Round(float64(read) / e.options.PrefillPerMs * float64(time.Millisecond)))
	return e.options.Step + time.Duration(len(e.batch))*e.options.StepPerJob + reading
}

// planChunks shares out the prompt tokens of a step: those admitted first read first.
func (e *Engine) planChunks() (read int) {
	for _, member := range e.batch {
		member.decoding = member.toRead == 0
		member.chunk = min(member.toRead, e.options.ChunkTokens-read)
		read += member.chunk
	}
	return read
}

// endStep gives each running job what the step made for it.
func (e *Engine) endStep(events []Event) []Event {
	for _, member := range append([]*running(nil), e.batch...) {
		switch {
		case member.gone(): // preempted by another in this very step
		case member.job.expired(e.clock):
			e.leave(member)
			events = append(events, Event{Job: member.job.ID, Kind: EventCutOff, At: e.clock, Last: true})
		case member.decoding:
			events = e.decode(member, events)
		case member.chunk > 0:
			events = e.read(member, events)
		}
	}
	return events
}

// gone tells whether the job has left the batch.
func (r *running) gone() bool { return r.private < 0 }

func (j *Job) expired(now time.Time) bool {
	return !j.Deadline.IsZero() && now.After(j.Deadline)
}

// read takes in a chunk of the prompt. The step that reads the last of it makes the first token as well.
func (e *Engine) read(member *running, events []Event) []Event {
	member.toRead -= member.chunk
	if member.toRead > 0 {
		return events
	}
	e.keepParts(member)
	return e.decode(member, events)
}

// keepParts turns what was prefilled into parts that others can use.
func (e *Engine) keepParts(member *running) {
	for _, part := range member.job.Parts[len(member.parts):] {
		member.parts = append(member.parts, e.cache.keep(member.job.Model, part))
		member.private -= part.Tokens
	}
}

// decode makes one token.
func (e *Engine) decode(member *running, events []Event) []Event {
	for !e.cache.hold(1) {
		victim := e.victim()
		e.preempt(victim)
		if victim == member {
			return events
		}
	}
	member.private++
	member.made++
	last := member.made >= member.job.Output
	if made := member.made - member.told; made >= e.options.TokensPerEvent || last {
		member.number++
		member.told = member.made
		events = append(events, Event{Job: member.job.ID, Kind: EventTokens, At: e.clock, Number: member.number, Tokens: made, Last: last})
	}
	if last {
		e.leave(member)
	}
	return events
}

// victim is the job that gives way when memory runs out: the newest among the least urgent.
func (e *Engine) victim() *running {
	var chosen *running
	for _, member := range e.batch {
		if chosen == nil || chosen.before(member) {
			chosen = member
		}
	}
	return chosen
}

// preempt puts a running job back into the queue. All that it held has to be read again.
func (e *Engine) preempt(member *running) {
	again := *member
	again.parts = nil
	e.leave(member)
	e.queue.add(&again)
}

// leave takes a job out of the batch and gives its memory back.
func (e *Engine) leave(member *running) {
	for i, other := range e.batch {
		if other == member {
			e.batch = append(e.batch[:i], e.batch[i+1:]...)
			break
		}
	}
	for _, kept := range member.parts {
		e.cache.drop(kept)
	}
	e.cache.free(member.private)
	member.private = -1
}

// admit moves jobs from the queue into the batch, the most urgent first, while there are slots and memory.
func (e *Engine) admit() {
	for len(e.batch) < e.options.Slots {
		next := e.queue.first()
		if next == nil || !e.begin(next) {
			return
		}
		e.queue.remove(next.job.ID)
		e.batch = append(e.batch, next)
	}
}

// begin takes the memory that a job needs for its prompt and for what it has made so far.
func (e *Engine) begin(member *running) bool {
	parts := e.cache.prefix(member.job.Model, member.job.Parts)
	cached := 0
	for _, kept := range parts {
		e.cache.use(kept)
		cached += kept.tokens
	}
	needed := member.job.promptTokens() + member.made - cached
	if !e.cache.hold(needed) {
		for _, kept := range parts {
			e.cache.release(kept)
		}
		return false
	}
	member.parts = parts
	member.private = needed
	member.toRead = needed
	return true
}

// expire ends the jobs in the queue whose deadline has passed.
func (e *Engine) expire(now time.Time, events []Event) []Event {
	for _, waiting := range e.queue.expired(now) {
		kind := EventExpired
		if waiting.made > waiting.job.Done {
			kind = EventCutOff // it ran before it was preempted
		}
		events = append(events, Event{Job: waiting.job.ID, Kind: kind, At: now, Last: true})
	}
	return events
}

// Unread is how many prompt tokens of a job the engine would have to read, as of now.
func (e *Engine) Unread(job Job) int {
	unread := job.promptTokens()
	for _, kept := range e.cache.prefix(job.Model, job.Parts) {
		unread -= kept.tokens
	}
	return unread
}

// Backlog is how many prompt tokens of admitted and waiting jobs are not read yet.
func (e *Engine) Backlog() int {
	backlog := 0
	for _, member := range e.batch {
		backlog += member.toRead
	}
	for _, waiting := range e.queue.waiting {
		backlog += e.Unread(waiting.job)
	}
	return backlog
}
