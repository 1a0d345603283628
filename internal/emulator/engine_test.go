package emulator_test

import (
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"wallflow/internal/emulator"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// drain plays a model until nothing is under way, and returns all its events.
func drain(model emulator.Model) []emulator.Event {
	var events []emulator.Event
	for {
		next, any := model.Next()
		if !any {
			return events
		}
		events = append(events, model.Advance(next)...)
	}
}

// of keeps the events of one job.
func of(events []emulator.Event, id emulator.JobID) []emulator.Event {
	var own []emulator.Event
	for _, event := range events {
		if event.Job == id {
			own = append(own, event)
		}
	}
	return own
}

func prompt(parts ...emulator.Part) []emulator.Part { return parts }

func TestOneJobTakesTheTimeThatItsStepsTake(t *testing.T) {
	engine := emulator.NewEngine(emulator.EngineOptions{})
	assert.Assert(t, engine.Submit(start, emulator.Job{ID: 1, Parts: prompt(emulator.Part{ID: "a", Tokens: 379}), Output: 7}))
	events := drain(engine)
	assert.Equal(t, len(events), 2)
	step := 4630*time.Microsecond + 153*time.Microsecond
	reading := 10 * time.Millisecond // 379 tokens at 37.9 a millisecond
	assert.DeepEqual(t, events[0], emulator.Event{Job: 1, Kind: emulator.EventTokens, At: start.Add(reading + 5*step), Number: 1, Tokens: 5})
	assert.DeepEqual(t, events[1], emulator.Event{Job: 1, Kind: emulator.EventTokens, At: start.Add(reading + 7*step), Number: 2, Tokens: 2, Last: true})
	assert.DeepEqual(t, engine.Load(), emulator.Load{KVTotal: 316_082})
}

func TestEachTokenComesSlowerAsMoreRun(t *testing.T) {
	end := func(jobs int) time.Duration {
		engine := emulator.NewEngine(emulator.EngineOptions{})
		for id := range jobs {
			assert.Assert(t, engine.Submit(start, emulator.Job{ID: emulator.JobID(id + 1), Output: 10}))
		}
		events := drain(engine)
		return events[len(events)-1].At.Sub(start)
	}
	// The job that came first made its first token before the others were admitted.
	assert.Equal(t, end(1), 10*(4630+153)*time.Microsecond)
	assert.Equal(t, end(8), (4630+153)*time.Microsecond+10*(4630+8*153)*time.Microsecond-153*time.Microsecond)
}

func TestPromptsAreReadInChunksBetweenTheTokensOfOthers(t *testing.T) {
	engine := emulator.NewEngine(emulator.EngineOptions{ChunkTokens: 100})
	assert.Assert(t, engine.Submit(start, emulator.Job{ID: 1, Output: 20}))
	assert.Assert(t, engine.Submit(start, emulator.Job{ID: 2, Parts: prompt(emulator.Part{ID: "long", Tokens: 1000}), Output: 5}))
	events := drain(engine)
	first, second := of(events, 1), of(events, 2)
	assert.Equal(t, len(first), 4)
	// Ten chunks are read while the other job goes on: its second event comes before the long prompt has its first token.
	assert.Assert(t, first[1].At.Before(second[0].At))
	assert.Equal(t, engine.Prefilled(), uint64(1000))
}

func TestAKeptPartIsNotReadAgain(t *testing.T) {
	engine := emulator.NewEngine(emulator.EngineOptions{})
	shared := emulator.Part{ID: "shared", Tokens: 3000}
	ask := func(id emulator.JobID, own string) {
		assert.Assert(t, engine.Submit(start, emulator.Job{ID: id, Parts: prompt(shared, emulator.Part{ID: own, Tokens: 100}), Output: 5}))
		drain(engine)
	}
	ask(1, "x")
	assert.Equal(t, engine.Prefilled(), uint64(3100))
	ask(2, "y")
	assert.Equal(t, engine.Prefilled(), uint64(3200))
	// Only with all parts before it: the same parts in another order are read.
	assert.Assert(t, engine.Submit(start, emulator.Job{ID: 3, Parts: prompt(emulator.Part{ID: "z", Tokens: 10}, shared), Output: 5}))
	drain(engine)
	assert.Equal(t, engine.Prefilled(), uint64(6210))
	// Nor for another model.
	assert.Assert(t, engine.Submit(start, emulator.Job{ID: 4, Model: "other", Parts: prompt(shared), Output: 5}))
	drain(engine)
	assert.Equal(t, engine.Prefilled(), uint64(9210))
}

func TestThePartUnusedTheLongestGivesWay(t *testing.T) {
	engine := emulator.NewEngine(emulator.EngineOptions{KVCapacity: 1000})
	ask := func(id emulator.JobID, part string) uint64 {
		before := engine.Prefilled()
		assert.Assert(t, engine.Submit(start, emulator.Job{ID: id, Parts: prompt(emulator.Part{ID: part, Tokens: 400}), Output: 5}))
		drain(engine)
		return engine.Prefilled() - before
	}
	assert.Equal(t, ask(1, "a"), uint64(400))
	assert.Equal(t, ask(2, "b"), uint64(400))
	assert.Equal(t, ask(3, "a"), uint64(0)) // used again: b is the older one now
	assert.Equal(t, ask(4, "c"), uint64(400))
	assert.Equal(t, ask(5, "a"), uint64(0))
	assert.Equal(t, ask(6, "b"), uint64(400))
}

func TestTheNewestOfTheLeastUrgentGivesWayAndGoesOnLater(t *testing.T) {
	engine := emulator.NewEngine(emulator.EngineOptions{KVCapacity: 100})
	urgent := emulator.Job{ID: 1, Priority: 0, Parts: prompt(emulator.Part{ID: "a", Tokens: 20}), Output: 60}
	older := emulator.Job{ID: 2, Priority: 5, Parts: prompt(emulator.Part{ID: "b", Tokens: 10}), Output: 30}
	newer := emulator.Job{ID: 3, Priority: 5, Parts: prompt(emulator.Part{ID: "c", Tokens: 10}), Output: 30}
	for _, job := range []emulator.Job{newer, older, urgent} { // the urgent one came last, and stays
		assert.Assert(t, engine.Submit(start, job))
	}
	events := drain(engine)
	assert.Assert(t, engine.Prefilled() > 40, "nothing was preempted: %d", engine.Prefilled())
	for id, tokens := range map[emulator.JobID]int{1: 60, 2: 30, 3: 30} {
		checkStream(t, of(events, id), tokens)
	}
	ends := func(id emulator.JobID) time.Time { own := of(events, id); return own[len(own)-1].At }
	assert.Assert(t, ends(2).After(ends(3)), "the newer of the two gives way")
}

// checkStream checks that a stream's events are whole: no number is missing or twice, and the tokens add up.
func checkStream(t *testing.T, events []emulator.Event, tokens int) {
	t.Helper()
	total := 0
	for i, event := range events {
		assert.Equal(t, event.Kind, emulator.EventTokens)
		assert.Equal(t, event.Number, i+1)
		assert.Equal(t, event.Last, i == len(events)-1)
		total += event.Tokens
	}
	assert.Equal(t, total, tokens)
}

func TestTheMoreUrgentIsAdmittedFirst(t *testing.T) {
	engine := emulator.NewEngine(emulator.EngineOptions{Slots: 1})
	for id, priority := range []int{5, 5, 0} {
		assert.Assert(t, engine.Submit(start, emulator.Job{ID: emulator.JobID(id + 1), Priority: priority, Output: 5}))
	}
	events := drain(engine)
	assert.Equal(t, events[0].Job, emulator.JobID(1))
	assert.Equal(t, events[1].Job, emulator.JobID(3))
	assert.Equal(t, events[2].Job, emulator.JobID(2))
}

func TestWhatHasNoPlaceIsTurnedAway(t *testing.T) {
	engine := emulator.NewEngine(emulator.EngineOptions{Slots: 1, Queue: 1, KVCapacity: 100})
	assert.Assert(t, !engine.Submit(start, emulator.Job{ID: 1, Parts: prompt(emulator.Part{ID: "a", Tokens: 96}), Output: 5}), "larger than the memory")
	assert.Assert(t, engine.Submit(start, emulator.Job{ID: 2, Output: 5}))
	assert.Assert(t, engine.Submit(start, emulator.Job{ID: 3, Output: 5}))
	assert.Assert(t, !engine.Submit(start, emulator.Job{ID: 4, Output: 5}), "the queue is full")
	assert.DeepEqual(t, engine.Load(), emulator.Load{Queued: 1, Running: 1, KVUsed: 0, KVTotal: 100})
}

func TestADeadlineInTheQueueAndInTheRun(t *testing.T) {
	engine := emulator.NewEngine(emulator.EngineOptions{Slots: 1})
	soon := start.Add(20 * time.Millisecond)
	assert.Assert(t, engine.Submit(start, emulator.Job{ID: 1, Output: 1000, Deadline: soon}))
	assert.Assert(t, engine.Submit(start, emulator.Job{ID: 2, Output: 5, Deadline: soon}))
	events := drain(engine)
	assert.Equal(t, of(events, 1)[len(of(events, 1))-1].Kind, emulator.EventCutOff)
	assert.Equal(t, len(of(events, 2)), 1)
	assert.Equal(t, of(events, 2)[0].Kind, emulator.EventExpired)
	assert.Equal(t, engine.Load(), emulator.Load{KVTotal: 316_082})
}

func TestAStreamThatIsTakenUpAgainGoesOnAtItsNextEvent(t *testing.T) {
	engine := emulator.NewEngine(emulator.EngineOptions{})
	assert.Assert(t, engine.Submit(start, emulator.Job{ID: 1, Parts: prompt(emulator.Part{ID: "a", Tokens: 50}), Output: 20, Done: 10}))
	events := drain(engine)
	assert.Equal(t, len(events), 2)
	assert.Equal(t, events[0].Number, 3)
	assert.Equal(t, events[1].Number, 4)
	assert.Equal(t, engine.Prefilled(), uint64(60), "prompt and what was made before are read")
}

func TestACancelledJobGivesItsPlaceBack(t *testing.T) {
	engine := emulator.NewEngine(emulator.EngineOptions{Slots: 1})
	assert.Assert(t, engine.Submit(start, emulator.Job{ID: 1, Parts: prompt(emulator.Part{ID: "a", Tokens: 50}), Output: 1000}))
	assert.Assert(t, engine.Submit(start, emulator.Job{ID: 2, Output: 5}))
	engine.Cancel(start.Add(time.Millisecond), 1)
	events := drain(engine)
	checkStream(t, events, 5)
	assert.Equal(t, events[0].Job, emulator.JobID(2))
	assert.Equal(t, engine.Load(), emulator.Load{KVTotal: 316_082})
}

// Whatever is asked of an engine in whatever order, its memory adds up, each stream is whole, and the same calls give the same events.
func TestAnyOrderOfCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := emulator.EngineOptions{
			Slots:       rapid.IntRange(1, 4).Draw(t, "slots"),
			Queue:       rapid.IntRange(1, 6).Draw(t, "queue"),
			KVCapacity:  rapid.IntRange(60, 300).Draw(t, "memory"),
			ChunkTokens: rapid.IntRange(5, 100).Draw(t, "chunk"),
		}
		one, other := emulator.NewEngine(options), emulator.NewEngine(options)
		taken := make(map[emulator.JobID]emulator.Job)
		cancelled := make(map[emulator.JobID]bool)
		var events []emulator.Event
		now := start
		for id := emulator.JobID(1); id <= 30; id++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "pause")) * time.Millisecond)
			stepped := one.Advance(now)
			if !reflect.DeepEqual(stepped, other.Advance(now)) {
				t.Fatalf("the same calls gave different events")
			}
			events = append(events, stepped...)
			job := drawJob(t, id)
			ok := one.Submit(now, job)
			if ok != other.Submit(now, job) {
				t.Fatalf("the same call was taken once and turned away once")
			}
			if ok {
				taken[id] = job
			}
			if victim := emulator.JobID(rapid.IntRange(1, 90).Draw(t, "cancelled")); victim <= id {
				one.Cancel(now, victim)
				other.Cancel(now, victim)
				cancelled[victim] = true
			}
			if load := one.Load(); load.KVUsed < 0 || load.KVUsed > load.KVTotal || load.Running > options.Slots {
				t.Fatalf("load %+v of %+v", load, options)
			}
		}
		events = append(events, drain(one)...)
		for id, job := range taken {
			checkWhole(t, of(events, id), job, cancelled[id])
		}
		if load := one.Load(); load.KVUsed != 0 || load.Running != 0 || load.Queued != 0 {
			t.Fatalf("left over: %+v", load)
		}
	})
}

func drawJob(t *rapid.T, id emulator.JobID) emulator.Job {
	job := emulator.Job{ID: id, Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Output: rapid.IntRange(1, 25).Draw(t, "output")}
	for range rapid.IntRange(0, 3).Draw(t, "parts") {
		part := rapid.SampledFrom([]emulator.Part{{ID: "a", Tokens: 30}, {ID: "a", Tokens: 31}, {ID: "b", Tokens: 20}, {ID: "c", Tokens: 7}}).Draw(t, "part")
		job.Parts = append(job.Parts, part)
	}
	return job
}

func checkWhole(t *rapid.T, events []emulator.Event, job emulator.Job, cancelled bool) {
	tokens := 0
	for i, event := range events {
		tokens += event.Tokens
		if event.Kind != emulator.EventTokens || event.Number != i+1 {
			t.Fatalf("job %d: event %d is %+v", job.ID, i, event)
		}
	}
	if !cancelled && (tokens != job.Output || !events[len(events)-1].Last) {
		t.Fatalf("job %d: %d of %d tokens", job.ID, tokens, job.Output)
	}
}
